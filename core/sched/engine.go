package sched

import (
	"slices"
	"strings"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/limits"
)

// contestedDuration is how long an engine counts as contested after a report lists sessions of another
// dispatcher. Meanwhile this scheduler uses half of the free memory and grows the concurrency limit at
// half speed. It spans several reports, so that one report taken between two sessions does not end it.
const contestedDuration = 10 * time.Second

// engine holds the scheduler's state for one engine.
type engine struct {
	timerSlot
	id     ident.BackendID
	group  string
	model  ident.Model
	memory int // capacity in tokens from the last report, else from the configuration

	owned               bool
	leaving             bool // listed as leaving, or reported by the engine itself
	selfReportedLeaving bool // by a report or a refusal
	leavingAt           time.Duration
	batchAllowed        bool          // batch prompts may use it
	hasReport           bool          // a report was applied since the engine became owned
	lastReportTaken     time.Duration // earliest time at which the engine can have taken the last report
	suspectSince        time.Duration // last failure; nothing is sent until a newer report arrives
	suspected           bool
	pausedUntil         time.Duration // after a refusal

	ownTokens      int // tokens reserved by this scheduler
	ownBatchTokens int // part of ownTokens reserved for batch attempts
	othersTokens   int // tokens held by others according to the last report
	holds          []*hold
	foreign        []foreignSession
	strayKV        []strayKV

	ownPrefill        [classCount]int   // own prefill tokens in flight by priority
	overtakingPrefill [classCount]int64 // total prefill tokens sent so far that run before the priority
	foreignPrefill    int               // queued prefill of others according to the last report
	longPrefill       int               // own prefill tokens of long prompts in flight
	longPrompts       int
	limit             *limits.Concurrency
	contestedUntil    time.Duration // free memory and limit growth are halved until then
	skippedGrowth     bool          // the last success while contested did not raise the limit
	prefixes          prefixCache

	learnt       bool    // learntRate is set
	learntRate   float64 // prefill tokens per second
	reportedRate float64
	baseLatency  time.Duration // time to first token without the prefill
	tokenTime    time.Duration // per output token
}

// enginesChanged applies a new list of owned engines.
func (s *Scheduler) enginesChanged(list []Engine) {
	listed := map[ident.BackendID]bool{}
	for _, c := range list {
		listed[c.ID] = true
		e, ok := s.engines[c.ID]
		if !ok {
			e = s.newEngine(c)
		}
		if !e.owned {
			e.owned, e.hasReport = true, false
		}
		e.group, e.model, e.leaving = c.Group, c.Model, c.Leaving || e.selfReportedLeaving
		if !e.hasReport {
			e.memory = c.MemoryTokens
		}
	}
	for _, e := range slices.Clone(s.enginesByID) {
		if !listed[e.id] && e.owned {
			e.owned = false
			s.removeIfReleased(e)
		}
	}
	s.chooseBatchEngines()
	s.refuseUnserved()
	s.needsDispatch = true
}

func (s *Scheduler) newEngine(c Engine) *engine {
	e := &engine{
		id: c.ID, memory: c.MemoryTokens, lastReportTaken: -never / 2, tokenTime: s.cfg.DecodeTokenTime,
		limit: limits.NewConcurrency(limits.ConcurrencyConfig{
			Initial: max(1, s.cfg.MaxConcurrency/4), Max: s.cfg.MaxConcurrency,
		}),
	}
	s.engines[c.ID] = e
	i, _ := slices.BinarySearchFunc(s.enginesByID, c.ID, func(e *engine, id ident.BackendID) int {
		return strings.Compare(string(e.id), string(id))
	})
	s.enginesByID = slices.Insert(s.enginesByID, i, e)
	return e
}

// removeIfReleased removes an engine that is no longer owned if all its holds are done.
func (s *Scheduler) removeIfReleased(e *engine) {
	if e.owned || s.engines[e.id] != e {
		return
	}
	for _, h := range e.holds {
		if h.state != done {
			return
		}
	}
	s.remove(e)
}

func (s *Scheduler) remove(e *engine) {
	delete(s.engines, e.id)
	s.enginesByID = slices.DeleteFunc(s.enginesByID, func(o *engine) bool { return o == e })
	for _, h := range e.holds {
		s.free(h)
		h.state, h.stateChangedAt = done, never-releasedSessionTTL
		delete(s.holds, h.session)
	}
	e.holds = nil
}

