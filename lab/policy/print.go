package policy

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// WriteText writes the report as text tables.
func (r *Report) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(tw, format+"\n", args...) }
	p("Time to first token in the mixed phase, ms as p50/p95/p99 (served of offered); seed %d\n", r.Seed)
	p("profile\tpolicy\tload\t%s", strings.Join(sizeNames[:], "\t"))
	for _, c := range r.Cells {
		row := fmt.Sprintf("%s\t%s\t%d %%", c.Profile, c.Policy, c.LoadPercent)
		for _, s := range c.Sizes {
			row += fmt.Sprintf("\t%.0f/%.0f/%.0f (%d of %d)", s.P50, s.P95, s.P99, s.Served, s.Offered)
		}
		p("%s", row)
	}
	p("\nprofile\tpolicy\tload\tshort p95 alone/mixed/idle ms\tslowdown\tover idle\theavy raise\tgoodput req/s\ttokens/s\tarchives answered/failed/refused\tgangs ok/failed\tlate\tmemory left")
	for _, c := range r.Cells {
		p("%s\t%s\t%d %%\t%.1f/%.1f/%.1f\t%.2f\t%.2f\t%.0f %%\t%.2f\t%.0f\t%d/%d/%d\t%d/%d\t%d\t%d",
			c.Profile, c.Policy, c.LoadPercent, c.ShortAloneP95, c.ShortMixedP95, c.ShortIdleP95, c.Slowdown,
			c.OverIdle, 100*c.HeavyRaise, c.GoodputRequestsPS, c.GoodputTokensPS,
			c.ArchivesAnswered, c.ArchivesFailed, c.ArchivesRefused, c.GangsAnswered, c.GangsFailed,
			c.PastDeadline+c.Unended, c.MemoryLeft)
	}
	p("\nprofile\tpolicy\tload\toffered\tanswered\tother ends")
	for _, c := range r.Cells {
		p("%s\t%s\t%d %%\t%d\t%d\t%s", c.Profile, c.Policy, c.LoadPercent, c.Offered, c.Answered, formatEnds(c.Ends))
	}
	p("\nprofile\tpolicy\ttarget\tlimit\tmeasured\tmet")
	for _, t := range r.Targets {
		met := "yes"
		if !t.Met {
			met = "NO"
		}
		p("%s\t%s\t%s\t%s\t%.3g\t%s", t.Profile, t.Policy, t.Name, t.Limit, t.Measured, met)
	}
	return tw.Flush()
}

func formatEnds(ends map[string]int) string {
	var parts []string
	for k, n := range ends {
		parts = append(parts, fmt.Sprintf("%s: %d", k, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
