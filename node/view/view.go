// Package view maintains what a gateway or dispatcher process knows about the system: the accepted
// configuration, the host list, membership and the leaving marks of backend servers. Each of these is kept
// up to date in the background; readers get snapshots and can subscribe to changes.
package view

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/rosemaryhill/rosemaryhill/core/config"
	"github.com/rosemaryhill/rosemaryhill/core/drain"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/member"
	"github.com/rosemaryhill/rosemaryhill/core/pause"
	"github.com/rosemaryhill/rosemaryhill/core/platformapi"
	"github.com/rosemaryhill/rosemaryhill/node/obs"
	"github.com/rosemaryhill/rosemaryhill/node/platform"
	"github.com/rosemaryhill/rosemaryhill/node/settings"
	"github.com/rosemaryhill/rosemaryhill/transport/control"
	"github.com/rosemaryhill/rosemaryhill/transport/gossip"
)

// Error is the class of all errors returned by this package.
var Error = errs.Class("view")

type fields = logrus.Fields

// maxCallTimeout bounds calls to other processes. It equals the longest deadline that a caller may set,
// because a forwarded call with a ticket can wait that long. All other calls set a shorter timeout of their own.
const maxCallTimeout = time.Hour

// Config holds the parameters of a view.
type Config struct {
	Settings      settings.Settings
	Role          settings.Role
	GossipAddress string // gossip listen address of this role
	Obs           *obs.Obs
}

// View is a process's view of the system. It is safe for concurrent use.
type View struct {
	cfg         Config
	log         *logrus.Entry
	started     time.Time
	incarnation ident.Incarnation
	platform    *platform.Client
	control     *control.Client
	gossip      *gossip.Service

	snapshot    atomic.Pointer[Snapshot]
	hosts       atomic.Pointer[platformapi.Hosts]
	processes   atomic.Pointer[[]Process]
	processesMu sync.Mutex // serializes rebuilds of processes
	loads       atomic.Pointer[map[zoneModel]member.ModelLoad]
	leaving     atomic.Bool // whether this process is leaving
	readyCheck  atomic.Pointer[func() (bool, string)]

	mu               sync.Mutex
	fold             *config.Fold
	backends         *drain.Backends
	pauses           *pause.Detector
	lastTick         time.Duration
	lastPause        time.Duration // total length of the last pause and of those just before it
	load             []member.ModelLoad
	demand           []member.TeamDemand
	lastPlatformRead time.Duration // time of the last response from the platform
	subscribers      []chan struct{}

	configSeen     chan member.ConfigVersion // a version announced by gossip
	membersChanged chan struct{}             // signals that membership has changed since processes was built
	stop           context.CancelFunc
	background     sync.WaitGroup
}

