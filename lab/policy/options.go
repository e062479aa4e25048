// Package policy is the benchmark of the scheduling policies: it runs the scheduler of one dispatcher in virtual time
// against simulated engines and compares the measurements of each policy with the targets of section 1.7 of the
// design page. It simulates neither a cluster nor a network, apart from fixed delays. The same options give the same
// report.
package policy

import (
	"slices"

	"github.com/rosemaryhill/rosemaryhill/core/sched"
	"github.com/rosemaryhill/rosemaryhill/lab/internal/parallel"
)

// Options selects what Run measures. For zero fields, Run uses the default in brackets.
type Options struct {
	Profiles []string       // names of built-in profiles or paths of TOML files [both built-in ones]
	Policies []sched.Policy // [all three]
	Loads    []int          // percent of capacity [50, 85, 100, 120]
	Seed     int64          // [1]
	// Parallel is the number of cells that run at the same time [3]. It does not change the report.
	Parallel int
}

func (o Options) withDefaults() Options {
	if len(o.Profiles) == 0 {
		o.Profiles = BuiltinProfiles()
	}
	if len(o.Policies) == 0 {
		o.Policies = []sched.Policy{sched.Predict, sched.RoundRobin, sched.LeastOutstanding}
	}
	if len(o.Loads) == 0 {
		o.Loads = []int{50, 85, 100, 120}
	}
	if o.Seed == 0 {
		o.Seed = 1
	}
	if o.Parallel == 0 {
		o.Parallel = 3
	}
	return o
}

// Run measures every combination of profile, policy and load, and evaluates the targets.
func Run(o Options) (Report, error) {
	o = o.withDefaults()
	rep := Report{Seed: o.Seed}
	var profiles []Profile
	for _, name := range o.Profiles {
		p, err := LoadProfile(name)
		if err != nil {
			return Report{}, err
		}
		profiles = append(profiles, p)
	}
	var jobs []func()
	rep.Cells = make([]Cell, len(profiles)*len(o.Policies)*len(o.Loads))
	i := 0
	for p := range profiles {
		for _, pol := range o.Policies {
			for _, load := range o.Loads {
				cell := &rep.Cells[i]
				i++
				jobs = append(jobs, func() { *cell = runCell(&profiles[p], pol, load, o.Seed) })
			}
		}
	}
	parallel.Run(jobs, o.Parallel)
	rep.Targets = evaluateTargets(rep.Cells)
	return rep, nil
}

func runCell(p *Profile, pol sched.Policy, load int, seed int64) Cell {
	w := newWorld(p, pol, load, seed)
	w.run(workload(p, load, seed))
	return w.measure(pol, load)
}

// findCell returns the cell of a combination, or nil.
func findCell(cells []Cell, profile string, pol sched.Policy, load int) *Cell {
	i := slices.IndexFunc(cells, func(c Cell) bool {
		return c.Profile == profile && c.Policy == pol && c.LoadPercent == load
	})
	if i < 0 {
		return nil
	}
	return &cells[i]
}
