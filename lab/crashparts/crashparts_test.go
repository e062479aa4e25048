package crashparts

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against evidence that reaches hosts too late to end a series, against blame on parts of sound requests, and
// against results that differ between two runs with the same seed.
func TestReportsEndSeries(t *testing.T) {
	c := qt.New(t)
	for _, hosts := range []int{6, 95} {
		f := newFleet(hosts)
		for _, s := range []Scenario{{}, {Restarts: true}, {Loss: 0.3}} {
			s.Candidate, s.Hosts, s.Seed = Report, hosts, 1
			r := run(f, s)
			c.Check(r, qt.DeepEquals, run(f, s))
			c.Check(r.Late <= 3 && r.Unaware == 0 && r.SoundRefused == 0, qt.IsTrue, qt.Commentf("%+v", r))
		}
	}
}
