package serverlimit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/core/member"
)

const (
	coldPerSecond = 26
	// coldWindow is the most requests in a window of 1 s to a cold server of 26 requests a second: 1.5 times that and 5.
	coldWindow = 44
	oneSecond  = int(time.Second / step)
)

// publish makes the limit of a cold server known to a host.
func (f *fleet) publish(h *fleetHost) {
	h.table.Publish(f.time(), "a", Published{PerSecond: f.published, Until: time.Hour, FirstHand: time.Hour})
}

func coldFleet(hosts int, demand float64, seed int64) *fleet {
	f := newFleet(hosts, 0, seed)
	f.said, f.published = Statement{}, coldPerSecond
	f.setDemand(demand)
	for _, h := range f.hosts {
		f.setHosts(h)
		f.publish(h)
	}
	return f
}

func (f *fleet) checkCold(t *testing.T, from int) {
	t.Helper()
	n := f.worstIn(from, oneSecond)
	t.Logf("%d hosts: %d requests in a window, %.1f/s", len(f.hosts), n, float64(f.total(from, len(f.sent)))/float64(len(f.sent)-from)*1000)
	if n > coldWindow {
		t.Errorf("%d hosts: %d requests in a window, at most %d allowed", len(f.hosts), n, coldWindow)
	}
}

// Guards against hosts that together send a cold server more than it bears: when all of them always have requests, and when
// all of them get requests at the same time after a quiet one.
func TestColdServerUnderLoad(t *testing.T) {
	for _, hosts := range []int{1, 6, 88, 300} {
		f := coldFleet(hosts, 1, 1)
		f.run(5000)
		f.checkCold(t, 0)
		if used := f.total(1000, 5000); used < 4*coldPerSecond*7/10 {
			t.Errorf("%d hosts: %d requests used", hosts, used)
		}
		for range 5 {
			f.setDemand(0)
			f.run(1500)
			f.setDemand(1)
			f.run(1000)
		}
		f.checkCold(t, 0)
	}
}

// Guards against two parts of a divided fleet that both use the whole limit.
func TestColdServerOfDividedFleet(t *testing.T) {
	for _, hosts := range []int{6, 88, 300} {
		f := coldFleet(hosts, 1, 1)
		f.run(3000)
		f.setCut(true)
		f.run(5000)
		f.setCut(false)
		f.run(3000)
		f.checkCold(t, 0)
	}
}

// Guards against hosts that start, all together or one by one, and send before they know with how many others they share.
func TestColdServerAndStartingHosts(t *testing.T) {
	for _, hosts := range []int{6, 88, 300} {
		f := coldFleet(hosts, 1, 1)
		f.run(2000)
		for i := range 20 {
			h := f.hosts[i*7%hosts]
			f.start(h)
			h.table.SetHosts(f.time(), 0, 0)
			f.publish(h)
			f.run(100)
		}
		f.checkCold(t, 0)
	}
}

// Guards against a host that sends at once, after it was frozen, what it did not send meanwhile.
func TestColdServerAfterFreeze(t *testing.T) {
	f := coldFleet(1, 1, 4)
	f.run(3000)
	f.now += 3000 // without a step of the host
	f.sent = append(f.sent, make([]int, 3000)...)
	f.run(1000)
	f.checkCold(t, 0)
}

// Guards against a bucket of its own for the published limit, and against the weaker one of two limits that holds.
func TestStricterLimitHolds(t *testing.T) {
	c := qt.New(t)
	for _, x := range []struct {
		named, published, want float64
		isPublished            bool
	}{{5, 26, 5, false}, {100, 26, 26, true}} {
		a := limited(x.named)
		a.Publish(0, "a", Published{PerSecond: x.published, Until: 100 * second, FirstHand: 100 * second})
		perSecond, published, ok := a.InForce(0, "a")
		c.Check(perSecond == x.want && published == x.isPublished && ok, qt.IsTrue, qt.Commentf("%g %v", perSecond, published))
		sent := 0
		for now := a.FreeAt(0, "a"); now < 20*second; now = a.FreeAt(now, "a") {
			a.Take(now, "a")
			sent++
		}
		c.Check(float64(sent) <= 20*x.want+5, qt.IsTrue, qt.Commentf("%d at %g/s", sent, x.want))
	}
}

// Guards against a published limit that outlives its time, or that an answer without a limit ends.
func TestPublishedLimitEnds(t *testing.T) {
	c := qt.New(t)
	x := NewTable(Config{})
	x.Publish(0, "a", Published{PerSecond: 1, Until: 3 * second, FirstHand: 3 * second})
	x.Hear(second, "a", 1, Statement{})
	c.Check(x.Allows(second/2, "a"), qt.IsFalse)
	x.Take(second, "a")
	c.Check(x.Allows(2*second-second/10, "a"), qt.IsFalse)
	c.Check(x.Allows(3*second, "a"), qt.IsTrue)
	c.Check(x.Published(), qt.Equals, 0)
	x.TakeUpdate(3*second+endedTTL, true)
	c.Check(x.Empty(), qt.IsTrue)
}

// Guards against the time left that grows from host to host, and against a limit that others are not told.
func TestOnlyFirstHandLimitsAreTold(t *testing.T) {
	c := qt.New(t)
	a, b := NewTable(Config{}), NewTable(Config{})
	a.Publish(second, "a", Published{PerSecond: 26, Until: 4 * second, FirstHand: 4 * second, AsOf: 9})
	u := a.TakeUpdate(second, false)
	c.Assert(u.Servers, qt.HasLen, 0) // hosts of the build before would take it for a statement of the server
	c.Assert(u.Published, qt.HasLen, 1)
	c.Check(u.Published[0].Left == 3*second && u.Published[0].AsOf == 9, qt.IsTrue)
	b.Publish(second, "a", Published{PerSecond: 26, Until: 4 * second})
	b.Take(2*second, "a")
	u = b.TakeUpdate(2*second, false)
	c.Assert(u.Published, qt.HasLen, 1)
	c.Check(u.Published[0].Left, qt.Equals, time.Duration(0))
	c.Check(u.Published[0].Count, qt.Equals, uint64(1))
}

// Guards against a host that begins with a burst, whatever it has seen of the limit before it may send.
func TestStartedHostHasNoBurst(t *testing.T) {
	c := qt.New(t)
	x := NewTable(Config{PublishedFrom: second / 2})
	x.Publish(0, "a", Published{PerSecond: 10, Until: 10 * second, FirstHand: 10 * second})
	c.Check(x.FreeAt(second/2, "a") >= second/2+second/10, qt.IsTrue)
	c.Check(x.Allows(second/2+second/20, "a"), qt.IsFalse)
	x.Take(second, "a")
	c.Check(x.Allows(second, "a"), qt.IsTrue) // of the limit since then
}

// Guards against a host that has just started and takes the latest request of each other one for an old one.
func TestStartedHostCountsLatestRequests(t *testing.T) {
	c := qt.New(t)
	x := NewTable(Config{})
	x.Publish(0, "a", Published{PerSecond: 1, Until: 10 * second, FirstHand: 10 * second})
	for _, host := range []string{"b", "c"} {
		x.Apply(second, member.Addr(host), 1, Update{Published: []PublishedUpdate{{Server: "a", Series: 1, Counting: 100 * second, Count: 50, Level: 1}}})
	}
	c.Check(x.servers["a"].level < 0, qt.IsTrue, qt.Commentf("%g", x.servers["a"].level))
}
