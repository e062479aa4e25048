// Package entry implements an entry host in a single process: it serves callers, places their requests on
// backend servers, and follows the platform's store. Hosts discover each other through gossip membership and
// exchange reports of the load that they have placed. Request state is not replicated: when a host dies, only
// its own requests are lost.
//
// Decisions are made by the pure state machines in core. The state type guards them with a single lock, since
// each step takes microseconds. Sockets and timers live in this package.
package entry

import (
	"context"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/member"
	"github.com/rosemaryhill/rosemaryhill/node/internal/httpdrain"
	"github.com/rosemaryhill/rosemaryhill/node/internal/httpguard"
	"github.com/rosemaryhill/rosemaryhill/node/internal/memlimit"
	"github.com/rosemaryhill/rosemaryhill/node/obs"
	"github.com/rosemaryhill/rosemaryhill/node/settings"
	"github.com/rosemaryhill/rosemaryhill/transport/control"
	"github.com/rosemaryhill/rosemaryhill/transport/gossip"
)

// Error classes of this package.
var (
	Error = errs.Class("entry")
	// ErrCompacted reports that the requested changes have been compacted away by the store.
	ErrCompacted = errs.Class("entry: store history compacted")
	// ErrRestored is the class of errors of a watch that a store of a later era has answered: it has come back from a copy.
	ErrRestored = errs.Class("entry: store restored from a copy")
)

type fields = logrus.Fields

// Config configures a Host.
type Config struct {
	Settings     settings.Settings
	SettingsFile string // path of the settings file, which is reloaded when it changes; empty disables reloading
	Dialect      Dialect
	// OpenStore returns a client of the platform's store.
	OpenStore func(*logrus.Entry) Store
	// DialServer replaces the dial of connections to backend servers; nil uses the network. Its context ends when the time to
	// connect is over.
	DialServer func(ctx context.Context, network, address string) (net.Conn, error)
	LogTo      io.Writer
	LogAside   bool // see obs.Config
}

// Host is a running entry host.
type Host struct {
	cfg            Config
	settings       settings.Entry
	log            *logrus.Entry
	obs            *obs.Obs
	decisions      *decisionLog
	metrics        metrics
	start          time.Time
	incarnation    ident.Incarnation
	client         *http.Client // for requests to backend servers
	peerHTTP       *http.Client // for requests that are handed on to other hosts
	state          *state
	bodies         *bodyMemory
	guard          *httpguard.Guard
	store          Store
	gossip         *gossip.Service
	control        *control.Server
	peerClient     *control.Client
	reportNeeded   chan struct{} // requests a load report
	limitNews      chan struct{} // requests an update on limited servers
	resync         chan struct{} // cancels the current watch after the process was paused
	watchCancelled atomic.Bool   // set when the host itself cancelled the last watch
	// loggedPartition is the partition of this host and the number of partitions as logged last; used by tick only.
	loggedPartition [2]int
	stateReplies    stateReplies
	peerAhead       chan struct{}            // a peer reported a newer revision of the platform state
	catalogChanged  chan struct{}            // requests that the next expiry in the catalog is computed again
	serviceLost     chan struct{}            // a service has become unreachable
	queueNonEmpty   chan struct{}            // signals that requests wait for an engine
	handoversTaken  atomic.Int64             // requests of other hosts in progress
	running         atomic.Int64             // requests and memory releases in progress
	reservationSeq  atomic.Uint64            // last number used in a reservation ID
	stop            atomic.Pointer[stopPlan] // nil until the host shuts down
	ctx             context.Context          // cancelled when the process stops
	cancel          context.CancelFunc
	serving         context.Context // cancelled when the requests that still run must end
	endRequests     context.CancelFunc
	servers         []*http.Server
	callerServer    *http.Server
	listeners       []*httpdrain.Listener
	callerListener  *httpdrain.Listener
	connections     *httpdrain.Connections // of callers
}

