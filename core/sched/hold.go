package sched

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/limits"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

// releasedSessionTTL is how long a released session is remembered if no newer report arrives. A report
// that is later than this makes the scheduler cancel the session again, which is harmless.
const releasedSessionTTL = time.Minute

type holdState uint8

const (
	planned    holdState = iota // gang segment that has not been sent yet
	open                        // sent, the stream is not closed
	exported                    // segment done, its KV cache is kept for the segments after it
	cancelling                  // CancelSession is sent until acknowledged or until a newer report lacks the session
	releasing                   // ReleaseKV is sent until acknowledged or until a newer report lacks session and handle
	done                        // remembered, so that a session in a late report is not taken for a leak
)

// hold is a reservation of engine memory for one session. Its tokens count against the engine from the
// step that plans it until free is called.
type hold struct {
	timerSlot
	eng      *engine
	att      *attempt // nil once the attempt no longer uses the hold
	session  SessionID
	state    holdState
	tokens   int
	batch    bool
	freed    bool
	from, to int // prompt segment

	priority          int
	prefill           int // tokens counted as queued prefill of the engine
	isLong            bool
	workAtSend        int   // prefill tokens to run before the first token, when sent
	overtakingAtSend  int64 // overtakingPrefill of the engine for the priority, when sent
	predicted         time.Duration
	sentAt            time.Duration
	acceptedAt        time.Duration // zero if not accepted
	stateChangedAt    time.Duration
	firstTokenAt      time.Duration
	lastTokenAt       time.Duration
	keptUntil         time.Duration // a silent engine keeps the attempt until then, as no other one can take it
	firstTokenArrived bool
	nextRetry         time.Duration // time of the next CancelSession or ReleaseKV
	deadline          time.Duration
	kvHandle          string
	lease             limits.Lease
	leased            bool
}

type leaseResult = limits.Result

const (
	successResult = limits.Success
	failureResult = limits.Failure
	neutralResult = limits.Neutral
)

func (h *hold) slot() *timerSlot { return &h.timerSlot }

func (h *hold) due(s *Scheduler) time.Duration {
	switch h.state {
	case open:
		return h.hangDeadline(s)
	case cancelling, releasing:
		return h.nextRetry
	case done:
		return h.stateChangedAt + releasedSessionTTL
	}
	return never
}

// minTokenTimeout is the shortest timeout; it keeps the jitter of a busy engine from counting as a
// hang.
const minTokenTimeout = time.Second

// hangDeadline returns the time from which the engine counts as hung if no token arrives. Prefill that
// was sent after this session but runs before it by priority delays its first token and extends the
// time.
func (h *hold) hangDeadline(s *Scheduler) time.Duration {
	expected, delay, limit := h.expectedToken(s)
	return max(h.keptUntil, expected+delay+h.tokenTimeout(limit, expected))
}

// expectedToken returns the time from which the engine counts as silent, by how much overtaking prefill delays it, and the
// longest silence of a sound engine.
func (h *hold) expectedToken(s *Scheduler) (at, delay, limit time.Duration) {
	if h.firstTokenArrived {
		return h.lastTokenAt, 0, s.cfg.TokenTimeout
	}
	overtaken := h.eng.overtakingPrefill[h.priority] - h.overtakingAtSend
	return h.sentAt + h.predicted, seconds(float64(overtaken) / h.eng.rate(s)), s.cfg.FirstTokenSlack
}

// keep reports whether the attempt stays at a silent engine: no other engine can take it now, and the silence is still
// shorter than that of a hung engine. It is checked again after minTokenTimeout.
func (h *hold) keep(s *Scheduler) bool {
	expected, delay, limit := h.expectedToken(s)
	hung := expected + delay + limit
	if s.now >= hung || s.hasReplacement(h) {
		return false
	}
	h.keptUntil = min(hung, s.now+minTokenTimeout)
	return true
}

// hasReplacement reports whether another engine can take the attempt now. Attempts that are split among several engines
// are placed anew as a whole.
func (s *Scheduler) hasReplacement(h *hold) bool {
	if h.att == nil {
		return true
	}
	p := s.planFor(h.att)
	if p.kind != planSingle {
		return true
	}
	for _, e := range s.enginesByID {
		if e != h.eng && s.fits(e, h.att, p, &dispatchPass{}) {
			return true
		}
	}
	return false
}

