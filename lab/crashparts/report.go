package crashparts

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/rosemaryhill/rosemaryhill/lab/internal/parallel"
)

// Result is what a run has shown.
type Result struct {
	Scenario
	CrashesBefore int           // until a host had the bad part in quarantine
	Crashes       int           // in the whole run
	Late          int           // requests with the bad part that reached servers later than 3 s after the fifth crash
	LastHost      time.Duration // from the fifth crash to the last host that has the part in quarantine
	Unaware       int           // hosts that did not have it at the end
	SoundRefused  int           // requests without the bad part
	CalmBytes     float64       // a host and second, mean before the series
	SeriesBytes   float64       // the same, in the first 5 s of the series
	BusiestBytes  int           // of one host in one second
}

func (w *world) measure() {
	r := &w.result
	r.Scenario, r.Crashes = w.Scenario, len(w.crashes)
	var fifth, first, last time.Duration
	if len(w.crashes) > 0 {
		fifth = w.crashes[min(graceCrashes, len(w.crashes))-1]
	}
	for _, h := range w.hosts {
		if h.quarantined == 0 {
			r.Unaware++
			continue
		}
		last = max(last, h.quarantined)
		if first == 0 || h.quarantined < first {
			first = h.quarantined
		}
	}
	r.LastHost = last - fifth
	for _, at := range w.crashes {
		if first == 0 || at <= first {
			r.CrashesBefore++
		}
	}
	for _, at := range w.badSent {
		if at > fifth+graceTime {
			r.Late++
		}
	}
	w.measureBytes()
}

func (w *world) measureBytes() {
	const start, seriesS = int(calm / time.Second), 5
	for _, h := range w.hosts {
		for s, n := range h.bytes {
			w.result.BusiestBytes = max(w.result.BusiestBytes, n)
			switch share := float64(n) / float64(len(w.hosts)); {
			case s < start:
				w.result.CalmBytes += share / float64(start)
			case s < start+seriesS:
				w.result.SeriesBytes += share / seriesS
			}
		}
	}
}

// Compare runs every candidate with each number of hosts without trouble, with restarts and with 2 and 30 % of datagrams
// lost, at most n runs at a time.
func Compare(hosts []int, seed int64, n int) []Result {
	trouble := []Scenario{{}, {Restarts: true}, {Loss: 0.02}, {Loss: 0.3}}
	var out []Result
	for _, count := range hosts {
		f := newFleet(count)
		results := make([]Result, len(Candidates())*len(trouble))
		var jobs []func()
		for _, c := range Candidates() {
			for _, s := range trouble {
				s.Candidate, s.Hosts, s.Seed = c, count, seed
				res := &results[len(jobs)]
				jobs = append(jobs, func() { *res = run(f, s) })
			}
		}
		parallel.Run(jobs, n)
		out = append(out, results...)
	}
	return out
}

// WriteText writes results as a table with one line for each run.
func WriteText(out io.Writer, results []Result) error {
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "hosts\tevidence\tlost\trestarts\tcrashes before\tcrashes\tlate\tlast host s\tunaware\tsound refused\tB/s calm\tseries\tbusiest")
	for _, r := range results {
		fmt.Fprintf(tw, "%d\t%s\t%.0f %%\t%t\t%d\t%d\t%d\t%.2f\t%d\t%d\t%.0f\t%.0f\t%d\n", r.Hosts, r.Candidate, 100*r.Loss, r.Restarts,
			r.CrashesBefore, r.Crashes, r.Late, r.LastHost.Seconds(), r.Unaware, r.SoundRefused, r.CalmBytes, r.SeriesBytes, r.BusiestBytes)
	}
	return tw.Flush()
}
