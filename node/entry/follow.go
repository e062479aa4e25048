package entry

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/member"
	"github.com/rosemaryhill/rosemaryhill/core/peers"
	"github.com/rosemaryhill/rosemaryhill/node/internal/ctxtime"
	"github.com/rosemaryhill/rosemaryhill/node/internal/httpguard"
	"github.com/rosemaryhill/rosemaryhill/node/obs"
)

const (
	// watchWait is how long the store holds a watch open without changes. Hosts must be up to date 5 s after
	// the store has recovered, also when it has dropped a watch without an error. A shorter wait costs more
	// calls.
	watchWait = 3 * time.Second
	// watchGrace is the time beyond watchWait after which a watch is overdue.
	watchGrace = 700 * time.Millisecond
	// firstWatchWait is watchWait for the first reader of all hosts. Connections may fall silent together, and the others hear of
	// changes from it then: within 2 s of a change, firstWatchGrace, the read and peerAheadGrace included.
	firstWatchWait = time.Second
	// firstWatchGrace is watchGrace for the first reader.
	firstWatchGrace = 400 * time.Millisecond
	// readTimeout bounds a read of changes that does not wait for any. A healthy store answers within a few ms.
	readTimeout = 1200 * time.Millisecond
	// burstTime is the time between a change and the next call. Servers often come and go together, and each change that is
	// read alone costs every reader a call.
	burstTime = 100 * time.Millisecond
	// readInterval and readBurst bound the reads of the store, whatever it answers: a read for each interval, and some at once.
	readInterval = burstTime
	readBurst    = 5
	// firstRetry and maxRetry bound the backoff after a failed read, for the hosts that read first.
	firstRetry = 60 * time.Millisecond
	maxRetry   = 700 * time.Millisecond
	// maxStandInRetry bounds the backoff of the others. They matter when the store turns away the hosts before them.
	maxStandInRetry = 10 * time.Second
	// readersPerZone is the number of hosts per availability zone that read the store. With two, updates
	// continue when one is lost or frozen.
	readersPerZone = 2
	// peerAheadGrace is how long a watch may lag behind the revision of a peer before it counts as dead.
	peerAheadGrace = 250 * time.Millisecond
	// standByInterval is how often a host that does not read the store checks whether it has to.
	standByInterval = 250 * time.Millisecond
)

// followStore keeps the catalog up to date with the store. In each availability zone a few readers watch the
// store, and the other hosts fetch updates from them. A host without a configuration, or one that gets reports
// from too few readers, reads the store itself.
func (h *Host) followStore() {
	failures := 0
	synced, healthy := false, true
	reads := rate.NewLimiter(rate.Every(readInterval), readBurst)
	for h.ctx.Err() == nil {
		if h.hasConfig() && !h.isReader() {
			if h.mayBeStale() || h.peersFail() {
				h.catchUp()
			}
			h.standBy()
			continue
		}
		if reads.Wait(h.ctx) != nil {
			return
		}
		err := h.readStore(synced, healthy && !h.mayBeStale())
		switch {
		case err == nil:
			h.setStoreConnected(true, nil)
			synced, healthy = true, true
			failures = 0
		case needsSnapshot(err):
			h.log.WithField("cause", err.Error()).Info("reading a snapshot of the store")
			synced = false
		case h.takeWatchCancelled():
			healthy = false
			h.fetchFromPeer(h.ctx, anyZone)
		case failures == 0 && h.isStoreConnected() && !isTimeout(err):
			// The store may cut a watch, or turn a call away, while it is available. The next call tells an outage from that.
			h.recordStoreFailure(err)
			healthy = false
			failures++
			h.followPeers(h.jitter(firstRetry), anyZone)
		default:
			h.recordStoreFailure(err)
			healthy = false
			h.setStoreConnected(false, err)
			h.fetchFromPeer(h.ctx, anyZone)
			h.followPeers(h.jitter(retryPause(failures, h.hostsBefore())), anyZone)
			failures++
		}
	}
}

// catchUp reads the store once, for a host that follows its peers otherwise: after a pause of the process, since it can't tell how
// old their reports are, or when calls to them fail.
func (h *Host) catchUp() {
	h.resetPeerCalls()
	err := h.readChanges(0, readTimeout)
	if needsSnapshot(err) {
		err = h.readSnapshot()
	}
	if err != nil {
		h.log.WithField("error", err.Error()).Warn("store not read while following peers")
	}
}

