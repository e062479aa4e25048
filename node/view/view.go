// Package view keeps what a process of either role knows about the system: the accepted configuration,
// the host list, membership and the leaving marks of backend servers. Each duty has one goroutine;
// readers get snapshots and a channel that tells of changes.
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

// Error is the class of all errors of this package.
var Error = errs.Class("view")

type fields = logrus.Fields

// maxCall bounds calls to other processes. It is the longest deadline of a caller, because a forwarded
// posting waits that long; all other calls have a shorter timeout of their own.
const maxCall = time.Hour

// Config says who the process is and where it reads from.
type Config struct {
	Settings      settings.Settings
	Role          settings.Role
	GossipAddress string // listening address of this role
	Obs           *obs.Obs
}

// View is the shared knowledge of one process.
type View struct {
	cfg         Config
	log         *logrus.Entry
	started     time.Time
	incarnation ident.Incarnation
	platform    *platform.Client
	control     *control.Client
	gossip      *gossip.Service

	snapshot atomic.Pointer[Snapshot]
	hosts    atomic.Pointer[platformapi.Hosts]
	roster   atomic.Pointer[[]Process]
	rosterMu sync.Mutex // orders rebuilds of the roster
	loads    atomic.Pointer[map[zoneModel]member.ModelLoad]
	leaving  atomic.Bool // this process
	require  atomic.Pointer[func() (bool, string)]

	mu       sync.Mutex
	fold     *config.Fold
	backends *drain.Backends
	pauses   *pause.Detector
	lastTick time.Duration
	lastGap  time.Duration
	load     []member.ModelLoad
	demand   []member.TeamDemand
	heardAt  time.Duration // last answer of the platform
	subs     []chan struct{}

	configSeen chan member.ConfigVersion
	dirty      chan struct{} // membership changed since the roster was built
	stop       context.CancelFunc
	duties     sync.WaitGroup
}

// Start begins to follow the platform and the peers. It returns at once; Ready tells when the process
// may serve.
func Start(cfg Config) (*View, error) {
	p := cfg.Settings.Platform
	client, err := control.NewClient(control.Config{CallTimeout: maxCall})
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
			// A burst above one would break the budget of the service at a mass restart: 680
			// processes with a burst of 5 may send 4,760 reads in the first second.
			Burst: 1,
		}),
		control:    client,
		fold:       config.NewFold(),
		backends:   drain.NewBackends(drain.Config{}),
		pauses:     pause.New(pause.Config{}),
		configSeen: make(chan member.ConfigVersion, 1),
		dirty:      make(chan struct{}, 1),
		stop:       stop,
	}
	v.gossip, err = gossip.Listen(v.memberConfig(), cfg.GossipAddress, (*gossipHandler)(v))
	if err != nil {
		stop()
		return nil, Error.New("gossip on %s: %w", cfg.GossipAddress, err)
	}
	v.joinSeeds()
	v.rebuildRoster()
	v.checkPause() // a pause before the first period of the ticker counts too
	v.duties.Go(func() { v.followConfig(ctx) })
	v.duties.Go(func() { v.followHosts(ctx) })
	v.duties.Go(func() { v.tick(ctx) })
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

// Close stops all duties.
func (v *View) Close(ctx context.Context) error {
	v.stop()
	v.duties.Wait()
	v.platform.Close()
	return errs.Combine(v.gossip.Close(ctx), v.control.Close())
}

// Now returns the monotonic time since the start of the process's view.
func (v *View) Now() time.Duration { return time.Since(v.started) }

// StartedAt returns the wall clock at monotonic time zero.
func (v *View) StartedAt() time.Time { return v.started }

// Incarnation returns the random number of this start.
func (v *View) Incarnation() ident.Incarnation { return v.incarnation }

// Host returns the id of this host.
func (v *View) Host() ident.HostID { return ident.HostID(v.cfg.Settings.HostID) }

// Zone returns the own availability zone.
func (v *View) Zone() ident.Zone { return ident.Zone(v.cfg.Settings.AvailabilityZone) }

// Role returns the role of this process.
func (v *View) Role() settings.Role { return v.cfg.Role }

// Control returns the client for calls to other processes.
func (v *View) Control() *control.Client { return v.control }

