package sched

import (
	"slices"
	"strings"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/limits"
)

// contestedFor is the time for which growth stays halved after a report showed sessions of another
// dispatcher. It covers several reports, so that one report between two sessions does not end it.
const contestedFor = 10 * time.Second

// engine is the scheduler's account of one engine.
type engine struct {
	timerSlot
	id     ident.BackendID
	group  string
	model  ident.Model
	memory int // memory by the last report, else by configuration

	owned       bool
	leaving     bool // listed as leaving, or said by the engine
	saidLeaving bool // by a report or a refusal
	leavingAt   time.Duration
	mayBatch    bool          // batch prompts may use it
	reported    bool          // a report was taken since it is owned
	lastTaken   time.Duration // earliest time at which the last report can have been taken
	suspectAt   time.Duration // last loss; nothing is sent before a report that is newer
	suspected   bool
	pausedUntil time.Duration // after a refusal

	own      int // tokens reserved here
	ownBatch int // the part of it of batch attempts
	others   int // tokens that others hold by the last report
	holds    []*hold
	foreign  []foreign
	strayKV  []strayKV

	prefill       [classes]int   // own prefill tokens in flight by priority
	passing       [classes]int64 // prefill tokens ever sent that pass the priority
	foreignQueued int            // queued prefill of others by the last report
	longPrefill   int            // own long prefill tokens in flight
	longs         int
	limit         *limits.Concurrency
	contested     time.Duration // growth is halved until then
	skipped       bool          // the last success while contested did not raise the limit
	prefixes      prefixCache

	learnt       bool
	learntRate   float64 // prefill tokens per second
	reportedRate float64
	base         time.Duration // time to first token beyond prefill
	tokenTime    time.Duration
}

// enginesChanged takes in the list of owned engines.
func (s *Scheduler) enginesChanged(list []Engine) {
	listed := map[ident.BackendID]bool{}
	for _, c := range list {
		listed[c.ID] = true
		e, ok := s.engines[c.ID]
		if !ok {
			e = s.newEngine(c)
		}
		if !e.owned {
			e.owned, e.reported = true, false
		}
		e.group, e.model, e.leaving = c.Group, c.Model, c.Leaving || e.saidLeaving
		if !e.reported {
			e.memory = c.MemoryTokens
		}
	}
	for _, e := range slices.Clone(s.order) {
		if !listed[e.id] && e.owned {
			e.owned = false
			s.reap(e)
		}
	}
	s.chooseBatchEngines()
	s.refuseOrphans()
	s.dirty = true
}

func (s *Scheduler) newEngine(c Engine) *engine {
	e := &engine{
		id: c.ID, memory: c.MemoryTokens, lastTaken: -never / 2, tokenTime: s.cfg.DecodeTokenTime,
		limit: limits.NewConcurrency(limits.ConcurrencyConfig{
			Initial: max(1, s.cfg.MaxConcurrency/4), Max: s.cfg.MaxConcurrency,
		}),
	}
	s.engines[c.ID] = e
	i, _ := slices.BinarySearchFunc(s.order, c.ID, func(e *engine, id ident.BackendID) int {
		return strings.Compare(string(e.id), string(id))
	})
	s.order = slices.Insert(s.order, i, e)
	return e
}

// reap forgets an engine that is not owned and has nothing left to give back.
func (s *Scheduler) reap(e *engine) {
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
	s.order = slices.DeleteFunc(s.order, func(o *engine) bool { return o == e })
	for _, h := range e.holds {
		s.free(h)
		h.state, h.changedAt = done, never-forgetAfter
		delete(s.holds, h.session)
	}
	e.holds = nil
}

// engineGone drops an engine together with its memory.
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
		s.stopWork(h, failureResult)
		h.att, h.state = nil, done // nothing to give back here
		s.free(h)
		s.giveBack(a, neutralResult)
		s.tryAgain(a, e, "backend_lost")
	}
	s.remove(e)
	s.chooseBatchEngines()
	s.refuseOrphans()
	s.dirty = true
}

// refuseOrphans ends waiting attempts whose model has no owned engine any more. The gateway tries
// them at the new owner.
func (s *Scheduler) refuseOrphans() {
	for c := range s.queues {
		for _, a := range slices.Clone(s.queues[c]) {
			if !s.serves(a.Model) {
				s.finish(a, "no_backend", minRetryAfter, noEngineDetail)
			}
		}
	}
}

// chooseBatchEngines marks the engines that batch attempts may use: the last ones of each model by
// group and id, so that whole groups stay together for gangs.
func (s *Scheduler) chooseBatchEngines() {
	byModel := map[ident.Model][]*engine{}
	var models []ident.Model
	for _, e := range s.order {
		e.mayBatch = false
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
			e.mayBatch = true
		}
	}
}

// serves reports whether an owned engine of the model stays.
func (s *Scheduler) serves(m ident.Model) bool {
	for _, e := range s.order {
		if e.owned && !e.leaving && e.model == m {
			return true
		}
	}
	return false
}

// skipGrowth reports whether a success must not raise the concurrency limit: while another dispatcher
// works on the engine, every second one does not.
func (e *engine) skipGrowth(now time.Duration) bool {
	if now >= e.contested {
		return false
	}
	e.skipped = !e.skipped
	return e.skipped
}

// usable reports whether the engine may get something new.
func (e *engine) usable(s *Scheduler) bool {
	return e.owned && !e.leaving && e.reported && !e.suspected &&
		s.now >= e.pausedUntil && s.now-e.lastTaken <= s.cfg.ReportMaxAge
}

// left notes that the engine itself said that it is leaving. Only a newer report takes it back: a list
// that still calls the engine live lags.
func (s *Scheduler) left(e *engine, at time.Duration) {
	if !e.leaving {
		s.dirty = true
	}
	e.leaving, e.saidLeaving, e.leavingAt = true, true, max(e.leavingAt, at)
	s.chooseBatchEngines()
}

// suspect stops new work until a report that was taken after the loss.
func (e *engine) suspect(now time.Duration) {
	e.suspectAt, e.suspected = now, true
}

// room returns the tokens that a new reservation may take. While another dispatcher works on the engine too, both see the same free memory, so
// each takes at most half of it.
func (e *engine) room(s *Scheduler) int {
	free := e.memory - e.own - e.others
	if s.now < e.contested {
		free /= 2
	}
	return max(0, free)
}

// roomFor returns the room for an attempt: batch attempts are held to their share unless the plan
// needs the whole memory.
func (e *engine) roomFor(s *Scheduler, a *attempt, share float64) int {
	room := e.room(s)
	if a.Class == ident.Batch && share < 1 {
		room = min(room, int(share*float64(e.memory))-e.ownBatch)
	}
	return max(0, room)
}

func (e *engine) removeHold(h *hold) {
	e.holds = slices.DeleteFunc(e.holds, func(o *hold) bool { return o == h })
}

func (e *engine) slot() *timerSlot { return &e.timerSlot }

// due is the next time at which a foreign session has to be cancelled or a pause ends.
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
	s.dirty = true
}
