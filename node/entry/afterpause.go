package entry

import (
	"context"
	"time"
)

const (
	// staleShare is the part of the time within which all hosts must know of an evacuation. After a longer pause of the process
	// its catalog may be too old to send by; a shorter one leaves time to hear of the evacuation.
	staleShare = 0.4
	// confirmWait bounds the time for which requests are then held. The store answers within a few ms, and the reports of peers
	// arrive every 250 ms; without both, the last known state stays in force.
	confirmWait = time.Second
)

// freshness says whether the catalog may be out of date because the process was paused.
type freshness struct {
	maxPause  time.Duration // longest pause after which requests are sent at once; zero for any
	seen      time.Duration // when the process was last seen running
	resumed   time.Duration // end of the last pause that was longer than maxPause
	confirmed chan struct{} // closed once the store has answered a call that began after it, or confirmWait later; nil after that
}

// newFreshness returns the freshness of a catalog from which all hosts must know of an evacuation within a time, or zero if no
// such time is set.
func newFreshness(within time.Duration) freshness {
	return freshness{maxPause: time.Duration(staleShare * float64(within))}
}

// observe records that the process runs.
func (f *freshness) observe(now time.Duration) {
	if f.maxPause > 0 && f.seen > 0 && now-f.seen > f.maxPause {
		f.resumed = now
		if f.confirmed == nil {
			f.confirmed = make(chan struct{})
		}
	}
	f.seen = max(f.seen, now)
	if f.confirmed != nil && now-f.resumed >= confirmWait {
		f.confirm(now)
	}
}

// confirm ends the waiting if the given time, at which a call that the store has answered began, is after the pause.
func (f *freshness) confirm(began time.Duration) {
	if f.confirmed != nil && began >= f.resumed {
		close(f.confirmed)
		f.confirmed = nil
	}
}

// mayBeStale reports whether requests wait for the store to be read after a pause of the process.
func (h *Host) mayBeStale() bool {
	h.state.mu.Lock()
	defer h.state.mu.Unlock()
	h.state.freshness.observe(h.now())
	return h.state.freshness.confirmed != nil
}

// confirmCatalog records that the store has answered a call that began at the given time.
func (h *Host) confirmCatalog(began time.Duration) {
	h.state.mu.Lock()
	defer h.state.mu.Unlock()
	h.state.freshness.confirm(began)
}

// awaitCatalog waits after a pause of the process until the catalog has been brought up to date, confirmWait has passed or the
// context has ended.
func (h *Host) awaitCatalog(ctx context.Context) {
	h.state.mu.Lock()
	now := h.now()
	f := &h.state.freshness
	f.observe(now)
	confirmed, left := f.confirmed, f.resumed+confirmWait-now
	h.state.mu.Unlock()
	if confirmed == nil {
		return
	}
	end := time.NewTimer(left)
	defer end.Stop()
	select {
	case <-confirmed:
	case <-end.C:
	case <-ctx.Done():
	}
}
