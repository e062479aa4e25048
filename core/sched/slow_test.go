package sched

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// runStream runs a stream on e0 whose tokens are a gap apart, and returns the time of its end.
func runStream(c *qt.C, s *Scheduler, gap time.Duration, tokens int) time.Duration {
	first := actionsOf[Send](s.Step(0, submit(1, ident.Interactive, 1000, tokens, time.Hour)))[0]
	c.Assert(first.Engine, qt.Equals, ident.BackendID("e0"))
	now := 10 * ms // as predicted, so that both engines stay equal in time to first token
	s.Step(now, FirstToken{first.Session, 1})
	for n := 2; n <= tokens; n++ {
		now += gap
		s.Step(now, TokenProgress{first.Session, n})
	}
	s.Step(now, EngineEnded{Session: first.Session, Count: tokens})
	for _, e := range []ident.BackendID{"e0", "e1"} {
		s.Step(now, report(e, 2, now))
	}
	return now
}

// Guards against a refusal because the engine with the earliest first token decodes too slowly, while
// another one can finish in time. After one engine had stalled, its dispatcher refused every short request.
func TestSlowEngineDoesNotCauseRefusals(t *testing.T) {
	c := qt.New(t)
	s := newReadyScheduler(testConfig(Predict), testEngines(2)...)
	now := runStream(c, s, 900*ms, 80)
	out := s.Step(now, submit(2, ident.Interactive, 1000, 32, now+5*time.Second))
	c.Assert(actionsOf[Refuse](out), qt.HasLen, 0)
	c.Assert(actionsOf[Send](out)[0].Engine, qt.Equals, ident.BackendID("e1"))
}

// Guards against a stall that is learnt as the engine's decoding speed.
func TestStallIsNotLearntAsSpeed(t *testing.T) {
	c := qt.New(t)
	s := newReadyScheduler(testConfig(Predict), testEngines(2)...)
	runStream(c, s, 4*time.Second, 40)
	c.Assert(s.engines["e0"].tokenTime <= s.cfg.DecodeTokenTime, qt.IsTrue, qt.Commentf("%v", s.engines["e0"].tokenTime))
}

// Guards against an engine that never gets work again, because its slow estimates keep work away and
// without work nothing corrects them.
func TestIdleEngineLosesSlowEstimates(t *testing.T) {
	c := qt.New(t)
	s := newReadyScheduler(testConfig(Predict), testEngines(2)...)
	now := runStream(c, s, 900*ms, 80)
	c.Assert(s.engines["e0"].tokenTime > 500*ms, qt.IsTrue)
	for n := range uint64(60) {
		now += time.Second
		s.Step(now, report("e0", 3+n, now))
	}
	c.Assert(s.engines["e0"].tokenTime < 2*s.cfg.DecodeTokenTime, qt.IsTrue, qt.Commentf("%v", s.engines["e0"].tokenTime))
}

// Guards against a short request that spends its whole time on an engine that hangs before the first
// token, although another engine could still answer in time.
func TestHangLeavesTimeForAnotherEngine(t *testing.T) {
	c := qt.New(t)
	s := newReadyScheduler(testConfig(Predict), testEngines(2)...)
	first := actionsOf[Send](s.Step(0, submit(1, ident.Interactive, 1000, 16, 5*time.Second)))[0]
	s.Step(ms, EngineAccepted{first.Session})
	s.Step(time.Second, Tick{})
	second := actionsOf[Send](s.Step(2*time.Second, Tick{}))
	c.Assert(second, qt.HasLen, 1)
	c.Assert(second[0].Engine, qt.Equals, ident.BackendID("e1"))
	s.Step(2100*ms, FirstToken{second[0].Session, 1})
	s.Step(3000*ms, report("e0", 2, 3000*ms))
	third := actionsOf[Send](s.Step(3200*ms, Tick{}))
	c.Assert(third, qt.HasLen, 1)
	c.Assert(third[0].ResumeFrom, qt.Equals, 1)
}
