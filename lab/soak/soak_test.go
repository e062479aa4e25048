package soak

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/platform/standin"
)

var (
	seedFlag = flag.Int64("soak.seed", -1, "a single seed to run instead of the regression seeds; 0 picks a random one")
	timeFlag = flag.Duration("soak.time", 4*time.Second, "how long faults are injected")
	portFlag = flag.Int("first.port", 19_000, "first port of the hosts and stand-ins")
)

// regressionSeeds are run by default. All but the first failed in earlier versions of the soak, which drew other faults
// from the same seeds. Seeds 9, 17 and 20: SIGHUP terminated a process that had just been started and did not ignore
// the signal yet, and the soak did not restart it. Seeds 110, 112, 113 and 118: SIGTERM right after the previous stop
// did the same. TestSignalsDuringStartup reproduces both causes. Seed 504: the stall timer cut streams of silent servers
// while the retry budget was empty.
var regressionSeeds = []int64{1, 9, 17, 20, 110, 112, 113, 118, 504}

// buildHost builds the rosemaryhill binary, with the race detector if the test runs with it.
func buildHost(c *qt.C) string {
	program := filepath.Join(c.TempDir(), "rosemaryhill")
	args := []string{"build", "-o", program}
	if raceDetector {
		args = append(args, "-race")
	}
	out, err := exec.Command("go", append(args, "github.com/rosemaryhill/rosemaryhill/cmd/rosemaryhill")...).CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	return program
}

// Guards against violated guarantees to callers while, with overlap, entry hosts are killed, stopped, paused and
// reloaded, links are delayed, cut in one or both directions and reset, the store fails for some or all hosts,
// configurations and settings change, and servers fail.
func TestSoak(t *testing.T) {
	c := qt.New(t)
	program := buildHost(c)
	seeds := regressionSeeds
	switch *seedFlag {
	case -1:
	case 0:
		seeds = []int64{time.Now().UnixNano()}
	default:
		seeds = []int64{*seedFlag}
	}
	for _, seed := range seeds {
		c.Run(fmt.Sprint("seed", seed), func(c *qt.C) { soakWith(c, program, seed, *timeFlag) })
	}
}

// Guards against a prompt part that crashes one engine after the other, and against sound streams that are no longer
// served because they share another part with it.
//
// Seed 753: the end of a line that was longer than the read buffer counted as the end of an event, so that garbage of a raw
// server was relayed.
func TestSoakWithBadPart(t *testing.T) {
	c := qt.New(t)
	program := buildHost(c)
	for _, seed := range []int64{1, 753} {
		// The check that streams are served again needs servers that take them: with two zones evacuated and the others cold,
		// the hosts rightly refuse most of them.
		c.Run(fmt.Sprint("seed", seed), func(c *qt.C) { soakWith(c, program, seed, badPartOver, evacuation, coldServer) })
	}
	// Seeds 205 and 208: engines that were cold after their crashes came together with evacuated zones and with limits, pauses and
	// coldness of the others, so that hosts rightly refused the streams by which the check judges the bad part.
	for _, seed := range []int64{205, 208} {
		c.Run(fmt.Sprint("seed", seed, "with cold engines"), func(c *qt.C) { soakWith(c, program, seed, badPartOver) })
	}
}

// Guards against work for servers of evacuated zones, and against more requests at cold servers than they can handle.
func TestSoakWithZones(t *testing.T) {
	c := qt.New(t)
	program := buildHost(c)
	c.Run("seed11", func(c *qt.C) { soakWith(c, program, 11, zonesTime) })
}

// zonesTime is long enough for two evacuations.
const zonesTime = 14 * time.Second

// soakWith runs a soak of three hosts, without some kinds of faults, and checks that nothing was violated.
func soakWith(c *qt.C, program string, seed int64, length time.Duration, without ...string) {
	dir, err := os.MkdirTemp("", "soak") // kept, so that the logs of a failed seed can be read
	c.Assert(err, qt.IsNil)
	res, err := Run(context.Background(), Config{
		Seed: seed, Duration: length, Hosts: 3, Program: program, Dir: dir, Port: *portFlag, Without: without,
	})
	c.Assert(err, qt.IsNil)
	c.Logf("%d requests, %d served, faults %v, logs in %s", res.Requests, res.Served, res.Faults, dir)
	c.Logf("bad part: %s", res.BadPart)
	for _, cause := range res.Causes() {
		c.Logf("not served: %d %s", res.Unserved[cause], cause)
	}
	for _, v := range res.Violations {
		c.Errorf("%s", v)
	}
	c.Assert(res.Served > 0, qt.IsTrue)
}

