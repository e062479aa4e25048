// Package dispatcher is the role that places attempts on engines. Gateways reach it over links. One
// goroutine owns the scheduler; links, engine sessions, report readers and unary engine calls have
// goroutines of their own and feed it through bounded rings.
package dispatcher

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/rosemaryhill/rosemaryhill/core/backendapi"
	"github.com/rosemaryhill/rosemaryhill/core/drain"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/core/platformapi"
	"github.com/rosemaryhill/rosemaryhill/core/sched"
	"github.com/rosemaryhill/rosemaryhill/node/obs"
	"github.com/rosemaryhill/rosemaryhill/node/settings"
	"github.com/rosemaryhill/rosemaryhill/node/view"
	"github.com/rosemaryhill/rosemaryhill/transport/link"
	"github.com/rosemaryhill/rosemaryhill/transport/ring"
)

// Error is the class of all errors of this package.
var Error = errs.Class("dispatcher")

type fields = logrus.Fields

const (
	leavingState = platformapi.Leaving
	// leavingSpread is how long a stopping dispatcher takes new attempts: the time in which every
	// gateway learns that it is leaving.
	leavingSpread = 3 * time.Second
	// resultRing bounds the results of engines that wait for the loop. Their producers wait for room,
	// so a result is never lost.
	resultRing = 16_384
	// putRetry is the pause of a producer that found the result ring full.
	putRetry = time.Millisecond
)

// Config holds what a dispatcher needs.
type Config struct {
	Settings settings.Settings
	View     *view.View
	Obs      *obs.Obs
}

// Dispatcher is a running dispatcher.
type Dispatcher struct {
	cfg    Config
	log    *logrus.Entry
	obs    *obs.Obs
	view   *view.View
	server *link.Server
	intake *intake

	requests *ring.Ring[*attempt]
	results  *ring.Ring[result]
	status   atomic.Pointer[sched.Status]
	owned    atomic.Pointer[[]string]
	reports  *reportBook
	orders   *orderDuty

	mu       sync.Mutex
	shutdown *drain.Shutdown

	ctx      context.Context // of sessions; ends when the loop stops
	callCtx  context.Context // of unary engine calls; outlives the loop so that cancels get out
	stop     chan struct{}
	stopOnce sync.Once
	loopDone chan struct{}
	cancel   context.CancelFunc
	endCalls context.CancelFunc
	killed   atomic.Bool
	sessions sync.WaitGroup
	calls    sync.WaitGroup

	ended   obs.Counter
	refused obs.Counter
}