// Start starts following the platform and the peers in the background. Ready reports when the process may
// serve requests.
func Start(cfg Config) (*View, error) {
	p := cfg.Settings.Platform
	client, err := control.NewClient(control.Config{CallTimeout: maxCallTimeout})
	if err != nil {
		return nil, Error.New("control client: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	v := &View{
		cfg:         cfg,
		log:         cfg.Obs.Log,
		started:     time.Now(),
		incarnation: ident.NewIncarnation(),
		platform: platform.New(platform.Config{
			ConfigAddress: p.ConfigURL, HostsAddress: p.HostsURL, ReadsPerS: p.ReadsPerS,
			// A burst above 1 would exceed the read limit of the service in a mass restart: 680
			// processes with a burst of 5 may send 4,760 reads in the first second.
			Burst: 1,
		}),
		control:        client,
		fold:           config.NewFold(),
		backends:       drain.NewBackends(drain.Config{}),
		pauses:         pause.New(pause.Config{}),
		configSeen:     make(chan member.ConfigVersion, 1),
		membersChanged: make(chan struct{}, 1),
		stop:           stop,
	}
	v.gossip, err = gossip.Listen(v.memberConfig(), cfg.GossipAddress, (*gossipHandler)(v))
	if err != nil {
		stop()
		return nil, Error.New("gossip on %s: %w", cfg.GossipAddress, err)
	}
	v.updateSeeds()
	v.rebuildProcesses()
	v.checkPause() // also detects a pause before the first tick
	v.background.Go(func() { v.followConfig(ctx) })
	v.background.Go(func() { v.followHosts(ctx) })
	v.background.Go(func() { v.tick(ctx) })
	return v, nil
}

func (v *View) memberConfig() member.Config {
	return member.Config{
		Self:        member.MakeID(v.Host(), string(v.cfg.Role)),
		Zone:        v.Zone(),
		Region:      v.cfg.Settings.Region,
		Incarnation: v.incarnation,
		StartedMS:   uint64(v.started.UnixMilli()),
	}
}

// Close stops the background goroutines and closes the client for other processes and the gossip service.
func (v *View) Close(ctx context.Context) error {
	v.stop()
	v.background.Wait()
	return errs.Combine(v.gossip.Close(ctx), v.control.Close())
}

// Now returns the monotonic time since the start of the view.
func (v *View) Now() time.Duration { return time.Since(v.started) }

// StartedAt returns the wall-clock time at which Now was zero.
func (v *View) StartedAt() time.Time { return v.started }

// Incarnation returns the random number that identifies this run of the process.
func (v *View) Incarnation() ident.Incarnation { return v.incarnation }

// Host returns the ID of this host.
func (v *View) Host() ident.HostID { return ident.HostID(v.cfg.Settings.HostID) }

// Zone returns the availability zone of this host.
func (v *View) Zone() ident.Zone { return ident.Zone(v.cfg.Settings.AvailabilityZone) }

// Role returns the role of this process.
func (v *View) Role() settings.Role { return v.cfg.Role }

// Control returns the client for calls to other processes.
func (v *View) Control() *control.Client { return v.control }

// Ready reports whether the process may serve requests, and if not, the reason.
func (v *View) Ready() (ok bool, reason string) {
	switch {
	case v.snapshot.Load() == nil:
		return false, "no configuration yet: neither the platform nor a peer has answered with one"
	case v.hosts.Load() == nil:
		return false, "no host list yet: neither the platform nor a peer has answered with one"
	}
	if check := v.readyCheck.Load(); check != nil {
		return (*check)()
	}
	return true, ""
}

// RequireReady sets an additional readiness condition of the role. Ready calls it once the configuration
// and the host list are available.
func (v *View) RequireReady(check func() (bool, string)) { v.readyCheck.Store(&check) }

// Subscribe returns a channel that receives a value after each change of the configuration, host list,
// membership or leaving marks. Changes in quick succession may be merged into one value.
func (v *View) Subscribe() chan struct{} {
	c := make(chan struct{}, 1)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.subscribers = append(v.subscribers, c)
	return c
}

// Unsubscribe removes a channel returned by Subscribe.
func (v *View) Unsubscribe(c chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.subscribers = slices.DeleteFunc(v.subscribers, func(x chan struct{}) bool { return x == c })
}

func (v *View) notify() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, c := range v.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// SetLeaving marks this process as leaving and announces it to all other processes. It can't be undone.
func (v *View) SetLeaving() {
	v.leaving.Store(true)
	v.publishState()
	v.gossip.Enqueue(member.MarkLeaving{Name: string(member.MakeID(v.Host(), string(v.cfg.Role)))})
	v.rebuildProcesses()
	v.notify()
}

// SelfLeaving reports whether SetLeaving was called.
func (v *View) SelfLeaving() bool { return v.leaving.Load() }

// LastContact returns the time of the last message from a peer or response from the platform, or zero if
// there was none.
func (v *View) LastContact() time.Duration {
	var peer time.Duration
	v.gossip.View(func(m *member.Machine) { peer = m.LastReceived() })
	v.mu.Lock()
	defer v.mu.Unlock()
	return max(peer, v.lastPlatformRead)
}

// JustPaused reports whether the process was paused within the last second.
func (v *View) JustPaused() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.pauses.JustPaused(v.Now())
}

// ReceivedAt returns the earliest time at which a message that is read now may have arrived. After a pause of
// the process, the message may have waited in the kernel while the sender's clock kept running, so its
// deadline is computed from this time.
func (v *View) ReceivedAt() time.Duration { return v.Now() - v.pauseDelay() }

// pauseDelay returns how long a message that is read now may have waited because the process was paused.
func (v *View) pauseDelay() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.Now()
	switch {
	case now-v.lastTick > pause.Gap:
		return now - v.lastTick // the ticker has not run since the pause
	case v.pauses.JustPaused(now):
		return v.lastPause
	}
	return 0
}

const (
	// tickPeriod is well below pause.Gap, above which a gap between two ticks counts as a pause.
	tickPeriod = 50 * time.Millisecond
	// maxLoadAge and maxPublishAge are the maximum ages of the copied loads and of the published state.
	maxLoadAge    = 2 * tickPeriod
	maxPublishAge = 10 * tickPeriod
)

// tick periodically detects pauses, copies loads and publishes the state of this process to membership. It
// also rebuilds the process list after changes.
func (v *View) tick(ctx context.Context) {
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	var copied, published time.Duration
	grace := time.After(startGrace)
	for {
		select {
		case <-ctx.Done():
			return
		case <-v.membersChanged:
			v.rebuildProcesses()
			v.notify()
			continue
		case <-grace:
			v.rebuildProcesses()
			v.notify()
			continue
		case <-t.C:
		}
		v.checkPause()
		if now := v.Now(); now-copied >= maxLoadAge {
			copied = now
			v.copyLoads()
		}
		if now := v.Now(); now-published >= maxPublishAge {
			published = now
			v.publishState()
		}
	}
}

func (v *View) checkPause() {
	v.mu.Lock()
	recent := v.pauses.JustPaused(v.lastTick)
	v.lastTick = v.Now()
	gap, paused := v.pauses.Tick(v.lastTick)
	switch {
	case paused && recent:
		v.lastPause += gap // a message may have waited through both pauses
	case paused:
		v.lastPause = gap
	}
	v.mu.Unlock()
	if paused {
		v.log.WithField("gap_ms", gap.Milliseconds()).Warn("process was paused")
		v.notify()
	}
}

// startDelay returns a random delay before the first read, which spreads the reads of a mass restart.
func (v *View) startDelay() time.Duration {
	return time.Duration(rand.Int64N(v.cfg.Settings.Platform.StartSpreadMS+1)) * time.Millisecond
}
