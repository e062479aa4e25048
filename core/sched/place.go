package sched

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

// reservedPenalty is added to the predicted time to first token of a long prompt on an engine that is
// reserved for short prompts. Long prefill on such an engine makes every short prompt wait for a step.
const reservedPenalty = 2 * time.Second

type planKind uint8

const (
	planNone   planKind = iota // too large for every engine and group
	planSingle                 // one engine
	planGang                   // several engines of a group
)

// plan describes how an attempt can be placed given the size of the engines, regardless of how much is
// free at the moment.
type plan struct {
	kind       planKind
	share      float64 // fraction of an engine's memory that batch attempts may reserve
	anyEngines bool    // also engines outside the batch share
}

// plans returns the plans in the order in which they are tried: a batch attempt uses the capacity
// reserved for short prompts only if it could never run otherwise.
func (s *Scheduler) plans(a *attempt) []plan {
	if s.cfg.Policy != Predict || a.Class != ident.Batch {
		return []plan{{share: 1, anyEngines: true}}
	}
	return []plan{
		{share: s.cfg.BatchMemoryShare},
		{share: s.cfg.BatchMemoryShare, anyEngines: true},
		{share: 1, anyEngines: true},
	}
}

func (s *Scheduler) planFor(a *attempt) plan {
	for _, p := range s.plans(a) {
		for _, e := range s.enginesByID {
			if s.eligible(e, a, p) && int(p.share*float64(e.memory)) >= a.neededTokens {
				p.kind = planSingle
				return p
			}
		}
		for _, g := range s.groups(a, p) {
			if s.splitPrompt(g, a, func(e *engine) int { return int(p.share * float64(e.memory)) }) != nil {
				p.kind = planGang
				return p
			}
		}
	}
	return plan{}
}

func (s *Scheduler) eligible(e *engine, a *attempt, p plan) bool {
	return e.owned && !e.leaving && e.model == a.Model && s.classAllowed(e, a, p)
}

func (s *Scheduler) classAllowed(e *engine, a *attempt, p plan) bool {
	return p.anyEngines || e.batchAllowed || a.Class != ident.Batch
}

// dispatchPass holds the state of one pass over the queues.
type dispatchPass struct {
	failed  []placementFailure
	claimed map[*engine]time.Duration // engines that a large attempt waits for, and until when
}

// placementFailure records an attempt that could not be placed. In the same pass, an attempt of the
// same model and class that is at least as large cannot be placed either.
type placementFailure struct {
	model        ident.Model
	class        ident.Class
	prompt       int // tokens
	neededTokens int
}

// canBackfill reports whether a batch attempt that ends at the given time may use the engine: it must not
// delay the attempt that claimed it.
func (p *dispatchPass) canBackfill(e *engine, end time.Duration) bool {
	until, claimed := p.claimed[e]
	return !claimed || end <= until
}

func (p *dispatchPass) cannotPlace(a *attempt) bool {
	for _, f := range p.failed {
		if f.model == a.Model && f.class == a.Class && a.neededTokens >= f.neededTokens && a.PromptTokens >= f.prompt {
			return true
		}
	}
	return false
}

// dispatch places the waiting attempts that fit.
func (s *Scheduler) dispatch() {
	p := dispatchPass{claimed: map[*engine]time.Duration{}}
	for _, a := range s.waiting() {
		if a.state != queued || p.cannotPlace(a) {
			continue
		}
		if !s.place(a, &p) && a.state == queued {
			p.failed = append(p.failed, placementFailure{a.Model, a.Class, a.PromptTokens, a.neededTokens})
		}
	}
}

// place sends an attempt, or ends it if no engine can finish it in time, and reports whether it left
// the queue.
func (s *Scheduler) place(a *attempt, p *dispatchPass) bool {
	pl := s.planFor(a)
	switch pl.kind {
	case planNone:
		s.endUnanswered(a, outcome.NoBackend, minRetryAfter, "the engines that were large enough left")
		return true
	case planGang:
		return s.placeGang(a, pl, p)
	}
	e := s.choose(a, pl, p)
	if e == nil {
		s.claimSingle(a, pl, p)
		return false
	}
	if s.cfg.Policy == Predict && s.now+e.serviceTime(s, a) > a.Deadline {
		s.endUnanswered(a, outcome.DeadlineUnreachable, s.retryAfter(a), "predicted to miss the deadline")
		return true
	}
	s.start(a, []promptPart{{eng: e, prompt: a.PromptTokens}})
	return true
}

// fits reports whether the engine can take the attempt now.
func (s *Scheduler) fits(e *engine, a *attempt, pl plan, p *dispatchPass) bool {
	if !s.eligible(e, a, pl) || !e.usable(s) || e.limit.Free(s.now) == 0 {
		return false
	}
	if a.Class == ident.Batch && !p.canBackfill(e, s.now+e.serviceTime(s, a)) {
		return false
	}
	return e.availableTokensFor(s, a, pl.share) >= a.neededTokens && s.longPrefillFits(e, a.PromptTokens)
}

