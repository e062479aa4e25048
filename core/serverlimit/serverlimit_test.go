package serverlimit

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

const second = time.Second

func limit(perSecond float64) Statement { return Statement{Limited: true, PerSecond: perSecond} }

// limited returns a table with a server "a" of lifetime 1 that has had a limit since 0.
func limited(perSecond float64) *Table {
	t := NewTable(Config{})
	t.Hear(0, "a", 1, limit(perSecond))
	return t
}

// Guards against limits that outlive the server's statement or its lifetime, and against old statements that bring one back.
func TestStatementsReplaceEachOther(t *testing.T) {
	c := qt.New(t)
	x := NewTable(Config{})
	c.Assert(x.Hear(0, "a", 5, Statement{}), qt.IsFalse)
	c.Assert(x.Empty(), qt.IsTrue)
	c.Assert(x.Hear(0, "a", 5, limit(2)), qt.IsTrue)
	c.Assert(x.Hear(second, "a", 5, limit(2)), qt.IsFalse)
	c.Assert(x.Hear(second, "a", 4, Statement{}), qt.IsFalse) // an older lifetime
	l, ok := x.Limit("a")
	c.Assert(l == 2 && ok && x.Limited() == 1, qt.IsTrue)
	c.Assert(x.Hear(2*second, "a", 6, Statement{}), qt.IsTrue)
	c.Assert(x.Hear(2*second, "a", 5, limit(2)), qt.IsFalse)
	c.Assert(x.Allows(2*second, "a"), qt.IsTrue)

	// Another host that heard the limit earlier or from an older lifetime does not bring it back, and is told.
	now := 4 * second
	for _, u := range []ServerUpdate{{"a", 5, limit(2), 0, 1, 0, 0, 0}, {"a", 6, limit(2), 11 * second, 1, 0, 0, 0}} {
		for range copies {
			now += second
			x.TakeUpdate(now, false)
		}
		now += second
		c.Assert(x.TakeUpdate(now, false).Empty(), qt.IsTrue)
		c.Assert(x.Apply(now, "b", 1, Update{Servers: []ServerUpdate{u}}), qt.HasLen, 0)
		c.Assert(x.TakeUpdate(now, false).Servers, qt.HasLen, 1)
	}
	x.TakeUpdate(now+endedTTL, true)
	c.Assert(x.Empty(), qt.IsTrue)
}

// Guards against requests beyond the limit of a host on its own, tokens that are lost, and a FreeAt that comes too early
// or too late.
func TestOneHost(t *testing.T) {
	c := qt.New(t)
	for _, l := range []float64{0, 1e-9, 0.3, 1.1, 12, 1000} {
		x, sent := limited(l), 0
		used := max(l, 1/ProbeInterval.Seconds())
		for now := x.FreeAt(0, "a"); now < 100*second; now = x.FreeAt(now, "a") {
			c.Assert(x.Allows(now-2*time.Microsecond, "a"), qt.IsFalse)
			c.Assert(x.Allows(now, "a"), qt.IsTrue)
			x.Take(now, "a")
			sent++
		}
		c.Assert(math.Abs(float64(sent)-100*used) <= 1+0.01*100*used, qt.IsTrue, qt.Commentf("%d at %g/s", sent, l))
	}
}

// Guards against a FreeAt that leaves out that hosts take turns after a quiet time, so that requests wait in vain.
func TestFreeAtKnowsTheTurn(t *testing.T) {
	c := qt.New(t)
	for _, now := range []time.Duration{second, quietTime, 60 * second} {
		x := limited(1)
		x.SetHosts(0, 60, 60)
		at := x.FreeAt(now, "a")
		c.Check(at > now, qt.IsTrue)
		c.Check(x.Allows(at-2*time.Microsecond, "a"), qt.IsFalse)
		c.Check(x.Allows(at, "a"), qt.IsTrue)
	}
}

// Guards against turns that go on, so that a host with few requests refuses each of them at first.
func TestTurnsEnd(t *testing.T) {
	c := qt.New(t)
	x := limited(1)
	x.SetHosts(0, 60, 60)
	at := x.FreeAt(60*second, "a")
	x.Take(at, "a")
	c.Check(x.Allows(at+quietTime-1, "a"), qt.IsTrue)
}

