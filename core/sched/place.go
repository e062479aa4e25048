package sched

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

// reservedPenalty is the predicted time by which an engine reserved for short prompts has to be ahead
// of all others before a long prompt goes there. Long prefill on a reserved engine makes every short
// prompt wait for a step.
const reservedPenalty = 2 * time.Second

type planKind uint8

const (
	planNone   planKind = iota // too large for every engine and group
	planSingle                 // one engine
	planGang                   // several engines of a group
)

// plan is how an attempt can be placed by the size of the engines, whatever is free at the moment.
type plan struct {
	kind       planKind
	share      float64 // part of an engine's memory that batch attempts may hold
	anyEngines bool    // engines outside the batch share too
}

// plans are tried in order: a batch attempt breaks into the reserve for short prompts only if it
// could never run otherwise.
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
		for _, e := range s.order {
			if s.mayServe(e, a, p) && int(p.share*float64(e.memory)) >= a.need {
				p.kind = planSingle
				return p
			}
		}
		for _, g := range s.groups(a, p) {
			if s.gangParts(g, a, func(e *engine) int { return int(p.share * float64(e.memory)) }) != nil {
				p.kind = planGang
				return p
			}
		}
	}
	return plan{}
}

func (s *Scheduler) mayServe(e *engine, a *attempt, p plan) bool {
	return e.owned && !e.leaving && e.model == a.Model && s.allowed(e, a, p)
}

func (s *Scheduler) allowed(e *engine, a *attempt, p plan) bool {
	return p.anyEngines || e.mayBatch || a.Class != ident.Batch
}

// pass is the state of one walk over the queues.
type pass struct {
	failed  []failure
	claimed map[*engine]time.Duration // engines that a large attempt waits for, and until when
}

// failure notes an attempt that found no place. One of the same class that is at least as large
// finds none either.
type failure struct {
	model  ident.Model
	class  ident.Class
	prompt int
	need   int
}

// open reports whether a batch attempt that ends at the given time may use the engine: it must not
// delay the attempt that claimed it.
func (p *pass) open(e *engine, end time.Duration) bool {
	until, claimed := p.claimed[e]
	return !claimed || end <= until
}

func (p *pass) hopeless(a *attempt) bool {
	for _, f := range p.failed {
		if f.model == a.Model && f.class == a.Class && a.need >= f.need && a.PromptTokens >= f.prompt {
			return true
		}
	}
	return false
}

// dispatch places waiting attempts while there is room.
func (s *Scheduler) dispatch() {
	p := pass{claimed: map[*engine]time.Duration{}}
	for _, a := range s.waiting() {
		if a.state != queued || p.hopeless(a) {
			continue
		}
		if !s.place(a, &p) && a.state == queued {
			p.failed = append(p.failed, failure{a.Model, a.Class, a.PromptTokens, a.need})
		}
	}
}

// place sends an attempt, or ends it if no engine can finish it in time, and reports whether it left
// the queue.
func (s *Scheduler) place(a *attempt, p *pass) bool {
	pl := s.planFor(a)
	switch pl.kind {
	case planNone:
		s.finish(a, outcome.NoBackend, minRetryAfter, "the engines that were large enough left")
		return true
	case planGang:
		return s.placeGang(a, pl, p)
	}
	e := s.choose(a, pl, p)
	if e == nil {
		s.claimSingle(a, pl, p)
		return false
	}
	if s.cfg.Policy == Predict && s.now+e.service(s, a) > a.Deadline {
		s.finish(a, outcome.DeadlineUnreachable, s.retryAfter(a), "predicted to miss the deadline")
		return true
	}
	s.start(a, []part{{eng: e, prompt: a.PromptTokens}})
	return true
}

