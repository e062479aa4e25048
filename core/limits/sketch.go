package limits

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// sketchSize is the number of teams in a sketch. It is four times the number of reported teams, because with fewer,
// teams near the end of the list would replace each other at every request.
const sketchSize = 4 * MaxReportedTeams

// sketch estimates the demand of the teams with the Space-Saving algorithm and exponential decay: when it is full, a
// new team replaces the one with the lowest weight and inherits that weight as possible error. Its memory is bounded
// for any number of teams.
type sketch struct {
	halfLife time.Duration
	entries  []sketchEntry
}

type sketchEntry struct {
	team     ident.Team
	at       time.Duration
	weight   float64 // decayed tokens + requests
	err      float64 // part of weight that may belong to replaced teams
	requests float64 // decayed
	tokens   float64 // decayed
}

func (s *sketch) add(now time.Duration, team ident.Team, tokens int) {
	e := s.slot(now, team)
	s.decay(e, now)
	e.requests++
	e.tokens += float64(tokens)
	e.weight += float64(tokens) + 1
}

func (s *sketch) slot(now time.Duration, team ident.Team) *sketchEntry {
	for i := range s.entries {
		if s.entries[i].team == team {
			return &s.entries[i]
		}
	}
	if len(s.entries) < sketchSize {
		s.entries = append(s.entries, sketchEntry{team: team, at: now})
		return &s.entries[len(s.entries)-1]
	}
	least := &s.entries[0]
	for i := range s.entries {
		e := &s.entries[i]
		s.decay(e, now)
		if e.weight < least.weight {
			least = e
		}
	}
	*least = sketchEntry{team: team, at: now, weight: least.weight, err: least.weight}
	return least
}

func (s *sketch) decay(e *sketchEntry, now time.Duration) {
	if now <= e.at {
		return
	}
	f := math.Exp2(-float64(now-e.at) / float64(s.halfLife))
	e.at = now
	e.weight *= f
	e.err *= f
	e.requests *= f
	e.tokens *= f
}

// top returns the teams with the largest guaranteed demand (weight less error), as rates per second.
func (s *sketch) top(now time.Duration) []TeamDemand {
	for i := range s.entries {
		s.decay(&s.entries[i], now)
	}
	sorted := slices.Clone(s.entries)
	slices.SortFunc(sorted, func(a, b sketchEntry) int {
		switch x, y := a.weight-a.err, b.weight-b.err; {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return strings.Compare(string(a.team), string(b.team))
	})
	// A constant rate r has the decayed sum r × halfLife / ln 2.
	perS := math.Ln2 / s.halfLife.Seconds()
	var out []TeamDemand
	for _, e := range sorted[:min(MaxReportedTeams, len(sorted))] {
		out = append(out, TeamDemand{Team: e.team, RequestsPerS: e.requests * perS, TokensPerS: e.tokens * perS})
	}
	return out
}
