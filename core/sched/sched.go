package sched

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// Scheduler holds the state of one dispatcher. It is not safe for concurrent use.
//
// Maps are never iterated where the order would affect the actions, so that equal inputs give equal
// actions.
type Scheduler struct {
	cfg     Config
	now     time.Duration
	actions []Action

	engines     map[ident.BackendID]*engine
	enginesByID []*engine // sorted by id
	attempts    map[AttemptID]*attempt
	holds       map[SessionID]*hold // every session sent, until a newer report confirms its end
	queues      [classCount]queue
	issuers     map[ident.HostID]*issuerState
	timers      timerHeap

	nextSession     uint64
	nextSeq         uint64
	roundRobinIndex int           // position in enginesByID
	lastWake        time.Duration // last Wake returned
	needsDispatch   bool          // capacity or queue changed since the last dispatch
	running         int
	aged, rest      []*attempt // buffers reused by waiting
	counters        Counters
}

// New returns a scheduler without engines.
func New(cfg Config) *Scheduler {
	return &Scheduler{
		cfg:      cfg.withDefaults(),
		engines:  map[ident.BackendID]*engine{},
		attempts: map[AttemptID]*attempt{},
		holds:    map[SessionID]*hold{},
		issuers:  map[ident.HostID]*issuerState{},
		lastWake: never,
	}
}

// Step applies one event and returns the actions to carry out, in order. The slice is valid until the
// next call. Due timers fire before the event is applied: an answer that arrives at or after the
// deadline, for example after a pause of the process, is ignored.
func (s *Scheduler) Step(now time.Duration, ev Event) []Action {
	s.now = max(s.now, now)
	s.actions = s.actions[:0]
	s.fireDue()
	s.apply(ev)
	if s.needsDispatch {
		s.needsDispatch = false
		s.dispatch()
	}
	s.answerSubmit(ev)
	s.emitWake()
	return s.actions
}

func (s *Scheduler) apply(ev Event) {
	switch e := ev.(type) {
	case Submit:
		s.submit(e)
	case Cancelled:
		s.cancelled(e)
	case EngineAccepted:
		s.accepted(e)
	case FirstToken:
		s.token(e.Session, e.Count)
	case TokenProgress:
		s.token(e.Session, e.Count)
	case EngineEnded:
		s.engineEnded(e)
	case EngineFailed:
		s.engineFailed(e)
	case CancelAcked:
		s.cancelAcked(e.Session)
	case CancelFailed:
		s.cancelFailed(e.Session)
	case KVReleased:
		s.kvReleased(e.Engine, e.Handle)
	case KVReleaseFailed:
	case Report:
		s.report(e)
	case CacheEvent:
		s.cacheEvent(e)
	case EnginesChanged:
		s.enginesChanged(e.Engines)
	case EngineGone:
		s.engineGone(e.Engine)
	case IssuerSeen:
		s.issuerSeen(e)
	case Tick:
	}
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }
