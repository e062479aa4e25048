package sched

import (
	"slices"
	"strings"

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
			if !e.usable(s) || e.limit.Free(s.now) == 0 || (p.claimed[e] && a.Class == ident.Batch) {
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

func (s *Scheduler) claimGroup(a *attempt, pl plan, p *pass) {
	if s.cfg.Policy != Predict {
		return
	}
	var best []*engine
	most := -1
	for _, g := range s.groups(a, pl) {
		free, size := 0, 0
		for _, e := range g {
			if !p.claimed[e] {
				free += e.roomFor(s, a, pl.share)
				size += int(pl.share * float64(e.memory))
			}
		}
		if size >= a.need && free > most {
			best, most = g, free
		}
	}
	for _, e := range best {
		p.claimed[e] = true
	}
}

// claimSingle keeps the engine with the most room for a batch attempt that waits for memory.
func (s *Scheduler) claimSingle(a *attempt, pl plan, p *pass) {
	if s.cfg.Policy != Predict || a.Class != ident.Batch {
		return
	}
	var target *engine
	for _, e := range s.order {
		if !s.mayServe(e, a, pl) || !e.usable(s) || p.claimed[e] || int(pl.share*float64(e.memory)) < a.need {
			continue
		}
		if target == nil || e.roomFor(s, a, pl.share) > target.roomFor(s, a, pl.share) {
			target = e
		}
	}
	if target != nil && target.roomFor(s, a, pl.share) < a.need {
		p.claimed[target] = true
	}
}
