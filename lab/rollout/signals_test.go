package rollout

import (
	"fmt"
	"net/http"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/lab/internal/hostprocess"
	"github.com/rosemaryhill/rosemaryhill/platform/standin"
)

// signalTest sends signals to a host, and requests on connections that have carried one before.
type signalTest struct {
	name     string
	noConfig bool
	early    bool // SIGTERM comes as soon as the process handles signals; connections are new
	// during sends other signals. at waits until a time after SIGTERM.
	during func(p *hostprocess.Process, at func(time.Duration))
	after  time.Duration // the process runs for so long after SIGTERM at least, since it has requests in progress
}

// Guards against signals and settings files that end requests in progress when they come around a stop.
func TestSignalsAroundAStop(t *testing.T) {
	program := buildProgram(qt.New(t))
	shorter := func(p *hostprocess.Process) {
		p.Settings.Entry.ShutdownMS, p.Settings.Entry.AddressTTLMS = 1000, 100
		_ = p.WriteSettings()
		p.Signal(syscall.SIGHUP)
	}
	for i, x := range []signalTest{
		{name: "SIGTERM only", after: 5 * time.Second},
		{name: "a second SIGTERM and SIGINT", after: 5 * time.Second, during: func(p *hostprocess.Process, at func(time.Duration)) {
			at(time.Second)
			p.Signal(syscall.SIGTERM)
			at(3500 * time.Millisecond)
			p.Signal(syscall.SIGINT)
			p.Signal(syscall.SIGTERM)
		}},
		{name: "SIGHUP and other settings", after: 5 * time.Second, during: func(p *hostprocess.Process, at func(time.Duration)) {
			at(500 * time.Millisecond)
			shorter(p)
		}},
		{name: "other settings before the stop", after: 5 * time.Second, during: func(p *hostprocess.Process, at func(time.Duration)) {
			at(-200 * time.Millisecond)
			shorter(p)
		}},
		{name: "paused while lists expire", after: 4 * time.Second, during: func(p *hostprocess.Process, at func(time.Duration)) {
			at(1500 * time.Millisecond)
			p.Signal(syscall.SIGSTOP)
			at(4200 * time.Millisecond)
			p.Signal(syscall.SIGCONT)
		}},
		{name: "SIGTERM at the start", early: true},
		{name: "SIGTERM without a configuration", noConfig: true, early: true},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			x.run(qt.New(t), program, *portFlag+PortCount*(i+1))
		})
	}
}

func (x *signalTest) run(c *qt.C, program string, port int) {
	fleet, err := standin.NewFleet(port, 1, nil)
	c.Assert(err, qt.IsNil)
	defer fleet.Close()
	engine, err := fleet.Add(engines)
	c.Assert(err, qt.IsNil)
	engine.EventInterval, engine.EventCount = 100*time.Millisecond, 30
	ledger, err := fleet.Add(plain)
	c.Assert(err, qt.IsNil)
	ledger.ServiceTime = 50 * time.Millisecond
	if !x.noConfig {
		fleet.Configure(1, 9*time.Second)
	}
	p := &hostprocess.Process{Program: program, File: filepath.Join(c.TempDir(), "h.toml"), Settings: fleet.HostSettings(1, port+2)}
	p.Settings.Entry.ShutdownMS, p.Settings.Entry.AddressTTLMS = 8000, 1000
	c.Assert(p.WriteSettings(), qt.IsNil)
	c.Assert(p.Start(), qt.IsNil)
	for p.Starting() {
		time.Sleep(time.Millisecond)
	}
	r := &run{hosts: []*host{{Process: p}}}
	stop := time.Now()
	if !x.early {
		for !r.ready() {
			time.Sleep(20 * time.Millisecond)
		}
		stop = time.Now().Add(time.Second)
	}
	at := func(d time.Duration) { time.Sleep(time.Until(stop.Add(d))) }
	var calls sync.WaitGroup
	for n, sent := range []time.Duration{-500, 500, 2300, 3700, 4500} {
		if x.early && sent < 0 {
			sent = 300 // the caller listener is open by then
		}
		for _, path := range []string{standin.StreamPath, standin.SafePath, standin.UnsafePath} {
			q := standin.KeptRequest{ID: fmt.Sprint(path, n), Path: path, PromptTokens: 5000, OutputTokens: 250, Timeout: 9 * time.Second}
			calls.Go(func() { x.call(c, fleet, p, q, func() { at(sent * time.Millisecond) }) })
		}
	}
	if x.during != nil {
		calls.Go(func() { x.during(p, at) })
	}
	at(0)
	c.Check(p.Terminate(8*time.Second), qt.IsNil)
	c.Check(time.Since(stop) >= x.after, qt.IsTrue)
	calls.Wait()
}

// call sends a request and checks that it has a complete answer unless it has crossed the close of its connection.
func (x *signalTest) call(c *qt.C, fleet *standin.Fleet, p *hostprocess.Process, q standin.KeptRequest, wait func()) {
	if x.early {
		wait()
	}
	conn, err := standin.Connect(p.Settings.Entry.HTTPAddress)
	if err != nil {
		c.Check(x.early, qt.IsTrue, qt.Commentf("%v", err)) // the listener may be closed already
		return
	}
	defer conn.Close()
	if !x.early {
		first := conn.Do(standin.KeptRequest{ID: "first " + q.ID, Path: standin.SafePath, Timeout: q.Timeout})
		c.Check(first.Status, qt.Equals, http.StatusOK)
		wait()
	}
	e := conn.Do(q)
	passed := len(fleet.Arrivals(engines)[q.ID]) + len(fleet.Arrivals(plain)[q.ID])
	c.Logf("%s: status %d after %v, passed on %d times", q.ID, e.Status, e.EndedAt.Sub(e.SentAt), passed)
	c.Check(e.Complete || passed == 0 && e.EndedAt.Sub(e.SentAt) < lossSlack, qt.IsTrue, qt.Commentf("%s: %+v", x.name, e))
	c.Check(!x.noConfig || passed == 0, qt.IsTrue)
}