// longPrefillFits reports whether a prompt keeps the long prefill in flight on an engine within
// LongPrefillTokens. One long prompt is always allowed.
func (s *Scheduler) longPrefillFits(e *engine, prompt int) bool {
	if s.cfg.Policy != Predict || prompt < s.cfg.LongPromptTokens {
		return true
	}
	return e.longPrompts == 0 || e.longPrefill+prompt <= s.cfg.LongPrefillTokens
}

// choose picks the engine for an attempt that fits on one, or nil.
func (s *Scheduler) choose(a *attempt, pl plan, p *dispatchPass) *engine {
	var fit []*engine
	other := false // a usable engine besides the one that failed
	for _, e := range s.enginesByID {
		if e != a.failedEngine && s.eligible(e, a, pl) && e.usable(s) {
			other = true
		}
		if s.fits(e, a, pl, p) {
			fit = append(fit, e)
		}
	}
	if other {
		fit = without(fit, a.failedEngine)
	}
	if len(fit) == 0 {
		return nil
	}
	switch s.cfg.Policy {
	case RoundRobin:
		s.roundRobinIndex++
		return s.nextRoundRobin(fit)
	case LeastOutstanding:
		return minEngine(fit, func(e *engine) float64 { return float64(e.limit.InFlight(s.now)) })
	}
	return s.choosePredicted(s.filterByDeadline(fit, a), a)
}

// filterByDeadline returns the engines that can finish the attempt by its deadline, or all if none can.
func (s *Scheduler) filterByDeadline(fit []*engine, a *attempt) []*engine {
	var out []*engine
	for _, e := range fit {
		if s.now+e.serviceTime(s, a) <= a.Deadline {
			out = append(out, e)
		}
	}
	if len(out) == 0 {
		return fit
	}
	return out
}

func without(list []*engine, x *engine) []*engine {
	out := list[:0]
	for _, e := range list {
		if e != x {
			out = append(out, e)
		}
	}
	return out
}

// nextRoundRobin returns the first engine that fits at or after the round-robin index among all
// engines.
func (s *Scheduler) nextRoundRobin(fit []*engine) *engine {
	for i := range s.enginesByID {
		e := s.enginesByID[(s.roundRobinIndex+i)%len(s.enginesByID)]
		for _, f := range fit {
			if f == e {
				s.roundRobinIndex = (s.roundRobinIndex + i) % len(s.enginesByID)
				return e
			}
		}
	}
	return fit[0]
}

// minEngine returns the engine with the smallest value, the first of equal ones.
func minEngine(list []*engine, value func(*engine) float64) *engine {
	b, bv := list[0], value(list[0])
	for _, e := range list[1:] {
		if v := value(e); v < bv {
			b, bv = e, v
		}
	}
	return b
}

// choosePredicted picks the engine with the earliest predicted first token. An engine that holds the
// prefix is preferred while its load is near the mean.
func (s *Scheduler) choosePredicted(fit []*engine, a *attempt) *engine {
	if e := s.prefixEngine(fit, a); e != nil {
		return e
	}
	return minEngine(fit, func(e *engine) float64 {
		t := e.predictFirstToken(s, int(a.Class), a.PromptTokens, a.Prefix)
		if !e.batchAllowed && a.PromptTokens >= s.cfg.LongPromptTokens {
			t += reservedPenalty
		}
		// Memory in use decides between nearly equal engines: a fuller engine decodes larger batches,
		// which is slower.
		return float64(t) + float64(5*time.Millisecond)*float64(e.ownTokens+e.othersTokens)/float64(max(1, e.memory))
	})
}

// prefixEngine returns the least loaded engine that holds the prefix, if its load is within AffinityLoad
// times the mean.
func (s *Scheduler) prefixEngine(fit []*engine, a *attempt) *engine {
	if a.Prefix == "" {
		return nil
	}
	var holders []*engine
	sum := 0.0
	for _, e := range fit {
		sum += s.load(e, a)
		if e.prefixes.has(a.Prefix) {
			holders = append(holders, e)
		}
	}
	if len(holders) == 0 {
		return nil
	}
	e := minEngine(holders, func(e *engine) float64 { return s.load(e, a) })
	if s.load(e, a) <= s.cfg.AffinityLoad*sum/float64(len(fit)) {
		return e
	}
	return nil
}

// load returns the prefill tokens ahead of the attempt, with a minimum so that nearly idle engines
// count as equal.
func (s *Scheduler) load(e *engine, a *attempt) float64 {
	return float64(max(prefixTokens, e.prefillAhead(int(a.Class))))
}
