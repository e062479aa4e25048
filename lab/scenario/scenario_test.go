package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// binDir is the directory of the binaries that the function run has built.
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
		fmt.Fprintln(os.Stderr, "building the binaries:", err)
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

// Guards against faults of the roles and their protocols. All goroutines run in one process so that the race
// detector covers them.
func TestInProcess(t *testing.T) { scripts(t, InProcess, false) }

// Guards against the same faults with a process for each component, which can be killed and paused.
func TestProcesses(t *testing.T) { scripts(t, startProcesses, true) }
