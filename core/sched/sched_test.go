package sched

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/core/backendapi"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

const ms = time.Millisecond

func id(n uint64) AttemptID { return AttemptID{Gateway: "g", Incarnation: 1, Number: n} }

func submit(n uint64, c ident.Class, prompt, output int, deadline time.Duration) Submit {
	return Submit{Attempt: id(n), Model: "m", Class: c, PromptTokens: prompt, MaxOutputTokens: output, Deadline: deadline}
}

// newReadyScheduler returns a scheduler whose engines have reported at time zero.
func newReadyScheduler(cfg Config, engines ...Engine) *Scheduler {
	s := New(cfg)
	s.Step(0, EnginesChanged{Engines: engines})
	for _, e := range engines {
		s.Step(0, report(e.ID, 1, 0))
	}
	return s
}

func report(e ident.BackendID, number uint64, at time.Duration, sessions ...backendapi.Session) Report {
	used := 0
	for _, x := range sessions {
		used += x.ReservedTokens
	}
	return Report{Engine: e, Requested: at, Report: backendapi.Report{
		Report: number, MemoryTokens: 10_000, UsedTokens: used, State: "live", Sessions: sessions,
	}}
}

// actionsOf returns the actions of one type.
func actionsOf[A Action](actions []Action) []A {
	var out []A
	for _, a := range actions {
		if x, ok := a.(A); ok {
			out = append(out, x)
		}
	}
	return out
}

// Guards against an attempt that stays on an engine that accepted it and then sends nothing: it must be
// cancelled there and resumed on another engine after the predicted time + 10 s.
func TestHangBeforeFirstToken(t *testing.T) {
	c := qt.New(t)
	s := newReadyScheduler(testConfig(Predict), testEngines(2)...)
	first := actionsOf[Send](s.Step(0, submit(1, ident.Interactive, 1000, 100, time.Minute)))[0]
	c.Assert(first.Engine, qt.Equals, ident.BackendID("e0"))
	s.Step(ms, EngineAccepted{first.Session})
	s.Step(9*time.Second, report("e1", 2, 9*time.Second))
	c.Assert(actionsOf[CancelSession](s.Step(10*time.Second, Tick{})), qt.HasLen, 0)
	out := s.Step(10*time.Second+11*ms, Tick{}) // 1,000 tokens at 100,000 per second, plus 10 s
	c.Assert(actionsOf[CancelSession](out), qt.DeepEquals, []CancelSession{{"e0", first.Session}})
	second := actionsOf[Send](out)
	c.Assert(second, qt.HasLen, 1)
	c.Assert(second[0].Engine, qt.Equals, ident.BackendID("e1"))
}

// Guards against a stream that stops in the middle, and against a resume that repeats tokens.
func TestHangBetweenTokens(t *testing.T) {
	c := qt.New(t)
	s := newReadyScheduler(testConfig(Predict), testEngines(2)...)
	first := actionsOf[Send](s.Step(0, submit(1, ident.Interactive, 1000, 100, time.Minute)))[0]
	s.Step(20*ms, FirstToken{first.Session, 1})
	s.Step(40*ms, TokenProgress{first.Session, 7})
	c.Assert(actionsOf[Send](s.Step(5*time.Second, Tick{})), qt.HasLen, 0)
	second := actionsOf[Send](s.Step(5*time.Second+40*ms, Tick{}))
	c.Assert(second, qt.HasLen, 1)
	c.Assert(second[0].ResumeFrom, qt.Equals, 7)
	out := s.Step(6*time.Second, EngineEnded{Session: first.Session, Count: 100})
	c.Assert(actionsOf[End](out), qt.HasLen, 0, qt.Commentf("the old session must not answer"))
	end := actionsOf[End](s.Step(7*time.Second, EngineEnded{Session: second[0].Session, Count: 100}))
	c.Assert(end[0].Kind, qt.Equals, outcome.Answered)
}

// Guards against memory that stays reserved for sessions of a dispatcher that restarted, and against
// cancelling the sessions of a live one.
func TestSessionsOfOlderIncarnation(t *testing.T) {
	c := qt.New(t)
	s := newReadyScheduler(testConfig(Predict), testEngines(1)...)
	s.Step(0, IssuerSeen{"d2", 1})
	x := backendapi.Session{
		Session: string(NewSessionID("d2", 1, 5)), Issuer: "d2",
		Incarnation: ident.Incarnation(1).String(), ReservedTokens: 4000, RemainingMS: 60_000,
	}
	c.Assert(actionsOf[CancelSession](s.Step(time.Second, report("e0", 2, time.Second, x))), qt.HasLen, 0)
	c.Assert(s.Status().Engines[0].OthersTokens, qt.Equals, 4000)
	out := s.Step(2*time.Second, IssuerSeen{"d2", 2})
	c.Assert(actionsOf[CancelSession](out), qt.DeepEquals, []CancelSession{{"e0", SessionID(x.Session)}})
}

