// Package entry runs an entry host in one process: it answers callers, places their requests on backend
// servers, and follows the platform's store. Hosts find each other through membership and tell each other
// the load that they have placed. Nothing of a request is shared: a host that dies takes its own requests
// with it and no others.
//
// Decisions are the pure machines of core; State holds them behind one lock, since each step takes
// microseconds. Sockets and timers are here.
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

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/member"
	"github.com/rosemaryhill/rosemaryhill/node/obs"
	"github.com/rosemaryhill/rosemaryhill/node/settings"
	"github.com/rosemaryhill/rosemaryhill/transport/control"
	"github.com/rosemaryhill/rosemaryhill/transport/gossip"
)

// Errors of this package.
var (
	Error = errs.Class("entry")
	// ErrCompacted marks changes that the store no longer holds.
	ErrCompacted = errs.Class("entry: store history")
)

type fields = logrus.Fields

// Config sets up a Host.
type Config struct {
	Settings     settings.Settings
	SettingsFile string // of the settings, to read them again when they change; empty for none
	Dialect      Dialect
	// OpenStore returns the client of the platform's store.
	OpenStore func(*logrus.Entry) Store
	LogTo     io.Writer
}

// Host is a running entry host.
type Host struct {
	cfg         Config
	set         settings.Entry
	log         *logrus.Entry
	obs         *obs.Obs
	decisions   *decisionLog
	metrics     metrics
	start       time.Time
	incarnation ident.Incarnation
	client      *http.Client // for backend servers
	state       *state
	store       Store
	gossip      *gossip.Service
	control     *control.Server
	peerClient  *control.Client
	wake        chan struct{} // load changed
	resync      chan struct{} // this process was paused: read the store anew
	resynced    atomic.Bool   // a watch was ended by resync
	behind      chan struct{} // a peer knows more of the platform
	queued      chan struct{} // requests wait for an engine
	running     atomic.Int64  // requests in progress, and releases of memory
	sequence    atomic.Uint64 // of reservations
	stopping    atomic.Bool
	ctx         context.Context // ends when the process stops
	cancel      context.CancelFunc
	servers     []*http.Server
	front       *http.Server
}

// Start starts a host. It serves at once; requests are refused until the configuration is known.
func Start(cfg Config) (*Host, error) {
	s := cfg.Settings
	o, err := obs.New(obs.Config{
		HostID: s.HostID, Role: string(settings.RoleEntry), Zone: s.AvailabilityZone,
		LogLevel: s.Log.Level, LogTo: cfg.LogTo, Exporter: s.Trace.Exporter, OTLPURL: s.Trace.OTLPURL,
		TraceTo: cfg.LogTo, SampleRatio: s.Trace.SampleRatio,
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	h := &Host{
		cfg: cfg, set: s.Entry, log: o.Log, obs: o, decisions: newDecisionLog(o.Log), metrics: newMetrics(o), start: time.Now(),
		incarnation: ident.NewIncarnation(), wake: make(chan struct{}, 1), resync: make(chan struct{}, 1), behind: make(chan struct{}, 1),
		queued: make(chan struct{}, 1),
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.client = newClient()
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
	applyMemoryLimit(s.Entry.MemoryMB)
	if cfg.SettingsFile != "" {
		go h.watchSettings()
	}
	go h.followStore()
	go h.tick()
	go h.serveQueue()
	h.log.WithFields(fields{
		"incarnation": h.incarnation.String(), "address": s.Entry.HTTPAddress, "peers": len(s.Entry.Peers),
		"retry_ratio": s.Entry.RetryRatio, "retry_slack": s.Entry.RetrySlack, "shutdown_ms": s.Entry.ShutdownMS,
		"release_ms": s.Entry.ReleaseMS, "memory_mb": s.Entry.MemoryMB,
	}).Info("started")
	return h, nil
}

// now returns the steady clock.
func (h *Host) now() time.Duration { return time.Since(h.start) }

func (h *Host) startPeers() error {
	ip, _, err := net.SplitHostPort(h.set.HTTPAddress)
	if err != nil {
		return Error.New("step=start peer=%s: %w", h.set.HTTPAddress, err)
	}
	address := net.JoinHostPort(ip, strconv.Itoa(h.set.GossipPort))
	h.gossip, err = gossip.Listen(member.Config{
		Self: member.MakeID(ident.HostID(h.cfg.Settings.HostID), string(settings.RoleEntry)),
		// All entry hosts of a region form one probing group: a few dozen of them are better found by direct
		// probes than through delegates, whose digests take seconds.
		Zone: ident.Zone(h.cfg.Settings.Region), Region: h.cfg.Settings.Region, Incarnation: h.incarnation,
	}, address, (*gossipHandler)(h))
	if err != nil {
		return Error.New("step=start peer=%s: %w", address, err)
	}
	h.state.mu.Lock()
	h.state.seeds = h.seeds(h.set.Peers)
	h.state.self = h.gossip.Addr()
	h.state.zone = uint32(xxhash.Sum64String(h.cfg.Settings.AvailabilityZone))
	h.state.mu.Unlock()
	h.gossip.Enqueue(member.Seeds{Seeds: h.state.seeds})
	h.peerClient, err = control.NewClient(control.Config{DialTimeout: peerTimeout, CallTimeout: peerTimeout})
	if err != nil {
		return Error.Wrap(err)
	}
	h.control, err = control.Listen(control.Config{OnError: func(err error) {
		h.log.WithField("error", err.Error()).Debug("peer connection ended")
	}}, h.set.ControlAddress, peerHandler{host: h})
	return Error.Wrap(err)
}

// seeds returns the gossip addresses of hosts by their control addresses.
func (h *Host) seeds(peers []string) []member.Seed {
	var out []member.Seed
	for _, p := range peers {
		if p == h.set.ControlAddress {
			continue
		}
		if ip, _, err := net.SplitHostPort(p); err == nil {
			a := net.JoinHostPort(ip, strconv.Itoa(h.set.GossipPort))
			out = append(out, member.Seed{Addr: member.Addr(a), Zone: ident.Zone(h.cfg.Settings.Region)})
		}
	}
	return out
}

// Run serves until the context ends, then shuts down in order.
func (h *Host) Run(ctx context.Context) error {
	<-ctx.Done()
	return h.Shutdown()
}

// Close stops everything at once.
func (h *Host) Close() {
	h.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
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

// closeTimeout bounds the end of each part at a close.
const closeTimeout = 500 * time.Millisecond
