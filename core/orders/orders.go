package orders

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rosemaryhill/rosemaryhill/core/backendapi"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/pause"
)

// Defaults of Config.
const (
	MaxViewAge            = 5 * time.Second
	SendLimit             = pause.Gap
	RetryInterval         = 10 * time.Second
	Timeout               = 60 * time.Second
	AdapterReloadInterval = 5 * time.Minute
)

// ownerBits is the number of low bits of a term that identify the owner. Two owners that read the same
// report must not choose the same term, because an engine would accept orders of both. The other bits
// leave 2^33 terms before a JSON number loses digits.
const ownerBits = 20

// Config sets up a Controller. Zero fields take the package's defaults.
type Config struct {
	Host        ident.HostID
	Incarnation ident.Incarnation
	// MaxViewAge is the time since the last message from a peer or the platform up to which orders may go
	// to engines that ignore fencing. A longer time lets a partitioned owner send them orders for longer.
	MaxViewAge time.Duration
	// PauseCooldown is the time after a pause in which engines that ignore fencing get no orders.
	PauseCooldown time.Duration
	// SendLimit is the longest time from the decision to the first byte of an order. A process drops
	// orders that it decided on before a longer pause.
	SendLimit time.Duration
	// RetryInterval is the time from the end of an order to the next order to the same engine. Engines
	// report with a lag, so a shorter time repeats orders that are already being carried out.
	RetryInterval time.Duration
	// Timeout is the time after which an order without a result counts as failed.
	Timeout time.Duration
	// AdapterReloadInterval is the time after which adapters are loaded again. Reports don't name
	// adapters, so the loss of one goes unnoticed if another owner sends an order to an engine that
	// ignores fencing, or reloads the model right after the engine restarts. A longer interval leaves
	// the engine without the adapter for longer.
	AdapterReloadInterval time.Duration
}

// Controller gives orders to the engines that this process owns. It isn't safe for concurrent use.
type Controller struct {
	cfg         Config
	version     ident.Version
	engines     map[ident.BackendID]*engine
	sortedIDs   []ident.BackendID // keys of engines
	lastMessage time.Duration
	anyMessage  bool
	pausedUntil time.Duration
	nextID      uint64
	owner       uint64 // low bits of every term that this controller chooses
}

// engine is what the controller knows about one engine.
type engine struct {
	desired        *Desired // nil if the configuration doesn't name the engine
	owned          bool
	reported       bool // a report arrived since the engine became owned or its last order failed
	report         backendapi.Report
	fence          backendapi.Fence // highest known fencing number of the engine
	term           uint64           // term of this controller's orders; zero if none is chosen
	lastOwnFence   backendapi.Fence // of the newest order of this controller
	adapters       []string         // loaded by this controller since the model was loaded
	firstAdapterAt time.Duration    // when the first of adapters was loaded
	outstanding    *outstandingOrder
	reportTakenAt  time.Duration // of the newest report
	settledAt      time.Duration // reports taken earlier don't show the last order
	notBefore      time.Duration // earliest time of the next order
}

// outstandingOrder is an order without a result.
type outstandingOrder struct {
	id        uint64
	order     backendapi.Order
	decidedAt time.Duration
	confirmed bool
}

// New returns a controller without configuration, engines or reports.
func New(cfg Config) *Controller {
	setDefault(&cfg.MaxViewAge, MaxViewAge)
	setDefault(&cfg.PauseCooldown, pause.Recent)
	setDefault(&cfg.SendLimit, SendLimit)
	setDefault(&cfg.RetryInterval, RetryInterval)
	setDefault(&cfg.Timeout, Timeout)
	setDefault(&cfg.AdapterReloadInterval, AdapterReloadInterval)
	return &Controller{
		cfg:     cfg,
		engines: make(map[ident.BackendID]*engine),
		owner:   xxhash.Sum64String(string(cfg.Host)+"/"+cfg.Incarnation.String()) & (1<<ownerBits - 1),
	}
}

func setDefault(v *time.Duration, d time.Duration) {
	if *v == 0 {
		*v = d
	}
}

// Step processes an event and returns the orders to send, sorted by engine.
func (c *Controller) Step(now time.Duration, ev Event) []Send {
	switch ev := ev.(type) {
	case ConfigAccepted:
		c.setConfig(ev)
	case Owned:
		c.setOwned(ev.Engines)
	case Reported:
		c.getOrCreate(ev.Engine).recordReport(ev)
	case MessageReceived:
		c.lastMessage = now
		c.anyMessage = true
	case Paused:
		c.pausedUntil = now + c.cfg.PauseCooldown
	case Ended:
		c.endOrder(now, ev)
	case Tick:
	}
	return c.reconcile(now)
}

