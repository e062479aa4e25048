package policy

import (
	"fmt"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/rosemaryhill/rosemaryhill/core/sched"
)

// WritePlot writes one chart per profile: the p95 time to first token of short prompts over the load, with one line per
// policy. The file extension selects the format, such as .svg or .png; the profile's name is inserted before it. It
// returns the names of the written files.
func (r *Report) WritePlot(file string) ([]string, error) {
	var names []string
	for _, profile := range r.profiles() {
		name := plotName(file, profile)
		if err := r.plotProfile(profile, name); err != nil {
			return names, fmt.Errorf("plot %s: %w", name, err)
		}
		names = append(names, name)
	}
	return names, nil
}

func plotName(file, profile string) string {
	for i := len(file) - 1; i >= 0; i-- {
		if file[i] == '.' {
			return file[:i] + "-" + profile + file[i:]
		}
	}
	return file + "-" + profile + ".svg"
}

func (r *Report) profiles() []string {
	var names []string
	for _, c := range r.Cells {
		if !slices.Contains(names, c.Profile) {
			names = append(names, c.Profile)
		}
	}
	return names
}

func (r *Report) plotProfile(profile, file string) error {
	p := plot.New()
	p.Title.Text = profile + ": short prompts while long ones run"
	p.X.Label.Text = "load, % of capacity"
	p.Y.Label.Text = "time to first token p95, ms"
	// A logarithmic scale, since at 120 % load the baselines exceed the other policies by two orders of magnitude.
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	p.Legend.Left = true
	lines := map[sched.Policy]plotter.XYs{}
	var policies []sched.Policy
	for _, c := range r.Cells {
		if c.Profile != profile {
			continue
		}
		if !slices.Contains(policies, c.Policy) {
			policies = append(policies, c.Policy)
		}
		lines[c.Policy] = append(lines[c.Policy], plotter.XY{X: float64(c.LoadPercent), Y: c.ShortMixedP95})
	}
	var args []any
	for _, pol := range policies {
		args = append(args, string(pol), lines[pol])
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return err
	}
	if p.Y.Min <= 0 {
		p.Y.Scale, p.Y.Tick.Marker = plot.LinearScale{}, plot.DefaultTicks{} // zero if a cell has no short prompts
	}
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, file)
}