// Guards against reporting a violation when a signal terminates a process that has not installed its signal handlers
// yet, and against leaving that process down afterwards.
func TestSignalsDuringStartup(t *testing.T) {
	c := qt.New(t)
	r := &run{
		cfg:    Config{Seed: 1, Hosts: 2, Program: buildHost(c), Dir: c.TempDir(), Port: *portFlag},
		result: Result{Faults: map[string]int{}, Unserved: map[string]int{}},
	}
	c.Cleanup(func() { c.Check(r.close(), qt.IsNil) })
	c.Assert(r.start(context.Background()), qt.IsNil)
	h := r.hosts[0]
	for range 4 {
		h.injectFault(r, "stop", func() {
			h.stop(r)
			h.restart(r)
			h.reload()
		})
		h.injectFault(r, "stop", func() {
			h.stop(r)
			h.restart(r)
		})
	}
	time.Sleep(startupTime)
	h.restartIfExited(r)
	c.Assert(eventually(context.Background(), func() bool { return ready(h) }), qt.IsTrue)
	c.Assert(r.result.Violations, qt.HasLen, 0)
}

// Guards against time windows that permit late answers at the wrong time, which would hide violations or report answers
// that are allowed to be late.
func TestTimeWindows(t *testing.T) {
	c := qt.New(t)
	var w timeWindows
	before := time.Now()
	c.Assert(w.overlap(before, before.Add(time.Hour)), qt.IsFalse)
	end := w.open(50 * time.Millisecond)
	c.Assert(w.overlap(before.Add(time.Minute), before.Add(time.Hour)), qt.IsTrue, qt.Commentf("the fault has not ended"))
	end()
	c.Assert(w.overlap(before.Add(time.Minute), before.Add(time.Hour)), qt.IsFalse)
	c.Assert(w.overlap(before, time.Now()), qt.IsTrue)
	c.Assert(w.overlap(before.Add(-time.Hour), before.Add(-time.Minute)), qt.IsFalse)
}

// Guards against cut streams that are reported although something broke them, and against any that are excused by
// something that did not, such as a reload or an earlier fault.
func TestCutStreams(t *testing.T) {
	c := qt.New(t)
	r := &run{}
	var err error
	r.fleet, err = standin.NewFleet(*portFlag, 0, func(address, target string) (standin.Proxy, error) { return r.addLink(address, target) })
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(r.close(), qt.IsNil) })
	_, err = r.fleet.Add("models")
	c.Assert(err, qt.IsNil)
	ago := func(seconds float64) time.Time { return time.Now().Add(-time.Duration(seconds * float64(time.Second))) }
	window := func(from, to float64) [][2]time.Time { return [][2]time.Time{{ago(from), ago(to)}} }
	server, hang := standin.Arrival{Server: "i-1"}, standin.Arrival{Server: "i-1", Failure: standin.Hang}
	cut := standin.Result{Status: 200, Took: time.Second}
	for _, x := range []struct {
		name                   string
		result                 standin.Result
		arrivals               []standin.Arrival
		fault, reset, linkHeld [][2]time.Time
		without                []string
		crashes                []crash
		want                   bool
	}{
		{name: "sound server", result: cut, arrivals: []standin.Arrival{server}, want: true},
		{name: "complete", result: standin.Result{Status: 200, Complete: true}, arrivals: []standin.Arrival{server}},
		{name: "one server broke off", result: cut, arrivals: []standin.Arrival{server, hang}},
		{name: "refused before it began", result: standin.Result{Status: 503, Complete: true}},
		{name: "may have run at a server silent on accept", result: standin.Result{Status: 502, Complete: true}, want: true},
		{name: "timeout", result: standin.Result{Status: 504, Complete: true, Took: streamTimeout}, arrivals: []standin.Arrival{server}},
		{name: "host fault", result: cut, arrivals: []standin.Arrival{server}, fault: window(1.5, 0.5)},
		{name: "earlier host fault", result: cut, arrivals: []standin.Arrival{server}, fault: window(9, 3), want: true},
		{name: "crash of the server", result: cut, arrivals: []standin.Arrival{server}, crashes: []crash{{"i-1", ago(1.5), ago(1.5)}}},
		{name: "crash in the last ms", result: cut, arrivals: []standin.Arrival{server}, crashes: []crash{{"i-1", ago(0.999), ago(0.998)}}},
		{name: "crash after the end", result: cut, arrivals: []standin.Arrival{server}, crashes: []crash{{"i-1", ago(0.5), ago(0.5)}}, want: true},
		{name: "crash of another server", result: cut, arrivals: []standin.Arrival{server}, crashes: []crash{{"i-2", ago(1.5), ago(1.5)}}, want: true},
		{name: "link reset", result: cut, arrivals: []standin.Arrival{server}, reset: window(1.5, 1.5)},
		{name: "link held", result: cut, arrivals: []standin.Arrival{server}, linkHeld: window(1.5, 1), want: true},
		{name: "link held, no silent servers", result: cut, arrivals: []standin.Arrival{server}, linkHeld: window(1.5, 1), without: []string{silentServer}},
	} {
		r.cfg.Without, r.crashes = x.without, x.crashes
		r.links[0].resets.list, r.links[0].faults.list = x.reset, x.linkHeld
		// The caller takes 3 ms from the decision to send to the begin of the call, and so ends later than sentAt and Took say.
		sent := &call{Result: x.result, host: &host{}, sentAt: ago(2), endedAt: ago(2).Add(x.result.Took + 3*time.Millisecond)}
		sent.host.cutAllowed.list = x.fault
		c.Check(r.cutWithoutCause(sent, x.arrivals), qt.Equals, x.want, qt.Commentf(x.name))
	}
}