// engineGone removes an engine whose process and memory no longer exist.
func (s *Scheduler) engineGone(id ident.BackendID) {
	e, ok := s.engines[id]
	if !ok {
		return
	}
	e.owned, e.leaving = false, true
	for _, h := range slices.Clone(e.holds) {
		a := h.att
		if a == nil {
			continue
		}
		s.releaseCapacity(h, failureResult)
		h.att, h.state = nil, done // the memory no longer exists, nothing to release
		s.free(h)
		s.releaseHolds(a, neutralResult)
		s.requeue(a, e, "backend_lost")
	}
	s.remove(e)
	s.chooseBatchEngines()
	s.refuseUnserved()
	s.needsDispatch = true
}

// refuseUnserved ends queued attempts whose model no longer has an owned engine. The gateway retries
// them with the new owner.
func (s *Scheduler) refuseUnserved() {
	for c := range s.queues {
		for _, a := range slices.Clone(s.queues[c]) {
			if !s.serves(a.Model) {
				s.endUnanswered(a, "no_backend", minRetryAfter, noEngineDetail)
			}
		}
	}
}

// chooseBatchEngines marks the engines that batch attempts may use: the last ones of each model in
// order of group and id, so that whole groups remain available for gangs.
func (s *Scheduler) chooseBatchEngines() {
	byModel := map[ident.Model][]*engine{}
	var models []ident.Model
	for _, e := range s.enginesByID {
		e.batchAllowed = false
		if e.owned && !e.leaving {
			if byModel[e.model] == nil {
				models = append(models, e.model)
			}
			byModel[e.model] = append(byModel[e.model], e)
		}
	}
	for _, m := range models {
		list := byModel[m]
		slices.SortStableFunc(list, func(a, b *engine) int { return strings.Compare(a.group, b.group) })
		n := max(1, int(float64(len(list))*s.cfg.BatchEngineShare+0.5))
		for _, e := range list[len(list)-min(n, len(list)):] {
			e.batchAllowed = true
		}
	}
}

// serves reports whether an owned engine of the model is not leaving.
func (s *Scheduler) serves(m ident.Model) bool {
	for _, e := range s.enginesByID {
		if e.owned && !e.leaving && e.model == m {
			return true
		}
	}
	return false
}

// skipGrowth reports whether a success must not raise the concurrency limit. While another dispatcher
// uses the engine, every second success is skipped.
func (e *engine) skipGrowth(now time.Duration) bool {
	if now >= e.contestedUntil {
		return false
	}
	e.skippedGrowth = !e.skippedGrowth
	return e.skippedGrowth
}

// usable reports whether the engine may get new work.
func (e *engine) usable(s *Scheduler) bool {
	return e.owned && !e.leaving && e.hasReport && !e.suspected &&
		s.now >= e.pausedUntil && s.now-e.lastReportTaken <= s.cfg.ReportMaxAge
}

// markLeaving records that the engine itself reported that it is leaving. Only a newer report undoes
// this: a list that still shows the engine as live is out of date.
func (s *Scheduler) markLeaving(e *engine, at time.Duration) {
	if !e.leaving {
		s.needsDispatch = true
	}
	e.leaving, e.selfReportedLeaving, e.leavingAt = true, true, max(e.leavingAt, at)
	s.chooseBatchEngines()
}

// suspect stops new work on the engine until a report arrives that was taken after the failure.
func (e *engine) suspect(now time.Duration) {
	e.suspectSince, e.suspected = now, true
}

// availableTokens returns the tokens that a new reservation may take. While another dispatcher uses the
// engine, both see the same free memory, so each takes at most half of it.
func (e *engine) availableTokens(s *Scheduler) int {
	free := e.memory - e.ownTokens - e.othersTokens
	if s.now < e.contestedUntil {
		free /= 2
	}
	return max(0, free)
}

// availableTokensFor returns the tokens available to an attempt. Batch attempts are limited to their
// share of the memory unless the plan needs all of it.
func (e *engine) availableTokensFor(s *Scheduler, a *attempt, share float64) int {
	available := e.availableTokens(s)
	if a.Class == ident.Batch && share < 1 {
		available = min(available, int(share*float64(e.memory))-e.ownBatchTokens)
	}
	return max(0, available)
}

func (e *engine) removeHold(h *hold) {
	e.holds = slices.DeleteFunc(e.holds, func(o *hold) bool { return o == h })
}

func (e *engine) slot() *timerSlot { return &e.timerSlot }

// due returns the next time at which a foreign session must be cancelled, a stray KV cache must be
// released or a pause ends.
func (e *engine) due(s *Scheduler) time.Duration {
	at := never
	if e.owned {
		for i := range e.foreign {
			at = min(at, e.foreign[i].cancelAt)
		}
		for i := range e.strayKV {
			at = min(at, e.strayKV[i].releaseAt)
		}
	}
	if e.pausedUntil > s.now {
		at = min(at, e.pausedUntil)
	}
	return at
}

func (e *engine) fire(s *Scheduler) {
	s.cancelForeign(e)
	s.needsDispatch = true
}
