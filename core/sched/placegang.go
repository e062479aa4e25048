package sched

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

// promptPart is the part of a prompt that one engine processes.
type promptPart struct {
	eng    *engine
	prompt int // tokens
}

// groups returns the engines that the attempt may use, by group, in the order of group names.
func (s *Scheduler) groups(a *attempt, p plan) [][]*engine {
	var list []*engine
	for _, e := range s.enginesByID {
		if s.eligible(e, a, p) {
			list = append(list, e)
		}
	}
	slices.SortStableFunc(list, func(x, y *engine) int { return strings.Compare(x.group, y.group) })
	var out [][]*engine
	for i, e := range list {
		if i == 0 || list[i-1].group != e.group {
			out = append(out, nil)
		}
		out[len(out)-1] = append(out[len(out)-1], e)
	}
	return out
}

// splitPrompt splits a prompt over as few engines of a group as possible, or returns nil if they lack
// the memory. The engine with the most available tokens comes last and also generates the output.
func (s *Scheduler) splitPrompt(group []*engine, a *attempt, available func(*engine) int) []promptPart {
	engines := slices.Clone(group)
	slices.SortStableFunc(engines, func(x, y *engine) int { return available(y) - available(x) })
	if len(engines) == 0 || available(engines[0]) <= a.MaxOutputTokens {
		return nil
	}
	last := promptPart{eng: engines[0], prompt: min(a.PromptTokens, available(engines[0])-a.MaxOutputTokens)}
	left := a.PromptTokens - last.prompt
	var parts []promptPart
	for _, e := range engines[1:] {
		if left == 0 {
			break
		}
		if n := min(left, available(e)); n > 0 {
			parts = append(parts, promptPart{eng: e, prompt: n})
			left -= n
		}
	}
	if left > 0 {
		return nil
	}
	return append(parts, last)
}

// placeGang reserves a gang if a group has enough memory available now. Otherwise it claims the group
// that is predicted to have it first, so that smaller batch attempts cannot starve the gang.
func (s *Scheduler) placeGang(a *attempt, pl plan, p *dispatchPass) bool {
	var parts []promptPart
	for _, g := range s.groups(a, pl) {
		found := s.splitPrompt(g, a, func(e *engine) int {
			if !e.usable(s) || e.limit.Free(s.now) == 0 || !p.canBackfill(e, never) {
				return 0
			}
			return e.availableTokensFor(s, a, pl.share)
		})
		if found != nil && (parts == nil || len(found) < len(parts)) {
			parts = found
		}
	}
	if parts == nil {
		s.claimGroup(a, pl, p)
		return false
	}
	if s.cfg.Policy == Predict && s.now+s.gangServiceTime(a, parts) > a.Deadline {
		s.endUnanswered(a, outcome.DeadlineUnreachable, s.retryAfter(a), "predicted to miss the deadline")
		return true
	}
	s.start(a, parts)
	return true
}

// claimGroup claims a group for a gang until the predicted time at which it has enough memory. Batch
// attempts that end before then may still use it.
func (s *Scheduler) claimGroup(a *attempt, pl plan, p *dispatchPass) {
	if s.cfg.Policy != Predict {
		return
	}
	var best []*engine
	soonest := never
	for _, g := range s.groups(a, pl) {
		if slices.ContainsFunc(g, func(e *engine) bool { return !p.canBackfill(e, never) }) {
			continue
		}
		if at := s.predictedFreeTime(g, a, pl); best == nil || at < soonest {
			best, soonest = g, at
		}
	}
	for _, e := range best {
		p.claimed[e] = soonest
	}
}

// claimSingle claims one engine for a batch attempt that waits for memory.
func (s *Scheduler) claimSingle(a *attempt, pl plan, p *dispatchPass) {
	if s.cfg.Policy != Predict || a.Class != ident.Batch {
		return
	}
	var target *engine
	soonest := never
	for _, e := range s.enginesByID {
		if !s.eligible(e, a, pl) || !e.usable(s) || !p.canBackfill(e, never) || int(pl.share*float64(e.memory)) < a.neededTokens {
			continue
		}
		if at := s.predictedFreeTime([]*engine{e}, a, pl); target == nil || at < soonest {
			target, soonest = e, at
		}
	}
	if target != nil {
		p.claimed[target] = soonest
	}
}

// predictedFreeTime returns the predicted time at which the engines together have enough memory for the
// attempt, or never if the end of all sessions that run there now does not free enough.
func (s *Scheduler) predictedFreeTime(engines []*engine, a *attempt, pl plan) time.Duration {
	type release struct {
		at     time.Duration
		tokens int
	}
	available := 0
	var list []release
	for _, e := range engines {
		available += e.availableTokensFor(s, a, pl.share)
		for _, h := range e.holds {
			if h.att != nil && !h.freed && (h.batch || pl.share == 1) {
				list = append(list, release{s.now + s.remainingTime(h), h.tokens})
			}
		}
	}
	if available >= a.neededTokens {
		return s.now
	}
	slices.SortStableFunc(list, func(x, y release) int { return cmp.Compare(x.at, y.at) })
	for _, r := range list {
		if available += r.tokens; available >= a.neededTokens {
			return r.at
		}
	}
	return never
}