// fits reports whether the engine can take the attempt now.
func (s *Scheduler) fits(e *engine, a *attempt, pl plan, p *pass) bool {
	if !s.mayServe(e, a, pl) || !e.usable(s) || e.limit.Free(s.now) == 0 {
		return false
	}
	if a.Class == ident.Batch && !p.open(e, s.now+e.service(s, a)) {
		return false
	}
	return e.roomFor(s, a, pl.share) >= a.need && s.longFits(e, a.PromptTokens)
}

// longFits bounds the long prefill in flight on an engine. One is always allowed.
func (s *Scheduler) longFits(e *engine, prompt int) bool {
	if s.cfg.Policy != Predict || prompt < s.cfg.LongPromptTokens {
		return true
	}
	return e.longs == 0 || e.longPrefill+prompt <= s.cfg.LongPrefillTokens
}

// choose picks the engine for an attempt that fits on one, or nil.
func (s *Scheduler) choose(a *attempt, pl plan, p *pass) *engine {
	var fit []*engine
	other := false // a usable engine besides the one that failed
	for _, e := range s.order {
		if e != a.avoid && s.mayServe(e, a, pl) && e.usable(s) {
			other = true
		}
		if s.fits(e, a, pl, p) {
			fit = append(fit, e)
		}
	}
	if other {
		fit = without(fit, a.avoid)
	}
	if len(fit) == 0 {
		return nil
	}
	switch s.cfg.Policy {
	case RoundRobin:
		s.turn++
		return s.nextInTurn(fit)
	case LeastOutstanding:
		return best(fit, func(e *engine) float64 { return float64(e.limit.InFlight(s.now)) })
	}
	return s.choosePredicted(s.inTime(fit, a), a)
}

// inTime returns the engines that can finish the attempt by its deadline, or all if none can.
func (s *Scheduler) inTime(fit []*engine, a *attempt) []*engine {
	var out []*engine
	for _, e := range fit {
		if s.now+e.service(s, a) <= a.Deadline {
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

// nextInTurn returns the first engine that fits at or after the turn's position among all engines.
func (s *Scheduler) nextInTurn(fit []*engine) *engine {
	for i := range s.order {
		e := s.order[(s.turn+i)%len(s.order)]
		for _, f := range fit {
			if f == e {
				s.turn = (s.turn + i) % len(s.order)
				return e
			}
		}
	}
	return fit[0]
}

// best returns the engine with the smallest value, the first of equal ones.
func best(list []*engine, value func(*engine) float64) *engine {
	b, bv := list[0], value(list[0])
	for _, e := range list[1:] {
		if v := value(e); v < bv {
			b, bv = e, v
		}
	}
	return b
}

// choosePredicted picks the engine with the earliest predicted first token. An engine that holds the
// prefix goes first as long as its load is near the mean.
func (s *Scheduler) choosePredicted(fit []*engine, a *attempt) *engine {
	if e := s.affine(fit, a); e != nil {
		return e
	}
	return best(fit, func(e *engine) float64 {
		t := e.predictFirst(s, int(a.Class), a.PromptTokens, a.Prefix)
		if !e.mayBatch && a.PromptTokens >= s.cfg.LongPromptTokens {
			t += reservedPenalty
		}
		// Memory in use breaks near ties: a fuller engine decodes larger batches, which is slower.
		return float64(t) + float64(5*time.Millisecond)*float64(e.own+e.others)/float64(max(1, e.memory))
	})
}

// affine returns the least loaded engine that holds the prefix, if its load is within AffinityLoad
// times the mean.
func (s *Scheduler) affine(fit []*engine, a *attempt) *engine {
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
	e := best(holders, func(e *engine) float64 { return s.load(e, a) })
	if s.load(e, a) <= s.cfg.AffinityLoad*sum/float64(len(fit)) {
		return e
	}
	return nil
}

// load is the prefill ahead of the attempt in tokens, with a floor so that idle engines count as equal.
func (s *Scheduler) load(e *engine, a *attempt) float64 {
	return float64(max(prefixTokens, e.ahead(int(a.Class))))
}
