package main

import (
	"os"
	"os/exec"
	"path/filepath"
)

// Usage of the flags of commands that run entry hosts as processes.
const (
	programUsage = "path of the rosemaryhill binary; default: next to rosectl, or built from the source tree"
	dirUsage     = "directory for settings and logs; default: a new temporary directory, which is kept"
)

// prepareProgram returns the rosemaryhill binary to run and the directory for its settings and logs, given the values of the
// flags, which may be empty.
func prepareProgram(program, dir string) (string, string, error) {
	if program != "" {
		if _, err := os.Stat(program); err != nil {
			return "", "", usageError.New("rosemaryhill binary not found: %v; build it and give its path with --program", err)
		}
	}
	dir, err := makeDir(dir)
	if err == nil && program == "" {
		program, err = findProgram(dir)
	}
	return program, dir, err
}

func makeDir(dir string) (string, error) {
	if dir != "" {
		return dir, os.MkdirAll(dir, 0o755)
	}
	return os.MkdirTemp("", "rosemaryhill")
}

// findProgram returns the binary next to rosectl. If there is none, as with go run, it builds the binary from the source tree
// of the working directory.
func findProgram(dir string) (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	program := filepath.Join(filepath.Dir(self), "rosemaryhill")
	if _, err := os.Stat(program); err == nil {
		return program, nil
	}
	program = filepath.Join(dir, "rosemaryhill")
	out, err := exec.Command("go", "build", "-o", program, "github.com/rosemaryhill/rosemaryhill/cmd/rosemaryhill").CombinedOutput()
	if err != nil {
		return "", usageError.New("no rosemaryhill binary next to rosectl, and building it failed: %v: %s; give its path with --program", err, out)
	}
	return program, nil
}
