package limitshare

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/rosemaryhill/rosemaryhill/lab/internal/parallel"
)

// The target: no window may hold more requests than windowFactor times the limit allows in it, and windowSlack.
const (
	window       = 4 * time.Second
	windowFactor = 1.5
	windowSlack  = 5.0
)

// Result is what a play has shown.
type Result struct {
	Play
	Worst           float64       // requests in the worst window, as a part of those that the target allows
	Use             float64       // requests, as a part of what the limit and the demand allow
	Refused         int           // requests that were not allowed and went elsewhere
	RefusedWithRoom int           // the same, while one more would have been within the limit
	Unaware         time.Duration // from the end of a limit until the last host knows it
	Datagrams       float64       // a host and second
	Bytes           float64       // a host and second
}

// ideal is a token bucket that knows all requests at once.
type ideal struct {
	w       *world
	level   float64
	updated time.Duration
}

func (b *ideal) advance(now time.Duration) {
	const burst = 1
	l := max(b.w.statement().PerSecond, minRate)
	b.level = min(burst+0.5*l, b.level+l*(now-b.updated).Seconds())
	b.updated = now
}

func (b *ideal) take(now time.Duration) {
	b.advance(now)
	b.level--
}

func (b *ideal) room(now time.Duration) bool {
	b.advance(now)
	return b.level >= 1
}

// limits returns the parts of the play in which the target applies, with the limit of each.
func (w *world) limits() []limitTime {
	start := named + grace
	switch w.Situation {
	case Changes:
		return []limitTime{{start, trouble, w.Limit}, {trouble + grace, 2 * trouble, w.Limit / 3}, {2*trouble + grace, length, w.Limit}}
	case Ends, Returns:
		return []limitTime{{start, trouble, w.Limit}, {2*trouble + grace, length, w.Limit}}
	default:
		return []limitTime{{start, length, w.Limit}}
	}
}

type limitTime struct {
	from, to time.Duration
	limit    float64
}

func (w *world) measure() {
	r := &w.result
	r.Play = w.Play
	slices.Sort(w.sent)
	sent, allowed := 0, 0.0
	for _, x := range w.limits() {
		in := between(w.sent, x.from, x.to)
		sent += len(in)
		allowed += min(x.limit*(x.to-x.from).Seconds(), float64(len(between(w.offered, x.from, x.to))))
		most := windowFactor*x.limit*window.Seconds() + windowSlack
		r.Worst = max(r.Worst, float64(worstWindow(in))/most)
	}
	r.Use = float64(sent) / max(1, allowed)
	for _, h := range w.hosts {
		r.Datagrams += float64(h.datagrams) / float64(w.Hosts) / length.Seconds()
		r.Bytes += float64(h.bytes) / float64(w.Hosts) / length.Seconds()
	}
}

func between(times []time.Duration, from, to time.Duration) []time.Duration {
	i, _ := slices.BinarySearch(times, from)
	j, _ := slices.BinarySearch(times, to)
	return times[i:j]
}

// worstWindow returns the greatest number of times in a window.
func worstWindow(times []time.Duration) (worst int) {
	first := 0
	for i, at := range times {
		for times[first] <= at-window {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}

// Limits returns the limits that are compared, in requests a second.
func Limits() []float64 { return []float64{0.3, 1.1, 2.5, 12, 60} }

// Summary is what the plays of a design in a situation have shown together.
type Summary struct {
	Design          Design
	Situation       Situation
	Hosts           int
	Plays, Broken   int
	Worst           float64
	Use, LeastUse   float64 // of plays with as much demand as the limit allows or more
	MostUse         float64
	RefusedInVain   float64 // share of requests that were refused while there was room, in plays with no more demand than that
	Unaware         time.Duration
	Datagrams       float64 // means
	Bytes           float64
	offered, inVain float64
	saturated       int
}

// Compare plays all designs in all situations, with all demands and limits, at most n plays at a time.
func Compare(hosts []int, seed int64, n int) []Summary {
	var plays []Play
	for _, count := range hosts {
		for _, s := range Situations() {
			for _, d := range Designs() {
				for _, demand := range Demands() {
					for _, l := range Limits() {
						plays = append(plays, Play{d, s, demand, count, l, seed})
					}
				}
			}
		}
	}
	results := make([]Result, len(plays))
	jobs := make([]func(), len(plays))
	for i, p := range plays {
		jobs[i] = func() { results[i] = run(p) }
	}
	parallel.Run(jobs, n)
	return summarize(results)
}

// summarize merges results of the same design, situation and number of hosts, which follow each other.
func summarize(results []Result) (out []Summary) {
	for _, r := range results {
		if n := len(out); n == 0 || out[n-1].Design != r.Design || out[n-1].Situation != r.Situation || out[n-1].Hosts != r.Hosts {
			out = append(out, Summary{Design: r.Design, Situation: r.Situation, Hosts: r.Hosts, LeastUse: 1})
		}
		out[len(out)-1].add(r)
	}
	for i := range out {
		s := &out[i]
		s.Use /= float64(max(1, s.saturated))
		s.RefusedInVain = s.inVain / max(1, s.offered)
		s.Datagrams /= float64(s.Plays)
		s.Bytes /= float64(s.Plays)
	}
	return out
}

func (s *Summary) add(r Result) {
	s.Plays++
	if r.Worst > 1 {
		s.Broken++
	}
	s.Worst = max(s.Worst, r.Worst)
	s.Unaware = max(s.Unaware, r.Unaware)
	s.Datagrams += r.Datagrams
	s.Bytes += r.Bytes
	switch r.Demand {
	case Below, At:
		s.inVain += float64(r.RefusedWithRoom)
		s.offered += max(float64(r.Refused), map[Demand]float64{Below: 0.5, At: 1}[r.Demand]*r.Limit*(length-named-grace).Seconds())
	default:
		s.saturated++
		s.Use += r.Use
		s.LeastUse = min(s.LeastUse, r.Use)
		s.MostUse = max(s.MostUse, r.Use)
	}
}

// WriteText writes summaries as a table.
func WriteText(out io.Writer, summaries []Summary) error {
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "hosts\tsituation\tdesign\tplays\tbroken\tworst window\tuse\tleast\tmost\trefused in vain\tend known s\tdatagrams/s\tB/s")
	for _, s := range summaries {
		fmt.Fprintf(tw, "%d\t%s\t%s\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f %%\t%.1f\t%.0f\t%.0f\n", s.Hosts, s.Situation, s.Design, s.Plays,
			s.Broken, s.Worst, s.Use, s.LeastUse, s.MostUse, 100*s.RefusedInVain, s.Unaware.Seconds(), s.Datagrams, s.Bytes)
	}
	return tw.Flush()
}
