package entry

import (
	"context"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
)

const (
	// watchWait is how long the store holds a watch without changes. A shorter one costs more calls and finds
	// a silent connection sooner.
	watchWait = 5 * time.Second
	// watchSlack is the time beyond the wait after which a watch counts as lost.
	watchSlack = 700 * time.Millisecond
	// readTimeout bounds a read of the store, which answers within a few ms when it is well.
	readTimeout = 1200 * time.Millisecond
	// firstRetry and maxRetry bound the pause after a failed read.
	firstRetry = 60 * time.Millisecond
	maxRetry   = 500 * time.Millisecond
)

// followStore keeps the catalog in line with the store, or with a peer while the store does not answer.
func (h *Host) followStore() {
	pause := firstRetry
	synced := false
	for h.ctx.Err() == nil {
		var err error
		if synced {
			err = h.readChanges()
		} else {
			err = h.readSnapshot()
		}
		if err == nil {
			h.setConnected(true, nil)
			synced = true
			pause = firstRetry
			continue
		}
		synced = synced && !ErrHistory.Has(err)
		if ErrHistory.Has(err) {
			h.log.Info("store history gone, reading all")
			continue
		}
		h.setConnected(false, err)
		ctx, cancel := context.WithTimeout(h.ctx, peerTimeout)
		h.askPeers(ctx)
		cancel()
		sleep(h.ctx, pause)
		pause = min(2*pause, maxRetry)
	}
}

func (h *Host) readSnapshot() error {
	ctx, cancel := context.WithTimeout(h.ctx, readTimeout)
	defer cancel()
	snapshot, err := h.store.Snapshot(ctx)
	if err != nil {
		return err
	}
	s := h.state
	s.mu.Lock()
	refused := s.catalog.Replace(h.now(), snapshot)
	s.published()
	s.mu.Unlock()
	h.logPublished(refused, "snapshot")
	return nil
}

func (h *Host) readChanges() error {
	s := h.state
	s.mu.Lock()
	after := s.catalog.Revision()
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(h.ctx, watchWait+watchSlack)
	defer cancel()
	changes, at, err := h.store.Changes(ctx, after, watchWait)
	if err != nil {
		return err
	}
	h.apply(changes, at)
	return nil
}

func (h *Host) apply(changes []catalog.Change, at uint64) {
	s := h.state
	s.mu.Lock()
	if s.catalog.Config() != nil && !s.connected {
		s.catalog.SourceBack(h.now())
	}
	refused := s.catalog.Apply(h.now(), changes)
	s.catalog.Advance(at)
	if len(changes) > 0 {
		s.published()
	}
	s.mu.Unlock()
	if len(changes) > 0 {
		h.logPublished(refused, "changes")
		h.changed()
	}
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
		s.catalog.SourceBack(h.now())
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