// Guards against requests for servers that leave or want none which the soak does not report, and against any that it reports
// although the host's process had a fault, or they came before the notice or after its end.
func TestNoticeViolations(t *testing.T) {
	c := qt.New(t)
	began := time.Now().Add(-time.Minute)
	h := &host{}
	h.cutAllowed.list = [][2]time.Time{{began.Add(20 * time.Second), began.Add(21 * time.Second)}}
	at := func(seconds float64, a standin.Arrival) contact {
		a.At = began.Add(time.Duration(seconds * float64(time.Second)))
		served := standin.Result{ID: "q", Status: 200, Complete: true, Took: 10 * time.Millisecond}
		return contact{a, &call{Result: served, host: h, sentAt: a.At.Add(-time.Millisecond), endedAt: a.At.Add(served.Took)}, true}
	}
	leaving, paused := standin.Arrival{Leaving: true}, standin.Arrival{Failure: standin.Shed, Pause: 3 * time.Second}
	plain := standin.Arrival{}
	for _, x := range []struct {
		name string
		all  []contact
		want int
	}{
		{"soon after it left", []contact{at(1, leaving), at(2.9, leaving)}, 0},
		{"long after it left", []contact{at(1, leaving), at(3.2, plain)}, 1},
		{"after a restart of the host", []contact{at(19, leaving), at(23, plain)}, 0},
		{"two within a pause", []contact{at(1, paused), at(2, plain), at(3, plain)}, 0},
		{"three within a pause", []contact{at(1, paused), at(2, plain), at(3, plain), at(3.5, plain)}, 1},
		{"on the way and after the end", []contact{at(1, paused), at(1.1, plain), at(1.2, plain), at(1.3, plain), at(4.1, plain), at(4.2, plain)}, 0},
		{"within a pause over a restart of the host", []contact{at(19, paused), at(21.1, plain), at(21.2, plain), at(21.3, plain)}, 0},
	} {
		c.Check(noticeViolations(x.all), qt.HasLen, x.want, qt.Commentf(x.name))
	}
}

// Guards against requests beyond a limit which the soak does not report, and against any that it reports although their hosts had
// not heard of the limit, or it had just begun, changed or ended.
func TestLimitViolations(t *testing.T) {
	c := qt.New(t)
	began := time.Now().Add(-time.Minute)
	first, second := &host{}, &host{}
	second.cutAllowed.list = [][2]time.Time{{began.Add(2 * time.Second), began.Add(2100 * time.Millisecond)}}
	at := func(h *host, seconds float64, limit string, took time.Duration) contact {
		a := standin.Arrival{Limit: limit, At: began.Add(time.Duration(seconds * float64(time.Second)))}
		served := standin.Result{ID: "q", Status: 200, Complete: true, Took: took}
		return contact{a, &call{Result: served, host: h, sentAt: a.At.Add(-time.Millisecond), endedAt: a.At.Add(took)}, true}
	}
	// many is 12 requests within 0.6 s; a limit of 1 allows 11 in 4 s.
	many := func(h *host, from float64, limit string) (all []contact) {
		for i := range 12 {
			all = append(all, at(h, from+0.05*float64(i), limit, time.Millisecond))
		}
		return all
	}
	told := func(h *host, seconds float64) contact { return at(h, seconds, "1", time.Millisecond) }
	for _, x := range []struct {
		name string
		all  []contact
		want int
	}{
		{"too many", append([]contact{told(first, 1)}, many(first, 5, "1")...), 1},
		{"soon after the first answer", append([]contact{told(first, 1)}, many(first, 3.3, "1")...), 0},
		{"a host that has not heard", append([]contact{told(first, 1)}, many(second, 5, "1")...), 0},
		{"a host with a fault since", append([]contact{told(second, 1)}, many(second, 5, "1")...), 0},
		{"a host that has heard again", append([]contact{told(second, 1), told(second, 3)}, many(second, 5, "1")...), 1},
		{"a higher limit until shortly before", append([]contact{at(first, 1, "2", time.Millisecond), at(first, 4, "2", time.Millisecond)}, many(first, 5, "1")...), 0},
		{"after the limit", append([]contact{told(first, 1)}, many(first, 5, "")...), 0},
		{"an older answer without limit", append([]contact{at(first, 0.9, "", 2*time.Second), told(first, 1)}, many(first, 5, "1")...), 1},
		{"named again", append([]contact{told(first, 1), at(first, 4, "", time.Millisecond)}, many(first, 5, "1")...), 0},
	} {
		c.Check(limitViolations(x.all), qt.HasLen, x.want, qt.Commentf(x.name))
	}
}