// Start opens the link server and starts the scheduler.
func Start(cfg Config) (*Dispatcher, error) {
	d := &Dispatcher{
		cfg:      cfg,
		log:      cfg.Obs.Log,
		obs:      cfg.Obs,
		view:     cfg.View,
		requests: ring.New[*attempt](cfg.Settings.Dispatcher.EventRing),
		results:  ring.New[result](resultRing),
		reports:  newReportBook(),
		shutdown: drain.NewShutdown(leavingSpread),
		stop:     make(chan struct{}),
		loopDone: make(chan struct{}),
		ended:    cfg.Obs.Counter("dispatcher_attempts_ended", "outcome", "Attempts ended, by outcome."),
		refused:  cfg.Obs.Counter("dispatcher_attempts_refused", "reason", "Attempts refused before scheduling."),
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.callCtx, d.endCalls = context.WithCancel(context.Background())
	d.intake = &intake{d: d, links: map[*link.Peer]*partials{}}
	d.orders = newOrderDuty(d)
	d.calls.Go(func() { d.orders.run(d.ctx) })
	go func() {
		defer close(d.loopDone)
		newLoop(d).run()
	}()
	server, err := link.Listen(link.Config{
		Host:          d.host(),
		Role:          link.RoleDispatcher,
		Incarnation:   d.view.Incarnation(),
		ConfigVersion: d.version,
		OnError:       func(err error) { d.log.WithField("error", err.Error()).Warn("link refused") },
	}, cfg.Settings.Dispatcher.LinkAddress, d.intake)
	if err != nil {
		d.halt()
		return nil, Error.New("link server on %s: %w", cfg.Settings.Dispatcher.LinkAddress, err)
	}
	d.server = server
	d.gauges()
	return d, nil
}

func (d *Dispatcher) gauges() {
	d.obs.Gauge("dispatcher_prompt_bytes_held", "Prompt bytes of attempts that have not ended.",
		func() float64 { return float64(d.intake.held.Load()) })
	d.obs.Gauge("dispatcher_results_waiting", "Engine results that wait for the scheduler.",
		func() float64 { return float64(d.results.Len()) })
	d.obs.Gauge("dispatcher_requests_refused_ring", "Attempts refused because the request ring was full.",
		func() float64 { return float64(d.requests.Refused()) })
	d.obs.Gauge("dispatcher_attempts_running", "Attempts with an engine session.", func() float64 {
		if st := d.status.Load(); st != nil {
			return float64(st.Running)
		}
		return 0
	})
}

func (d *Dispatcher) host() ident.HostID { return d.view.Host() }

func (d *Dispatcher) version() ident.Version {
	if s := d.view.Config(); s != nil {
		return s.Version
	}
	return 0
}

// LinkAddr returns the address of the link server.
func (d *Dispatcher) LinkAddr() string { return d.server.Addr() }

// Status returns the scheduler's latest snapshot; nil until the first one.
func (d *Dispatcher) Status() *sched.Status { return d.status.Load() }

// OwnedGroups returns the engine groups that this dispatcher owns.
func (d *Dispatcher) OwnedGroups() []string {
	if p := d.owned.Load(); p != nil {
		return *p
	}
	return nil
}

// Reports returns the latest report of each engine that was read.
func (d *Dispatcher) Reports() map[ident.BackendID]backendapi.Report { return d.reports.all() }

// put hands a result to the loop and waits for room, unless the loop has stopped.
func (d *Dispatcher) put(r result) {
	for !d.results.Push(r) {
		select {
		case <-d.loopDone:
			return
		case <-time.After(putRetry):
		}
	}
}

// admit counts an attempt as running, or refuses it while the process drains or is not ready.
func (d *Dispatcher) admit() *outcome.Error {
	if ok, why := d.view.Ready(); !ok {
		e := outcome.Refuse("dispatcher_admit", outcome.NotReady, why)
		e.RetryAfter = refusalRetry
		return e
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shutdown.Admit()
}

func (d *Dispatcher) done() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shutdown.Done()
}

// Shutdown stops the dispatcher without cutting off attempts: it marks itself as leaving, takes new
// attempts until all gateways know, finishes what runs and closes. When the context ends earlier, what
// still runs is cancelled and its gateways resume it elsewhere.
func (d *Dispatcher) Shutdown(ctx context.Context) error {
	d.view.SetLeaving()
	d.tickShutdown(func(s *drain.Shutdown) []drain.Action { return s.Begin(d.view.Now()) })
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	stopped := false
	for !stopped && ctx.Err() == nil {
		for _, a := range d.tickShutdown(func(s *drain.Shutdown) []drain.Action { return s.Tick(d.view.Now()) }) {
			stopped = stopped || a == drain.Exit
		}
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
	if !stopped {
		d.log.Warn("shutdown time is over, running attempts are cancelled")
	}
	return d.Close()
}

func (d *Dispatcher) tickShutdown(f func(*drain.Shutdown) []drain.Action) []drain.Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	return f(d.shutdown)
}

// closeTimeout bounds the flush of links and the last cancels at a close.
const closeTimeout = 3 * time.Second

// Close stops at once. Running sessions are cancelled at their engines.
func (d *Dispatcher) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := d.server.Close(ctx)
	d.halt()
	return err
}

// Kill breaks all links off without cancelling sessions, as the loss of the process would. Close must
// follow.
func (d *Dispatcher) Kill() {
	d.killed.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	d.endCalls()
	_ = d.server.Close(ctx)
}

// halt stops the loop, then the sessions, and gives running cancels a moment to get out.
func (d *Dispatcher) halt() {
	d.stopOnce.Do(func() {
		close(d.stop)
		<-d.loopDone
		d.cancel()
		d.sessions.Wait()
		timer := time.AfterFunc(closeTimeout, d.endCalls)
		d.calls.Wait()
		timer.Stop()
		d.endCalls()
	})
}

// reportBook keeps the latest report of each engine for orders and the administration API.
type reportBook struct {
	mu sync.Mutex
	m  map[ident.BackendID]backendapi.Report
}

func newReportBook() *reportBook { return &reportBook{m: map[ident.BackendID]backendapi.Report{}} }

func (b *reportBook) put(id ident.BackendID, r backendapi.Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.m[id] = r
}

func (b *reportBook) all() map[ident.BackendID]backendapi.Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[ident.BackendID]backendapi.Report, len(b.m))
	for id, r := range b.m {
		out[id] = r
	}
	return out
}
