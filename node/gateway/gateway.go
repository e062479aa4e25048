// Package gateway implements the process that callers connect to. It issues addresses and tickets, streams
// generated tokens from dispatchers, and calls plain services: lookups, which are idempotent, with retries,
// and postings, which are not, at most once.
package gateway

import (
	"context"
	"crypto/rand"
	"errors"
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
	"github.com/rosemaryhill/rosemaryhill/node/internal/httpdrain"
	"github.com/rosemaryhill/rosemaryhill/node/internal/httpguard"
	"github.com/rosemaryhill/rosemaryhill/node/internal/memlimit"
	"github.com/rosemaryhill/rosemaryhill/node/obs"
	"github.com/rosemaryhill/rosemaryhill/node/settings"
	"github.com/rosemaryhill/rosemaryhill/node/view"
	"github.com/rosemaryhill/rosemaryhill/transport/link"
)

// Error is the class of all errors of this package.
var Error = errs.Class("gateway")

type fields = logrus.Fields

// Config holds the settings and dependencies of a gateway.
type Config struct {
	Settings settings.Settings
	View     *view.View
	Obs      *obs.Obs
}

// Gateway is a running gateway.
type Gateway struct {
	cfg         Config
	log         *logrus.Entry
	obs         *obs.Obs
	view        *view.View
	client      *link.Client
	routes      *routes
	dispatchers *dispatcherPicker
	linkUp      chan struct{} // receives a value when a link has come up
	services    *services

	listener    *httpdrain.Listener
	connections *httpdrain.Connections
	server      *http.Server
	guard       *httpguard.Guard

	limitsMu sync.Mutex
	limits   *limits.TeamLimiter

	tickets *executor

	shutdownMu sync.Mutex
	shutdown   *drain.Shutdown

	attempts      atomic.Uint64 // number of the latest attempt of this incarnation
	requests      atomic.Uint64 // number of the latest request of this incarnation
	active        atomic.Int64
	reservedBytes atomic.Int64 // prompt bytes of requests in progress

	ctx         context.Context
	cancel      context.CancelFunc
	requestsCtx context.Context // parent of the contexts of callers' requests
	endRequests context.CancelCauseFunc
	background  sync.WaitGroup

	requestsEnded obs.Counter
	firstToken    obs.Latency
	tokens        obs.Counter
	resumes       obs.Counter
}

// callerLimits bound what one caller may send beside its body.
var callerLimits = httpguard.Limits{HeadBytes: 16 << 10, HeadTime: 5 * time.Second, IdleTime: 90 * time.Second}

// Start opens the HTTP server and connects to the dispatchers of the region.
func Start(cfg Config) (*Gateway, error) {
	g := &Gateway{
		cfg:      cfg,
		log:      cfg.Obs.Log,
		obs:      cfg.Obs,
		view:     cfg.View,
		shutdown: drain.NewShutdown(settings.MS(cfg.Settings.Gateway.KeepMS)),
		limits:   limits.NewTeamLimiter(limits.TeamLimiterConfig{Gateway: cfg.View.Host()}),
		routes:   newRoutes(),
		linkUp:   make(chan struct{}, 1),

		requestsEnded: cfg.Obs.Counter("gateway_requests", "outcome", "Requests ended, by outcome or reason."),
		firstToken:    cfg.Obs.Latency("gateway_first_token", "class", "Time from the request to its first token."),
		tokens:        cfg.Obs.Counter("gateway_tokens", "class", "Tokens delivered to callers."),
		resumes:       cfg.Obs.Counter("gateway_resumes", "reason", "Attempts that replaced a lost one."),
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.requestsCtx, g.endRequests = context.WithCancelCause(context.Background())
	tickets, err := newExecutor(g)
	if err != nil {
		return nil, err
	}
	g.tickets = tickets
	g.services = newServices(g)
	g.client, err = link.NewClient(link.Config{
		Host:          g.view.Host(),
		Role:          link.RoleGateway,
		Incarnation:   g.view.Incarnation(),
		ConfigVersion: g.configVersion,
		OnError:       func(err error) { g.log.WithField("error", err.Error()).Debug("link connection failed") },
	}, (*linkHandler)(g))
	if err != nil {
		return nil, Error.New("link client: %w", err)
	}
	g.dispatchers = newDispatcherPicker(g)
	g.view.RequireReady(g.dispatchers.ready)
	ln, err := net.Listen("tcp", cfg.Settings.Gateway.HTTPAddress)
	if err != nil {
		return nil, errs.Combine(Error.New("listen on %s: %w", cfg.Settings.Gateway.HTTPAddress, err), g.client.Close(g.ctx))
	}
	g.listener, g.connections = httpdrain.NewListener(ln.(*net.TCPListener)), httpdrain.NewConnections()
	g.server = &http.Server{
		Handler:     g.handler(),
		ConnState:   g.connections.Observe,
		BaseContext: func(net.Listener) context.Context { return g.requestsCtx },
		ErrorLog:    g.obs.StdLog(),
		// The limit never changes here. net/http gives back the memory of a head before it waits for the client to read the refusal.
		MaxHeaderBytes: callerLimits.HeadBytes,
	}
	g.guard = httpguard.New(httpguard.Config{
		Defaults: callerLimits, MaxDescriptors: cfg.Settings.Gateway.MaxDescriptors, MemoryMB: cfg.Settings.Gateway.MemoryMB,
		Obs: g.obs, Counter: "gateway_connections_closed",
	})
	memlimit.Apply(cfg.Settings.Gateway.MemoryMB)
	g.listener.Wrap = g.guard.Protect(g.server, "callers")
	g.registerGauges()
	g.background.Go(g.followView)
	g.background.Go(func() {
		if err := g.listener.Serve(g.server); err != nil {
			g.log.WithField("error", err.Error()).Error("listener ended")
		}
	})
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
	return &executor{g: g, table: table, pending: map[uint64]*pendingCall{}}, nil
}

func (g *Gateway) registerGauges() {
	g.obs.Gauge("gateway_requests_active", "Requests in progress.", func() float64 { return float64(g.active.Load()) })
	g.obs.Gauge("gateway_prompt_bytes_held", "Prompt bytes of requests in progress.", func() float64 { return float64(g.reservedBytes.Load()) })
	g.obs.Gauge("gateway_tickets", "Ticket records held.", func() float64 { return float64(g.tickets.Len()) })
}

func (g *Gateway) configVersion() ident.Version {
	if s := g.view.Config(); s != nil {
		return s.Version
	}
	return 0
}

// Addr returns the address of the HTTP server.
func (g *Gateway) Addr() string { return g.listener.Addr().String() }

// followView applies changes of the view to team limits, links and service clients, and exchanges the team
// demand with membership once a second.
func (g *Gateway) followView() {
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
		case <-g.linkUp:
			g.dispatchers.refresh()
		case <-demand.C:
			g.exchangeDemand()
		}
	}
}

