package trail

import (
	"context"
	"flag"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/platform/standin"
)

var (
	programFlag = flag.String("trail.program", "", "rosemaryhill binary to test; empty builds that of the source tree")
	portFlag    = flag.Int("first.port", 20_300, "first port of the hosts and stand-ins")
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

// Guards against an experiment that finds hosts late without a fault, that requests nothing of what it judges, or whose fault has no
// effect, and against hosts that miss what is published after the store came back from a copy.
func TestHostsFollow(t *testing.T) {
	c := qt.New(t)
	program := buildProgram(c)
	const quiet = calmTime + Bound
	for _, x := range []struct {
		fault  string
		length time.Duration
		count  int // least number of faults
	}{{"none", 4 * time.Second, 0}, {"store-copy", 7*time.Second + quiet, 2}} {
		res, err := Run(context.Background(), Config{
			Faults: []string{x.fault}, Seed: 1, Hosts: 3, Duration: x.length, Interval: 2 * time.Second,
			Pause: 2 * time.Second, Quiet: min(quiet, x.length), Program: program, Dir: c.TempDir(), Port: *portFlag,
		})
		c.Assert(err, qt.IsNil)
		c.Check(res.Faults >= x.count, qt.IsTrue, qt.Commentf("%s: %d faults", x.fault, res.Faults))
		c.Check(res.Config.Late+res.CalmLeaving.Late+res.Denied, qt.Equals, 0, qt.Commentf("%s: %q", x.fault, res.Examples))
		c.Check(res.Problems, qt.HasLen, 0)
		c.Check(res.Served > res.Requests/2 && res.Versions > 1 && res.Leaves > 1, qt.IsTrue, qt.Commentf("%s: %+v", x.fault, res))
	}
}

// Guards against a judgement that takes an old version for the present one, or blames a host for a version that no request shows.
func TestWhichVersionHandles(t *testing.T) {
	c := qt.New(t)
	began := time.Now()
	r := &run{}
	for i := range 20 {
		at := began.Add(time.Duration(i) * time.Second)
		r.versions = append(r.versions, version{sent: at, acked: at})
	}
	for _, x := range []struct {
		what    string
		kind    requestKind
		index   int // of the route or key, or of the service that ran the request
		status  int
		arrived bool
		last    int
		known   bool
	}{
		{"run by the service of version 9", onMoved, 9, 200, true, 9, true},
		{"run by the newest service", onMoved, 10, 200, true, 10, true},
		{"run by a service of no version yet", onMoved, 12, 200, true, -4, false},
		{"refused", onMoved, 0, 503, false, 0, false},
		{"run on a dropped route", onRoute, 7, 200, true, 8, true},
		{"run on a route that the newest version has", onRoute, 9, 200, true, 10, true},
		{"dropped route refused", onRoute, 8, 404, false, 10, true},
		{"added route refused", onRoute, 10, 404, false, 9, true},
		{"added key refused", withKey, 9, 401, false, 8, true},
		{"key with an unanswered request", withKey, 7, 503, false, 0, false},
	} {
		q := &request{kind: x.kind, index: x.index}
		q.ID, q.Status, q.EndedAt = "q", x.status, began.Add(10*time.Second+time.Millisecond)
		services, arrivals := map[string]int{}, map[string][]standin.Arrival{}
		if x.arrived {
			services["q"], arrivals["q"] = x.index, []standin.Arrival{{}}
		}
		last, known := r.handledBy(q, services, arrivals)
		c.Check(known, qt.Equals, x.known, qt.Commentf(x.what))
		c.Check(last, qt.Equals, x.last, qt.Commentf(x.what))
	}
}

// Guards against a request that counts as undisturbed during a fault of its host or of the store, or less than the calm time after it.
func TestCalm(t *testing.T) {
	c := qt.New(t)
	at := time.Now()
	a, b := &host{}, &host{}
	r := &run{troubles: []trouble{{a, at, at.Add(time.Second)}, {nil, at.Add(20 * time.Second), at.Add(21 * time.Second)}}}
	for _, x := range []struct {
		host *host
		sent time.Duration
		calm bool
	}{
		{a, -time.Second, true}, {a, 0, false}, {a, 3900 * time.Millisecond, false}, {a, 4100 * time.Millisecond, true},
		{b, 0, true}, {b, 22 * time.Second, false}, {b, 25 * time.Second, true},
	} {
		q := &request{host: x.host}
		q.SentAt, q.EndedAt = at.Add(x.sent), at.Add(x.sent+10*time.Millisecond)
		c.Check(r.calm(q), qt.Equals, x.calm, qt.Commentf("sent after %v", x.sent))
	}
}
