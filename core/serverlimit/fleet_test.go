package serverlimit

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/member"
)

const (
	step       = time.Millisecond
	delay      = 2    // steps of a datagram
	spacing    = 5    // steps between two reports on news
	interval   = 250  // steps
	windowTime = 4000 // steps of the target's window
	grace      = 3000 // steps after the naming of the limit until the target applies
	validity   = 1100 // steps from the last report of a host until it no longer counts as live
	freshness  = 385  // the same until it counts as late
)

// fleet is a number of hosts that send as many requests as a server allows, in steps of virtual time.
type fleet struct {
	rng   *rand.Rand
	hosts []*fleetHost
	loss  float64
	said  Statement  // by the server
	now   int        // steps
	mail  [][]letter // by the step of its arrival
	sent  []int      // requests in each step
	most  int        // bytes of the greatest update

	published float64 // limit that all hosts know of, 0 for none
}

type fleetHost struct {
	table   *Table
	addr    member.Addr
	process ident.Incarnation
	demand  float64 // requests in a step
	up, cut bool
	sent    int
	changed int // step in which up or cut changed last
	next    int // step from which on a report on news may be sent
}

type letter struct {
	from, to *fleetHost
	sender   ident.Incarnation
	receiver ident.Incarnation
	update   Update
	answer   *Statement
}

func newFleet(n int, perSecond float64, seed int64) *fleet {
	f := &fleet{rng: rand.New(rand.NewSource(seed)), said: limit(perSecond)}
	for i := range n {
		h := &fleetHost{addr: member.Addr(fmt.Sprint("host-", i)), demand: 20 * step.Seconds(), changed: -1 << 20}
		f.hosts = append(f.hosts, h)
		f.start(h)
	}
	return f
}

func (f *fleet) time() time.Duration { return time.Duration(f.now) * step }

func (f *fleet) start(h *fleetHost) {
	h.process, h.up = ident.Incarnation(f.rng.Uint64()|1), true
	h.table = NewTable(Config{Seed: uint64(h.process), PublishedFrom: f.time() + second/2})
	for _, o := range f.hosts {
		if o != h && f.reaches(o, h) {
			o.table.RemoveHost(h.addr)
			f.post(letter{from: o, to: h, update: o.table.Whole(f.time())}, delay)
		}
	}
}

func (f *fleet) reaches(a, b *fleetHost) bool { return a.up && b.up && a.cut == b.cut }

func (f *fleet) post(l letter, after int) {
	l.sender, l.receiver = l.from.process, l.to.process
	at := f.now + after
	for len(f.mail) <= at {
		f.mail = append(f.mail, nil)
	}
	f.mail[at] = append(f.mail[at], l)
}

// run runs the fleet for a number of steps.
func (f *fleet) run(steps int) {
	for range steps {
		f.sent = append(f.sent, 0)
		if f.now < len(f.mail) {
			for _, l := range f.mail[f.now] {
				f.receive(l)
			}
			f.mail[f.now] = nil
		}
		for i, h := range f.hosts {
			if h.up {
				f.step(h, (f.now+i*7)%interval == 0)
			}
		}
		f.now++
	}
}

func (f *fleet) receive(l letter) {
	switch {
	case !l.to.up || l.to.process != l.receiver:
	case l.answer != nil:
		l.to.table.Hear(f.time(), "a", 1, *l.answer)
	case f.reaches(l.from, l.to):
		l.to.table.Apply(f.time(), l.from.addr, l.sender, l.update)
	}
}

func (f *fleet) step(h *fleetHost, report bool) {
	if f.rng.Float64() < h.demand && h.table.Allows(f.time(), "a") {
		h.table.Take(f.time(), "a")
		f.sent[f.now]++
		h.sent++
		said := f.said
		f.post(letter{from: h, to: h, answer: &said}, 10*delay)
	}
	if report || f.published > 0 && f.now%50 == 0 {
		f.setHosts(h)
	}
	at, due := h.table.NextUpdate()
	if !report && (!due || at > f.time() || f.now < h.next) {
		return
	}
	h.next = f.now + spacing
	u := h.table.TakeUpdate(f.time(), report)
	f.most = max(f.most, u.Bytes())
	for _, o := range f.hosts {
		if o != h && !u.Empty() && f.reaches(h, o) && f.rng.Float64() >= f.loss {
			f.post(letter{from: h, to: o, update: u}, delay+f.rng.Intn(delay))
		}
	}
}