// Guards against limits that make levels or times unusable.
func TestAnyNumberIsSafe(t *testing.T) {
	c := qt.New(t)
	for _, l := range []float64{math.NaN(), -1, math.Inf(-1), math.Inf(1), math.MaxFloat64, math.SmallestNonzeroFloat64} {
		x := limited(l)
		for i := range 20 {
			x.Apply(0, "b", 1, Update{Servers: []ServerUpdate{{"a", 1, limit(l), -second, 1, 0, uint64(i) << 60, l}}})
			x.Take(0, "a")
		}
		s := x.servers["a"]
		c.Assert(s.level >= s.lowest(x), qt.IsTrue)
		at := x.FreeAt(0, "a")
		c.Assert(at > 0 && at < time.Hour, qt.IsTrue, qt.Commentf("%v at %g/s", at, l))
		c.Assert(x.Allows(at, "a"), qt.IsTrue)
	}
}

// Guards against a lost datagram whose requests are never counted, and against requests that are counted twice.
func TestCountsAreCumulative(t *testing.T) {
	c := qt.New(t)
	a, b := limited(1), limited(1)
	a.SetHosts(0, 1, 1)
	b.SetHosts(0, 1, 1)
	now := second
	a.Take(now, "a")
	b.Apply(now, "a", 7, a.TakeUpdate(now, false))
	a.Take(now, "a")
	older := a.TakeUpdate(now, false) // late
	a.Take(now, "a")
	u := a.TakeUpdate(now, false)
	for range 3 {
		b.Apply(now, "a", 7, u)
		b.Apply(now, "a", 7, older)
	}
	c.Assert(math.Abs(b.servers["a"].level-a.servers["a"].level) < 0.2, qt.IsTrue)
	_, due := a.NextUpdate()
	c.Assert(due, qt.IsTrue)
	c.Assert(a.TakeUpdate(now, false).Empty(), qt.IsTrue) // the copies follow later
	c.Assert(a.TakeUpdate(now+copySpacing, false).Empty(), qt.IsFalse)

	// Reports of an interval repeat them for a while.
	for range copies {
		a.TakeUpdate(now+second/2, false)
		now += second / 10
	}
	c.Assert(a.TakeUpdate(now+second/2, false).Empty(), qt.IsTrue)
	c.Assert(a.TakeUpdate(now+second, true).Empty(), qt.IsFalse)
	c.Assert(a.TakeUpdate(now+10*second, true).Empty(), qt.IsTrue)
}

// Guards against updates that do not fit a datagram, servers that are never told, and tables that grow without bound.
func TestUpdatesAndTablesAreBounded(t *testing.T) {
	c := qt.New(t)
	x, peer := NewTable(Config{}), NewTable(Config{})
	for i := range 2 * maxServers {
		x.Hear(0, ident.BackendID(fmt.Sprintf("server-%0100d", i)), 1, limit(1))
	}
	c.Assert(x.Limited(), qt.Equals, maxServers)
	c.Assert(x.Whole(0).Bytes() <= MaxUpdateBytes, qt.IsTrue)
	for range maxServers / 4 {
		u := x.TakeUpdate(0, false)
		c.Assert(u.Bytes() <= MaxUpdateBytes, qt.IsTrue)
		peer.Apply(0, "x", 1, u)
	}
	c.Assert(peer.Limited(), qt.Equals, maxServers)
	c.Assert(x.TakeUpdate(0, false).Empty(), qt.IsTrue)
	c.Assert(x.Hear(0, ident.BackendID(make([]byte, maxIDBytes+1)), 1, limit(1)), qt.IsFalse)
	x.Retain(func(id ident.BackendID) bool { return false })
	c.Assert(x.Empty() && x.Limited() == 0, qt.IsTrue)
}

// Guards against a host that sends at once what it would have sent while its process did not run.
func TestPauseAddsNoTokens(t *testing.T) {
	c := qt.New(t)
	x := limited(1)
	x.AfterPause(5 * second)
	c.Assert(x.Allows(5*second, "a"), qt.IsFalse)
	c.Assert(x.Allows(7*second, "a"), qt.IsTrue)
}

// Guards against a host that takes the requests from before its start, or from before that of another host, for new ones.
func TestOldCountsAreNotNew(t *testing.T) {
	c := qt.New(t)
	old := limited(1)
	for range 50 {
		old.Take(second, "a")
	}
	now := 100 * second
	started := NewTable(Config{})
	started.Apply(now, "old", 1, old.Whole(now))
	c.Assert(started.Allows(now+3*second, "a"), qt.IsTrue)

	// Its next request counts once, and so does the first of a host that starts again.
	level := started.servers["a"].level
	old.Take(now+3*second, "a")
	started.Apply(now+3*second, "old", 1, old.Whole(now+3*second))
	started.RemoveHost("old")
	again := limited(1)
	again.servers["a"].added = now + 3*second
	again.Take(now+3*second, "a")
	started.Apply(now+3*second, "old", 2, again.Whole(now+3*second))
	c.Assert(math.Abs(level-started.servers["a"].level-2) < 0.3, qt.IsTrue)
}
