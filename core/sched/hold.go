package sched

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/limits"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

// forgetAfter is the time for which a released session is remembered without a newer report. A
// report that lags more than this makes the scheduler cancel the session once more, which is harmless.
const forgetAfter = time.Minute

type holdState uint8

const (
	planned    holdState = iota // gang segment that was not sent yet
	open                        // sent, the stream is not closed
	exported                    // segment done, its KV cache stays for the ones after it
	cancelling                  // CancelSession until acknowledged or gone from a newer report
	releasing                   // ReleaseKV until acknowledged or gone from a newer report
	done                        // remembered, so that a lagging report is not taken for a leak
)

// hold is a reservation of engine memory for one session. Its tokens count against the engine from
// the step that plans it until free.
type hold struct {
	timerSlot
	eng      *engine
	att      *attempt // nil once the attempt has gone on without it
	session  SessionID
	state    holdState
	tokens   int
	batch    bool
	freed    bool
	from, to int // prompt segment

	priority   int
	prefill    int // tokens counted as queued prefill of the engine
	long       bool
	work       int   // prefill tokens ahead of the first token as of sending
	passedBy   int64 // engine's passing counter as of sending
	predicted  time.Duration
	sentAt     time.Duration
	acceptedAt time.Duration // zero if not accepted
	changedAt  time.Duration // time of the last change of state
	firstAt    time.Duration
	lastAt     time.Duration // last token
	first      bool          // the first token arrived
	nextTry    time.Duration // next CancelSession or ReleaseKV
	deadline   time.Duration
	handle     string
	lease      limits.Lease
	leased     bool
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
		return h.hangAt(s)
	case cancelling, releasing:
		return h.nextTry
	case done:
		return h.changedAt + forgetAfter
	}
	return never
}

// minSilence keeps the jitter of a busy engine from counting as a hang.
const minSilence = time.Second

// hangAt is the time at which silence means that the engine hangs. Prefill that was sent after this
// session and passes it by priority delays its first token and extends the time.
func (h *hold) hangAt(s *Scheduler) time.Duration {
	if h.first {
		return h.lastAt + h.silence(s.cfg.TokenTimeout, h.lastAt)
	}
	passed := h.eng.passing[h.priority] - h.passedBy
	expected := h.sentAt + h.predicted
	return expected + h.silence(s.cfg.FirstTokenSlack, expected) + seconds(float64(passed)/h.eng.rate(s))
}

// silence is the time without a token, from the given time on, after which the engine hangs: the limit,
// but at most a third of the time that the attempt then has left. A request with 5 s to live must not
// lose all of it to an engine that hangs.
func (h *hold) silence(limit, from time.Duration) time.Duration {
	if h.att == nil {
		return limit
	}
	return min(limit, max((h.att.Deadline-from)/3, minSilence))
}

func (h *hold) fire(s *Scheduler) {
	switch h.state {
	case open:
		s.counters.Hangs++
		s.failHold(h, outcome.BackendLost)
	case cancelling, releasing:
		if !h.eng.owned && s.now >= s.othersClear(h) {
			s.close(h)
			return
		}
		s.giveBackAgain(h)
	case done:
		s.drop(h)
	}
}

// othersClear returns the time from which the engine's owner certainly gives the memory back: it sees
// a session's deadline in the engine's list, but knows nothing of a KV cache.
func (s *Scheduler) othersClear(h *hold) time.Duration {
	if h.state == releasing {
		return h.deadline + strayKVWait
	}
	return h.deadline + s.cfg.Grace
}

func (s *Scheduler) giveBackAgain(h *hold) {
	h.nextTry = s.now + s.cfg.CancelRetry
	if h.state == releasing {
		s.emit(ReleaseKV{Engine: h.eng.id, Handle: h.handle})
		return
	}
	s.counters.CancelsSent++
	s.emit(CancelSession{Engine: h.eng.id, Session: h.session})
}

func (s *Scheduler) setState(h *hold, st holdState) {
	h.state = st
	h.changedAt = s.now
}

// reserve counts a hold against its engine.
func (s *Scheduler) reserve(h *hold) {
	e := h.eng
	e.own += h.tokens
	if h.batch {
		e.ownBatch += h.tokens
	}
	e.holds = append(e.holds, h)
}

// free gives the tokens back. Calling it twice has no effect.
func (s *Scheduler) free(h *hold) {
	if h.freed {
		return
	}
	h.freed = true
	h.eng.own -= h.tokens
	if h.batch {
		h.eng.ownBatch -= h.tokens
	}
	s.dirty = true
}

// stopWork ends the part of the hold in queued prefill and in the concurrency limit.
func (s *Scheduler) stopWork(h *hold, r leaseResult) {
	s.prefillDone(h)
	if h.leased {
		h.leased = false
		if r == successResult && h.eng.skipGrowth(s.now) {
			r = neutralResult
		}
		h.eng.limit.Release(s.now, h.lease, r)
	}
}

func (s *Scheduler) prefillDone(h *hold) {
	if h.prefill == 0 {
		return
	}
	h.eng.prefill[h.priority] -= h.prefill
	if h.long {
		h.eng.longPrefill -= h.prefill
		h.eng.longs--
	}
	h.prefill = 0
	s.dirty = true
}

// close ends a hold whose memory the engine has certainly given back.
func (s *Scheduler) close(h *hold) {
	s.free(h)
	s.setState(h, done)
	s.schedule(h)
}

// drop removes every trace of a hold.
func (s *Scheduler) drop(h *hold) {
	s.free(h)
	h.state = done
	h.changedAt = never - forgetAfter
	delete(s.holds, h.session)
	h.eng.removeHold(h)
	s.reap(h.eng)
}

// giveBack returns all that an attempt holds: planned segments at once, the others by cancel or
// release at their engines.
func (s *Scheduler) giveBack(a *attempt, r leaseResult) {
	for _, h := range a.holds {
		h.att = nil
		switch h.state {
		case planned:
			s.drop(h)
		case open:
			s.stopWork(h, r)
			s.setState(h, cancelling)
			s.giveBackAgain(h)
			s.schedule(h)
		case exported:
			s.setState(h, releasing)
			s.giveBackAgain(h)
			s.schedule(h)
		}
	}
	a.holds, a.stage = nil, 0
}

// failHold handles an engine that lost or hangs on a session that may still be there.
func (s *Scheduler) failHold(h *hold, r outcome.Reason) {
	a := h.att
	h.eng.suspect(s.now)
	s.dirty = true
	s.giveBack(a, failureResult)
	s.tryAgain(a, h.eng, r)
}
