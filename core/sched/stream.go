package sched

import (
	"slices"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

// refusalPause is the time for which an engine that refused without a retry-after gets no new work.
const refusalPause = 500 * time.Millisecond

// openHold returns the hold of a session whose stream is open, or nil.
func (s *Scheduler) openHold(id SessionID) *hold {
	h, ok := s.holds[id]
	if !ok || h.state != open || h.att == nil {
		return nil
	}
	return h
}

func (s *Scheduler) accepted(e EngineAccepted) {
	if h := s.openHold(e.Session); h != nil && h.acceptedAt == 0 {
		h.acceptedAt = s.now
	}
}

func (s *Scheduler) token(id SessionID, count int) {
	h := s.openHold(id)
	if h == nil {
		return
	}
	if h.acceptedAt == 0 {
		h.acceptedAt = s.now
	}
	if !h.firstTokenArrived {
		h.firstTokenArrived, h.firstTokenAt = true, s.now
		h.eng.learnFirstToken(s, h)
		s.endPrefill(h)
	} else if n := count - h.att.count; n > 0 {
		h.eng.learnToken(s.now-h.lastTokenAt, n)
	}
	h.lastTokenAt = s.now
	h.att.count = max(h.att.count, count)
	s.schedule(h)
}

func (s *Scheduler) engineEnded(e EngineEnded) {
	h, ok := s.holds[e.Session]
	if !ok {
		return
	}
	if h.state != open {
		s.endedLate(h, e)
		return
	}
	s.releaseCapacity(h, successResult)
	a := h.att
	if h != a.holds[len(a.holds)-1] {
		s.segmentEnded(h, e)
		return
	}
	a.count = max(a.count, e.Count)
	s.close(h)
	s.releaseHolds(a, neutralResult)
	s.endAnswered(a, e.Count)
}

// endedLate handles the end of a session that is being cancelled. A KV cache that it exported still has
// to be released.
func (s *Scheduler) endedLate(h *hold, e EngineEnded) {
	if h.state != cancelling {
		return
	}
	if e.KV == "" {
		s.close(h)
		return
	}
	h.kvHandle = e.KV
	s.setState(h, releasing)
	s.sendRelease(h)
	s.schedule(h)
}

func (s *Scheduler) engineFailed(e EngineFailed) {
	h, ok := s.holds[e.Session]
	if !ok || h.state != open {
		return
	}
	a := h.att
	switch e.Kind {
	case Broken:
		s.failHold(h, outcome.BackendLost)
		return
	case NotSent:
		a.uncertainSends--
		h.eng.suspect(s.now)
		s.releaseCapacity(h, failureResult)
	case RefusedLeaving:
		s.markLeaving(h.eng, s.now)
		s.releaseCapacity(h, neutralResult)
	default:
		pause := max(e.RetryAfter, refusalPause)
		h.eng.pausedUntil = max(h.eng.pausedUntil, s.now+pause)
		s.schedule(h.eng)
		s.releaseCapacity(h, failureResult)
	}
	s.close(h)
	s.releaseHolds(a, neutralResult)
	s.requeue(a, h.eng, outcome.BackendFailed)
}

func (s *Scheduler) cancelAcked(id SessionID) {
	if h, ok := s.holds[id]; ok {
		if h.state == cancelling {
			s.close(h)
		}
		return
	}
	for _, e := range s.enginesByID {
		e.removeForeign(string(id))
	}
}

func (s *Scheduler) cancelFailed(id SessionID) {
	if h, ok := s.holds[id]; ok && h.state == cancelling {
		h.nextRetry = s.now + s.cfg.CancelRetry
	}
}

func (s *Scheduler) kvReleased(id ident.BackendID, handle string) {
	e, ok := s.engines[id]
	if !ok {
		return
	}
	e.strayKV = slices.DeleteFunc(e.strayKV, func(k strayKV) bool { return k.handle == handle })
	for _, h := range e.holds {
		if h.state == releasing && h.kvHandle == handle {
			s.close(h)
			return
		}
	}
}
