// Package load drives a running system from an experiment file.
package load
