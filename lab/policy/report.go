package policy

import (
	"math"
	"slices"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/core/sched"
)

// Report is the result of Run.
type Report struct {
	Seed    int64    `json:"seed"`
	Cells   []Cell   `json:"cells"`
	Targets []Target `json:"targets"`
}

// Cell holds the measurements of one run: a profile under a policy at a load. Times are in milliseconds. Fields refer
// to the mixed phase unless their comment says otherwise.
type Cell struct {
	Profile            string       `json:"profile"`
	Policy             sched.Policy `json:"policy"`
	LoadPercent        int          `json:"load_percent"`
	CapacityRequestsPS float64      `json:"capacity_requests_per_s"` // at 100 % load

	Sizes []Size `json:"sizes"`

	ShortAloneP95 float64 `json:"short_alone_p95_ms"` // phase with short requests only
	ShortMixedP95 float64 `json:"short_mixed_p95_ms"`
	Slowdown      float64 `json:"short_slowdown"`    // mixed p95 divided by alone p95
	ShortIdleP95  float64 `json:"short_idle_p95_ms"` // of the same prompts on idle engines, computed
	OverIdle      float64 `json:"short_over_idle"`   // mixed p95 divided by idle p95

	OtherTeamsP95      float64 `json:"other_teams_p95_ms"`       // short requests of all teams except heavy ones
	OtherTeamsHeavyP95 float64 `json:"other_teams_heavy_p95_ms"` // the same in the heavy phase
	HeavyRaise         float64 `json:"heavy_raise"`              // largest relative increase of one team's p95; 0.2 is 20 %

	Offered      int            `json:"offered"` // whole run, like the following counts
	Answered     int            `json:"answered"`
	Ends         map[string]int `json:"ends"` // not answered, by "outcome reason"
	PastDeadline int            `json:"past_deadline"`
	Unended      int            `json:"unended"` // requests that had not ended when the run stopped

	GoodputRequestsPS float64 `json:"goodput_requests_per_s"` // answered within their deadline
	GoodputTokensPS   float64 `json:"goodput_tokens_per_s"`   // their prompt and output tokens

	ArchivesAdmitted int `json:"archives_admitted"` // prompts of at least ident.BatchMinTokens sent to an engine, whole run
	ArchivesAnswered int `json:"archives_answered"`
	ArchivesFailed   int `json:"archives_failed"` // admitted, neither answered nor cancelled by the caller
	ArchivesRefused  int `json:"archives_refused"`
	GangsAnswered    int `json:"gangs_answered"` // prompts larger than twice an engine's memory
	GangsFailed      int `json:"gangs_failed"`

	MemoryLeft int            `json:"memory_left_tokens"` // at engines and in the scheduler's accounts, after the run
	Counters   sched.Counters `json:"counters"`
}

// Size holds percentiles of the time to first token for prompts of one order of magnitude.
type Size struct {
	Name    string  `json:"name"`
	Offered int     `json:"offered"`
	Served  int     `json:"served"` // requests that got a first token
	P50     float64 `json:"p50_ms"`
	P95     float64 `json:"p95_ms"`
	P99     float64 `json:"p99_ms"`
}

var sizeNames = [...]string{"1k", "10k", "100k", "1M"}

// sizeOf returns the index in sizeNames of the power of ten that is closest to a prompt size, on a log scale.
func sizeOf(prompt int) int {
	switch {
	case prompt < 3_200:
		return 0
	case prompt < 32_000:
		return 1
	case prompt < 320_000:
		return 2
	}
	return 3
}