func (f *fleet) setHosts(h *fleetHost) {
	live, fresh := 0, 0
	for _, o := range f.hosts {
		if o != h && (f.reaches(h, o) || f.now-max(h.changed, o.changed) < validity) {
			live++
		}
		if o != h && (f.reaches(h, o) || f.now-max(h.changed, o.changed) < freshness) {
			fresh++
		}
	}
	h.table.SetFreshHosts(f.time(), fresh, live, len(f.hosts)-1)
}

// setCut separates a third of the hosts from the others, but not from the server.
func (f *fleet) setCut(cut bool) {
	for i, h := range f.hosts {
		if i%3 == 0 {
			h.cut, h.changed = cut, f.now
		}
	}
}

// setDemand sets the requests of each host in a step.
func (f *fleet) setDemand(n float64) {
	for _, h := range f.hosts {
		h.demand = n
	}
}

// total returns the requests in the steps from a to b.
func (f *fleet) total(a, b int) (n int) {
	for _, x := range f.sent[a:b] {
		n += x
	}
	return n
}

// worst returns the most requests in a window after a step.
func (f *fleet) worst(from int) (worst int) { return f.worstIn(from, windowTime) }

func (f *fleet) worstIn(from, window int) (worst int) {
	n := 0
	for i := from; i < len(f.sent); i++ {
		n += f.sent[i]
		if i >= from+window {
			n -= f.sent[i-window]
		}
		worst = max(worst, n)
	}
	return worst
}

func target(perSecond float64) float64 { return 1.5*perSecond*4 + 5 }

// Guards against windows with more requests than the target allows, in a calm fleet, with lost datagrams, hosts that start
// and stop, and a divided fleet, and against a limit that is not used or exceeded in the long run.
func TestFleetKeepsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := rapid.SampledFrom([]float64{0.3, 1.1, 2.5, 12, 60}).Draw(t, "limit")
		f := newFleet(rapid.IntRange(1, 40).Draw(t, "hosts"), l, rapid.Int64().Draw(t, "seed"))
		f.loss = rapid.SampledFrom([]float64{0, 0.02, 0.3}).Draw(t, "loss")
		if rapid.Bool().Draw(t, "uneven") {
			for i, h := range f.hosts {
				h.demand *= 1 / float64(i+1)
			}
		}
		trouble := rapid.SampledFrom([]string{"none", "starts", "cut"}).Draw(t, "trouble")
		f.run(10_000)
		switch trouble {
		case "starts":
			for range 10 {
				h := f.hosts[f.rng.Intn(len(f.hosts))]
				h.up, h.changed = false, f.now
				f.run(500)
				f.start(h)
				f.run(500)
			}
		case "cut":
			f.setCut(true)
			f.run(10_000)
			f.setCut(false)
		}
		f.run(20_000)
		if n := f.worst(grace); float64(n) > target(l) {
			t.Fatalf("%d requests in a window at %g/s", n, l)
		}
		demand := 0.0
		for _, h := range f.hosts {
			demand += h.demand / step.Seconds()
		}
		if f.most > MaxUpdateBytes {
			t.Fatalf("update of %d bytes", f.most)
		}
		allowed := l * float64(len(f.sent)-grace) * step.Seconds()
		n := float64(f.total(grace, len(f.sent)))
		if n > 1.1*allowed+4 {
			t.Fatalf("%g requests, %g allowed", n, allowed)
		}
		if trouble == "none" && demand > 1.5*l && n < 0.9*allowed-2 {
			t.Fatalf("%g requests, %g allowed", n, allowed)
		}
	})
}

// Guards against hosts that all take the same token, and against one that gets none of them: because it started later, or
// since it waits for a level that is never reached.
func TestHostsThatWaitTakeTurns(t *testing.T) {
	c := qt.New(t)
	for _, l := range []float64{0.3, 1.1, 12} {
		f := newFleet(95, l, 1)
		f.setDemand(1)
		f.run(30_000)
		c.Check(float64(f.worst(grace)) <= target(l), qt.IsTrue, qt.Commentf("%d at %g/s", f.worst(grace), l))
	}
	f := newFleet(8, 2.5, 1)
	f.run(10_000)
	f.start(f.hosts[0])
	f.run(10_000)
	for _, h := range f.hosts {
		h.sent = 0
	}
	f.run(60_000)
	for _, h := range f.hosts {
		c.Check(h.sent >= 6, qt.IsTrue, qt.Commentf("%d of %d", h.sent, f.total(20_000, 80_000)))
	}
}

