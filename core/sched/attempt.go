package sched

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

// maxTries bounds the engines that one attempt is sent to. A prompt that kills its engine must not go
// through the whole fleet.
const maxTries = 4

// minRetryAfter is the shortest retry-after: callers that come back sooner find the same queue.
const minRetryAfter = time.Second

const noEngineDetail = "no engine of the model is owned here, or all are leaving"

type attemptState uint8

const (
	queued attemptState = iota
	running
	ended
)

// attempt is a submitted attempt that has not ended.
type attempt struct {
	Submit
	timerSlot
	seq         uint64
	submitted   time.Duration
	urgency     time.Duration
	state       attemptState
	need        int // prompt + maximum output tokens
	tries       int
	unsure      int // sends that may have reached an engine
	count       int // number of the last token that arrived
	latestStart time.Duration
	avoid       *engine // engine that failed last
	last        ident.BackendID
	holds       []*hold // in segment order
	stage       int     // index of the segment being worked on
}

func (a *attempt) slot() *timerSlot { return &a.timerSlot }

func (a *attempt) due(*Scheduler) time.Duration {
	switch a.state {
	case queued:
		return min(a.Deadline, a.latestStart)
	case running:
		return a.Deadline
	}
	return never
}

// fire ends an attempt that is past its deadline, or that waits and can no longer meet it.
func (a *attempt) fire(s *Scheduler) {
	if s.now >= a.Deadline {
		s.finish(a, outcome.Deadline, 0, "")
		return
	}
	s.finish(a, outcome.DeadlineUnreachable, s.retryAfter(a), "no engine came free in time")
}

func (s *Scheduler) submit(e Submit) {
	if _, ok := s.attempts[e.Attempt]; ok {
		return // a repeated Submit; the first one is answered
	}
	s.nextSeq++
	a := &attempt{Submit: e, seq: s.nextSeq, submitted: s.now, count: e.ResumeFrom}
	a.Class = min(a.Class, ident.Batch)
	a.need = e.PromptTokens + e.MaxOutputTokens
	a.urgency = s.urgency(a)
	switch {
	case s.now >= e.Deadline:
		s.refuse(a, outcome.Deadline, 0, "")
	case e.PromptTokens <= 0 || e.MaxOutputTokens <= 0:
		s.refuse(a, outcome.BadRequest, 0, "prompt and maximum output must be positive")
	case !s.serves(e.Model):
		s.refuse(a, outcome.NoBackend, minRetryAfter, noEngineDetail)
	case s.planFor(a).kind == planNone:
		s.refuse(a, outcome.TooLarge, 0, "no engine group is large enough")
	case len(s.queues[a.Class]) >= s.cfg.QueueLength:
		s.refuse(a, outcome.Overload, s.retryAfter(a), "queue is full")
	default:
		s.attempts[e.Attempt] = a
		s.enqueue(a)
	}
}

func (s *Scheduler) enqueue(a *attempt) {
	a.state = queued
	a.latestStart = never
	if s.cfg.Policy == Predict {
		a.latestStart = a.Deadline - s.bestService(a)
	}
	s.queues[a.Class].insert(a)
	s.schedule(a)
	s.dirty = true
}

// settleSubmit answers a Submit that dispatch left in the queue: it is refused at once if the predicted
// wait leaves too little time, else its position is told.
func (s *Scheduler) settleSubmit(ev Event) {
	e, ok := ev.(Submit)
	if !ok {
		return
	}
	a, ok := s.attempts[e.Attempt]
	if !ok || a.state != queued || a.submitted != s.now || a.tries > 0 {
		return
	}
	if s.cfg.Policy == Predict {
		if wait := s.queueWait(a); s.now+wait > a.latestStart || a.latestStart <= s.now {
			s.finish(a, outcome.DeadlineUnreachable, max(wait, minRetryAfter), "predicted wait is too long")
			return
		}
	}
	s.emit(Queued{Attempt: a.Attempt, Position: s.queues[a.Class].position(a)})
}

func (s *Scheduler) cancelled(e Cancelled) {
	if a, ok := s.attempts[e.Attempt]; ok {
		s.finish(a, outcome.Cancelled, 0, "")
	}
}

// finish ends an attempt without an answer and gives back everything it holds.
func (s *Scheduler) finish(a *attempt, r outcome.Reason, retryAfter time.Duration, detail string) {
	s.giveBack(a, neutralResult)
	if a.state == queued {
		s.queues[a.Class].remove(a)
	}
	s.forget(a)
	if a.unsure == 0 {
		s.refuse(a, r, retryAfter, detail)
		return
	}
	s.counters.Failed++
	s.emit(End{
		Attempt: a.Attempt, Kind: outcome.MayHaveRun, Reason: r, Count: a.count,
		RetryAfter: retryAfter, Engine: a.last,
	})
}

// refuse says "not run". It must only be reached while a.unsure is zero.
func (s *Scheduler) refuse(a *attempt, r outcome.Reason, retryAfter time.Duration, detail string) {
	s.counters.Refused++
	s.emit(Refuse{Attempt: a.Attempt, Reason: r, RetryAfter: retryAfter, Detail: detail})
}

func (s *Scheduler) answered(a *attempt, count int) {
	s.forget(a)
	s.counters.Answered++
	s.emit(End{Attempt: a.Attempt, Kind: outcome.Answered, Count: count, Engine: a.last})
}

func (s *Scheduler) forget(a *attempt) {
	if a.state == running {
		s.running--
	}
	a.state = ended
	delete(s.attempts, a.Attempt)
}

// tryAgain queues an attempt whose engine failed, to resume after the last token that arrived.
func (s *Scheduler) tryAgain(a *attempt, failed *engine, r outcome.Reason) {
	s.running--
	a.state = queued
	a.avoid = failed
	if a.tries >= maxTries || !s.serves(a.Model) {
		s.finish(a, r, minRetryAfter, "")
		return
	}
	s.enqueue(a)
}

func (s *Scheduler) retryAfter(a *attempt) time.Duration {
	return max(minRetryAfter, s.queueWait(a))
}