func (g *Gateway) refresh() {
	g.dispatchers.refresh()
	g.services.refresh()
	g.refreshLimits()
}

// admit counts a request as in progress. The caller must call release if the error is nil.
func (g *Gateway) admit() *outcome.Error {
	if ok, reason := g.view.Ready(); !ok {
		e := outcome.Refuse("admit", outcome.NotReady, reason)
		e.RetryAfter = time.Second
		return e
	}
	if g.active.Add(1) > int64(g.cfg.Settings.Gateway.MaxRequests) {
		g.active.Add(-1)
		e := outcome.Refuse("admit", outcome.Overload, "too many requests in progress at this gateway")
		e.RetryAfter = time.Second
		return e
	}
	g.shutdownMu.Lock()
	defer g.shutdownMu.Unlock()
	if err := g.shutdown.Admit(); err != nil {
		g.active.Add(-1)
		return err
	}
	return nil
}

func (g *Gateway) release() {
	g.active.Add(-1)
	g.shutdownMu.Lock()
	defer g.shutdownMu.Unlock()
	g.shutdown.Done()
}

// Shutdown drains the gateway: it removes itself from address lists, accepts requests until the lists that
// callers have cached expire, finishes the requests in progress and closes. If the context ends earlier, the
// requests in progress are ended, with a response to their callers, and the error gives their number.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.view.SetLeaving()
	g.stepShutdown(func(s *drain.Shutdown) []drain.Action { return s.Begin(g.view.Now()) })
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for {
		for _, a := range g.stepShutdown(func(s *drain.Shutdown) []drain.Action { return s.Tick(g.view.Now()) }) {
			switch a {
			case drain.Refuse:
				g.log.Info("no longer accepting requests")
			case drain.Exit:
				g.listener.Drain(ctx)
				g.connections.Wait(ctx)
				return g.Close()
			}
		}
		select {
		case <-ctx.Done():
			running := g.active.Load()
			g.endRequests(errShutdownOver)
			return errs.Combine(Error.New("%w, %d running requests are ended", errShutdownOver, running), g.Close())
		case <-t.C:
		}
	}
}

// errShutdownOver is the cause of requests that still run at the end of a shutdown.
var errShutdownOver = errors.New("shutdown time is over")

func (g *Gateway) stepShutdown(f func(*drain.Shutdown) []drain.Action) []drain.Action {
	g.shutdownMu.Lock()
	defer g.shutdownMu.Unlock()
	return f(g.shutdown)
}

// closeTimeout bounds the time to close the HTTP server and the links.
const closeTimeout = 3 * time.Second

// Close stops the gateway without draining.
func (g *Gateway) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	// Unlike Close, http.Server.Shutdown lets responses that were just written reach their callers.
	err := g.server.Shutdown(ctx)
	if err != nil {
		err = errs.Combine(err, g.server.Close())
	}
	g.cancel()
	err = errs.Combine(err, g.client.Close(ctx))
	g.background.Wait()
	g.tickets.wait()
	g.services.close()
	return err
}

// Kill closes all connections abruptly, as a crash of the process would. The caller must still call Close.
func (g *Gateway) Kill() {
	g.cancel()
	_ = g.listener.TCPListener.Close() // at once, without draining
	_ = g.server.Close()
}

// TicketStatus counts the tickets of this incarnation.
type TicketStatus struct {
	Records int `json:"records"` // issued, in flight, or kept to answer retries
	Running int `json:"running"` // calls in flight
	Active  int `json:"active_requests"`
}

// Tickets returns the counts of tickets and of requests in progress.
func (g *Gateway) Tickets() TicketStatus {
	return TicketStatus{Records: g.tickets.Len(), Running: g.tickets.Running(), Active: int(g.active.Load())}
}
