package view

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/config"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/member"
	"github.com/rosemaryhill/rosemaryhill/core/owner"
	"github.com/rosemaryhill/rosemaryhill/core/platformapi"
	"github.com/rosemaryhill/rosemaryhill/node/internal/ctxtime"
	"github.com/rosemaryhill/rosemaryhill/node/platform"
	"github.com/rosemaryhill/rosemaryhill/transport/control"
)

const (
	// watchersPerZone is the number of processes per availability zone that watch the platform.
	watchersPerZone = 2
	// electionPeriod is the interval at which a process checks whether it is a watcher.
	electionPeriod = time.Second
	// peerPageSize is the maximum number of entries per response between peers.
	peerPageSize = 64
	// peerTimeout is the timeout of a call to a peer for the configuration or the host list.
	peerTimeout = 2 * time.Second
	// maxPeerTries is the maximum number of known processes that are asked in one round. Together with peers
	// of the settings, at most twice as many are asked.
	maxPeerTries = 3
	// notReadyRetry is the pause between rounds while the process has no host list.
	notReadyRetry = 250 * time.Millisecond
)

// Config returns the accepted configuration, or nil before the first one.
func (v *View) Config() *Snapshot { return v.snapshot.Load() }

// Hosts returns the host list, or nil before the first one.
func (v *View) Hosts() *platformapi.Hosts { return v.hosts.Load() }

// isWatcher reports whether this process is one of its zone's watchers of the platform. Both roles are
// candidates, so that a zone with only dispatchers has watchers too.
func (v *View) isWatcher() bool {
	var cands []owner.Candidate
	self := ident.HostID(member.MakeID(v.Host(), string(v.cfg.Role)))
	for _, p := range v.Processes() {
		if p.Usable() || (p.Host == v.Host() && p.Role == v.cfg.Role) {
			id := ident.HostID(member.MakeID(p.Host, string(p.Role)))
			cands = append(cands, owner.Candidate{Host: id, Zone: p.Zone, Region: p.Region})
		}
	}
	return slices.Contains(owner.Pick(owner.SaltWatcher, v.Zone(), cands, watchersPerZone), self)
}

// followConfig keeps the configuration up to date. It first asks peers. Then a watcher watches the platform,
// and other processes ask peers when gossip announces a newer version.
func (v *View) followConfig(ctx context.Context) {
	if !v.configFromPeers(ctx) {
		ctxtime.Sleep(ctx, v.startDelay())
	}
	for ctx.Err() == nil {
		if v.isWatcher() || v.snapshot.Load() == nil {
			v.watchWhileElected(ctx)
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(electionPeriod):
		case announced := <-v.configSeen:
			v.catchUp(ctx, announced)
		}
	}
}

// watchWhileElected watches the platform until this process is no longer a watcher. It also reads from
// peers, because a stale platform must not hide a version that a peer has.
func (v *View) watchWhileElected(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		v.platform.Follow(ctx, v.cursor(), func(u platform.Update) {
			if !v.applyUpdate(u) {
				cancel() // entries are missing: follow the log again from the cursor
			}
		})
	}()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case announced := <-v.configSeen:
			v.catchUp(ctx, announced)
		case <-time.After(electionPeriod):
			if v.snapshot.Load() == nil {
				v.configFromPeers(ctx)
			} else if !v.isWatcher() {
				cancel()
			}
		}
	}
	<-done
}

func (v *View) cursor() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fold.Cursor()
}

// applyUpdate applies an update from the platform. It returns false if entries are missing before it.
func (v *View) applyUpdate(u platform.Update) (noGap bool) {
	if u.Err != nil {
		v.log.WithFields(fields{"step": "config_watch", "error": u.Err.Error()}).Warn("platform not read")
		return true
	}
	v.mu.Lock()
	v.lastPlatformRead = v.Now()
	v.mu.Unlock()
	entries := u.Entries.Entries
	if len(entries) == 0 {
		return true
	}
	v.applyEntries("platform", entries[0].Number-1, entries)
	return v.cursor() >= entries[0].Number || entries[0].Parts > 1
}

// applyEntries applies log entries and installs the resulting configuration if one was accepted. It reports
// whether the cursor advanced.
func (v *View) applyEntries(source string, after uint64, entries []platformapi.Entry) (progress bool) {
	v.mu.Lock()
	cursor := v.fold.Cursor()
	verdicts := v.fold.Apply(after, entries)
	accepted := v.fold.Config()
	progress = v.fold.Cursor() > cursor
	v.mu.Unlock()
	for _, r := range verdicts {
		v.logVerdict(source, r)
	}
	old := v.snapshot.Load()
	if accepted != nil && (old == nil || old.Version != accepted.Version) {
		v.installConfig(accepted)
	}
	return progress
}

