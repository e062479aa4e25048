// Package settings reads and checks the TOML settings of a process.
package settings