func (c *Controller) getOrCreate(id ident.BackendID) *engine {
	e := c.engines[id]
	if e == nil {
		e = &engine{}
		c.engines[id] = e
		i, _ := slices.BinarySearch(c.sortedIDs, id)
		c.sortedIDs = slices.Insert(c.sortedIDs, i, id)
	}
	return e
}

func (c *Controller) setConfig(ev ConfigAccepted) {
	if ev.Version <= c.version {
		return
	}
	c.version = ev.Version
	for _, e := range c.engines {
		e.desired = nil
	}
	for _, d := range ev.Desired {
		c.getOrCreate(d.Engine).desired = &d
	}
	c.removeUnused()
}

// setOwned replaces the set of owned engines. A new owner waits for a report before it chooses a term.
func (c *Controller) setOwned(engines []ident.BackendID) {
	owned := make(map[ident.BackendID]bool, len(engines))
	for _, id := range engines {
		owned[id] = true
		c.getOrCreate(id)
	}
	for id, e := range c.engines {
		if owned[id] && !e.owned {
			e.reported = false
			e.term = 0
			e.adapters = nil
		}
		e.owned = owned[id]
	}
	c.removeUnused()
}

// removeUnused removes engines that are neither configured nor owned and have no outstanding order.
func (c *Controller) removeUnused() {
	c.sortedIDs = slices.DeleteFunc(c.sortedIDs, func(id ident.BackendID) bool {
		e := c.engines[id]
		gone := e.desired == nil && !e.owned && e.outstanding == nil
		if gone {
			delete(c.engines, id)
		}
		return gone
	})
}

// recordReport records a report. Reports don't list adapters: they count as loaded only as long as no
// report shows that the engine was restarted, has another model or took an order of another process.
func (e *engine) recordReport(ev Reported) {
	if ev.Taken < max(e.settledAt, e.reportTakenAt) {
		return
	}
	e.reportTakenAt = ev.Taken
	r := ev.Report
	restarted := e.reported && (r.Report < e.report.Report || r.Fence.Less(e.restartFence()))
	foreign := e.lastOwnFence.Less(r.Fence)
	if restarted || foreign || !e.hasDesiredModel(r) {
		e.adapters = nil
	}
	e.report = r
	e.fence = r.Fence
	e.reported = true
}

// restartFence returns the fencing number below which an engine's report shows a restart. An engine that
// ignores fencing may not report the fencing numbers of the orders that it took.
func (e *engine) restartFence() backendapi.Fence {
	if e.desired != nil && e.desired.HonoursFence {
		return e.fence
	}
	return e.report.Fence
}

// hasDesiredModel reports whether an engine's report shows the desired model and version.
func (e *engine) hasDesiredModel(r backendapi.Report) bool {
	return e.desired != nil && r.Model == string(e.desired.Model) && r.Version == e.desired.Version
}

func (c *Controller) endOrder(now time.Duration, ev Ended) {
	e := c.engines[ev.Engine]
	if e == nil || e.outstanding == nil || e.outstanding.id != ev.ID {
		return
	}
	s := e.outstanding
	e.outstanding = nil
	e.settledAt = now
	e.notBefore = now + c.cfg.RetryInterval
	switch ev.Result {
	case Done:
		e.recordDone(now, s.order)
	case Refused:
		if e.fence.Less(ev.Highest) {
			e.fence = ev.Highest
		}
		if s.order.Fence.Less(ev.Highest) {
			e.notBefore = now // the next order carries a higher term
			e.adapters = nil  // another owner gave an order
		}
	case Failed:
		e.reported = false // it may have arrived: wait for a report that would show it
		e.term = 0         // it may also arrive late: the next order needs a higher term
		e.adapters = nil
	}
}

// recordDone records an order that the engine took. An adapter doesn't count as loaded if an order with
// a higher fencing number is known.
func (e *engine) recordDone(now time.Duration, o backendapi.Order) {
	outranked := o.Fence.Less(e.fence)
	if !outranked {
		e.fence = o.Fence
	}
	if o.Adapter == "" || outranked {
		return
	}
	if len(e.adapters) == 0 {
		e.firstAdapterAt = now
	}
	e.adapters = append(e.adapters, o.Adapter)
	e.notBefore = now // the next adapter needn't wait
}