// Ready tells whether the process may serve, and otherwise what is missing.
func (v *View) Ready() (ok bool, reason string) {
	switch {
	case v.snapshot.Load() == nil:
		return false, "no configuration yet: neither the platform nor a peer has answered with one"
	case v.hosts.Load() == nil:
		return false, "no host list yet: neither the platform nor a peer has answered with one"
	}
	if check := v.require.Load(); check != nil {
		return (*check)()
	}
	return true, ""
}

// RequireReady adds a condition of the role to Ready. It is asked once the configuration and the host
// list are held.
func (v *View) RequireReady(check func() (bool, string)) { v.require.Store(&check) }

// Subscribe returns a channel that gets a value after each change of configuration, hosts, membership
// or marks. Changes that follow one another closely come as one.
func (v *View) Subscribe() chan struct{} {
	c := make(chan struct{}, 1)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.subs = append(v.subs, c)
	return c
}

// Unsubscribe drops a channel of Subscribe.
func (v *View) Unsubscribe(c chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.subs = slices.DeleteFunc(v.subs, func(x chan struct{}) bool { return x == c })
}

func (v *View) notify() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, c := range v.subs {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// SetLeaving marks this process as leaving for all others. It can't be taken back.
func (v *View) SetLeaving() {
	v.leaving.Store(true)
	v.publish()
	v.gossip.Enqueue(member.MarkLeaving{Name: string(member.MakeID(v.Host(), string(v.cfg.Role)))})
	v.rebuildRoster()
	v.notify()
}

// SelfLeaving tells whether SetLeaving was called.
func (v *View) SelfLeaving() bool { return v.leaving.Load() }

// LastContact returns the time of the last message from a peer or answer from the platform, or zero if
// there was none.
func (v *View) LastContact() time.Duration {
	var peer time.Duration
	v.gossip.View(func(m *member.Machine) { peer = m.LastReceived() })
	v.mu.Lock()
	defer v.mu.Unlock()
	return max(peer, v.heardAt)
}

// JustPaused tells whether the process was paused within the last second.
func (v *View) JustPaused() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.pauses.JustPaused(v.Now())
}

// ReceivedAt returns when a message that is read now arrived at the latest: it may have waited in the kernel
// while the process was paused, and the sender's clock ran on. The deadline of the message counts from it.
func (v *View) ReceivedAt() time.Duration { return v.Now() - v.pauseSlack() }

// pauseSlack returns how long a message that is read now may have waited for a paused process.
func (v *View) pauseSlack() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.Now()
	switch {
	case now-v.lastTick > pause.Gap:
		return now - v.lastTick // the ticker has not run since the pause
	case v.pauses.JustPaused(now):
		return v.lastGap
	}
	return 0
}

const (
	// tickPeriod is well below the gap that counts as a pause.
	tickPeriod = 50 * time.Millisecond
	// loadAge and publishAge are how old the copied load and the published state may be.
	loadAge    = 2 * tickPeriod
	publishAge = 10 * tickPeriod
)

// tick finds pauses, copies loads, publishes the own state to membership and rebuilds the roster after
// changes.
func (v *View) tick(ctx context.Context) {
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	var copied, published time.Duration
	grace := time.After(startGrace)
	for {
		select {
		case <-ctx.Done():
			return
		case <-v.dirty:
			v.rebuildRoster()
			v.notify()
			continue
		case <-grace:
			v.rebuildRoster()
			v.notify()
			continue
		case <-t.C:
		}
		v.checkPause()
		if now := v.Now(); now-copied >= loadAge {
			copied = now
			v.copyLoads()
		}
		if now := v.Now(); now-published >= publishAge {
			published = now
			v.publish()
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
		v.lastGap += gap // a message may have waited through both
	case paused:
		v.lastGap = gap
	}
	v.mu.Unlock()
	if paused {
		v.log.WithField("gap_ms", gap.Milliseconds()).Warn("process was paused")
		v.notify()
	}
}

// spread returns a random delay for reads after a mass restart.
func (v *View) spread() time.Duration {
	return time.Duration(rand.Int64N(v.cfg.Settings.Platform.StartSpreadMS+1)) * time.Millisecond
}
