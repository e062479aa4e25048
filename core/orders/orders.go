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

// ownerBits are the low bits of a term, which differ between owners: two owners that read the same
// report must not take the same term, since an engine takes both. The other bits leave 2^33 terms
// before a JSON number loses digits.
const ownerBits = 20

// Config sets up a Controller. Zero fields take the package's defaults.
type Config struct {
	Host        ident.HostID
	Incarnation ident.Incarnation
	// MaxViewAge is the age of the last word from a peer or the platform up to which the view counts as
	// fresh. Longer lets a cut off owner give orders to engines that ignore fencing for longer.
	MaxViewAge time.Duration
	// PauseCooldown is the time after a pause without orders to engines that ignore fencing.
	PauseCooldown time.Duration
	// SendLimit is the time from the decision to the first byte of an order. A paused process drops
	// the orders that it decided on before.
	SendLimit time.Duration
	// RetryInterval is the time after an order before the same is given again. Engines report with a lag, so
	// a shorter time repeats orders that are being carried out.
	RetryInterval time.Duration
	// Timeout is the time after which an order without an end counts as failed.
	Timeout time.Duration
	// AdapterReloadInterval is the time after which adapters are loaded again. Reports don't name adapters, so a loss
	// stays hidden when another owner orders an engine that ignores fencing, or loads the model again
	// right after a restart of the engine. Longer leaves the engine without the adapter for longer.
	AdapterReloadInterval time.Duration
}

// Controller gives orders to the engines that this process owns. It isn't safe for concurrent use.
type Controller struct {
	cfg         Config
	version     ident.Version
	engines     map[ident.BackendID]*engine
	order       []ident.BackendID // keys of engines, sorted
	heard       time.Duration
	heardAny    bool
	pausedUntil time.Duration
	nextID      uint64
	owner       uint64 // low bits of every own term
}

// engine is the state of one engine.
type engine struct {
	desired   *Desired // nil when the configuration doesn't name the engine
	owned     bool
	reported  bool // a report arrived since the engine is owned
	report    backendapi.Report
	fence     backendapi.Fence // highest known
	term      uint64           // own term; zero when none is taken
	last      backendapi.Fence // of the newest own order
	adapters  []string         // loaded by own orders since the model was loaded
	adapterAt time.Duration    // when the first of them was loaded
	sent      *sent
	taken     time.Duration // of the newest report
	settledAt time.Duration // reports taken before don't show the last order
	notBefore time.Duration
}

// sent is the outstanding order.
type sent struct {
	id        uint64
	order     backendapi.Order
	decided   time.Duration
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

// Step takes an event and returns the orders to send, sorted by engine.
func (c *Controller) Step(now time.Duration, ev Event) []Send {
	switch ev := ev.(type) {
	case ConfigAccepted:
		c.accept(ev)
	case Owned:
		c.own(ev.Engines)
	case Reported:
		c.get(ev.Engine).take(ev)
	case MessageReceived:
		c.heard = now
		c.heardAny = true
	case Paused:
		c.pausedUntil = now + c.cfg.PauseCooldown
	case Ended:
		c.ended(now, ev)
	case Tick:
	}
	return c.reconcile(now)
}

func (c *Controller) get(id ident.BackendID) *engine {
	e := c.engines[id]
	if e == nil {
		e = &engine{}
		c.engines[id] = e
		i, _ := slices.BinarySearch(c.order, id)
		c.order = slices.Insert(c.order, i, id)
	}
	return e
}

func (c *Controller) accept(ev ConfigAccepted) {
	if ev.Version <= c.version {
		return
	}
	c.version = ev.Version
	for _, e := range c.engines {
		e.desired = nil
	}
	for _, d := range ev.Desired {
		c.get(d.Engine).desired = &d
	}
	c.forget()
}

// own takes over the named engines. A new owner waits for a report before it takes a term.
func (c *Controller) own(engines []ident.BackendID) {
	owned := make(map[ident.BackendID]bool, len(engines))
	for _, id := range engines {
		owned[id] = true
		c.get(id)
	}
	for id, e := range c.engines {
		if owned[id] && !e.owned {
			e.reported = false
			e.term = 0
			e.adapters = nil
		}
		e.owned = owned[id]
	}
	c.forget()
}

// forget drops engines that are neither configured nor owned.
func (c *Controller) forget() {
	c.order = slices.DeleteFunc(c.order, func(id ident.BackendID) bool {
		e := c.engines[id]
		gone := e.desired == nil && !e.owned && e.sent == nil
		if gone {
			delete(c.engines, id)
		}
		return gone
	})
}

// take records a report. Adapters aren't reported: they count as loaded only while nothing shows that
// the engine was restarted, given another model or ordered by another process.
func (e *engine) take(ev Reported) {
	if ev.Taken < max(e.settledAt, e.taken) {
		return
	}
	e.taken = ev.Taken
	r := ev.Report
	restarted := e.reported && (r.Report < e.report.Report || r.Fence.Less(e.reportable()))
	foreign := e.last.Less(r.Fence)
	if restarted || foreign || !e.loaded(r) {
		e.adapters = nil
	}
	e.report = r
	e.fence = r.Fence
	e.reported = true
}

// reportable is the fence below which an engine's report shows a restart. An engine that ignores
// fencing may not report the numbers of the orders that it took.
func (e *engine) reportable() backendapi.Fence {
	if e.desired != nil && e.desired.HonoursFence {
		return e.fence
	}
	return e.report.Fence
}

// loaded reports whether an engine's report shows the desired model and version.
func (e *engine) loaded(r backendapi.Report) bool {
	return e.desired != nil && r.Model == string(e.desired.Model) && r.Version == e.desired.Version
}

func (c *Controller) ended(now time.Duration, ev Ended) {
	e := c.engines[ev.Engine]
	if e == nil || e.sent == nil || e.sent.id != ev.ID {
		return
	}
	s := e.sent
	e.sent = nil
	e.settledAt = now
	e.notBefore = now + c.cfg.RetryInterval
	switch ev.Result {
	case Done:
		e.done(now, s.order)
	case Refused:
		if e.fence.Less(ev.Highest) {
			e.fence = ev.Highest
		}
		if s.order.Fence.Less(ev.Highest) {
			e.notBefore = now // the next order carries a higher term
			e.adapters = nil  // another owner ordered
		}
	case Failed:
		e.reported = false // it may have arrived: wait for a report that shows it
		e.term = 0         // and it may arrive later: outrank it
		e.adapters = nil
	}
}

// done records an order that the engine took. An adapter doesn't count if another owner's order came
// after it.
func (e *engine) done(now time.Duration, o backendapi.Order) {
	outranked := o.Fence.Less(e.fence)
	if !outranked {
		e.fence = o.Fence
	}
	if o.Adapter == "" || outranked {
		return
	}
	if len(e.adapters) == 0 {
		e.adapterAt = now
	}
	e.adapters = append(e.adapters, o.Adapter)
	e.notBefore = now // the next adapter doesn't wait
}
