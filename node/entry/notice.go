package entry

import (
	"context"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/core/placement"
	"github.com/rosemaryhill/rosemaryhill/core/retry"
	"github.com/rosemaryhill/rosemaryhill/node/internal/ctxtime"
)

const (
	// stepPause refuses requests while all servers of a service want none.
	stepPause = "pause"
	// pauseShare is the share of the time left of a request's objective for which it waits for the end of a pause, so that it
	// may still be on time.
	pauseShare = 0.5
	// defaultPauseWait is that time for routes without an objective, and startedPauseWait the one for requests that a server
	// may have begun to process: their callers can't be told that nothing has run.
	defaultPauseWait = 100 * time.Millisecond
	startedPauseWait = time.Second
	// pauseJitter spreads the requests that have waited for the end of a pause.
	pauseJitter = 20 * time.Millisecond
)

// errNotWanted is the reason why nothing was sent to a server that was chosen a moment before.
var errNotWanted = Error.New("the server takes no new work")

// recordNotice records what a server, in the lifetime that began at the given start, has said about itself.
func (h *Host) recordNotice(id ident.BackendID, started int64, n Notice) {
	if n == (Notice{}) {
		return
	}
	now := h.now()
	s := h.state
	s.mu.Lock()
	paused := s.pauses.Begin(now, id, n.Pause)
	limited := s.hearLimit(id, n.Limit)
	left := n.Leaving && s.catalog.MarkLeaving(id, started)
	if left {
		s.syncEngines(now)
	}
	s.mu.Unlock()
	if paused {
		h.metrics.notices.Add(1, noticePause)
		h.decisions.write(fields{"server": id, "pause_ms": n.Pause.Milliseconds()}, "server wants no requests")
	}
	if limited {
		h.recordLimit(id, *n.Limit)
	}
	if left {
		h.metrics.notices.Add(1, noticeLeaving)
		h.log.WithField("server", id).Info("server leaving")
		h.requestReport()
	}
}

// hearLimit records what a server has said about its limit and reports whether that differs from what it had said before. The
// state must be locked.
func (s *state) hearLimit(id ident.BackendID, l *Limit) (changed bool) {
	if l == nil || s.limits[id] == *l {
		return false
	}
	s.limits[id] = *l
	if !l.Limited {
		delete(s.limits, id)
	}
	return true
}

// recordLimit logs and counts that a server has named another limit, or none any more.
func (h *Host) recordLimit(id ident.BackendID, l Limit) {
	h.metrics.notices.Add(1, noticeLimit)
	if !l.Limited {
		h.decisions.write(fields{"server": id}, "server limit ended")
		return
	}
	h.decisions.write(fields{"server": id, "per_second": l.PerSecond}, "server limits requests")
}

// wants reports whether a server still takes new work, in the lifetime in which it was chosen.
func (h *Host) wants(srv catalog.Server) bool {
	h.state.mu.Lock()
	defer h.state.mu.Unlock()
	current, ok := h.state.wanting(h.now(), srv.ID)
	return ok && current.Started == srv.Started
}

// wanting returns a server if it takes new work and has not asked for a pause.
func (s *state) wanting(now time.Duration, id ident.BackendID) (srv catalog.Server, ok bool) {
	srv, ok = s.catalog.Server(id)
	return srv, ok && !s.pauses.Active(now, id)
}

// pauseEnd returns when the first server of a service wants requests again. all is false if one does now, or if there is no
// usable one. The state must be locked.
func (s *state) pauseEnd(now time.Duration, service string) (end time.Duration, all bool) {
	return s.pauses.FirstEnd(now, func(yield func(ident.BackendID) bool) {
		for _, srv := range s.ownEngines(service) {
			if !yield(srv.ID) {
				return
			}
		}
	})
}

// awaitPause waits while all servers of the request's service want no requests, if the pause ends soon enough for the
// request. Else it returns a refusal that says when to return.
func (h *Host) awaitPause(ctx context.Context, q *request) *outcome.Error {
	until := h.now() + q.pauseWait(h.now())
	for {
		s := h.state
		s.mu.Lock()
		now := h.now()
		end, all := s.pauseEnd(now, q.service)
		draw := s.rng.Float64()
		s.mu.Unlock()
		switch {
		case !all:
			return nil
		case end > until || ctx.Err() != nil:
			e := outcome.Refuse(stepPause, outcome.Overload, "all servers of "+q.service+" have asked for a pause")
			e.RetryAfter = retry.ReturnAfter(end-now, draw)
			return e
		}
		ctxtime.Sleep(ctx, end-now+time.Duration(draw*float64(pauseJitter)))
	}
}

// pauseWait returns for how long a request may wait for the end of a pause.
func (q *request) pauseWait(now time.Duration) time.Duration {
	if q.mayHaveRun {
		return min(startedPauseWait, q.timeLeft(now)/2)
	}
	left := placement.ObjectiveLeft(now, q.arrived, q.route.Objective)
	if left == 0 {
		return min(defaultPauseWait, q.timeLeft(now)/2)
	}
	return time.Duration(pauseShare * float64(max(0, left)))
}

// returnDelay returns the retry delay for callers whose request no server has run.
func (h *Host) returnDelay(service string) time.Duration {
	s := h.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := h.now()
	if end, all := s.pauseEnd(now, service); all {
		return retry.ReturnAfter(end-now, s.rng.Float64())
	}
	return noBackendRetry
}
