// Package limitshare simulates entry hosts and a backend server that accepts a limited number of requests a second from
// all of them together, in virtual time, to compare ways in which the hosts can keep to it without shared state. Hosts run
// the production code of core/serverlimit. The same play and seed give the same result.
package limitshare

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/member"
	"github.com/rosemaryhill/rosemaryhill/core/peers"
	"github.com/rosemaryhill/rosemaryhill/core/serverlimit"
	"github.com/rosemaryhill/rosemaryhill/lab/internal/virtual"
)

const serverID = ident.BackendID("models-7/engine-0123")

const (
	reportSpacing = 5 * time.Millisecond   // from news to the report that carries them
	networkMin    = 500 * time.Microsecond // delay of a datagram or request
	networkSpread = time.Millisecond
	answerTime    = 20 * time.Millisecond // of the server
	named         = 2 * time.Second       // when the server first names its limit
	grace         = 3 * time.Second       // from then until the target applies
	trouble       = 10 * time.Second
	length        = 45 * time.Second
	forgetAfter   = 5 * time.Minute // silent hosts count as known until then
	patience      = 3 * time.Second // of a request that waits
	slowTime      = 100 * time.Millisecond
	sampleTime    = 100 * time.Millisecond
)

// Situation is what happens in a play.
type Situation string

// The situations.
const (
	Calm     Situation = "calm"
	Loss2    Situation = "2 % lost"
	Loss30   Situation = "30 % lost"
	Slow     Situation = "slow hosts" // datagrams wait for up to 100 ms
	Restarts Situation = "restarts"   // a host every 2 s, down for 1 s
	CutShort Situation = "cut 10 s"   // a third of the hosts from the others
	CutLong  Situation = "cut 30 s"   // the same, longer than silent hosts are known
	Late     Situation = "late news"  // datagrams to a third of the hosts take 1 s longer until 3 s after the naming
	Changes  Situation = "changes"    // to a third of the limit and back
	Ends     Situation = "ends"       // for 10 s
	Returns  Situation = "returns"    // no host uses the server for 10 s, and then all may
	Freezes  Situation = "freezes"    // a host every 5 s for 3 s
)

// Situations returns all situations.
func Situations() []Situation {
	return []Situation{Calm, Loss2, Loss30, Slow, Restarts, CutShort, CutLong, Late, Changes, Ends, Returns, Freezes}
}

// Demand is how many requests the hosts have for the server.
type Demand string

// The demands. They are uneven: host i has a share in proportion to 1/(i+1).
const (
	Below   Demand = "0.5 L"
	At      Demand = "1 L"
	Above   Demand = "10 L"          // what is not allowed goes elsewhere
	Waiting Demand = "10 L, waiting" // the requests wait until one is allowed
	Even    Demand = "even, waiting" // each host always has a request that waits
)

// Demands returns all demands.
func Demands() []Demand { return []Demand{Below, At, Above, Waiting, Even} }

// Play is a run.
type Play struct {
	Design    Design
	Situation Situation
	Demand    Demand
	Hosts     int
	Limit     float64 // requests a second
	Seed      int64
}

type host struct {
	index            int
	addr             member.Addr
	rank             uint64
	table            *serverlimit.Table
	limiter          limiter
	started          ident.Incarnation
	up               bool
	frozen           bool
	cut              bool            // from the hosts that are not
	changed          time.Duration   // when up or cut last changed
	arrivals         float64         // requests a second
	waiting          []time.Duration // until then
	wake             int             // number of the latest wake-up
	report           bool            // a report on news is scheduled
	inbox            []func()        // datagrams and answers that wait for a frozen host
	datagrams, bytes int
}

type world struct {
	virtual.Clock
	Play
	rng     *rand.Rand
	hosts   []*host
	result  Result
	offered []time.Duration // requests of callers
	sent    []time.Duration // arrivals at the server
	ideal   ideal
}

func run(p Play) Result {
	w := &world{Play: p, rng: rand.New(rand.NewSource(p.Seed))}
	w.ideal.w = w
	for i := range p.Hosts {
		h := &host{index: i, addr: member.Addr(fmt.Sprint("host-", i)), rank: w.rng.Uint64(), changed: -time.Hour}
		w.hosts = append(w.hosts, h)
	}
	for i, h := range w.shuffled() {
		h.arrivals = w.demandOf(i)
	}
	for _, h := range w.hosts {
		w.start(h)
		w.nextRequest(h)
		w.After(w.within(peers.ReportInterval), func() { w.interval(h) })
	}
	w.schedule()
	w.sample()
	w.Run(length)
	w.measure()
	return w.result
}

