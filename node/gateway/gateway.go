// Package gateway is the role that callers talk to. It hands out addresses and tickets, streams
// generations from dispatchers, forwards lookups, and runs postings at most once.
package gateway

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/rosemaryhill/rosemaryhill/core/drain"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/limits"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/core/ticket"
	"github.com/rosemaryhill/rosemaryhill/node/obs"
	"github.com/rosemaryhill/rosemaryhill/node/settings"
	"github.com/rosemaryhill/rosemaryhill/node/view"
	"github.com/rosemaryhill/rosemaryhill/transport/link"
)

// Error is the class of all errors of this package.
var Error = errs.Class("gateway")

type fields = logrus.Fields

// Config holds what a gateway needs.
type Config struct {
	Settings settings.Settings
	View     *view.View
	Obs      *obs.Obs
}

// Gateway is a running gateway.
type Gateway struct {
	cfg    Config
	log    *logrus.Entry
	obs    *obs.Obs
	view   *view.View
	client *link.Client
	routes *routes
	chosen *chooser
	calls  *services

	listener net.Listener
	server   *http.Server

	limitsMu sync.Mutex
	limits   *limits.TeamLimiter

	tickets *executor

	drainMu  sync.Mutex
	shutdown *drain.Shutdown

	attempts atomic.Uint64 // number of the last attempt of this incarnation
	requests atomic.Uint64 // number of the last request
	active   atomic.Int64
	held     atomic.Int64 // prompt bytes of requests in progress

	ctx    context.Context
	cancel context.CancelFunc
	duties sync.WaitGroup

	ends       obs.Counter
	firstToken obs.Latency
	tokens     obs.Counter
	resumes    obs.Counter
}

