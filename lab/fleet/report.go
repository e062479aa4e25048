package fleet

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/rosemaryhill/rosemaryhill/lab/internal/parallel"
)

// lateWorthShare is the fraction of its worth that a late answer still earns.
const lateWorthShare = 0.25

// Result summarizes the service that callers got in one run.
type Result struct {
	Profile      string
	Policy       string
	Seed         int64
	Worth        float64 // earned, as a share of the worth of all requests
	Kinds        []KindResult
	LeakedTokens int // memory still in use at engines after the run
}

// KindResult summarizes the requests of one kind.
type KindResult struct {
	Kind      string
	Offered   int
	OnTime    int
	LateFirst int // the first event missed its objective
	LatePause int // the first event was on time, but a pause was longer than its maximum
	Refused   int
	Failed    int     // no complete answer by the deadline
	Worth     float64 // earned, as a share
}

// Run runs one profile under one policy.
func Run(p *Profile, policy Policy, seed int64) Result {
	w := newWorld(p, policy, seed)
	w.run(p.workload(seed))
	return w.measure(policy, seed)
}

func (w *world) measure(policy Policy, seed int64) Result {
	res := Result{Profile: w.profile.Name, Policy: policy.Name(), Seed: seed}
	var earned, offered float64
	for i := range w.profile.Kinds {
		k := &w.profile.Kinds[i]
		c := KindResult{Kind: k.Name}
		var kindEarned, kindOffered float64
		for _, r := range w.requests {
			if r.kind != k {
				continue
			}
			worth := r.worth()
			kindOffered += worth
			kindEarned += worth * c.add(r)
		}
		if kindOffered > 0 {
			c.Worth = kindEarned / kindOffered
		}
		earned, offered = earned+kindEarned, offered+kindOffered
		res.Kinds = append(res.Kinds, c)
	}
	if offered > 0 {
		res.Worth = earned / offered
	}
	for _, e := range w.engines {
		res.LeakedTokens += e.usedTokens
	}
	return res
}

// worth returns the worth of a request: 30 % are fixed and the rest is proportional to its prompt size, up to four
// times the worth of a request of mean size.
func (r *request) worth() float64 {
	const fixed = 0.3
	size := float64(r.prompt) / float64(r.kind.PromptTokens)
	return r.kind.Worth * min(4, fixed+(1-fixed)*size)
}

// add counts a request and returns the share of its worth that it earned.
func (c *KindResult) add(r *request) float64 {
	c.Offered++
	switch {
	case r.refused:
		c.Refused++
		return 0
	case !r.done:
		c.Failed++
		return 0
	case r.firstEvent-r.at > fromMS(r.kind.ObjectiveMS):
		c.LateFirst++
		return lateWorthShare
	case r.longestPause > fromMS(r.kind.MaxPauseMS):
		c.LatePause++
		return lateWorthShare
	}
	c.OnTime++
	return 1
}

// Compare runs every combination of profile, policy and seed, at most n runs at a time. Results are ordered by
// profile, policy and seed.
func Compare(profiles []*Profile, policies []Policy, seeds []int64, n int) []Result {
	out := make([]Result, len(profiles)*len(policies)*len(seeds))
	var jobs []func()
	for _, p := range profiles {
		for _, policy := range policies {
			for _, seed := range seeds {
				res := &out[len(jobs)]
				jobs = append(jobs, func() { *res = Run(p, policy, seed) })
			}
		}
	}
	parallel.Run(jobs, n)
	return out
}

// WriteText writes results as a table with one line per profile, policy and kind of request. Counts are sums and
// shares are means over the seeds.
func WriteText(out io.Writer, results []Result) error {
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "profile\tpolicy\tworth\tkind\toffered\ton time\tlate first\tlate pause\trefused\tfailed\tworth")
	for _, g := range mergeSeeds(results) {
		for i, c := range g.Kinds {
			profile, policy, worth := "", "", ""
			if i == 0 {
				profile, policy, worth = g.Profile, g.Policy, fmt.Sprintf("%.3f", g.Worth)
			}
			fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\n", profile, policy, worth,
				c.Kind, c.Offered, c.OnTime, c.LateFirst, c.LatePause, c.Refused, c.Failed, c.Worth)
		}
	}
	return tw.Flush()
}

// mergeSeeds merges the results of all seeds for each profile and policy: counts are summed, shares averaged.
func mergeSeeds(results []Result) []Result {
	var out []Result
	runs := map[int]int{}
	for _, r := range results {
		i := slices.IndexFunc(out, func(x Result) bool { return x.Profile == r.Profile && x.Policy == r.Policy })
		if i < 0 {
			i = len(out)
			out = append(out, Result{Profile: r.Profile, Policy: r.Policy, Kinds: make([]KindResult, len(r.Kinds))})
		}
		runs[i]++
		g := &out[i]
		g.Worth += r.Worth
		for k, c := range r.Kinds {
			s := &g.Kinds[k]
			s.Kind = c.Kind
			s.Offered, s.OnTime, s.Refused, s.Failed = s.Offered+c.Offered, s.OnTime+c.OnTime, s.Refused+c.Refused, s.Failed+c.Failed
			s.LateFirst, s.LatePause, s.Worth = s.LateFirst+c.LateFirst, s.LatePause+c.LatePause, s.Worth+c.Worth
		}
	}
	for i := range out {
		out[i].Worth /= float64(runs[i])
		for k := range out[i].Kinds {
			out[i].Kinds[k].Worth /= float64(runs[i])
		}
	}
	return out
}

// WritePlot plots the earned worth by kind of request and policy. The file extension selects the format, such as .svg
// or .png.
func WritePlot(file string, results []Result) error {
	p := plot.New()
	p.Title.Text = "worth to callers, as a share of what all requests are worth"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = true
	barWidth := vg.Points(7)
	var names []string
	byPolicy := map[string]plotter.Values{}
	var policies []string
	for _, g := range mergeSeeds(results) {
		if byPolicy[g.Policy] == nil {
			policies = append(policies, g.Policy)
		}
		for _, c := range g.Kinds {
			byPolicy[g.Policy] = append(byPolicy[g.Policy], c.Worth)
			if name := g.Profile + "\n" + c.Kind; !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	for i, policy := range policies {
		bars, err := plotter.NewBarChart(byPolicy[policy], barWidth)
		if err != nil {
			return fmt.Errorf("plot %s: %w", file, err)
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * vg.Length(float64(i)-float64(len(policies)-1)/2)
		p.Add(bars)
		p.Legend.Add(policy, bars)
	}
	p.NominalX(names...)
	return p.Save(20*vg.Centimeter, 11*vg.Centimeter, file)
}

// Seeds returns n consecutive seeds, beginning with first.
func Seeds(first int64, n int) []int64 {
	var out []int64
	for i := range n {
		out = append(out, first+int64(i))
	}
	return out
}

// duration returns how long requests arrive.
func (p *Profile) duration() time.Duration { return fromMS(1000 * p.LengthS) }