// needsSnapshot reports whether the changes since the own revision can't be read from the store.
func needsSnapshot(err error) bool { return ErrCompacted.Has(err) || ErrRestored.Has(err) }

func (h *Host) recordStoreFailure(err error) {
	cause := "other"
	if isTimeout(err) {
		cause = "timeout"
	}
	h.metrics.storeFailures.Add(1, cause)
	h.log.WithFields(fields{"cause": cause, "error": err.Error()}).Debug("store read failed")
}

// isTimeout reports whether a read failed because nothing came from the store for too long, rather than by an answer or the end of
// a connection, which show that something runs there.
func isTimeout(err error) bool {
	for ; err != nil; err = errors.Unwrap(err) { // outer errors do not all pass on what the inner ones say
		if t, ok := err.(interface{ Timeout() bool }); ok && t.Timeout() {
			return true
		}
	}
	return false
}

// retryPause returns the time to wait after a number of failed reads. The more hosts of the zone read before this one, the
// longer it waits, so that the calls to a store that is down hardly grow with the fleet.
func retryPause(failures, hostsBefore int) time.Duration {
	if hostsBefore < readersPerZone {
		return min(firstRetry<<min(failures, 10), maxRetry)
	}
	return min(maxRetry*time.Duration(1+hostsBefore/readersPerZone), maxStandInRetry)
}

// readStore reads once. After a failure it asks for changes without waiting, since a store that is still
// unresponsive would never answer a watch.
func (h *Host) readStore(synced, healthy bool) error {
	switch {
	case !synced:
		return h.readSnapshot()
	case healthy:
		wait := watchWait
		if h.isFirstReader() {
			wait = firstWatchWait
		}
		return h.readChanges(wait, watchWait+watchGrace+readTimeout)
	default:
		return h.readChanges(0, readTimeout)
	}
}

// takeWatchCancelled reports whether this host itself cancelled the last watch, and resets the flag.
func (h *Host) takeWatchCancelled() bool { return h.watchCancelled.Swap(false) }

// hasConfig reports whether a configuration is known, from the store or from a peer.
func (h *Host) hasConfig() bool {
	h.state.mu.Lock()
	defer h.state.mu.Unlock()
	return h.state.catalog.Config() != nil
}

// jitter returns a duration between half of d and d, so that hosts do not return to the store at the same time.
func (h *Host) jitter(d time.Duration) time.Duration {
	h.state.mu.Lock()
	defer h.state.mu.Unlock()
	return d/2 + time.Duration(h.state.rng.Int63n(int64(d/2)+1))
}

// standBy follows peers of the own availability zone for an interval.
func (h *Host) standBy() {
	h.state.mu.Lock()
	h.state.storeConnected = false
	h.state.catalog.SourceRestored(h.now()) // other hosts read the store, so it is available
	h.state.mu.Unlock()
	h.followPeers(standByInterval, ownZone)
}

// followPeers fetches what peers have as soon as they report it, and returns after the given time. What peers outside the
// scope have is fetched at the end.
func (h *Host) followPeers(d time.Duration, scope peerScope) {
	end := time.NewTimer(d)
	defer end.Stop()
	for {
		select {
		case <-h.peerAhead:
			h.fetchFromPeer(h.ctx, scope)
			if scope == ownZone && h.peersFail() {
				return // a host that reads the store goes on waiting
			}
		case <-end.C:
			h.fetchFromPeer(h.ctx, anyZone)
			return
		case <-h.ctx.Done():
			return
		}
	}
}

// isReader reports whether this host has to read the store. That is the case if fewer than readersPerZone hosts
// of its zone with a higher rank report that they read it.
func (h *Host) isReader() bool {
	return h.countHigherRanked(func(p *peers.Peer) bool { return p.StoreConnected }) < readersPerZone
}

// isFirstReader reports whether no host of any zone that reads the store ranks higher.
func (h *Host) isFirstReader() bool {
	s := h.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peers.CountHigherRanked(h.now(), readerRank, func(p *peers.Peer) bool { return p.StoreConnected }) == 0
}

