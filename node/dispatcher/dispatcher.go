// Package dispatcher implements the dispatcher role, which schedules attempts on engines. Gateways connect
// to it over links. One goroutine owns the scheduler; links, engine sessions, report readers and unary
// engine calls run in their own goroutines and pass their results to it through bounded rings.
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

// Error is the class of all errors returned by this package.
var Error = errs.Class("dispatcher")

type fields = logrus.Fields

const (
	leavingState = platformapi.Leaving
	// leavingNotice is how long a stopping dispatcher still accepts new attempts. Within this time every
	// gateway learns that the dispatcher is leaving.
	leavingNotice = 3 * time.Second
	// resultRingSize is the capacity of the ring of results for the loop. Producers wait while it is full,
	// so that no result is lost.
	resultRingSize = 16_384
	// pushRetryInterval is the time after which a producer retries a push to the full result ring.
	pushRetryInterval = time.Millisecond
)

// Config holds the parameters of a dispatcher.
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

	requests    *ring.Ring[*attempt]
	results     *ring.Ring[result]
	status      atomic.Pointer[sched.Status]
	ownedGroups atomic.Pointer[[]string]
	reports     *reportCache
	orders      *orderRunner

	mu       sync.Mutex
	shutdown *drain.Shutdown

	ctx            context.Context // for sessions; cancelled after the loop has stopped
	callCtx        context.Context // for unary engine calls; outlives the loop so that cancel requests are still sent
	stop           chan struct{}
	stopOnce       sync.Once
	loopDone       chan struct{}
	cancelSessions context.CancelFunc
	cancelCalls    context.CancelFunc
	killed         atomic.Bool
	sessions       sync.WaitGroup
	calls          sync.WaitGroup

	attemptsEnded   obs.Counter
	attemptsRefused obs.Counter
}

// Start starts the scheduler and opens the link server.
func Start(cfg Config) (*Dispatcher, error) {
	d := &Dispatcher{
		cfg:             cfg,
		log:             cfg.Obs.Log,
		obs:             cfg.Obs,
		view:            cfg.View,
		requests:        ring.New[*attempt](cfg.Settings.Dispatcher.EventRing),
		results:         ring.New[result](resultRingSize),
		reports:         newReportCache(),
		shutdown:        drain.NewShutdown(leavingNotice),
		stop:            make(chan struct{}),
		loopDone:        make(chan struct{}),
		attemptsEnded:   cfg.Obs.Counter("dispatcher_attempts_ended", "outcome", "Attempts ended, by outcome."),
		attemptsRefused: cfg.Obs.Counter("dispatcher_attempts_refused", "reason", "Attempts refused before scheduling."),
	}
	d.ctx, d.cancelSessions = context.WithCancel(context.Background())
	d.callCtx, d.cancelCalls = context.WithCancel(context.Background())
	d.intake = &intake{d: d, links: map[*link.Peer]*partialPrompts{}}
	d.orders = newOrderRunner(d)
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
	d.registerGauges()
	return d, nil
}

func (d *Dispatcher) registerGauges() {
	d.obs.Gauge("dispatcher_prompt_bytes_held", "Prompt bytes of attempts that have not ended.",
		func() float64 { return float64(d.intake.heldBytes.Load()) })
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

// Status returns the latest snapshot of the scheduler's state, or nil before the first one.
func (d *Dispatcher) Status() *sched.Status { return d.status.Load() }

// OwnedGroups returns the engine groups that this dispatcher owns.
func (d *Dispatcher) OwnedGroups() []string {
	if p := d.ownedGroups.Load(); p != nil {
		return *p
	}
	return nil
}

// Reports returns the latest report read from each engine.
func (d *Dispatcher) Reports() map[ident.BackendID]backendapi.Report { return d.reports.all() }

// pushResult queues a result for the loop. It blocks while the ring is full and discards the result if the
// loop has stopped.
func (d *Dispatcher) pushResult(r result) {
	for !d.results.Push(r) {
		select {
		case <-d.loopDone:
			return
		case <-time.After(pushRetryInterval):
		}
	}
}

// admit counts an attempt as running, or refuses it if the process is draining or not ready.
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

func (d *Dispatcher) attemptDone() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shutdown.Done()
}

// Shutdown stops the dispatcher without interrupting attempts: it marks the dispatcher as leaving, accepts
// new attempts until all gateways know, waits for running attempts and closes. If the context ends first,
// the remaining attempts are cancelled and their gateways resume them on another dispatcher.
func (d *Dispatcher) Shutdown(ctx context.Context) error {
	d.view.SetLeaving()
	d.updateShutdown(func(s *drain.Shutdown) []drain.Action { return s.Begin(d.view.Now()) })
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	stopped := false
	for !stopped && ctx.Err() == nil {
		for _, a := range d.updateShutdown(func(s *drain.Shutdown) []drain.Action { return s.Tick(d.view.Now()) }) {
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

func (d *Dispatcher) updateShutdown(f func(*drain.Shutdown) []drain.Action) []drain.Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	return f(d.shutdown)
}

// closeTimeout bounds the time to flush links and to send the last cancel requests on Close.
const closeTimeout = 3 * time.Second

// Close stops the dispatcher immediately. Running sessions are cancelled at their engines.
func (d *Dispatcher) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := d.server.Close(ctx)
	d.halt()
	return err
}

// Kill closes all links without cancelling sessions, as a crash of the process would. The caller must call
// Close afterwards.
func (d *Dispatcher) Kill() {
	d.killed.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	d.cancelCalls()
	_ = d.server.Close(ctx)
}

// halt stops the loop and then the sessions, and waits up to closeTimeout for running engine calls.
func (d *Dispatcher) halt() {
	d.stopOnce.Do(func() {
		close(d.stop)
		<-d.loopDone
		d.cancelSessions()
		d.sessions.Wait()
		timer := time.AfterFunc(closeTimeout, d.cancelCalls)
		d.calls.Wait()
		timer.Stop()
		d.cancelCalls()
	})
}

// reportCache holds the latest report of each engine for the administration API.
type reportCache struct {
	mu sync.Mutex
	m  map[ident.BackendID]backendapi.Report
}

func newReportCache() *reportCache { return &reportCache{m: map[ident.BackendID]backendapi.Report{}} }

func (c *reportCache) put(id ident.BackendID, r backendapi.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.m[id] = r
}

func (c *reportCache) all() map[ident.BackendID]backendapi.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[ident.BackendID]backendapi.Report, len(c.m))
	for id, r := range c.m {
		out[id] = r
	}
	return out
}