func (v *View) logVerdict(source string, r config.Verdict) {
	l := v.log.WithFields(fields{"step": "config", "peer": source, "number": r.Number, "result": r.Result.String()})
	switch r.Result {
	case config.Accepted:
		l.Info("configuration entry")
	case config.Conflict:
		l.WithField("reason", r.Reason).Error("configuration conflict, held version kept")
	case config.Rejected, config.Missing:
		l.WithField("reason", r.Reason).Warn("configuration entry")
	}
}

// installConfig makes c the current configuration. It is also called with the current configuration to
// derive its lists again for a new host list.
func (v *View) installConfig(c *config.Config) {
	regions := map[ident.Zone]string{v.Zone(): v.cfg.Settings.Region}
	if hosts := v.hosts.Load(); hosts != nil {
		for _, h := range hosts.Hosts {
			regions[ident.Zone(h.AvailabilityZone)] = h.Region
		}
	}
	v.snapshot.Store(newSnapshot(c, func(z ident.Zone) string { return regions[z] }))
	v.publishState()
	v.notify()
}

// catchUp fetches a configuration version announced by gossip, from peers or else from the platform.
func (v *View) catchUp(ctx context.Context, announced member.ConfigVersion) {
	s := v.snapshot.Load()
	if s != nil && announced.Version == s.Version && announced.Digest != s.ShortDigest() {
		v.log.WithFields(fields{"version": announced.Version, "digest": announced.Digest}).Error("a peer holds the same configuration version with another digest")
		return
	}
	if s != nil && announced.Version <= s.Version {
		return
	}
	if v.configFromPeers(ctx) {
		return
	}
	got, err := v.platform.Entries(ctx, v.cursor())
	v.applyUpdate(platform.Update{Entries: got, Err: err})
}

// configFromPeers reads the log from a few peers and reports whether one of them had new entries.
func (v *View) configFromPeers(ctx context.Context) (progress bool) {
	for _, addr := range v.peers() {
		for v.configFromPeer(ctx, addr) {
			progress = true
		}
		if progress {
			return true
		}
	}
	return false
}

// configFromPeer reads one page of the log from a peer and reports whether it advanced the cursor.
func (v *View) configFromPeer(ctx context.Context, addr string) (progress bool) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	after := v.cursor()
	r, err := v.control.ConfigSince(ctx, addr, &control.ConfigSinceRequest{After: ident.Version(after), Limit: peerPageSize})
	if err != nil {
		v.log.WithFields(fields{"step": "config_since", "peer": addr, "error": err.Error()}).Debug("configuration not read from peer")
		return false
	}
	return len(r.Entries) > 0 && v.applyEntries(addr, after, r.Entries)
}

// peers returns the control addresses of the peers to ask: processes of the own zone, processes of other
// zones and the peers of the settings, each group in random order. Dead processes are left out.
func (v *View) peers() []string {
	var near, far []string
	for _, p := range v.Processes() {
		switch {
		case p.Entry.ControlAddress == "" || p.State == member.Dead || p.Host == v.Host():
		case p.Zone == v.Zone():
			near = append(near, p.Entry.ControlAddress)
		default:
			far = append(far, p.Entry.ControlAddress)
		}
	}
	out := append(shuffled(near), shuffled(far)...)
	out = append(out[:min(len(out), maxPeerTries)], shuffled(v.cfg.Settings.Platform.Peers)...)
	return out[:min(len(out), 2*maxPeerTries)]
}

func shuffled(in []string) []string {
	out := slices.Clone(in)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// ConfigSince returns a page of the log for a peer.
func (v *View) ConfigSince(after uint64, limit int) *control.ConfigSinceReply {
	if limit <= 0 || limit > peerPageSize {
		limit = peerPageSize
	}
	v.mu.Lock()
	e := v.fold.Since(after, limit)
	v.mu.Unlock()
	r := &control.ConfigSinceReply{Entries: e.Entries}
	if s := v.snapshot.Load(); s != nil {
		r.Version, r.Digest = s.Version, s.ShortDigest()
	}
	if n := len(e.Entries); n > 0 {
		r.More = e.Entries[n-1].Number < e.Head
	}
	return r
}

// CheckPatch validates a patch against its base version without publishing it.
func (v *View) CheckPatch(base uint64, body json.RawMessage) config.Verdict {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fold.Check(platformapi.KindPatch, base, body)
}

// ConfigBody returns the accepted configuration as JSON.
func (v *View) ConfigBody() json.RawMessage {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fold.Body()
}