// hostsBefore returns the number of hosts of the own zone that read the store before this one.
func (h *Host) hostsBefore() int {
	return h.countHigherRanked(func(*peers.Peer) bool { return true })
}

// countHigherRanked counts the live hosts of the own zone with a higher rank that satisfy the condition.
func (h *Host) countHigherRanked(counts func(*peers.Peer) bool) int {
	s := h.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peers.CountHigherRanked(h.now(), readerRank, func(p *peers.Peer) bool {
		return p.Zone == s.peers.Zone() && counts(p)
	})
}

// readerRank ranks hosts by a hash, so that the readers of a zone are spread over its hosts.
func readerRank(a member.Addr) uint64 { return xxhash.Sum64String(string(a)) }

func (h *Host) readSnapshot() error {
	began := h.now()
	snapshot, err := h.store.Snapshot(h.ctx)
	if err != nil {
		return err
	}
	if held := h.revision(); snapshot.Revision.Era() < held.Era() {
		return Error.New("step=snapshot: revision %s of the store is of an era before that of %s", snapshot.Revision, held)
	}
	h.updateCatalog("snapshot", func(t *catalog.Table) bool { return t.Replace(h.now(), snapshot) })
	h.confirmCatalog(began)
	return nil
}

// updateCatalog applies a change from the store or a peer to the catalog, updates the state that depends on it
// and requests a report to the peers. change reports whether an older configuration was refused.
func (h *Host) updateCatalog(source string, change func(*catalog.Table) (refused bool)) {
	s := h.state
	s.mu.Lock()
	before, held := s.catalog.Evacuations(), s.catalog.Revision()
	refused := change(s.catalog)
	after := s.catalog.Evacuations()
	s.syncEngines(h.now())
	if !slices.Equal(before, after) {
		for _, wake := range s.wake {
			wake() // the servers that it waits for may be gone
		}
	}
	revision := s.catalog.Revision()
	h.setCallerLimits(s.catalog.Config())
	s.mu.Unlock()
	h.logRestored(held, revision, source)
	h.logUnreadable()
	h.logEvacuations(before, after, revision, source)
	h.logCatalog(refused, source)
	h.logCold()
	h.requestReport()
	signal(h.catalogChanged)
}

// setCallerLimits applies the limits of a configuration to what callers send.
func (h *Host) setCallerLimits(c *catalog.Config) {
	if c == nil {
		return
	}
	h.guard.SetLimits(httpguard.Limits{
		HeadBytes: c.Limits.MaxHeaderBytes, HeadTime: c.Limits.HeaderTimeout, IdleTime: c.Limits.IdleTimeout,
	})
}

// advance records that there are no other changes up to a revision.
func (h *Host) advance(revision ident.Revision) {
	h.state.mu.Lock()
	defer h.state.mu.Unlock()
	h.state.catalog.Advance(revision)
}

func (h *Host) readChanges(wait, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(h.ctx, timeout)
	defer cancel()
	defer h.cancelOnResync(ctx, cancel, wait > 0)()
	began := h.now()
	changes, at, err := h.store.Changes(ctx, h.revision(), wait)
	if err != nil {
		return err
	}
	if len(changes) > 0 {
		h.updateCatalog("changes", func(t *catalog.Table) bool { return t.Apply(h.now(), changes) })
	}
	h.advance(at)
	h.confirmCatalog(began)
	if len(changes) > 0 {
		ctxtime.Sleep(h.ctx, burstTime)
	}
	return nil
}

// cancelOnResync cancels a read whose connection may be dead: after the process was paused, and a watch also when peers have
// had a newer revision for longer than updates take to arrive, or when it is overdue. An overdue watch is no outage, since the store may only be slow or the connection silent: the next read tells. The returned function stops the monitoring.
func (h *Host) cancelOnResync(ctx context.Context, cancel context.CancelFunc, watch bool) func() {
	done := make(chan struct{})
	go func() {
		var overdue <-chan time.Time
		var peerAhead <-chan struct{} // a read that does not wait brings the news itself
		if watch {
			overdue, peerAhead = time.After(firstWatchWait+firstWatchGrace), h.peerAhead
		}
		began := h.now()
		for {
			select {
			case <-overdue:
				if h.now()-began < watchWait+watchGrace && !h.isFirstReader() {
					overdue = time.After(standByInterval)
					continue
				}
				h.log.Info("watch overdue and cancelled")
			case <-h.resync:
			case <-peerAhead:
				ctxtime.Sleep(ctx, peerAheadGrace)
				if _, _, behind := h.peerAheadIn(anyZone); !behind || ctx.Err() != nil {
					continue
				}
				h.log.Info("peers have a newer revision, watch cancelled")
			case <-done:
				return
			case <-ctx.Done():
				return
			}
			h.watchCancelled.Store(true)
			cancel()
			return
		}
	}()
	return func() { close(done) }
}

