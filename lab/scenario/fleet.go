// Package scenario provides testscript commands for end-to-end tests: a script starts a whole system,
// sends requests, injects faults and states what callers must see. The same scripts run with all
// components in one process, and with an operating system process for each role and stand-in.
package scenario

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rosemaryhill/rosemaryhill/lab/cluster"
)

// Fleet runs the components of a plan: the stand-ins and the roles of each host. They are named "platform",
// "hostlist", "<host>/gateway" and "<host>/dispatcher"; engines and service servers go by their id.
type Fleet interface {
	// Kill ends a component without a graceful shutdown.
	Kill(name string) error
	// Stop starts the graceful shutdown of a component and returns at once.
	Stop(name string) error
	// WaitExit waits until a component that was stopped has ended. It returns an error if the component
	// doesn't end within the limit or its shutdown fails.
	WaitExit(name string, limit time.Duration) error
	// Pause suspends a component for the duration d and returns once it is suspended. Components that share
	// a process can't be paused.
	Pause(name string, d time.Duration) error
	// Start starts a component again.
	Start(name string) error
	// Close ends all components.
	Close() error
}

// Starter starts all components of a plan. It keeps its files in dir.
type Starter func(plan *cluster.Plan, dir string) (Fleet, error)

// InProcess is a Starter that runs all components in this process.
func InProcess(plan *cluster.Plan, _ string) (Fleet, error) {
	c, err := cluster.Start(plan, nil)
	if err != nil {
		return nil, err
	}
	return &inProcess{Cluster: c, shutdowns: map[string]chan error{}}, nil
}

type inProcess struct {
	*cluster.Cluster
	shutdowns map[string]chan error // results of Shutdown by component; used by the script's goroutine only
}

// Stop implements Fleet.
func (f *inProcess) Stop(name string) error {
	if _, ok := f.Role(name); !ok {
		return fmt.Errorf("%q is not running", name)
	}
	done := make(chan error, 1)
	f.shutdowns[name] = done
	go func() { done <- f.Shutdown(context.Background(), name) }()
	return nil
}

// WaitExit implements Fleet.
func (f *inProcess) WaitExit(name string, limit time.Duration) error {
	done, ok := f.shutdowns[name]
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
	return errors.New("components that share a process can't be paused")
}

// Start implements Fleet.
func (f *inProcess) Start(name string) error {
	host, role, err := splitRole(name)
	if err != nil {
		return err
	}
	return f.StartRole(host, role)
}