// Guards against work in an evacuated zone, and crowds at a cold server, that the soak does not report, and against any that it
// reports although hosts could not know in time, the request had been held up, or the evacuation had ended.
func TestZoneAndColdViolations(t *testing.T) {
	c := qt.New(t)
	r := &run{cfg: Config{Hosts: 2}}
	var err error
	r.fleet, err = standin.NewFleet(*portFlag, 2, func(address, target string) (standin.Proxy, error) { return r.addLink(address, target) })
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(r.close(), qt.IsNil) })
	_, err = r.fleet.Add("ledger")
	c.Assert(err, qt.IsNil)
	began := time.Now().Add(-time.Minute)
	at := func(seconds float64) time.Time { return began.Add(time.Duration(seconds * float64(time.Second))) }
	window := func(from, to float64) [][2]time.Time { return [][2]time.Time{{at(from), at(to)}} }
	evacuated := &timeWindows{list: window(10, 20)}
	hosts := []*host{{}, {}}
	for _, x := range []struct {
		name                             string
		at                               float64
		fault, other, own, store, server [][2]time.Time
		want                             int
	}{
		{name: "late", at: 14, want: 1},
		{name: "soon", at: 13.4},
		{name: "after the end", at: 20.1},
		{name: "fault of the host", at: 14, fault: window(11.5, 12)},
		{name: "earlier fault of the host", at: 14, fault: window(9, 10.5), want: 1},
		{name: "the host cut off from the store only", at: 14, own: window(5, 19), want: 1},
		{name: "all hosts cut off from the store", at: 14, own: window(5, 19), store: window(5, 19)},
		{name: "the host cut off and the other one down", at: 14, own: window(5, 19), other: window(5, 19)},
		{name: "held up on the way", at: 14, server: window(12, 14.5)},
	} {
		hosts[0].cutAllowed.list, hosts[1].cutAllowed.list = x.fault, x.other
		r.hosts = hosts
		r.links[0].failed.list, r.links[1].faults.list, r.links[2].faults.list = x.own, x.store, x.server
		one := contact{standin.Arrival{Server: "i-1", At: at(x.at)}, &call{host: hosts[0]}, true}
		late := r.mayKnowLate(one)
		r.hosts = nil // they have no processes to end
		var judged []contact
		if !late {
			judged = append(judged, one)
		}
		c.Check(zoneViolations(judged, evacuated), qt.HasLen, x.want, qt.Commentf(x.name))
	}
	helper, err := r.fleet.Add("models")
	c.Assert(err, qt.IsNil)
	order := httptest.NewRequest(http.MethodPost, "/api/order", strings.NewReader(`{"operation":"reserve","id":"v","hold_ms":1000}`))
	helper.ServeHTTP(httptest.NewRecorder(), order)
	withHelper := r.withReservations([]contact{{standin.Arrival{Helpers: r.fleet.AddressOf(helper.ID) + "/v"}, &call{}, true}})
	c.Assert(withHelper, qt.HasLen, 2)
	c.Assert(withHelper[1].Server, qt.Equals, helper.ID)
	var crowd []contact
	for i := range 40 {
		a := standin.Arrival{At: at(20 + 0.1*float64(i))}
		if i < 25 {
			a.ColdFor = a.At.Sub(at(17.55))
		}
		crowd = append(crowd, contact{a, &call{host: hosts[0]}, true})
	}
	c.Check(mostWhileCold(crowd), qt.Equals, 10, qt.Commentf("11 arrivals before learnTime and those while warm do not count"))
	c.Check(mostWhileCold(crowd[:14]), qt.Equals, 3)
}

// Guards against kinds of faults that are drawn but have no effect.
func TestEveryFaultKindIsInjected(t *testing.T) {
	c := qt.New(t)
	other := []string{"store", "config", "outage", "reset", silentServer, storeSeries, settingsSeries}
	for _, k := range faultKinds {
		_, linked := linkFaults[k]
		known := hostFaults[k] != nil || linked || slices.Contains(other, k)
		c.Check(known, qt.IsTrue, qt.Commentf(k))
	}
	c.Check(len(faultKinds), qt.Equals, len(hostFaults)+len(linkFaults)+len(other))
}
