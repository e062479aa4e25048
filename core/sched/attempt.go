package sched

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

// maxTries limits the engines that one attempt is sent to, so that a prompt that crashes its engine is
// not sent to the whole fleet.
const maxTries = 4

// minRetryAfter is the shortest retry-after: callers that retry sooner find the same queue.
const minRetryAfter = time.Second

const noEngineDetail = "no engine of the model is owned here, or all are leaving"

type attemptState uint8

const (
	queued attemptState = iota
	running
	ended
)

// attempt holds the state of a submitted attempt that has not ended.
type attempt struct {
	Submit
	timerSlot
	seq            uint64
	submittedAt    time.Duration
	sortKey        time.Duration
	state          attemptState
	neededTokens   int // prompt + maximum output tokens
	tries          int
	uncertainSends int           // sends that may have reached an engine
	count          int           // number of the last token that arrived
	latestStart    time.Duration // latest start that can meet the deadline
	failedEngine   *engine       // engine of the last failed send
	lastEngine     ident.BackendID
	holds          []*hold // in segment order
	currentSegment int     // index of the segment being worked on
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

// fire ends an attempt whose deadline has passed, or a queued one that can no longer meet its deadline.
func (a *attempt) fire(s *Scheduler) {
	if s.now >= a.Deadline {
		s.endUnanswered(a, outcome.Deadline, 0, "")
		return
	}
	s.endUnanswered(a, outcome.DeadlineUnreachable, s.retryAfter(a), "no engine came free in time")
}

func (s *Scheduler) submit(e Submit) {
	if _, ok := s.attempts[e.Attempt]; ok {
		return // duplicate Submit: only the first one is answered
	}
	s.nextSeq++
	a := &attempt{Submit: e, seq: s.nextSeq, submittedAt: s.now, count: e.ResumeFrom}
	a.Class = min(a.Class, ident.Batch)
	a.neededTokens = e.PromptTokens + e.MaxOutputTokens
	a.sortKey = s.queueSortKey(a)
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
		a.latestStart = a.Deadline - s.bestServiceTime(a)
	}
	s.queues[a.Class].insert(a)
	s.schedule(a)
	s.needsDispatch = true
}

// answerSubmit answers a Submit that dispatch left in the queue: it refuses the attempt at once if the
// predicted wait leaves too little time, else it reports the queue position.
func (s *Scheduler) answerSubmit(ev Event) {
	e, ok := ev.(Submit)
	if !ok {
		return
	}
	a, ok := s.attempts[e.Attempt]
	if !ok || a.state != queued || a.submittedAt != s.now || a.tries > 0 {
		return
	}
	if s.cfg.Policy == Predict {
		if wait := s.queueWait(a); s.now+wait > a.latestStart || a.latestStart <= s.now {
			s.endUnanswered(a, outcome.DeadlineUnreachable, max(wait, minRetryAfter), "predicted wait is too long")
			return
		}
	}
	s.emit(Queued{Attempt: a.Attempt, Position: s.queues[a.Class].position(a)})
}

func (s *Scheduler) cancelled(e Cancelled) {
	if a, ok := s.attempts[e.Attempt]; ok {
		s.endUnanswered(a, outcome.Cancelled, 0, "")
	}
}

// endUnanswered ends an attempt without an answer and releases everything it holds.
func (s *Scheduler) endUnanswered(a *attempt, r outcome.Reason, retryAfter time.Duration, detail string) {
	s.releaseHolds(a, neutralResult)
	if a.state == queued {
		s.queues[a.Class].remove(a)
	}
	s.removeAttempt(a)
	if a.uncertainSends == 0 {
		s.refuse(a, r, retryAfter, detail)
		return
	}
	s.counters.Failed++
	s.emit(End{
		Attempt: a.Attempt, Kind: outcome.MayHaveRun, Reason: r, Count: a.count,
		RetryAfter: retryAfter, Engine: a.lastEngine,
	})
}

// refuse ends an attempt with the outcome "not run". It must only be called while a.uncertainSends is
// zero.
func (s *Scheduler) refuse(a *attempt, r outcome.Reason, retryAfter time.Duration, detail string) {
	s.counters.Refused++
	s.emit(Refuse{Attempt: a.Attempt, Reason: r, RetryAfter: retryAfter, Detail: detail})
}

func (s *Scheduler) endAnswered(a *attempt, count int) {
	s.removeAttempt(a)
	s.counters.Answered++
	s.emit(End{Attempt: a.Attempt, Kind: outcome.Answered, Count: count, Engine: a.lastEngine})
}

func (s *Scheduler) removeAttempt(a *attempt) {
	if a.state == running {
		s.running--
	}
	a.state = ended
	delete(s.attempts, a.Attempt)
}

// requeue puts an attempt whose engine failed back into its queue. It resumes after the last token that
// arrived.
func (s *Scheduler) requeue(a *attempt, failed *engine, r outcome.Reason) {
	s.running--
	a.state = queued
	a.failedEngine = failed
	if a.tries >= maxTries || !s.serves(a.Model) {
		s.endUnanswered(a, r, minRetryAfter, "")
		return
	}
	s.enqueue(a)
}

func (s *Scheduler) retryAfter(a *attempt) time.Duration {
	return max(minRetryAfter, s.queueWait(a))
}
