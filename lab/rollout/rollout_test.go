package rollout

import (
	"context"
	"flag"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/lab/internal/hostprocess"
	"github.com/rosemaryhill/rosemaryhill/node/settings"
	"github.com/rosemaryhill/rosemaryhill/platform/standin"
)

var (
	programFlag = flag.String("rollout.program", "", "rosemaryhill binary to test; empty builds that of the source tree")
	portFlag    = flag.Int("first.port", 18_700, "first port of the hosts and stand-ins")
)

// buildProgram returns the path of the rosemaryhill binary to test.
func buildProgram(c *qt.C) string {
	if *programFlag != "" {
		return *programFlag
	}
	program := filepath.Join(c.TempDir(), "rosemaryhill")
	out, err := exec.Command("go", "build", "-o", program, "github.com/rosemaryhill/rosemaryhill/cmd/rosemaryhill").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	return program
}

// Guards against requests that planned work loses: build 8924277 cut streams that a stopping host had taken on kept connections.
func TestPlannedWorkLosesNoRequest(t *testing.T) {
	c := qt.New(t)
	program := buildProgram(c)
	p, err := LoadProfile("linen-lantern")
	c.Assert(err, qt.IsNil)
	p.LengthS = 14
	res, err := Run(context.Background(), Config{Profile: p, Seed: 1, Program: program, Dir: c.TempDir(), Port: *portFlag})
	c.Assert(err, qt.IsNil)
	var text strings.Builder
	c.Assert(res.WriteText(&text), qt.IsNil)
	t.Log(text.String())
	c.Check(res.Lost(), qt.Equals, 0)
	c.Check(res.Broken, qt.HasLen, 0)
	c.Check(res.Problems, qt.HasLen, 0)
	c.Check(res.Served > res.Requests/2 && res.Work[string(stopWork)] > 0, qt.IsTrue)
}

// Guards against a check that excuses a lost request, or blames a host for one that it may end.
func TestWhichRequestsAreLost(t *testing.T) {
	c := qt.New(t)
	p := &Profile{ShutdownMS: 8000}
	h := &host{Process: &hostprocess.Process{Settings: settings.Default()}}
	stop := time.Now()
	r := &run{Config: Config{Profile: p}, hosts: []*host{h}, work: []work{{stopWork, h, stop}}}
	arrived := []standin.Arrival{{}}
	for _, x := range []struct {
		what           string
		sent, ended    time.Duration // after the SIGTERM
		status         int
		passed         []standin.Arrival
		lost, excepted bool
	}{
		{"passed on and cut at once", 4 * time.Second, 4100 * time.Millisecond, 0, arrived, true, false},
		{"cut in the answer", 4 * time.Second, 7700 * time.Millisecond, 200, arrived, true, false},
		{"sent early, cut at the end", 2 * time.Second, 7700 * time.Millisecond, 200, arrived, true, true},
		{"sent before the stop, cut at the end", -time.Second, 7700 * time.Millisecond, 200, arrived, true, true},
		{"sent early, cut in the middle", 2 * time.Second, 5 * time.Second, 200, arrived, true, false},
		{"crossed a close", 4 * time.Second, 4100 * time.Millisecond, 0, nil, false, false},
		{"read and not passed on", 4 * time.Second, 4300 * time.Millisecond, 0, nil, true, false},
		{"sent early, not passed on, ended at the end", 2 * time.Second, 7700 * time.Millisecond, 0, nil, true, false},
		{"out of time", -3 * time.Second, 7 * time.Second, 200, arrived, false, false},
	} {
		e := exchange{kind: &Kind{Route: "stream"}, host: h}
		e.Sent, e.SentAt, e.EndedAt, e.Status, e.Timeout = true, stop.Add(x.sent), stop.Add(x.ended), x.status, 10*time.Second
		e.BegunAt = e.SentAt
		c.Check(r.isLost(&e, x.passed), qt.Equals, x.lost, qt.Commentf(x.what))
		if x.lost {
			l := r.loss(&e, x.passed)
			c.Check(l.Cause, qt.Equals, string(stopWork), qt.Commentf(x.what))
			c.Check(l.Allowed, qt.Equals, x.excepted, qt.Commentf(x.what))
		}
	}
}

// Guards against an answer that a host ends early and that looks complete counting as served.
func TestShortAnswerIsBroken(t *testing.T) {
	c := qt.New(t)
	p, err := LoadProfile("linen-lantern")
	c.Assert(err, qt.IsNil)
	q := standin.KeptRequest{ID: "q", PromptTokens: 5000, OutputTokens: 3 * p.TokensPerEvent}
	for body, broken := range map[string]int{standin.StreamBody(3): 0, standin.StreamBody(2): 1} {
		x := exchange{Exchange: standin.Exchange{KeptRequest: q, Status: 200, Complete: true, Body: body}, kind: &Kind{Route: "stream"}}
		r := &run{Config: Config{Profile: p}, fleet: &standin.Fleet{}, exchanges: []exchange{x}}
		c.Check(r.check().Broken, qt.HasLen, broken)
	}
}
