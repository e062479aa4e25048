package limitshare

import (
	"fmt"
	"io"
	"iter"
	"math/rand"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/coldstart"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/member"
	"github.com/rosemaryhill/rosemaryhill/core/peers"
	"github.com/rosemaryhill/rosemaryhill/core/serverlimit"
	"github.com/rosemaryhill/rosemaryhill/lab/internal/parallel"
	"github.com/rosemaryhill/rosemaryhill/lab/internal/virtual"
)

// ColdDesign is a way to hold the hosts together to the limit of a cold server.
type ColdDesign string

// The designs for cold servers.
const (
	ColdAlone  ColdDesign = "each host alone"        // each host has a bucket of the whole limit
	ColdShares ColdDesign = "equal shares"           // each host has a bucket of its share
	ColdNamed  ColdDesign = "bucket of named limits" // counts are told, with the burst and the turns of named limits
	ColdBucket ColdDesign = "shared bucket"          // core/serverlimit with a published limit
)

// ColdSituation is what happens while servers are cold.
type ColdSituation string

// The situations. Except in the last three, one server is cold and the others take what it may not.
const (
	ColdCalm      ColdSituation = "starts"
	ColdLate      ColdSituation = "starts, third late"      // a third of the hosts learn 2 s late from the store
	ColdUnderLoad ColdSituation = "under load"              // the server has had 60 requests/s until then
	ColdLoadLate  ColdSituation = "under load, third late"  // both
	ColdRestarts  ColdSituation = "hosts start"             // a host every 0.2 s
	ColdFreezes   ColdSituation = "hosts freeze"            // a host every 0.5 s, for 1.5 s
	ColdCut       ColdSituation = "cut"                     // a third of the hosts from the others, 1 s later, for 3 s
	ColdCutBefore ColdSituation = "cut before"              // the same 2 s before
	ColdLoss      ColdSituation = "30 % lost"               // of the datagrams
	ColdAll       ColdSituation = "45 at once"              // requests wait, there is no warm server
	ColdAllStart  ColdSituation = "45 at once, hosts start" // all hosts start at that time
	ColdAllBelow  ColdSituation = "45 at once, 0.7 of it"   // with 0.7 of the requests that the servers take
)

// ColdSituations returns all situations.
func ColdSituations() []ColdSituation {
	return []ColdSituation{ColdCalm, ColdLate, ColdUnderLoad, ColdLoadLate, ColdRestarts, ColdFreezes, ColdCut, ColdCutBefore, ColdLoss, ColdAll, ColdAllStart, ColdAllBelow}
}

// ColdDesigns returns all designs.
func ColdDesigns() []ColdDesign { return []ColdDesign{ColdAlone, ColdShares, ColdNamed, ColdBucket} }

const (
	coldPerSecond = 26.0
	coldWindow    = time.Second
	coldAllowed   = 44 // requests in a window: 1.5 times the limit and 5
	coldFrom      = 4 * time.Second
	coldTime      = 6 * time.Second // longer than servers are cold, so that more windows are seen
	coldEnd       = coldFrom + coldTime
	coldDemand    = 10 * coldPerSecond // requests a second for one cold server
	coldBelow     = 0.7
	coldAllDemand = 1.5  // requests for all cold servers, as a part of what they take
	coldLoad      = 60.0 // requests a second before
	coldPatience  = time.Second
	coldMeet      = 500 * time.Millisecond // see meetTime in node/entry
	coldRefresh   = 50 * time.Millisecond
	freshTime     = 385 * time.Millisecond // see peers.Table.Fresh
	learnSpread   = 100 * time.Millisecond // from the store to the hosts
	lateTime      = 2 * time.Second
	allCold       = 45
)

// ColdPlay is a run with cold servers.
type ColdPlay struct {
	Design    ColdDesign
	Situation ColdSituation
	Hosts     int
	Seed      int64
}

// ColdResult is what a run has shown.
type ColdResult struct {
	ColdPlay
	Most            int     // requests to a cold server in a window
	Use             float64 // of the limits while the servers were cold
	Requests        int
	Refused         int // requests that no server took in time
	RefusedWithRoom int // the same, while one more would have been within the limit of a server
	Datagrams       float64
}

