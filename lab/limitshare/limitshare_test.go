package limitshare

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against more requests than the target allows, a limit that is not used, and results that differ between two plays
// with the same seed.
func TestCountsKeepTheTarget(t *testing.T) {
	c := qt.New(t)
	for _, s := range []Situation{Calm, Loss30, Slow, CutShort, Returns} {
		for _, d := range []Demand{At, Even} {
			for _, l := range []float64{1.1, 12} {
				p := Play{Counts, s, d, 20, l, 1}
				r := run(p)
				c.Check(r, qt.DeepEquals, run(p))
				c.Check(r.Worst <= 1 && r.Use >= 0.7, qt.IsTrue, qt.Commentf("%+v", r))
			}
		}
	}
}

// Guards against more requests to a cold server than it bears, in any situation that a small fleet meets, a limit that is not
// used, and results that differ between two plays with the same seed.
func TestColdServersAreSpared(t *testing.T) {
	c := qt.New(t)
	for _, s := range ColdSituations() {
		p := ColdPlay{ColdBucket, s, 6, 1}
		r := runCold(p)
		c.Check(r, qt.DeepEquals, runCold(p))
		c.Check(r.Most <= coldAllowed && r.Use >= 0.5, qt.IsTrue, qt.Commentf("%+v", r))
	}
}