// Guards against hosts that all send at once after a time without requests.
func TestQuietTimeSavesFewTokens(t *testing.T) {
	c := qt.New(t)
	for _, l := range []float64{0.3, 1.1, 2.5, 12} {
		f := newFleet(60, l, 1)
		f.run(grace)
		f.setDemand(0)
		f.run(30_000)
		f.setDemand(1)
		f.run(10_000)
		c.Check(float64(f.worst(grace)) <= target(l), qt.IsTrue, qt.Commentf("%d at %g/s", f.worst(grace), l))
	}
}

// Guards against hosts without requests that do not learn the end of a limit.
func TestEndIsTold(t *testing.T) {
	c := qt.New(t)
	f := newFleet(20, 2.5, 1)
	f.run(grace)
	f.setDemand(0)
	f.run(grace)
	c.Assert(f.hosts[0].table.Hear(f.time(), "a", 1, Statement{}), qt.IsTrue)
	f.run(100)
	for _, h := range f.hosts {
		c.Check(h.table.Limited(), qt.Equals, 0)
	}
}

// Guards against a host whose news come late or never, a changed limit that is not kept, and one that some hosts keep after
// its end.
func TestLimitChangesAndEnds(t *testing.T) {
	c := qt.New(t)
	for _, l := range []float64{0.3, 2.5, 12} {
		f := newFleet(20, 4*l, 3)
		f.loss = 0.3
		f.run(10_000)
		f.said = limit(l)
		f.run(20_000)
		changed := 10_000 + grace
		c.Check(float64(f.worst(changed)) <= target(l), qt.IsTrue)
		n := float64(f.total(changed, len(f.sent)))
		c.Check(n >= 0.8*17*l-2 && n <= 1.1*17*l+2, qt.IsTrue, qt.Commentf("%g at %g/s", n, l))
		f.said = Statement{}
		f.run(8000)
		for _, h := range f.hosts {
			c.Check(h.table.Limited(), qt.Equals, 0)
		}
		f.run(int(endedTTL/step) + 2*interval)
		for _, h := range f.hosts {
			c.Assert(h.table.Empty(), qt.IsTrue)
		}
	}
}

// Guards against a server that accepts nothing and gets more than the probes that find the end.
func TestServerThatAcceptsNothing(t *testing.T) {
	c := qt.New(t)
	f := newFleet(20, 0, 3)
	f.run(60_000)
	n := f.total(grace, len(f.sent))
	c.Assert(n >= 4 && n <= 8, qt.IsTrue, qt.Commentf("%d requests", n))
}

// Guards against a part of the limit that nobody uses after hosts were cut off, left, or sent more than allowed.
func TestUseAfterTrouble(t *testing.T) {
	c := qt.New(t)
	f := newFleet(12, 2.5, 5)
	f.run(10_000)
	f.setCut(true)
	f.run(30_000)
	f.setCut(false)
	for _, h := range f.hosts {
		for range 10 {
			h.table.Take(f.time(), "a") // as orders that have to be sent
		}
	}
	f.run(10_000)
	from := len(f.sent)
	f.run(20_000)
	n := f.total(from, len(f.sent))
	c.Assert(n >= 45 && n <= 55, qt.IsTrue, qt.Commentf("%d requests", n))
}

// Guards against results that depend on more than the seed.
func TestSameSeedSameResult(t *testing.T) {
	c := qt.New(t)
	var sent [2][]int
	for i := range sent {
		f := newFleet(10, 2.5, 7)
		f.loss = 0.3
		f.run(10_000)
		sent[i] = f.sent
	}
	c.Assert(sent[0], qt.DeepEquals, sent[1])
}

// Guards against hosts that take the lifetime, the limit or the counts of an update for others than were told.
func TestUpdateRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewTable(Config{}), NewTable(Config{})
		said := limit(rapid.Float64Range(0, 1000).Draw(t, "limit"))
		started := rapid.Int64Range(0, math.MaxInt64).Draw(t, "started")
		a.Hear(second, "a", started, said)
		b.Hear(second, "a", started-1, limit(1))
		for range rapid.IntRange(0, 5).Draw(t, "requests") {
			a.Take(2*second, "a")
		}
		b.Apply(2*second, "host", 1, a.Whole(2*second))
		got, want := b.servers["a"], a.servers["a"]
		if got.started != want.started || got.statement != want.statement || got.heard != want.heard ||
			got.peers["host"].count != want.count {
			t.Fatalf("%+v, want %+v", got, want)
		}
	})
}

// BenchmarkAllows measures the check of a request to a server without a limit while others have one.
func BenchmarkAllows(b *testing.B) {
	x := limited(1)
	for b.Loop() {
		x.Allows(second, "b")
	}
}