type coldHost struct {
	index      int
	addr       member.Addr
	table      *serverlimit.Table
	cold       *coldstart.Table
	process    ident.Incarnation
	up, frozen bool
	cut        bool
	changed    time.Duration
	arrivals   float64
	listed     bool // it has read the servers, and may send to them
	knows      bool // from the store
	report     bool
	counted    time.Duration
	level      []float64 // of the buckets of the designs without counts
	filled     []time.Duration
	knownCold  []time.Duration // until when
	waiting    []time.Duration
	wake       int
	inbox      []func()
	phase      time.Duration // of its reports
	datagrams  int
}

type coldWorld struct {
	virtual.Clock
	ColdPlay
	rng     *rand.Rand
	ids     []ident.BackendID
	hosts   []*coldHost
	sent    [][]time.Duration // arrivals, by server
	ideal   []float64
	idealAt []time.Duration
	result  ColdResult
}

// TakenBack implements coldstart.Zones.
func (w *coldWorld) TakenBack(string) (time.Duration, bool) { return 0, false }

func runCold(p ColdPlay) ColdResult {
	w := &coldWorld{ColdPlay: p, rng: rand.New(rand.NewSource(p.Seed))}
	n := 1
	if w.all() {
		n = allCold
	}
	for i := range n {
		w.ids = append(w.ids, ident.BackendID(fmt.Sprintf("models-7/engine-%04d", i)))
	}
	w.sent, w.ideal, w.idealAt = make([][]time.Duration, n), make([]float64, n), make([]time.Duration, n)
	sum := 0.0
	for i := range p.Hosts {
		sum += 1 / float64(i+1)
	}
	total := coldDemand
	if w.all() {
		total = coldAllDemand * coldPerSecond * allCold
		if w.Situation == ColdAllBelow {
			total = coldBelow * coldPerSecond * allCold
		}
	}
	for i := range p.Hosts {
		h := &coldHost{index: i, addr: member.Addr(fmt.Sprint("host-", i)), arrivals: total / float64(i+1) / sum}
		if w.all() {
			h.arrivals = total / float64(p.Hosts)
		}
		w.hosts = append(w.hosts, h)
	}
	begin := time.Duration(0)
	if p.Situation == ColdAllStart {
		begin = coldFrom
	}
	w.At(begin, func() {
		for _, h := range w.hosts {
			w.start(h)
			w.nextRequest(h)
			h.phase = time.Duration(w.rng.Int63n(int64(peers.ReportInterval)))
			w.After(h.phase, func() { w.interval(h) })
		}
	})
	w.schedule()
	w.Run(coldEnd)
	w.measure()
	return w.result
}

func (w *coldWorld) all() bool {
	return w.Situation == ColdAll || w.Situation == ColdAllStart || w.Situation == ColdAllBelow
}

func (w *coldWorld) start(h *coldHost) {
	now := w.Now()
	h.table = serverlimit.NewTable(serverlimit.Config{Seed: w.rng.Uint64(), PublishedFrom: now + coldMeet})
	h.cold = coldstart.NewTable(now)
	h.process = ident.Incarnation(w.rng.Uint64() | 1)
	h.up, h.changed, h.listed, h.knows, h.waiting, h.inbox = true, now, false, false, nil, nil
	n := len(w.ids)
	h.level, h.filled, h.knownCold = make([]float64, n), make([]time.Duration, n), make([]time.Duration, n)
	if now == 0 {
		h.changed = -time.Hour
	}
	w.countHosts(h)
	if now < coldFrom {
		w.sync(h)
	}
	introducers := 0
	for _, o := range w.hosts {
		if o == h || now == 0 || !w.reachable(h, o) || w.Situation == ColdAllStart && now == coldFrom {
			continue
		}
		o.table.RemoveHost(h.addr)
		if introducers++; introducers <= 3 {
			w.send(o, []*coldHost{h}, o.table.Whole(now))
		}
	}
	process := h.process
	learn := max(coldFrom, now) + time.Duration(w.rng.Int63n(int64(learnSpread)))
	if w.late(h) {
		learn += lateTime
	}
	w.At(learn, func() {
		if h.process == process {
			h.knows = true
			w.deliver(h, process, func() { w.sync(h) })
		}
	})
}

