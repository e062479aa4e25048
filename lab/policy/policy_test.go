package policy

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/core/sched"
	"github.com/rosemaryhill/rosemaryhill/lab/internal/parallel"
)

// quick shortens the phases of a shipped profile, so that CI can afford the run.
func quick(c *qt.C, name string) *Profile {
	p, err := LoadProfile(name)
	c.Assert(err, qt.IsNil)
	p.AloneS, p.SettleS, p.MixedS, p.HeavyS = 40, 30, 120, 60
	return &p
}

// Guards against maps, clocks or goroutines that make two runs with one seed differ, which would turn
// comparisons of policies into noise.
func TestSameSeedSameReport(t *testing.T) {
	c := qt.New(t)
	p := quick(c, "kernhof")
	var texts [2]bytes.Buffer
	for i := range texts {
		r := Report{Seed: 7, Cells: make([]Cell, 3)}
		var jobs []func()
		for j, pol := range []sched.Policy{sched.Predict, sched.RoundRobin, sched.LeastOutstanding} {
			jobs = append(jobs, func() { r.Cells[j] = runCell(p, pol, 120, 7) })
		}
		parallel.Run(jobs, 1+2*i)
		r.Targets = judge(r.Cells)
		c.Assert(r.WriteJSON(&texts[i]), qt.IsNil)
	}
	c.Assert(texts[0].String(), qt.Equals, texts[1].String())
	other := runCell(p, sched.Predict, 120, 8)
	c.Assert(other.Offered == 0, qt.IsFalse)
}

// Guards against policy changes that lose a target of section 1.7 that held before. It runs the whole
// phases: in shorter ones a team has too few short requests for a p95, and the goodput of archives,
// which run for minutes, depends on what the phase before left behind.
func TestTargetsHold(t *testing.T) {
	for _, name := range ShippedProfiles() {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p, err := LoadProfile(name)
			c.Assert(err, qt.IsNil)
			cells := make([]Cell, 3)
			var jobs []func()
			for i, load := range []int{targetLoad, fullLoad, overLoad} {
				jobs = append(jobs, func() { cells[i] = runCell(&p, sched.Predict, load, 1) })
			}
			parallel.Run(jobs, 3)
			for _, x := range judge(cells) {
				c.Check(x.Met, qt.IsTrue, qt.Commentf("%s: measured %.3g, limit %s", x.Name, x.Measured, x.Limit))
			}
		})
	}
}

// Guards against a profile with a misspelt key, which would silently run with a zero.
func TestProfilesAreChecked(t *testing.T) {
	c := qt.New(t)
	_, err := LoadProfile("no-such-profile")
	c.Assert(err, qt.ErrorMatches, `profile "no-such-profile" is neither shipped nor a readable file.*`)
	p := Profile{Name: "x", Engines: 1, GroupSize: 1, MemoryTokens: 1, ChunkTokens: 1, PrefillTokensPerS: 1, ReportEveryMS: 1}
	p.Teams, p.Kinds = []TeamProfile{{}}, []Kind{{Class: "urgent"}}
	c.Assert(p.check(), qt.ErrorMatches, `.*class "urgent".*`)
}