// Start starts a host and its listeners. Requests are refused until the configuration is known.
func Start(cfg Config) (*Host, error) {
	s := cfg.Settings
	o, err := obs.New(obs.Config{
		HostID: s.HostID, Role: string(settings.RoleEntry), Zone: s.AvailabilityZone,
		LogLevel: s.Log.Level, LogTo: cfg.LogTo, LogAside: cfg.LogAside, Exporter: s.Trace.Exporter, OTLPURL: s.Trace.OTLPURL,
		TraceTo: cfg.LogTo, SampleRatio: s.Trace.SampleRatio,
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	h := &Host{
		cfg: cfg, settings: s.Entry, log: o.Log, obs: o, decisions: newDecisionLog(o.Log), metrics: newMetrics(o), start: time.Now(),
		incarnation: ident.NewIncarnation(), reportNeeded: make(chan struct{}, 1), limitNews: make(chan struct{}, 1), resync: make(chan struct{}, 1), peerAhead: make(chan struct{}, 1), catalogChanged: make(chan struct{}, 1),
		queueNonEmpty: make(chan struct{}, 1), serviceLost: make(chan struct{}, 1),
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.serving, h.endRequests = context.WithCancel(h.ctx)
	h.client = newClient(s.Entry.MemoryMB, cfg.DialServer)
	h.peerHTTP = newClient(s.Entry.MemoryMB, nil)
	h.bodies = newBodyMemory(s.Entry.MemoryMB)
	h.guard = httpguard.New(httpguard.Config{
		Defaults: defaultCallerLimits, MaxDescriptors: s.Entry.MaxDescriptors, MemoryMB: s.Entry.MemoryMB, Obs: o,
		Counter: "rosemaryhill_entry_connections_closed",
	})
	h.connections = httpdrain.NewConnections()
	h.store = cfg.OpenStore(o.Log)
	h.state = newState(s.Entry, rand.New(rand.NewSource(int64(h.incarnation))))
	if err := h.startPeers(); err != nil {
		h.Close()
		return nil, err
	}
	if err := h.startServers(); err != nil {
		h.Close()
		return nil, err
	}
	memlimit.Apply(s.Entry.MemoryMB)
	if cfg.SettingsFile != "" {
		go h.watchSettings()
	}
	h.registerGauges()
	go h.followStore()
	go h.tick()
	go h.expireCatalog()
	go h.reportLimits()
	go h.serveQueue()
	go h.probeServices()
	h.log.WithFields(fields{
		"incarnation": h.incarnation.String(), "address": s.Entry.HTTPAddress, "peers": len(s.Entry.Peers),
		"retry_ratio": s.Entry.RetryRatio, "retry_slack": s.Entry.RetrySlack, "shutdown_ms": s.Entry.ShutdownMS,
		"release_ms": s.Entry.ReleaseMS, "memory_mb": s.Entry.MemoryMB, "max_connections": h.guard.MaxConnections(),
	}).WithContext(obs.Essential).Info("started")
	return h, nil
}

// now returns the monotonic time since the host started.
func (h *Host) now() time.Duration { return time.Since(h.start) }

func (h *Host) startPeers() error {
	ip, _, err := net.SplitHostPort(h.settings.HTTPAddress)
	if err != nil {
		return Error.New("step=start peer=%s: %w", h.settings.HTTPAddress, err)
	}
	address := net.JoinHostPort(ip, strconv.Itoa(h.settings.GossipPort))
	h.gossip, err = gossip.Listen(member.Config{
		Self: member.MakeID(ident.HostID(h.cfg.Settings.HostID), string(settings.RoleEntry)),
		// All entry hosts of a region form one probing group. With a few dozen hosts, direct probes find
		// members faster than delegates, whose digests take seconds.
		Zone: ident.Zone(h.cfg.Settings.Region), Region: h.cfg.Settings.Region, Incarnation: h.incarnation,
	}, address, (*gossipHandler)(h))
	if err != nil {
		return Error.New("step=start peer=%s: %w", address, err)
	}
	h.state.mu.Lock()
	h.state.peers.SetSelf(h.gossip.Addr(), zoneHash(h.cfg.Settings.AvailabilityZone))
	h.state.mu.Unlock()
	h.setSeeds(h.settings.Peers)
	h.peerClient, err = control.NewClient(control.Config{DialTimeout: peerTimeout, CallTimeout: peerTimeout})
	if err != nil {
		return Error.Wrap(err)
	}
	h.control, err = control.Listen(control.Config{OnError: func(err error) {
		h.log.WithField("error", err.Error()).Debug("peer connection ended")
	}}, h.settings.ControlAddress, peerHandler{host: h})
	return Error.Wrap(err)
}

// setSeeds makes the peers of the settings, given by their control addresses, the hosts to join through.
func (h *Host) setSeeds(controlAddresses []string) {
	var seeds []member.Seed
	var addrs []member.Addr
	for _, p := range controlAddresses {
		if p == h.settings.ControlAddress {
			continue
		}
		if ip, _, err := net.SplitHostPort(p); err == nil {
			a := member.Addr(net.JoinHostPort(ip, strconv.Itoa(h.settings.GossipPort)))
			addrs = append(addrs, a)
			seeds = append(seeds, member.Seed{Addr: a, Zone: ident.Zone(h.cfg.Settings.Region)})
		}
	}
	h.state.mu.Lock()
	h.state.peers.SetSeeds(h.now(), addrs)
	h.state.mu.Unlock()
	h.gossip.Enqueue(member.Seeds{Seeds: seeds})
}

// Run serves until the context ends, then shuts down gracefully.
func (h *Host) Run(ctx context.Context) error {
	<-ctx.Done()
	return h.Shutdown()
}

// Close stops the host immediately, without waiting for requests.
func (h *Host) Close() {
	h.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, l := range h.listeners {
		_ = l.TCPListener.Close() // at once: what is in the backlog has not been read
	}
	for _, s := range h.servers {
		_ = s.Close()
	}
	if h.control != nil {
		_ = h.control.Close(ctx)
	}
	if h.peerClient != nil {
		_ = h.peerClient.Close()
	}
	if h.gossip != nil {
		_ = h.gossip.Close(ctx)
	}
	_ = h.obs.Shutdown(ctx)
}

// closeTimeout bounds the time for closing the components of a host.
const closeTimeout = 500 * time.Millisecond