func (w *coldWorld) late(h *coldHost) bool {
	return (w.Situation == ColdLate || w.Situation == ColdLoadLate) && h.index%3 == 0
}

// sync gives a host what it has read from the store.
func (w *coldWorld) sync(h *coldHost) {
	svc := &catalog.Service{Name: "s", Cold: catalog.Cold{Time: 3 * time.Second, PerSecond: coldPerSecond}}
	revision := ident.Revision(1)
	var coldFor time.Duration
	if h.knows {
		revision, coldFor = 2, coldTime
	}
	h.listed = true
	var servers iter.Seq[coldstart.Server] = func(yield func(coldstart.Server) bool) {
		for _, id := range w.ids {
			if !yield(coldstart.Server{Server: catalog.Server{ID: id, Started: 1, Revision: revision, ColdFor: coldFor}}) {
				return
			}
		}
	}
	h.cold.Sync(w.Now(), revision, w, []coldstart.Listed{{Service: svc, Servers: servers}})
	w.publish(h)
	w.serveWaiting(h)
}

// publish makes the limits hold that a host knows of.
func (w *coldWorld) publish(h *coldHost) {
	for _, x := range h.cold.TakeChanges() {
		i := slices.Index(w.ids, x.Server)
		switch {
		case w.Design == ColdBucket:
			h.table.Publish(w.Now(), x.Server, serverlimit.Published{
				PerSecond: x.PerSecond, Until: x.Until, FirstHand: x.FirstHand, Started: x.Started, AsOf: x.AsOf,
			})
		case w.Design == ColdNamed && x.Cold:
			h.table.Hear(w.Now(), x.Server, 1, serverlimit.Statement{Limited: true, PerSecond: coldPerSecond})
		case x.Cold && h.knownCold[i] == 0:
			h.level[i], h.filled[i] = w.firstLevel(), w.Now()
		}
		h.knownCold[i] = x.Until
	}
	w.reportNews(h)
}

// firstLevel differs between hosts with shares, which would all send at the same time otherwise.
func (w *coldWorld) firstLevel() float64 {
	if w.Design == ColdShares {
		return w.rng.Float64()
	}
	return 0
}

// fill returns the rate of a host's own bucket.
func (w *coldWorld) fill(h *coldHost, i int) (rate float64) {
	rate = coldPerSecond
	if w.Design == ColdShares {
		rate /= float64(1 + w.heard(h, peers.NearValidity))
	}
	h.level[i] = min(1+0.1*rate, h.level[i]+rate*(w.Now()-h.filled[i]).Seconds())
	h.filled[i] = w.Now()
	return rate
}

func (w *coldWorld) allows(h *coldHost, i int) bool {
	if w.Design == ColdBucket || w.Design == ColdNamed {
		if w.Now()-h.counted >= coldRefresh {
			w.countHosts(h)
		}
		return h.table.Allows(w.Now(), w.ids[i])
	}
	if w.Now() >= h.knownCold[i] {
		return true
	}
	w.fill(h, i)
	return h.level[i] >= 1
}

func (w *coldWorld) freeAt(h *coldHost, i int) time.Duration {
	if w.Design == ColdBucket || w.Design == ColdNamed {
		return h.table.FreeAt(w.Now(), w.ids[i])
	}
	rate := w.fill(h, i)
	return w.Now() + time.Duration(max(0, 1-h.level[i])/rate*float64(time.Second)) + time.Microsecond
}

func (w *coldWorld) schedule() {
	every := func(d time.Duration, do func(*coldHost)) {
		for at := coldFrom; at < coldEnd; at += d {
			w.At(at, func() { do(w.hosts[w.rng.Intn(len(w.hosts))]) })
		}
	}
	cut := func(on bool) {
		for i, h := range w.hosts {
			if i%3 == 0 {
				h.cut, h.changed = on, w.Now()
			}
		}
	}
	switch w.Situation {
	case ColdRestarts:
		every(200*time.Millisecond, func(h *coldHost) {
			if h.up {
				h.up, h.changed = false, w.Now()
				w.After(300*time.Millisecond, func() { w.start(h) })
			}
		})
	case ColdFreezes:
		every(500*time.Millisecond, w.freeze)
	case ColdCut:
		w.At(coldFrom+time.Second, func() { cut(true) })
		w.At(coldFrom+4*time.Second, func() { cut(false) })
	case ColdCutBefore:
		w.At(coldFrom-2*time.Second, func() { cut(true) })
		w.At(coldFrom+3*time.Second, func() { cut(false) })
	}
}