// tokenTimeout returns the time without a token, counted from the given time, after which the engine
// counts as hung: the limit, but at most a third of the time that the attempt then has left if another engine can take
// it. A request with 5 s left must not lose all of it to an engine that hangs.
func (h *hold) tokenTimeout(limit, from time.Duration) time.Duration {
	if h.att == nil {
		return limit
	}
	return min(limit, max((h.att.Deadline-from)/3, minTokenTimeout))
}

func (h *hold) fire(s *Scheduler) {
	switch h.state {
	case open:
		if h.keep(s) {
			return
		}
		s.counters.Hangs++
		s.failHold(h, outcome.BackendLost)
	case cancelling, releasing:
		if !h.eng.owned && s.now >= s.ownerReleaseTime(h) {
			s.close(h)
			return
		}
		s.sendRelease(h)
	case done:
		s.drop(h)
	}
}

// ownerReleaseTime returns the time from which the engine's owner certainly releases the memory: it
// sees a session's deadline in the engine's list, but knows nothing of a KV cache.
func (s *Scheduler) ownerReleaseTime(h *hold) time.Duration {
	if h.state == releasing {
		return h.deadline + strayKVTimeout
	}
	return h.deadline + s.cfg.Grace
}

func (s *Scheduler) sendRelease(h *hold) {
	h.nextRetry = s.now + s.cfg.CancelRetry
	if h.state == releasing {
		s.emit(ReleaseKV{Engine: h.eng.id, Handle: h.kvHandle})
		return
	}
	s.counters.CancelsSent++
	s.emit(CancelSession{Engine: h.eng.id, Session: h.session})
}

func (s *Scheduler) setState(h *hold, st holdState) {
	h.state = st
	h.stateChangedAt = s.now
}

// reserve adds a hold to the reserved memory of its engine.
func (s *Scheduler) reserve(h *hold) {
	e := h.eng
	e.ownTokens += h.tokens
	if h.batch {
		e.ownBatchTokens += h.tokens
	}
	e.holds = append(e.holds, h)
}

// free returns the tokens to the engine. Calling it twice has no effect.
func (s *Scheduler) free(h *hold) {
	if h.freed {
		return
	}
	h.freed = true
	h.eng.ownTokens -= h.tokens
	if h.batch {
		h.eng.ownBatchTokens -= h.tokens
	}
	s.needsDispatch = true
}

// releaseCapacity removes the hold from the engine's prefill in flight and releases its slot in the
// concurrency limit.
func (s *Scheduler) releaseCapacity(h *hold, r leaseResult) {
	s.endPrefill(h)
	if h.leased {
		h.leased = false
		if r == successResult && h.eng.skipGrowth(s.now) {
			r = neutralResult
		}
		h.eng.limit.Release(s.now, h.lease, r)
	}
}

func (s *Scheduler) endPrefill(h *hold) {
	if h.prefill == 0 {
		return
	}
	h.eng.ownPrefill[h.priority] -= h.prefill
	if h.isLong {
		h.eng.longPrefill -= h.prefill
		h.eng.longPrompts--
	}
	h.prefill = 0
	s.needsDispatch = true
}

// close ends a hold whose memory the engine has certainly released.
func (s *Scheduler) close(h *hold) {
	s.free(h)
	s.setState(h, done)
	s.schedule(h)
}

// drop frees a hold and removes it from the scheduler and its engine.
func (s *Scheduler) drop(h *hold) {
	s.free(h)
	h.state = done
	h.stateChangedAt = never - releasedSessionTTL
	delete(s.holds, h.session)
	h.eng.removeHold(h)
	s.removeIfReleased(h.eng)
}

// releaseHolds releases everything that an attempt holds: planned segments at once, the others by
// CancelSession or ReleaseKV at their engines.
func (s *Scheduler) releaseHolds(a *attempt, r leaseResult) {
	for _, h := range a.holds {
		h.att = nil
		switch h.state {
		case planned:
			s.drop(h)
		case open:
			s.releaseCapacity(h, r)
			s.setState(h, cancelling)
			s.sendRelease(h)
			s.schedule(h)
		case exported:
			s.setState(h, releasing)
			s.sendRelease(h)
			s.schedule(h)
		}
	}
	a.holds, a.currentSegment = nil, 0
}

// failHold handles a session that its engine lost or hangs on. The session may still exist at the
// engine.
func (s *Scheduler) failHold(h *hold, r outcome.Reason) {
	a := h.att
	h.eng.suspect(s.now)
	s.needsDispatch = true
	s.releaseHolds(a, failureResult)
	s.requeue(a, h.eng, r)
}