// percentile returns the p-th percentile of unsorted times in milliseconds, or 0 if there are none.
func percentile(times []time.Duration, p float64) float64 {
	if len(times) == 0 {
		return 0
	}
	s := slices.Clone(times)
	slices.Sort(s)
	i := int(math.Ceil(p/100*float64(len(s)))) - 1
	return float64(s[max(i, 0)]) / float64(time.Millisecond)
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func (w *world) measure(pol sched.Policy, load int) Cell {
	c := Cell{
		Profile: w.profile.Name, Policy: pol, LoadPercent: load, CapacityRequestsPS: w.profile.Capacity(),
		Ends: map[string]int{}, Offered: len(w.requests), Counters: w.scheduler.Status().Counters,
	}
	w.measureSizes(&c)
	w.measureShort(&c)
	w.measureTeams(&c)
	w.measureGoodput(&c)
	for i := range w.requests {
		w.countOutcome(&c, &w.requests[i])
	}
	for _, e := range w.engineOrder {
		c.MemoryLeft += e.usedTokens
	}
	for _, e := range w.scheduler.Status().Engines {
		c.MemoryLeft += e.OwnTokens
	}
	return c
}

func (w *world) measureSizes(c *Cell) {
	var times [len(sizeNames)][]time.Duration
	c.Sizes = make([]Size, len(sizeNames))
	for i := range w.requests {
		r := &w.requests[i]
		if r.phase != phaseMixed {
			continue
		}
		k := sizeOf(r.prompt)
		c.Sizes[k].Offered++
		if r.firstTokenAt > 0 {
			times[k] = append(times[k], r.firstTokenAt-r.at)
		}
	}
	for k := range c.Sizes {
		s := &c.Sizes[k]
		s.Name, s.Served = sizeNames[k], len(times[k])
		s.P50, s.P95, s.P99 = percentile(times[k], 50), percentile(times[k], 95), percentile(times[k], 99)
	}
}

func isServedShort(r *request) bool {
	return r.arrival.kind.class == ident.Interactive && r.firstTokenAt > 0
}

func (w *world) measureShort(c *Cell) {
	var alone, mixed, idle []time.Duration
	for i := range w.requests {
		r := &w.requests[i]
		switch {
		case !isServedShort(r):
		case r.phase == phaseAlone:
			alone = append(alone, r.firstTokenAt-r.at)
		case r.phase == phaseMixed:
			mixed = append(mixed, r.firstTokenAt-r.at)
			idle = append(idle, w.profile.idleFirstToken(r.prompt))
		}
	}
	c.ShortAloneP95, c.ShortMixedP95 = percentile(alone, 95), percentile(mixed, 95)
	c.ShortIdleP95 = percentile(idle, 95)
	c.Slowdown = ratio(c.ShortMixedP95, c.ShortAloneP95)
	c.OverIdle = ratio(c.ShortMixedP95, c.ShortIdleP95)
}

// measureTeams compares the p95 of every team that is not heavy with and without the extra requests of heavy teams.
func (w *world) measureTeams(c *Cell) {
	var mixedAll, heavyAll []time.Duration
	for _, team := range w.profile.Teams {
		if team.Heavy {
			continue
		}
		var mixed, heavy []time.Duration
		for i := range w.requests {
			r := &w.requests[i]
			switch {
			case !isServedShort(r) || r.team.Name != team.Name:
			case r.phase == phaseMixed:
				mixed = append(mixed, r.firstTokenAt-r.at)
			case r.phase == phaseHeavy:
				heavy = append(heavy, r.firstTokenAt-r.at)
			}
		}
		if a, b := percentile(mixed, 95), percentile(heavy, 95); a > 0 {
			c.HeavyRaise = max(c.HeavyRaise, b/a-1)
		}
		mixedAll, heavyAll = append(mixedAll, mixed...), append(heavyAll, heavy...)
	}
	c.OtherTeamsP95, c.OtherTeamsHeavyP95 = percentile(mixedAll, 95), percentile(heavyAll, 95)
}

// measureGoodput counts the requests answered on time in the mixed phase, whenever they were submitted.
func (w *world) measureGoodput(c *Cell) {
	ends := w.profile.phaseEnds()
	from, to := ends[phaseSettle], ends[phaseMixed]
	var requests, tokens float64
	for i := range w.requests {
		r := &w.requests[i]
		if r.done && r.outcome == outcome.Answered && !r.late && r.endedAt >= from && r.endedAt < to {
			requests++
			tokens += float64(r.prompt + r.output)
		}
	}
	c.GoodputRequestsPS = requests / (to - from).Seconds()
	c.GoodputTokensPS = tokens / (to - from).Seconds()
}

func (w *world) countOutcome(c *Cell, r *request) {
	switch {
	case !r.done:
		c.Unended++
	case r.outcome == outcome.Answered:
		c.Answered++
	default:
		c.Ends[r.outcome.String()+" "+string(r.reason)]++
	}
	if r.late {
		c.PastDeadline++
	}
	if r.prompt < ident.BatchMinTokens {
		return
	}
	answered := r.done && r.outcome == outcome.Answered
	failed := r.sent && !answered && r.reason != outcome.Cancelled
	switch {
	case answered:
		c.ArchivesAnswered++
	case failed:
		c.ArchivesFailed++
	case !r.sent && r.reason != outcome.Cancelled:
		c.ArchivesRefused++
	}
	if r.sent {
		c.ArchivesAdmitted++
	}
	if r.prompt > 2*w.profile.MemoryTokens {
		if answered {
			c.GangsAnswered++
		}
		if failed {
			c.GangsFailed++
		}
	}
}