// Start opens the HTTP front and connects to the dispatchers of the region.
func Start(cfg Config) (*Gateway, error) {
	g := &Gateway{
		cfg:      cfg,
		log:      cfg.Obs.Log,
		obs:      cfg.Obs,
		view:     cfg.View,
		shutdown: drain.NewShutdown(settings.MS(cfg.Settings.Gateway.KeepMS)),
		limits:   limits.NewTeamLimiter(limits.TeamLimiterConfig{Gateway: cfg.View.Host()}),
		routes:   newRoutes(),

		ends:       cfg.Obs.Counter("gateway_requests", "outcome", "Requests ended, by outcome or reason."),
		firstToken: cfg.Obs.Latency("gateway_first_token", "class", "Time from the request to its first token."),
		tokens:     cfg.Obs.Counter("gateway_tokens", "class", "Tokens delivered to callers."),
		resumes:    cfg.Obs.Counter("gateway_resumes", "reason", "Attempts that replaced a lost one."),
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	tickets, err := newExecutor(g)
	if err != nil {
		return nil, err
	}
	g.tickets = tickets
	g.calls = newServices(g)
	g.client, err = link.NewClient(link.Config{
		Host:          g.view.Host(),
		Role:          link.RoleGateway,
		Incarnation:   g.view.Incarnation(),
		ConfigVersion: g.version,
		OnError:       func(err error) { g.log.WithField("error", err.Error()).Debug("link not up") },
	}, (*linkHandler)(g))
	if err != nil {
		return nil, Error.New("link client: %w", err)
	}
	g.chosen = newChooser(g)
	g.view.RequireReady(g.chosen.ready)
	if g.listener, err = net.Listen("tcp", cfg.Settings.Gateway.HTTPAddress); err != nil {
		return nil, errs.Combine(Error.New("listen on %s: %w", cfg.Settings.Gateway.HTTPAddress, err), g.client.Close(g.ctx))
	}
	g.server = &http.Server{
		Handler:           g.handler(),
		ReadHeaderTimeout: 5 * time.Second,
		IdleTimeout:       90 * time.Second,
		MaxHeaderBytes:    16 << 10,
		ErrorLog:          g.obs.StdLog(),
	}
	g.gauges()
	g.duties.Go(g.follow)
	g.duties.Go(func() { _ = g.server.Serve(g.listener) })
	return g, nil
}

func newExecutor(g *Gateway) (*executor, error) {
	key := make([]byte, 32)
	if _, err := rand.Read(key); err != nil {
		return nil, Error.New("ticket key: %w", err)
	}
	table, err := ticket.New(ticket.Config{
		Host:        g.view.Host(),
		Incarnation: g.view.Incarnation(),
		Key:         key,
		StartUnixMS: g.view.StartedAt().UnixMilli(),
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &executor{g: g, table: table, pending: map[uint64]*pending{}}, nil
}

func (g *Gateway) gauges() {
	g.obs.Gauge("gateway_requests_active", "Requests in progress.", func() float64 { return float64(g.active.Load()) })
	g.obs.Gauge("gateway_prompt_bytes_held", "Prompt bytes of requests in progress.", func() float64 { return float64(g.held.Load()) })
	g.obs.Gauge("gateway_tickets", "Ticket records held.", func() float64 { return float64(g.tickets.Len()) })
}

func (g *Gateway) version() ident.Version {
	if s := g.view.Config(); s != nil {
		return s.Version
	}
	return 0
}

// Addr returns the address of the HTTP front.
func (g *Gateway) Addr() string { return g.listener.Addr().String() }

// follow carries changes of the view to limits, links and service clients, and demand to membership.
func (g *Gateway) follow() {
	changes := g.view.Subscribe()
	defer g.view.Unsubscribe(changes)
	g.refresh()
	demand := time.NewTicker(time.Second)
	defer demand.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-changes:
			g.refresh()
		case <-demand.C:
			g.exchangeDemand()
		}
	}
}

func (g *Gateway) refresh() {
	g.chosen.refresh()
	g.calls.refresh()
	g.refreshLimits()
}

// admit counts a request as running. The caller must call release if the error is nil.
func (g *Gateway) admit() *outcome.Error {
	if ok, why := g.view.Ready(); !ok {
		e := outcome.Refuse("admit", outcome.NotReady, why)
		e.RetryAfter = time.Second
		return e
	}
	if g.active.Add(1) > int64(g.cfg.Settings.Gateway.MaxRequests) {
		g.active.Add(-1)
		e := outcome.Refuse("admit", outcome.Overload, "too many requests in progress at this gateway")
		e.RetryAfter = time.Second
		return e
	}
	g.drainMu.Lock()
	defer g.drainMu.Unlock()
	if err := g.shutdown.Admit(); err != nil {
		g.active.Add(-1)
		return err
	}
	return nil
}

func (g *Gateway) release() {
	g.active.Add(-1)
	g.drainMu.Lock()
	defer g.drainMu.Unlock()
	g.shutdown.Done()
}

// Shutdown stops the gateway without cutting off a request: it withdraws from the address answers,
// accepts calls for the keep time, finishes what runs and closes. When the context ends earlier, what
// still runs is cut off and the error says so.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.view.SetLeaving()
	g.drainStep(func(s *drain.Shutdown) []drain.Action { return s.Begin(g.view.Now()) })
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for {
		for _, a := range g.drainStep(func(s *drain.Shutdown) []drain.Action { return s.Tick(g.view.Now()) }) {
			switch a {
			case drain.Refuse:
				g.log.Info("accepting no new requests")
			case drain.Exit:
				return g.Close()
			}
		}
		select {
		case <-ctx.Done():
			running := g.active.Load()
			return errs.Combine(Error.New("shutdown time is over, %d requests cut off", running), g.Close())
		case <-t.C:
		}
	}
}

func (g *Gateway) drainStep(f func(*drain.Shutdown) []drain.Action) []drain.Action {
	g.drainMu.Lock()
	defer g.drainMu.Unlock()
	return f(g.shutdown)
}

// closeTimeout bounds the end of the HTTP server and the links.
const closeTimeout = 3 * time.Second

// Close stops at once.
func (g *Gateway) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	// Shutdown lets answers that were just written reach their callers.
	err := g.server.Shutdown(ctx)
	if err != nil {
		err = errs.Combine(err, g.server.Close())
	}
	g.cancel()
	err = errs.Combine(err, g.client.Close(ctx))
	g.duties.Wait()
	g.tickets.wait()
	g.calls.close()
	return err
}

// Kill breaks all connections off, as the loss of the process would. Close must follow.
func (g *Gateway) Kill() {
	g.cancel()
	_ = g.server.Close()
}

// TicketStatus counts the tickets of this incarnation.
type TicketStatus struct {
	Records int `json:"records"` // issued, running or kept for retries
	Running int `json:"running"` // calls being sent
	Active  int `json:"active_requests"`
}

// Tickets returns the counts of tickets and of requests in progress.
func (g *Gateway) Tickets() TicketStatus {
	return TicketStatus{Records: g.tickets.Len(), Running: g.tickets.Running(), Active: int(g.active.Load())}
}
