package entry

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/eligibility"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// ineligibleError says why nothing was sent to a server that was chosen a moment before.
type ineligibleError struct{ why eligibility.Reason }

// Error implements error.
func (e ineligibleError) Error() string { return "the server takes no new work: " + e.why.String() }

// recordNotice records what a server, in the lifetime that began at the given start, has said about itself with the answer to
// a request or order that was sent at a time.
func (h *Host) recordNotice(id ident.BackendID, started int64, sentAt time.Duration, n Notice) {
	if n == (Notice{}) {
		return
	}
	now := h.now()
	s := h.state
	s.mu.Lock()
	paused := s.pauses.Begin(now, id, n.Pause)
	limitChanged := s.hearLimit(now, sentAt, id, started, n.Limit)
	if n.Cold > 0 {
		s.cold.Answer(now, id, started, n.Cold, s.latestRevision())
		s.publishCold(now)
	}
	left := n.Leaving && s.catalog.MarkLeaving(id, started)
	if left {
		s.syncEngines(now)
	}
	s.mu.Unlock()
	if paused {
		h.metrics.notices.Add(1, noticePause)
		h.decisions.write(fields{"server": id, "pause_ms": n.Pause.Milliseconds()}, "server wants no requests")
	}
	if n.Cold > 0 {
		h.logCold()
	}
	if limitChanged {
		signal(h.limitNews)
		h.recordLimit(id, *n.Limit, heardFromServer)
	}
	if left {
		h.metrics.notices.Add(1, noticeLeaving)
		h.log.WithField("server", id).Info("server leaving")
		h.requestReport()
	}
}
