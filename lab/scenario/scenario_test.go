package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// binDir holds the built binaries.
var binDir string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "scenario")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	root, err := filepath.Abs("../..")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	build := exec.Command("go", "build", "-o", dir, "./cmd/rosemaryhill", "./cmd/rosectl")
	build.Dir, build.Stderr = root, os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build of the binaries:", err)
		return 1
	}
	return m.Run()
}

func scripts(t *testing.T, start Starter, processes bool) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script", Setup: Setup, Cmds: Commands(start), RequireExplicitExec: true,
		Condition: func(name string) (bool, error) {
			if name != "processes" {
				return false, fmt.Errorf("unknown condition %q", name)
			}
			return processes, nil
		},
	})
}

// Guards against faults of the roles and their protocols, with all goroutines in one process so that
// the race detector sees them.
func TestInProcess(t *testing.T) { scripts(t, InProcess, false) }

// Guards against the same faults where each part is a process of its own, which can be killed.
func TestProcesses(t *testing.T) { scripts(t, startProcesses, true) }