// Guards against a leak when the issuer of a session is permanently lost: after deadline + grace any
// owner cancels it, and repeats a cancel that is not answered.
func TestForeignSessionPastDeadline(t *testing.T) {
	c := qt.New(t)
	s := newReadyScheduler(testConfig(Predict), testEngines(1)...)
	x := backendapi.Session{
		Session: "d9.0000000000000001.5", Issuer: "d9", Incarnation: "0000000000000001",
		ReservedTokens: 4000, RemainingMS: 1000,
	}
	s.Step(time.Second, report("e0", 2, time.Second, x))
	c.Assert(actionsOf[CancelSession](s.Step(3900*ms, Tick{})), qt.HasLen, 0)
	c.Assert(actionsOf[CancelSession](s.Step(4000*ms, Tick{})), qt.HasLen, 1)
	c.Assert(actionsOf[CancelSession](s.Step(5000*ms, Tick{})), qt.HasLen, 1)
}

// Guards against overcommitted memory when two dispatchers use one engine during a partition and both
// fill the memory that they see as free.
func TestContestedEngineHalvesAvailableTokens(t *testing.T) {
	c := qt.New(t)
	s := newReadyScheduler(testConfig(Predict), testEngines(1)...)
	x := backendapi.Session{Session: "d9.0000000000000001.5", Issuer: "d9", ReservedTokens: 2000, RemainingMS: 60_000}
	s.Step(time.Second, report("e0", 2, time.Second, x))
	c.Assert(actionsOf[Send](s.Step(time.Second, submit(1, ident.Standard, 4500, 100, time.Minute))), qt.HasLen, 0)
	c.Assert(actionsOf[Send](s.Step(time.Second, submit(2, ident.Standard, 3000, 100, time.Minute))), qt.HasLen, 1)
}

// Guards against a late report that undoes what a newer one showed.
func TestStaleReportIsDropped(t *testing.T) {
	c := qt.New(t)
	s := newReadyScheduler(testConfig(Predict), testEngines(1)...)
	x := backendapi.Session{Session: "d9.0000000000000001.5", Issuer: "d9", ReservedTokens: 9000, RemainingMS: 60_000}
	s.Step(3*time.Second, report("e0", 3, 3*time.Second, x))
	s.Step(3*time.Second, report("e0", 2, 2*time.Second))
	c.Assert(s.Status().Engines[0].OthersTokens, qt.Equals, 9000)
	c.Assert(s.Status().Counters.StaleReports, qt.Equals, uint64(1))
}

// Guards against new work for a leaving engine, whichever way the dispatcher learns of it.
func TestLeavingEngineGetsNothing(t *testing.T) {
	c := qt.New(t)
	s := newReadyScheduler(testConfig(Predict), testEngines(2)...)
	first := actionsOf[Send](s.Step(0, submit(1, ident.Interactive, 100, 100, time.Minute)))[0]
	again := actionsOf[Send](s.Step(ms, EngineFailed{Session: first.Session, Kind: RefusedLeaving}))
	c.Assert(again[0].Engine, qt.Equals, ident.BackendID("e1"))
	r := report("e1", 2, 2*ms)
	r.Report.State = "leaving"
	s.Step(2*ms, r)
	c.Assert(actionsOf[Send](s.Step(3*ms, submit(2, ident.Interactive, 100, 100, time.Minute))), qt.HasLen, 0)
}

// Guards against refusals that come late or without a retry-after.
func TestRefusalsComeAtOnce(t *testing.T) {
	c := qt.New(t)
	s := newReadyScheduler(testConfig(Predict), testEngines(1)...)
	unreachable := actionsOf[Refuse](s.Step(0, submit(1, ident.Interactive, 1000, 1000, 2*time.Second)))
	c.Assert(unreachable[0].Reason, qt.Equals, outcome.DeadlineUnreachable)
	c.Assert(unreachable[0].RetryAfter >= time.Second, qt.IsTrue)
	tooLarge := actionsOf[Refuse](s.Step(0, submit(2, ident.Batch, 20_000, 10, time.Hour)))
	c.Assert(tooLarge[0].Reason, qt.Equals, outcome.TooLarge)
	var last []Action
	for n := range uint64(14) { // one runs, 12 wait, the next is refused
		last = s.Step(0, submit(10+n, ident.Standard, 8000, 10, time.Hour))
	}
	full := actionsOf[Refuse](last)
	c.Assert(full[0].Reason, qt.Equals, outcome.Overload)
	c.Assert(full[0].RetryAfter >= time.Second, qt.IsTrue)
}