// logCatalog logs the state of the catalog after an update.
func (h *Host) logCatalog(refused bool, source string) {
	s := h.state
	s.mu.Lock()
	f := fields{"source": source, "revision": s.catalog.Revision()}
	if c := s.catalog.Config(); c != nil {
		f["config"] = uint64(c.Version)
		f["routes"] = len(c.Routes)
		for _, svc := range c.Services {
			f["servers_"+svc.Name] = len(s.catalog.Usable(svc.Name))
		}
	}
	s.mu.Unlock()
	if refused {
		h.log.WithFields(f).Warn("older configuration refused")
		return
	}
	h.log.WithFields(f).Info("published state applied")
}

// logRestored logs that the store has come back from a copy, if the era has changed.
func (h *Host) logRestored(before, after ident.Revision, source string) {
	if before == 0 || before.Era() == after.Era() {
		return
	}
	h.log.WithFields(fields{"revision": after, "before": before, "source": source}).WithContext(obs.Essential).
		Warn("store came back from an older copy")
}

// unreadableInterval is the time between two log lines while a configuration can't be read.
const unreadableInterval = 10 * time.Second

// logUnreadable logs that the published configuration can't be read, at once and again while that lasts. The host stays ready: the
// configuration before it is right for most requests, and all hosts are in the same situation.
func (h *Host) logUnreadable() {
	s := h.state
	s.mu.Lock()
	cause, revision, now := s.catalog.Unreadable(), s.catalog.Revision(), h.now()
	due := cause != "" && (cause != s.unreadable || now >= s.unreadableLogAt)
	s.unreadable = cause
	if due {
		s.unreadableLogAt = now + unreadableInterval
	}
	f := fields{"error": cause, "revision": revision}
	if c := s.catalog.Config(); c != nil {
		f["config"] = uint64(c.Version)
	}
	s.mu.Unlock()
	if due {
		h.log.WithFields(f).WithContext(obs.Essential).Error("published configuration can't be read, an older one is in force")
	}
}

// logEvacuations logs which zones an update has evacuated or taken back. The revision of a zone that was taken back is the one
// that the host has reached: its key no longer has one.
func (h *Host) logEvacuations(before, after []catalog.Evacuation, reached ident.Revision, source string) {
	in := func(list []catalog.Evacuation, zone string) bool {
		return slices.ContainsFunc(list, func(e catalog.Evacuation) bool { return e.Zone == zone })
	}
	for _, e := range after {
		if !in(before, e.Zone) {
			h.log.WithFields(fields{"zone": e.Zone, "revision": e.Revision, "source": source}).WithContext(obs.Essential).Info("zone evacuated")
		}
	}
	for _, e := range before {
		if !in(after, e.Zone) {
			h.log.WithFields(fields{"zone": e.Zone, "revision": reached, "source": source}).WithContext(obs.Essential).Info("zone taken back")
		}
	}
}

func (h *Host) isStoreConnected() bool {
	h.state.mu.Lock()
	defer h.state.mu.Unlock()
	return h.state.storeConnected
}

// setStoreConnected records whether the store answers and logs a change.
func (h *Host) setStoreConnected(connected bool, cause error) {
	s := h.state
	s.mu.Lock()
	was := s.storeConnected
	s.storeConnected = connected
	if connected {
		s.catalog.SourceRestored(h.now())
	} else {
		s.catalog.SourceLost()
	}
	s.mu.Unlock()
	switch {
	case connected && !was:
		h.log.WithContext(obs.Essential).Info("store regained")
	case !connected && was:
		h.log.WithContext(obs.Essential).WithField("error", cause.Error()).Warn("store lost")
	}
}
