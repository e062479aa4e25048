package drain

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"pgregory.net/rapid"
)

func observation(source Source, leaving bool, incarnation, list uint64) Observation {
	return Observation{Server: "e", Source: source, Leaving: leaving, Stamp: Stamp{Incarnation: incarnation, ListVersion: list}}
}

// TestLeavingWins guards against a leaving server that gets work again because of an older or lagging
// source, and against a returned server that stays idle.
func TestLeavingWins(t *testing.T) {
	for name, test := range map[string]struct {
		observations []Observation
		after        time.Duration // time of the last observation
		want         bool
	}{
		"report":                          {[]Observation{observation(HostList, false, 0, 7), observation(Report, true, 0, 7)}, 0, true},
		"gossip with an older list":       {[]Observation{observation(HostList, false, 0, 7), observation(Gossip, true, 0, 5)}, 0, true},
		"live report after a refusal":     {[]Observation{observation(Refusal, true, 3, 7), observation(Report, false, 3, 7)}, time.Hour, true},
		"live gossip":                     {[]Observation{observation(Refusal, true, 0, 7), observation(Gossip, false, 0, 9)}, time.Hour, true},
		"same list":                       {[]Observation{observation(Refusal, true, 0, 7), observation(HostList, false, 0, 7)}, time.Hour, true},
		"newer list that lags":            {[]Observation{observation(Refusal, true, 0, 7), observation(HostList, false, 0, 8)}, time.Second, true},
		"newer list after the lag":        {[]Observation{observation(Refusal, true, 0, 7), observation(HostList, false, 0, 8)}, ListLag, false},
		"list showed it leaving and live": {[]Observation{observation(Refusal, true, 0, 7), observation(HostList, true, 0, 8), observation(HostList, false, 0, 9)}, 0, false},
		"newer incarnation":               {[]Observation{observation(Report, true, 3, 7), observation(Report, false, 4, 7)}, 0, false},
		"old gossip after the return":     {[]Observation{observation(Report, true, 3, 7), observation(Report, false, 4, 7), observation(Gossip, true, 3, 7)}, 0, false},
		"old gossip after a newer list":   {[]Observation{observation(Refusal, true, 0, 7), observation(HostList, true, 0, 8), observation(HostList, false, 0, 9), observation(Gossip, true, 0, 8)}, 0, false},
		"second leave after the return":   {[]Observation{observation(Report, true, 3, 7), observation(Report, false, 4, 7), observation(Gossip, true, 4, 7)}, 0, true},
	} {
		b := NewBackends(Config{})
		for i, m := range test.observations {
			now := time.Duration(0)
			if i == len(test.observations)-1 {
				now = test.after
			}
			b.Observe(now, m)
		}
		qt.Check(t, b.Leaving("e"), qt.Equals, test.want, qt.Commentf(name))
	}
}

// TestLeavingSpreads guards against a process that keeps sending to a leaving server when observations arrive in any
// order, duplicated, and from processes whose lists lag.
func TestLeavingSpreads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBackends(Config{})
		left := false
		for range rapid.IntRange(1, 30).Draw(t, "marks") {
			m := observation(Source(rapid.IntRange(0, 3).Draw(t, "source")), rapid.Bool().Draw(t, "leaving"), 1, uint64(rapid.IntRange(1, 9).Draw(t, "list")))
			if m.Source == HostList && !m.Leaving {
				m.Stamp.ListVersion = 1 // all lists were created before the server started to leave
			}
			b.Observe(0, m)
			left = left || m.Leaving
			if b.Leaving("e") != left {
				t.Fatalf("leaving is %v after %+v", b.Leaving("e"), m)
			}
		}
	})
}

// TestShutdown guards against a shutdown that interrupts a request, refuses requests before AddressTTL has passed,
// accepts them afterwards, or never ends.
func TestShutdown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewShutdown(0)
		now, running := time.Duration(0), 0
		var done []Action
		begun := time.Duration(-1)
		for range rapid.IntRange(0, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				err := s.Admit()
				if refused := err != nil; refused != slices.Contains(done, Refuse) || (refused && err.Kind != outcome.NotRun) {
					t.Fatalf("refused %v after actions %v", refused, done)
				} else if !refused {
					running++
				}
			case 1:
				if running > 0 {
					running--
					s.Done()
				}
			case 2:
				if a := s.Begin(now); len(a) > 0 {
					begun = now
					done = append(done, a...)
				}
			default:
				now += time.Duration(rapid.IntRange(0, 8).Draw(t, "s")) * time.Second
			}
			actions := s.Tick(now)
			done = append(done, actions...)
			if slices.Contains(actions, Exit) && running > 0 {
				t.Fatalf("exit with %d running", running)
			}
			late := begun >= 0 && now >= begun+AddressTTL
			if late != slices.Contains(done, Refuse) || (late && running == 0) != slices.Contains(done, Exit) {
				t.Fatalf("%s after %s: %v with %d running", now, begun, done, running)
			}
		}
	})
}