func (w *coldWorld) freeze(h *coldHost) {
	if h.frozen {
		return
	}
	h.frozen = true
	w.After(1500*time.Millisecond, func() {
		h.frozen = false
		inbox := h.inbox
		h.inbox = nil
		// The host sends before it notices the pause and reads what others have told.
		w.serveWaiting(h)
		w.request(h)
		h.table.AfterPause(w.Now())
		for _, run := range inbox {
			run()
		}
	})
}

func (w *coldWorld) reachable(a, b *coldHost) bool { return a.up && b.up && a.cut == b.cut }

// heard counts the hosts whose reports a host has heard within a time.
func (w *coldWorld) heard(h *coldHost, within time.Duration) (n int) {
	for _, o := range w.hosts {
		if o == h || !o.up && w.Now()-o.changed >= within {
			continue
		}
		silent := o.frozen || !w.reachable(h, o)
		if !silent || w.Now()-o.lastReport(max(h.changed, o.changed)) < within {
			n++
		}
	}
	return n
}

// lastReport returns when a host sent its last report before a time.
func (h *coldHost) lastReport(before time.Duration) time.Duration {
	since := (before - h.phase) % peers.ReportInterval
	if since < 0 {
		since += peers.ReportInterval
	}
	return before - since
}

func (w *coldWorld) countHosts(h *coldHost) {
	h.counted = w.Now()
	h.table.SetFreshHosts(w.Now(), w.heard(h, freshTime), w.heard(h, peers.NearValidity), len(w.hosts)-1)
}

func (w *coldWorld) nextRequest(h *coldHost) {
	w.After(time.Duration(w.rng.ExpFloat64()/h.arrivals*float64(time.Second)), func() {
		if h.up && !h.frozen {
			w.request(h)
		}
		w.nextRequest(h)
	})
}

func (w *coldWorld) request(h *coldHost) {
	now := w.Now()
	if !h.listed {
		return
	}
	if now < coldFrom {
		underLoad := w.Situation == ColdUnderLoad || w.Situation == ColdLoadLate
		if underLoad && w.rng.Float64() < coldLoad/coldDemand {
			w.forward(h, 0)
		}
		return
	}
	w.result.Requests++
	if !w.all() {
		if w.allows(h, 0) {
			w.forward(h, 0)
		}
		return // else to a warm server
	}
	h.waiting = append(h.waiting, now+coldPatience)
	w.serveWaiting(h)
}

// serveWaiting forwards requests that wait as far as a server takes them now, and schedules the next attempt.
func (w *coldWorld) serveWaiting(h *coldHost) {
	now := w.Now()
	for len(h.waiting) > 0 && h.waiting[0] < now {
		h.waiting = h.waiting[1:]
		w.result.Refused++
		if w.room() {
			w.result.RefusedWithRoom++
		}
	}
	if len(h.waiting) == 0 {
		return
	}
	next := h.waiting[0] + 1
	for _, i := range w.rng.Perm(len(w.ids)) {
		for len(h.waiting) > 0 && w.allows(h, i) {
			h.waiting = h.waiting[1:]
			w.forward(h, i)
		}
		next = min(next, w.freeAt(h, i))
	}
	if len(h.waiting) == 0 {
		return
	}
	h.wake++
	wake := h.wake
	w.At(max(next, now+time.Microsecond), func() {
		if h.wake == wake && h.up && !h.frozen {
			w.serveWaiting(h)
		}
	})
}

// room reports whether a server has room by a bucket that knows all requests at once.
func (w *coldWorld) room() bool {
	for i := range w.ids {
		w.advanceIdeal(i)
		if w.ideal[i] >= 1 {
			return true
		}
	}
	return false
}

func (w *coldWorld) advanceIdeal(i int) {
	w.ideal[i] = min(1+0.1*coldPerSecond, w.ideal[i]+coldPerSecond*(w.Now()-w.idealAt[i]).Seconds())
	w.idealAt[i] = w.Now()
}

