// Command cases runs the cases of the third review that are scripts. It starts entry hosts as processes and the stand-ins of
// the platform, the backend servers and the consumers, and judges what these see.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime bounds a run of a case.
const maxTime = 110 * time.Second

// system is what a case runs on.
type system struct {
	log     *record
	store   *store
	hosts   []*host
	ports   int
	trouble bool
	root    string
	dir     string
	closers []func()
}

// caseFunc runs a case and returns the number of times that its rule was broken.
type caseFunc func(*system) (broken int, err error)

var cases = map[string]caseFunc{
	"copy-config": copyConfigCase,
	"copy-drain":  copyDrainCase,
	"seeds-away":  seedsAwayCase,
	"watch-cut":   watchCutCase,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	out := flag.String("record", "", "file for the record")
	root := flag.String("root", ".", "root of the project")
	flag.Parse()
	c, known := cases[*name]
	if !known || *out == "" {
		fmt.Fprintln(os.Stderr, "usage: cases --case NAME --record FILE [--root DIR]")
		return exitNotRun
	}
	broken, err := runCase(c, *root, *out)
	switch {
	case err != nil:
		fmt.Println("the case could not run:", err)
		return exitNotRun
	case broken > 0:
		fmt.Println("the rule was broken")
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}

func runCase(c caseFunc, root, out string) (broken int, err error) {
	root, err = filepath.Abs(root)
	if err != nil {
		return 0, err
	}
	log, err := newRecord(out)
	if err != nil {
		return 0, err
	}
	defer log.close()
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	ports, err := freePorts()
	if err != nil {
		return 0, err
	}
	s := &system{log: log, store: newStore(log), ports: ports, trouble: os.Getenv("TROUBLE") != "0", root: root, dir: dir}
	defer s.close()
	go s.closeOnSignal()
	timeout := time.AfterFunc(maxTime, s.abort)
	defer timeout.Stop()
	return c(s)
}

// closeOnSignal ends the case with all of its processes when this program is told to stop.
func (s *system) closeOnSignal() {
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	<-stopped
	s.abort()
}

func (s *system) abort() {
	s.close()
	_ = os.RemoveAll(s.dir)
	os.Exit(exitNotRun)
}

func (s *system) close() {
	for _, h := range s.hosts {
		h.stop()
	}
	for _, f := range s.closers {
		f()
	}
}
