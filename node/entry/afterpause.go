package entry

import (
	"context"
	"time"
)

const (
	// maxStale is the length of a pause of the process after which its catalog may be too old to send by. A shorter one leaves
	// time to hear of an evacuation within the 5 s in which all hosts must know it.
	maxStale = 2 * time.Second
	// confirmWait bounds the time for which requests are then held. The store answers within a few ms, and the reports of peers
	// arrive every 250 ms; without both, the last known state stays in force.
	confirmWait = time.Second
)

// freshness says whether the catalog may be out of date because the process was paused.
type freshness struct {
	seen      time.Duration // when the process was last seen running
	resumed   time.Duration // end of the last pause that was longer than maxStale
	confirmed chan struct{} // closed once the store has answered a call that began after it, or confirmWait later; nil after that
}

// observe records that the process runs.
func (f *freshness) observe(now time.Duration) {
	if f.seen > 0 && now-f.seen > maxStale {
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
