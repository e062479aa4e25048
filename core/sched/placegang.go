package sched

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

// part is the piece of a prompt that one engine takes.
type part struct {
	eng    *engine
	prompt int // tokens
}

// groups returns the engines that the attempt may use, by group, in the order of group names.
func (s *Scheduler) groups(a *attempt, p plan) [][]*engine {
	var list []*engine
	for _, e := range s.order {
		if s.mayServe(e, a, p) {
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

// gangParts splits a prompt over as few engines of a group as possible, or returns nil if their room
// does not suffice. The engine with the most room comes last and also takes the output.
func (s *Scheduler) gangParts(group []*engine, a *attempt, room func(*engine) int) []part {
	engines := slices.Clone(group)
	slices.SortStableFunc(engines, func(x, y *engine) int { return room(y) - room(x) })
	if len(engines) == 0 || room(engines[0]) <= a.MaxOutputTokens {
		return nil
	}
	last := part{eng: engines[0], prompt: min(a.PromptTokens, room(engines[0])-a.MaxOutputTokens)}
	left := a.PromptTokens - last.prompt
	var parts []part
	for _, e := range engines[1:] {
		if left == 0 {
			break
		}
		if n := min(left, room(e)); n > 0 {
			parts = append(parts, part{eng: e, prompt: n})
			left -= n
		}
	}
	if left > 0 {
		return nil
	}
	return append(parts, last)
}

// placeGang reserves a gang if one group has the room now, else claims the group that is closest to
// it, so that smaller batch attempts do not keep it full for ever.
func (s *Scheduler) placeGang(a *attempt, pl plan, p *pass) bool {
	var parts []part
	for _, g := range s.groups(a, pl) {
		found := s.gangParts(g, a, func(e *engine) int {
			if !e.usable(s) || e.limit.Free(s.now) == 0 || !p.open(e, never) {
				return 0
			}
			return e.roomFor(s, a, pl.share)
		})
		if found != nil && (parts == nil || len(found) < len(parts)) {
			parts = found
		}
	}
	if parts == nil {
		s.claimGroup(a, pl, p)
		return false
	}
	if s.cfg.Policy == Predict && s.now+s.gangService(a, parts) > a.Deadline {
		s.finish(a, outcome.DeadlineUnreachable, s.retryAfter(a), "predicted to miss the deadline")
		return true
	}
	s.start(a, parts)
	return true
}

// claimGroup claims a group for a gang until the time at which it will probably have the room. Batch
// attempts that end before then may still use it.
func (s *Scheduler) claimGroup(a *attempt, pl plan, p *pass) {
	if s.cfg.Policy != Predict {
		return
	}
	var best []*engine
	soonest := never
	for _, g := range s.groups(a, pl) {
		if slices.ContainsFunc(g, func(e *engine) bool { return !p.open(e, never) }) {
			continue
		}
		if at := s.freeAt(g, a, pl); best == nil || at < soonest {
			best, soonest = g, at
		}
	}
	for _, e := range best {
		p.claimed[e] = soonest
	}
}

// claimSingle claims one engine for a batch attempt that waits for memory.
func (s *Scheduler) claimSingle(a *attempt, pl plan, p *pass) {
	if s.cfg.Policy != Predict || a.Class != ident.Batch {
		return
	}
	var target *engine
	soonest := never
	for _, e := range s.order {
		if !s.mayServe(e, a, pl) || !e.usable(s) || !p.open(e, never) || int(pl.share*float64(e.memory)) < a.need {
			continue
		}
		if at := s.freeAt([]*engine{e}, a, pl); target == nil || at < soonest {
			target, soonest = e, at
		}
	}
	if target != nil {
		p.claimed[target] = soonest
	}
}

// freeAt predicts when the engines will together have the room for the attempt, never if they will not
// by what runs there now.
func (s *Scheduler) freeAt(engines []*engine, a *attempt, pl plan) time.Duration {
	type release struct {
		at     time.Duration
		tokens int
	}
	room := 0
	var list []release
	for _, e := range engines {
		room += e.roomFor(s, a, pl.share)
		for _, h := range e.holds {
			if h.att != nil && !h.freed && (h.batch || pl.share == 1) {
				list = append(list, release{s.now + s.remaining(h), h.tokens})
			}
		}
	}
	if room >= a.need {
		return s.now
	}
	slices.SortStableFunc(list, func(x, y release) int { return cmp.Compare(x.at, y.at) })
	for _, r := range list {
		if room += r.tokens; room >= a.need {
			return r.at
		}
	}
	return never
}
