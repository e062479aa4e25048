// Package scenario is a small test language over the real code: testscript files start a whole system,
// send requests, break parts of it and state what callers must see. The same files run over roles in
// one process and over one operating system process for each role and stand-in.
package scenario

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rosemaryhill/rosemaryhill/lab/cluster"
)

// Fleet runs the parts of a plan. Parts are named "platform", "hostlist", "<host>/gateway",
// "<host>/dispatcher" and by the id of an engine or service.
type Fleet interface {
	// Kill ends a part without a graceful shutdown.
	Kill(name string) error
	// Stop starts the graceful shutdown of a part and returns at once.
	Stop(name string) error
	// WaitExit waits for the end of a part that was stopped. The error says that it did not end in time
	// or not in order.
	WaitExit(name string, limit time.Duration) error
	// Pause stops a part from running for a time. It returns once the part is stopped. Parts that share a
	// process can't be paused.
	Pause(name string, d time.Duration) error
	// Start starts a part again.
	Start(name string) error
	// Close ends all parts.
	Close() error
}

// Starter starts all parts of a plan. dir is for files.
type Starter func(plan *cluster.Plan, dir string) (Fleet, error)

// InProcess starts all parts in this process.
func InProcess(plan *cluster.Plan, _ string) (Fleet, error) {
	c, err := cluster.Start(plan, nil)
	if err != nil {
		return nil, err
	}
	return &inProcess{Cluster: c, stopped: map[string]chan error{}}, nil
}

type inProcess struct {
	*cluster.Cluster
	stopped map[string]chan error // used by the script's goroutine only
}

// Stop implements Fleet.
func (f *inProcess) Stop(name string) error {
	if _, ok := f.Role(name); !ok {
		return fmt.Errorf("%q does not run", name)
	}
	done := make(chan error, 1)
	f.stopped[name] = done
	go func() { done <- f.Shutdown(context.Background(), name) }()
	return nil
}

// WaitExit implements Fleet.
func (f *inProcess) WaitExit(name string, limit time.Duration) error {
	done, ok := f.stopped[name]
	if !ok {
		return fmt.Errorf("%q was not stopped", name)
	}
	select {
	case err := <-done:
		return err
	case <-time.After(limit):
		return errors.New("still running")
	}
}

// Pause implements Fleet.
func (f *inProcess) Pause(string, time.Duration) error {
	return errors.New("parts that share a process can't be paused")
}

// Start implements Fleet.
func (f *inProcess) Start(name string) error {
	host, role, err := splitRole(name)
	if err != nil {
		return err
	}
	return f.StartRole(host, role)
}