// Guards against a retry delay that grows with the number of engines of other models.
func TestWaitDependsOnOwnModelOnly(t *testing.T) {
	c := qt.New(t)
	retryAfter := func(others int) time.Duration {
		engines := testEngines(1)
		for i := range others {
			other := engines[0]
			other.ID, other.Model = ident.BackendID(fmt.Sprintf("other-%d", i)), "other"
			engines = append(engines, other)
		}
		s := newReadyScheduler(testConfig(Predict), engines...)
		var refused []Refuse
		for n := uint64(1); len(refused) == 0; n++ {
			refused = actionsOf[Refuse](s.Step(0, submit(n, ident.Standard, 8000, 10, time.Hour)))
		}
		return refused[0].RetryAfter
	}
	c.Assert(retryAfter(20), qt.Equals, retryAfter(0))
}

// Guards against a gang that reserves only some of its engines, and against segments sent out of order.
func TestGangReservesAllAndSendsInOrder(t *testing.T) {
	c := qt.New(t)
	s := newReadyScheduler(testConfig(Predict), testEngines(4)...)
	send := actionsOf[Send](s.Step(0, submit(1, ident.Batch, 24_000, 1000, time.Minute)))[0]
	c.Assert(s.Status().Engines, qt.HasLen, 4)
	sum := 0
	for _, e := range s.Status().Engines {
		sum += e.OwnTokens
	}
	c.Assert(sum, qt.Equals, 25_000)
	c.Assert(actionsOf[Send](s.Step(0, submit(2, ident.Batch, 24_000, 1000, time.Minute))), qt.HasLen, 0)
	to, segments := 0, 0
	for now := ms; ; now += 100 * ms {
		c.Assert(send.PromptFrom, qt.Equals, to)
		c.Assert(send.Import, qt.HasLen, segments)
		to = send.PromptTo
		if !send.Export {
			break
		}
		segments++
		send = actionsOf[Send](s.Step(now, EngineEnded{Session: send.Session, KV: string(send.Session)}))[0]
	}
	c.Assert(to, qt.Equals, 24_000)
	out := s.Step(time.Second, EngineFailed{Session: send.Session, Kind: Broken})
	c.Assert(actionsOf[ReleaseKV](out), qt.HasLen, segments)
	c.Assert(actionsOf[CancelSession](out), qt.HasLen, 1)
}

// Guards against exported KV caches that are never released when the dispatcher that requested them is
// lost, and against releasing those of a live one.
func TestStrayKVIsReleased(t *testing.T) {
	c := qt.New(t)
	s := newReadyScheduler(testConfig(Predict), testEngines(1)...)
	s.Step(0, IssuerSeen{"d2", 1})
	mine, lost := string(NewSessionID("d1", 6, 1))+"~e0~1.2", string(NewSessionID("d2", 1, 1))+"~e0~1.2"
	r := report("e0", 2, time.Second)
	r.Report.UsedTokens, r.Report.KVHandles = 6000, []string{mine, lost, "unknown"}
	c.Assert(actionsOf[ReleaseKV](s.Step(time.Second, r)), qt.DeepEquals, []ReleaseKV{{"e0", mine}})
	c.Assert(s.Status().Engines[0].OthersTokens, qt.Equals, 6000)
	s.Step(2*time.Second, IssuerSeen{"d2", 2})
	r.Requested, r.Report.KVHandles = 2500*ms, []string{lost, "unknown"}
	c.Assert(actionsOf[ReleaseKV](s.Step(2500*ms, r)), qt.DeepEquals, []ReleaseKV{{"e0", lost}})
	r.Requested, r.Report.KVHandles = 3*time.Second, []string{"unknown"}
	s.Step(3*time.Second, r)
	r.Requested = time.Hour + time.Second
	c.Assert(actionsOf[ReleaseKV](s.Step(time.Hour+time.Second, r)), qt.DeepEquals, []ReleaseKV{{"e0", "unknown"}})
}

// Guards against a concurrency limit that grows at full speed at each of two dispatchers that share an
// engine.
func TestContestedEngineHalvesConcurrencyGrowth(t *testing.T) {
	c := qt.New(t)
	grown := func(contested bool) int {
		cfg := testConfig(Predict)
		cfg.MaxConcurrency = 16
		s := newReadyScheduler(cfg, testEngines(1)...)
		if contested {
			x := backendapi.Session{Session: "d9.0000000000000001.5", Issuer: "d9", ReservedTokens: 10, RemainingMS: 60_000}
			s.Step(0, report("e0", 2, ms, x))
		}
		for n := range uint64(60) {
			x := actionsOf[Send](s.Step(ms, submit(n+1, ident.Interactive, 10, 10, time.Minute)))[0]
			s.Step(ms, EngineEnded{Session: x.Session, Count: 10})
		}
		return s.Status().Engines[0].Concurrency
	}
	c.Assert(grown(false) > grown(true), qt.IsTrue)
	c.Assert(grown(true) > 4, qt.IsTrue)
}
