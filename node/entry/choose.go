package entry

import (
	"fmt"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/core/placement"
)

// choose returns the best placement at this time. The state must be locked.
func (st *stream) choose(now time.Duration) (attempt, *outcome.Error) {
	s := st.host.state
	failed := func(id ident.BackendID) bool { return st.failed[id] }
	a, e := st.chooseAmong(now, s.eligibleFor(now, true, failed))
	if e != nil && e.Step == stepPlace {
		// Ignore the exclusions, so that wrongly excluding every engine does not refuse all requests.
		a, e = st.chooseAmong(now, s.eligibleFor(now, false, failed))
	}
	if e == nil {
		e = st.host.refuseOverlong(st.q, now, a.choice.TimeToLastEvent)
	}
	return a, e
}

// chooseAmong returns the best placement on eligible engines. The error's step is stepPlace if there is none. The state must
// be locked.
func (st *stream) chooseAmong(now time.Duration, eligible func(ident.BackendID) bool) (attempt, *outcome.Error) {
	q := st.q
	s := st.host.state
	choice, ok := s.engines.Choose(now, q.service, placement.Request{
		PromptTokens: q.call.PromptTokens,
		OutputTokens: q.call.OutputTokens,
		Objective:    placement.ObjectiveLeft(now, q.arrived, q.route.Objective),
		MaxPause:     q.route.MaxPause,
		TimeLeft:     q.timeLeft(now),
		Returned:     q.hasReturned(),
		Excluded:     func(id ident.BackendID) bool { return !eligible(id) },
	})
	if !ok {
		if e := s.refuseEvacuated(q.service); e != nil {
			return attempt{}, e
		}
		return attempt{}, refusePlacement(outcome.Overload, "no engine has room")
	}
	if !q.mayHaveRun && !s.engines.MayWait(choice) {
		if v := s.engines.Admit(now, q.service, choice); !v.Admit {
			e := outcome.Refuse("admit", outcome.Overload, fmt.Sprintf(
				"reading costs others %.1f, earns %.1f; backlog %d ms, first event after %d ms",
				v.Cost, v.Gain, v.Backlog.Milliseconds(), choice.TimeToFirstEvent.Milliseconds()))
			e.RetryAfter = v.RetryAfter
			return attempt{}, e
		}
	}
	for _, srv := range s.catalog.Usable(q.service) {
		if srv.ID == choice.Engine {
			return attempt{choice: choice, server: srv}, nil
		}
	}
	return attempt{}, refusePlacement(outcome.NoBackend, "the engine has left")
}

func refusePlacement(r outcome.Reason, detail string) *outcome.Error {
	e := outcome.Refuse(stepPlace, r, detail)
	e.RetryAfter = noBackendRetry
	return e
}

// Engines take urgencies from 0 to 9. Each priority has three of them, by latency objective.
const (
	urgenciesPerPriority = 3
	maxUrgency           = 9
	shortObjective       = 500 * time.Millisecond
	mediumObjective      = 2 * time.Second
)

// urgency returns the urgency of a request for an engine's admission: by the priority of the team or route,
// then shorter objectives first.
func urgency(priority int, objective time.Duration) int {
	u := priority * urgenciesPerPriority
	switch {
	case objective <= shortObjective:
	case objective <= mediumObjective:
		u++
	default:
		u += 2
	}
	return min(maxUrgency, max(0, u))
}