func (w *coldWorld) network() time.Duration {
	return networkMin + time.Duration(w.rng.Int63n(int64(networkSpread)))
}

func (w *coldWorld) forward(h *coldHost, i int) {
	h.table.Take(w.Now(), w.ids[i])
	h.level[i]--
	w.advanceIdeal(i)
	w.ideal[i]--
	w.reportNews(h)
	w.After(w.network(), func() { w.sent[i] = append(w.sent[i], w.Now()) })
}

func (w *coldWorld) deliver(h *coldHost, process ident.Incarnation, run func()) {
	switch {
	case !h.up || h.process != process:
	case h.frozen:
		h.inbox = append(h.inbox, run)
	default:
		run()
	}
}

func (w *coldWorld) counts() bool { return w.Design == ColdBucket || w.Design == ColdNamed }

func (w *coldWorld) reportNews(h *coldHost) {
	at, due := h.table.NextUpdate()
	if !due || h.report || !w.counts() {
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

func (w *coldWorld) interval(h *coldHost) {
	if h.up && !h.frozen {
		h.cold.Tick(w.Now())
		w.publish(h)
		if w.counts() {
			w.countHosts(h)
			w.send(h, w.hosts, h.table.TakeUpdate(w.Now(), true))
		}
	}
	w.After(peers.ReportInterval, func() { w.interval(h) })
}

func (w *coldWorld) send(h *coldHost, to []*coldHost, u serverlimit.Update) {
	if u.Empty() {
		return
	}
	from, process := h.addr, h.process
	var receivers []*coldHost
	for _, o := range to {
		if o == h {
			continue
		}
		h.datagrams++
		if w.reachable(h, o) && !(w.Situation == ColdLoss && w.rng.Float64() < 0.3) {
			receivers = append(receivers, o)
		}
	}
	w.After(w.network(), func() {
		for _, o := range receivers {
			w.deliver(o, o.process, func() { w.receive(o, from, process, u) })
		}
	})
}

func (w *coldWorld) receive(h *coldHost, from member.Addr, process ident.Incarnation, u serverlimit.Update) {
	for _, x := range u.Published {
		h.cold.Hear(w.Now(), x.Server, x.Started, x.Left, x.AsOf)
	}
	w.publish(h)
	h.table.Apply(w.Now(), from, process, u)
	w.reportNews(h)
}

func (w *coldWorld) measure() {
	r := &w.result
	r.ColdPlay = w.ColdPlay
	used := 0
	for i := range w.ids {
		in := between(w.sent[i], coldFrom, coldEnd)
		used += len(in)
		first := 0
		for j, at := range in {
			for in[first] <= at-coldWindow {
				first++
			}
			r.Most = max(r.Most, j-first+1)
		}
	}
	r.Use = float64(used) / (coldPerSecond * coldTime.Seconds() * float64(len(w.ids)))
	for _, h := range w.hosts {
		r.Datagrams += float64(h.datagrams) / float64(w.Hosts) / coldTime.Seconds()
	}
}

// CompareCold plays all designs in all situations with cold servers, at most n plays at a time.
func CompareCold(hosts []int, seed int64, n int) []ColdResult {
	var plays []ColdPlay
	for _, count := range hosts {
		for _, s := range ColdSituations() {
			for _, d := range ColdDesigns() {
				plays = append(plays, ColdPlay{d, s, count, seed})
			}
		}
	}
	results := make([]ColdResult, len(plays))
	jobs := make([]func(), len(plays))
	for i, p := range plays {
		jobs[i] = func() { results[i] = runCold(p) }
	}
	parallel.Run(jobs, n)
	return results
}

// WriteColdText writes results as a table.
func WriteColdText(out io.Writer, results []ColdResult) error {
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "hosts\tcold servers\tdesign\tmost in 1 s (%d allowed)\tuse\trequests\trefused\trefused in vain\tdatagrams/s\n", coldAllowed)
	for _, r := range results {
		fmt.Fprintf(tw, "%d\t%s\t%s\t%d\t%.2f\t%d\t%d\t%d\t%.0f\n", r.Hosts, r.Situation, r.Design, r.Most, r.Use, r.Requests, r.Refused,
			r.RefusedWithRoom, r.Datagrams)
	}
	return tw.Flush()
}
