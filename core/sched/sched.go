package sched

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

// Scheduler holds the state of one dispatcher. It is not safe for concurrent use.
type Scheduler struct {
	cfg Config
	now time.Duration
	out []Action
}

// New returns a scheduler without engines.
func New(cfg Config) *Scheduler { return &Scheduler{cfg: cfg.withDefaults()} }

// Step applies one event and returns the actions to carry out, in order. The slice is valid until the
// next call.
func (s *Scheduler) Step(now time.Duration, ev Event) []Action {
	s.now = max(s.now, now)
	s.out = s.out[:0]
	if e, ok := ev.(Submit); ok {
		s.out = append(s.out, Refuse{Attempt: e.Attempt, Reason: outcome.NoBackend, RetryAfter: time.Second})
	}
	return s.out
}

// Status returns a snapshot.
func (s *Scheduler) Status() Status { return Status{} }