func (w *world) shuffled() []*host {
	out := slices.Clone(w.hosts)
	w.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func (w *world) within(d time.Duration) time.Duration { return time.Duration(w.rng.Int63n(int64(d))) }

// demandOf returns the requests a second of the host with the given place.
func (w *world) demandOf(place int) float64 {
	total := map[Demand]float64{Below: 0.5, At: 1, Above: 10, Waiting: 10}[w.Demand] * w.Limit
	if w.Demand == Even {
		return 2
	}
	sum := 0.0
	for i := range w.Hosts {
		sum += 1 / float64(i+1)
	}
	return total / float64(place+1) / sum
}

// statement returns what the server says now.
func (w *world) statement() serverlimit.Statement {
	now := w.Now()
	if now < named || w.Situation == Ends && now >= trouble && now < 2*trouble {
		return serverlimit.Statement{}
	}
	l := w.Limit
	if w.Situation == Changes && now >= trouble && now < 2*trouble {
		l /= 3
	}
	return serverlimit.Statement{Limited: true, PerSecond: l}
}

// start gives a host the state of a process that has just started.
func (w *world) start(h *host) {
	h.table = serverlimit.NewTable(w.tableConfig(w.rng))
	h.limiter = w.newLimiter(h)
	h.started = ident.Incarnation(w.rng.Uint64() | 1)
	h.up, h.changed, h.waiting, h.inbox = true, w.Now(), nil, nil
	w.setHosts(h)
	if w.Now() == 0 {
		h.changed = -time.Hour
		return
	}
	for _, o := range w.hosts { // a live peer introduces the others
		if o != h && w.reachable(h, o) {
			w.send(o, []*host{h}, o.table.Whole(w.Now()))
			break
		}
	}
	for _, o := range w.hosts {
		if w.reachable(h, o) && o != h {
			o.table.RemoveHost(h.addr)
		}
	}
}

// schedule schedules the trouble of the situation.
func (w *world) schedule() {
	switch w.Situation {
	case Restarts:
		for at := trouble; at < length; at += 2 * time.Second {
			w.At(at, func() { w.restart(w.hosts[w.rng.Intn(len(w.hosts))]) })
		}
	case Freezes:
		for at := trouble; at < length; at += 5 * time.Second {
			w.At(at, func() { w.freeze(w.hosts[w.rng.Intn(len(w.hosts))]) })
		}
	case CutShort:
		w.At(trouble, func() { w.cut(true) })
		w.At(trouble+10*time.Second, func() { w.cut(false) })
	case CutLong:
		w.At(trouble, func() { w.cut(true) })
		w.At(trouble+30*time.Second, func() { w.cut(false) })
	}
}

func (w *world) restart(h *host) {
	h.up, h.changed = false, w.Now()
	w.After(time.Second, func() { w.start(h) })
}

func (w *world) freeze(h *host) {
	h.frozen = true
	w.After(3*time.Second, func() {
		h.frozen = false
		h.table.AfterPause(w.Now())
		inbox := h.inbox
		h.inbox = nil
		for _, run := range inbox {
			run()
		}
	})
}

func (w *world) cut(on bool) {
	for i, h := range w.hosts {
		if i%3 == 0 {
			h.cut, h.changed = on, w.Now()
		}
	}
}

func (w *world) reachable(a, b *host) bool { return a.up && b.up && a.cut == b.cut }

// believesAlive reports whether the latest report of another host is valid.
func (w *world) believesAlive(h, o *host) bool {
	return h != o && (w.reachable(h, o) || w.Now()-max(h.changed, o.changed) < peers.NearValidity)
}

func (w *world) live(h *host) (n int) {
	for _, o := range w.hosts {
		if w.believesAlive(h, o) {
			n++
		}
	}
	return n
}

// setHosts tells a host of its peers, as its load reports do.
func (w *world) setHosts(h *host) {
	known := 0
	for _, o := range w.hosts {
		if o != h && (w.reachable(h, o) || w.Now()-max(h.changed, o.changed) < forgetAfter) {
			known++
		}
	}
	h.table.SetHosts(w.Now(), w.live(h), known)
}

// nextRequest schedules the requests of a host.
func (w *world) nextRequest(h *host) {
	w.After(time.Duration(w.rng.ExpFloat64()/h.arrivals*float64(time.Second)), func() {
		if h.up && !h.frozen {
			w.request(h)
		}
		w.nextRequest(h)
	})
}

func (w *world) request(h *host) {
	now := w.Now()
	w.offered = append(w.offered, now)
	switch {
	case w.away() && w.Demand != Waiting && w.Demand != Even:
	case !w.away() && h.limiter.allows(now):
		w.forward(h)
	case w.Demand == Waiting || w.Demand == Even:
		h.waiting = append(h.waiting, now+patience)
		w.serveWaiting(h)
	case now >= named+grace:
		w.result.Refused++
		if w.ideal.room(now) {
			w.result.RefusedWithRoom++
		}
	}
}

// serveWaiting forwards requests that wait as far as they are allowed now, and schedules the next attempt.
func (w *world) serveWaiting(h *host) {
	now := w.Now()
	h.waiting = slices.DeleteFunc(h.waiting, func(until time.Duration) bool { return until < now })
	for len(h.waiting) > 0 && !w.away() && h.limiter.allows(now) {
		h.waiting = h.waiting[1:]
		w.forward(h)
	}
	if len(h.waiting) == 0 {
		return
	}
	h.wake++
	wake := h.wake
	next := h.limiter.freeAt(now)
	if w.away() {
		next = 2 * trouble
	}
	w.At(next, func() {
		if h.wake == wake && h.up && !h.frozen {
			w.serveWaiting(h)
		}
	})
}

// forward sends a request to the server.
func (w *world) forward(h *host) {
	h.limiter.take(w.Now())
	w.ideal.take(w.Now())
	w.reportNews(h)
	process := h.started
	w.After(w.network(), func() {
		w.sent = append(w.sent, w.Now())
		w.After(answerTime, func() {
			said := w.statement()
			w.After(w.network(), func() { w.deliver(h, process, func() { w.answer(h, said) }) })
		})
	})
}

func (w *world) network() time.Duration { return networkMin + w.within(networkSpread) }

func (w *world) datagram() time.Duration {
	if w.Situation == Slow {
		return w.network() + w.within(slowTime)
	}
	return w.network()
}

// deliver runs something on a host, unless its process has ended meanwhile.
func (w *world) deliver(h *host, process ident.Incarnation, run func()) {
	switch {
	case !h.up || h.started != process:
	case h.frozen:
		h.inbox = append(h.inbox, run)
	default:
		run()
	}
}

func (w *world) answer(h *host, said serverlimit.Statement) {
	if h.table.Hear(w.Now(), serverID, 1, said) {
		w.serveWaiting(h)
	}
	w.reportNews(h)
}

// reportNews schedules a report if there is something to tell.
func (w *world) reportNews(h *host) {
	at, due := h.table.NextUpdate()
	if !due || h.report {
		return
	}
	h.report = true
	w.At(max(at, w.Now()+reportSpacing), func() {
		h.report = false
		if h.up && !h.frozen {
			w.send(h, w.hosts, h.table.TakeUpdate(w.Now(), false))
			w.reportNews(h)
		}
	})
}

func (w *world) interval(h *host) {
	if h.up && !h.frozen {
		w.setHosts(h)
		w.send(h, w.hosts, h.table.TakeUpdate(w.Now(), true))
		w.reportNews(h)
	}
	w.After(peers.ReportInterval, func() { w.interval(h) })
}

// send sends an update to those of the hosts that can be reached.
func (w *world) send(h *host, to []*host, u serverlimit.Update) {
	if u.Empty() {
		return
	}
	from, process := h.addr, h.started
	var late, normal []*host
	for _, o := range to {
		if o == h {
			continue
		}
		h.datagrams++
		h.bytes += u.Bytes()
		switch {
		case !w.reachable(h, o) || w.rng.Float64() < w.loss():
		case w.isLate(o):
			late = append(late, o)
		default:
			normal = append(normal, o)
		}
	}
	w.arrive(w.datagram(), from, process, normal, u)
	w.arrive(w.datagram()+time.Second, from, process, late, u)
}

func (w *world) arrive(after time.Duration, from member.Addr, process ident.Incarnation, to []*host, u serverlimit.Update) {
	if len(to) == 0 {
		return
	}
	w.After(after, func() {
		for _, o := range to {
			w.deliver(o, o.started, func() {
				if len(o.table.Apply(w.Now(), from, process, u)) > 0 {
					w.serveWaiting(o)
				}
				w.reportNews(o)
			})
		}
	})
}

// away reports whether the hosts do not use the server for another reason than its limit.
func (w *world) away() bool {
	return w.Situation == Returns && w.Now() >= trouble && w.Now() < 2*trouble
}

func (w *world) loss() float64 {
	return map[Situation]float64{Loss2: 0.02, Loss30: 0.3}[w.Situation]
}

func (w *world) isLate(h *host) bool {
	return w.Situation == Late && h.index%3 == 0 && w.Now() < named+grace
}

// sample measures how long hosts take to learn the end of a limit.
func (w *world) sample() {
	if w.Situation == Ends && w.Now() >= trouble && w.Now() < 2*trouble {
		for _, h := range w.hosts {
			if h.table.Limited() > 0 {
				w.result.Unaware = w.Now() - trouble
			}
		}
	}
	w.After(sampleTime, w.sample)
}
