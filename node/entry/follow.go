package entry

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/member"
)

const (
	// watchWait is how long the store holds a watch without changes. Hosts must be up to date 5 s after the
	// store is well again, also when it has swallowed a watch; a shorter wait costs more calls.
	watchWait = 3 * time.Second
	// watchSlack is the time beyond the wait after which a watch counts as lost.
	watchSlack = 700 * time.Millisecond
	// readTimeout bounds a read of the store, which answers within a few ms when it is well.
	readTimeout = 1200 * time.Millisecond
	// firstRetry and maxRetry bound the pause after a failed read.
	firstRetry = 60 * time.Millisecond
	maxRetry   = 700 * time.Millisecond
	// readersPerZone lets one reader be lost or frozen without a gap.
	readersPerZone = 2
	// behindGrace is how long a watch may lag behind what peers know before it counts as dead.
	behindGrace = 250 * time.Millisecond
	// standByCheck is how often a host that reads nothing looks whether it has to.
	standByCheck = 250 * time.Millisecond
)

// followStore keeps the catalog in line with the store. Each availability zone has a few readers that watch
// the store; the other hosts learn from peers what the readers have. A host that knows nothing, or that hears
// too few readers, reads the store itself.
func (h *Host) followStore() {
	pause := firstRetry
	synced, well := false, true
	for h.ctx.Err() == nil {
		if h.hasState() && !h.isReader() {
			h.standBy()
			continue
		}
		err := h.readStore(synced, well)
		switch {
		case err == nil:
			h.setConnected(true, nil)
			synced, well = true, true
			pause = firstRetry
		case ErrCompacted.Has(err):
			h.log.Info("store history gone, reading all")
			synced = false
		case h.takeResync():
			well = false
			h.askPeers(h.ctx)
		default:
			well = false
			h.setConnected(false, err)
			h.askPeers(h.ctx)
			sleep(h.ctx, h.jitter(pause))
			pause = min(2*pause, maxRetry)
		}
	}
}

// readStore reads once. After a failure it asks for changes without waiting, since a store that is still silent
// would swallow a watch.
func (h *Host) readStore(synced, well bool) error {
	switch {
	case !synced:
		return h.readSnapshot()
	case well:
		return h.readChanges(watchWait, watchWait+watchSlack)
	default:
		return h.readChanges(0, readTimeout)
	}
}

// takeResync reports whether the last watch was given up by this host itself.
func (h *Host) takeResync() bool { return h.resynced.Swap(false) }

// hasState reports whether a configuration is known, be it from the store or from a peer.
func (h *Host) hasState() bool {
	h.state.mu.Lock()
	defer h.state.mu.Unlock()
	return h.state.catalog.Config() != nil
}

// jitter returns a time between half of d and d, so that hosts do not return to the store together.
func (h *Host) jitter(d time.Duration) time.Duration {
	h.state.mu.Lock()
	defer h.state.mu.Unlock()
	return d/2 + time.Duration(h.state.rng.Int63n(int64(d/2)+1))
}

// standBy waits until a peer knows more, and asks it.
func (h *Host) standBy() {
	h.state.mu.Lock()
	h.state.connected = false
	h.state.catalog.SourceRestored(h.now()) // others read the store, so it answers
	h.state.mu.Unlock()
	select {
	case <-h.behind:
	case <-time.After(standByCheck):
	case <-h.ctx.Done():
		return
	}
	h.askPeers(h.ctx)
}

// isReader reports whether this host has to read the store: fewer than readersPerZone hosts of its zone that
// rank above it report that they do.
func (h *Host) isReader() bool {
	now := h.now()
	s := h.state
	s.mu.Lock()
	defer s.mu.Unlock()
	own := readerRank(s.self)
	above := 0
	for addr, p := range s.peers {
		if p.connected && !p.leaving && p.zone == s.zone && now-p.heard < silence && readerRank(addr) > own {
			above++
		}
	}
	return above < readersPerZone
}

// readerRank orders hosts by a hash, so that the readers of a zone are spread over its hosts.
func readerRank(a member.Addr) uint64 { return xxhash.Sum64String(string(a)) }

func (h *Host) readSnapshot() error {
	ctx, cancel := context.WithTimeout(h.ctx, readTimeout)
	defer cancel()
	snapshot, err := h.store.Snapshot(ctx)
	if err != nil {
		return err
	}
	h.publish("snapshot", func(t *catalog.Table) bool { return t.Replace(h.now(), snapshot) })
	return nil
}

// publish changes what is known of the platform, whatever the source, and lets the rest of the host and its
// peers know. change reports whether an older configuration was refused.
func (h *Host) publish(source string, change func(*catalog.Table) (refused bool)) {
	s := h.state
	s.mu.Lock()
	refused := change(s.catalog)
	s.published()
	s.mu.Unlock()
	h.logPublished(refused, source)
	h.changed()
}

func (h *Host) readChanges(wait, timeout time.Duration) error {
	s := h.state
	s.mu.Lock()
	after := s.catalog.Revision()
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(h.ctx, timeout)
	defer cancel()
	defer h.cancelOnResync(ctx, cancel)()
	changes, at, err := h.store.Changes(ctx, after, wait)
	if err != nil {
		return err
	}
	if len(changes) > 0 {
		h.publish("changes", func(t *catalog.Table) bool { return t.Apply(h.now(), changes) })
	}
	s.mu.Lock()
	s.catalog.Advance(at)
	s.mu.Unlock()
	return nil
}

// cancelOnResync ends a watch whose connection may be dead: when the process was paused, or when peers know
// more for longer than news takes. The returned function ends the observation.
func (h *Host) cancelOnResync(ctx context.Context, cancel context.CancelFunc) func() {
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-h.resync:
			case <-h.behind:
				sleep(ctx, behindGrace)
				if _, _, behind := h.newestPeer(); !behind || ctx.Err() != nil {
					continue
				}
				h.log.Info("peers know more, watch given up")
			case <-done:
				return
			case <-ctx.Done():
				return
			}
			h.resynced.Store(true)
			cancel()
			return
		}
	}()
	return func() { close(done) }
}

// logPublished writes what the host now believes of the platform.
func (h *Host) logPublished(refused bool, source string) {
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

// setConnected notes whether the store answers, and logs changes of that.
func (h *Host) setConnected(connected bool, cause error) {
	s := h.state
	s.mu.Lock()
	was := s.connected
	s.connected = connected
	if connected {
		s.catalog.SourceRestored(h.now())
	} else {
		s.catalog.SourceLost()
	}
	s.mu.Unlock()
	switch {
	case connected && !was:
		h.log.Info("store regained")
	case !connected && was:
		h.log.WithField("error", cause.Error()).Warn("store lost")
	}
}

// sleep waits, or returns earlier when the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
