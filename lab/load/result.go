package load

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"
	"time"
)

// Quantiles are latencies in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
}

// Latency is one row of the latency table: the time to the first token for a prompt size or a team, or the
// time to the complete answer for a kind of service call.
type Latency struct {
	Label string `json:"label"`
	Quantiles
}

// Refusal counts the requests of one kind that ended without a complete answer, by outcome and reason.
type Refusal struct {
	Kind    string `json:"kind"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Count   int    `json:"count"`
}

// Result holds the measurements and the invariant checks of one experiment.
type Result struct {
	Name                 string         `json:"name"`
	Seed                 uint64         `json:"seed"`
	TookS                float64        `json:"took_s"`
	Sent                 map[string]int `json:"sent"`
	Answered             map[string]int `json:"answered"`
	NotOffered           int            `json:"not_offered"` // arrivals that were not sent, above max_in_flight
	StartLag             Quantiles      `json:"start_lag"`   // delay that the load generator itself adds
	FirstToken           []Latency      `json:"first_token"` // by prompt size
	Calls                []Latency      `json:"calls"`       // to plain services
	Teams                []Latency      `json:"teams"`       // time to first token of short prompts
	ShortAlone           Quantiles      `json:"short_alone"`
	ShortBesideLong      Quantiles      `json:"short_beside_long"`
	Slowdown             float64        `json:"slowdown"` // p95 beside long divided by p95 alone; 0 when one has no samples
	Refusals             []Refusal      `json:"refusals"`
	PastDeadline         int            `json:"past_deadline"`
	Failures             map[string]int `json:"failures"`
	Samples              []string       `json:"samples"`
	MemoryLeft           map[string]int `json:"memory_left_tokens"` // by engine; -1 when the engine doesn't report
	RepeatedExecutions   map[string]int `json:"executions_above_one"`
	ExecutedThoughNotRun []string       `json:"executed_though_not_run"` // idempotency keys
}

// Violations lists the invariants that the run violated; the run passes if the list is empty. Lost
// connections alone are no violation, since processes may be killed during a run.
func (r *Result) Violations() []string {
	var out []string
	add := func(n int, what string) {
		if n > 0 {
			out = append(out, fmt.Sprintf("%d %s", n, what))
		}
	}
	add(r.NotOffered, "arrivals not offered")
	add(r.PastDeadline, "ends past the deadline")
	add(r.Failures["broken rule"], "broken rules of the caller interface")
	add(r.Failures["fault not set"], "faults not set")
	add(len(r.RepeatedExecutions), "keys executed more than once")
	add(len(r.ExecutedThoughNotRun), "keys executed though not-run")
	for _, id := range slices.Sorted(maps.Keys(r.MemoryLeft)) {
		if left := r.MemoryLeft[id]; left > 0 {
			out = append(out, fmt.Sprintf("%d tokens of memory left at %s", left, id))
		}
	}
	return out
}

func (r *recorder) result(exp *Experiment, took time.Duration) *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	res := &Result{
		Name: exp.Name, Seed: exp.Seed, TookS: took.Seconds(), Sent: byName(r.sent), Answered: byName(r.answered),
		NotOffered: r.notOffered, StartLag: r.startLag.quantiles(),
		ShortAlone: r.shortAlone.quantiles(), ShortBesideLong: r.shortBesideLong.quantiles(),
		PastDeadline: r.late, Failures: maps.Clone(r.failures), Samples: slices.Clone(r.samples),
		MemoryLeft: map[string]int{}, RepeatedExecutions: map[string]int{},
	}
	for _, p := range exp.Prompts {
		res.FirstToken = append(res.FirstToken, Latency{p.Label, r.byLabel[p.Label].quantiles()})
	}
	for _, k := range []string{string(kindLookup), string(kindPosting), "repeat"} {
		res.Calls = append(res.Calls, Latency{k, r.byLabel[k].quantiles()})
	}
	for _, t := range exp.Teams {
		res.Teams = append(res.Teams, Latency{t.Name, r.byTeam[t.Name].quantiles()})
	}
	if res.ShortAlone.Count > 0 && res.ShortBesideLong.Count > 0 {
		res.Slowdown = res.ShortBesideLong.P95 / res.ShortAlone.P95
	}
	for k, n := range r.refusals {
		res.Refusals = append(res.Refusals, Refusal{string(k.kind), k.outcome, string(k.reason), n})
	}
	slices.SortFunc(res.Refusals, func(a, b Refusal) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Reason, b.Reason))
	})
	return res
}

func byName(m map[kind]int) map[string]int {
	out := map[string]int{}
	for k, n := range m {
		out[string(k)] = n
	}
	return out
}

// WriteTable writes the result as a text table.
func (r *Result) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "experiment %s, seed %d, %.1f s\n\n", r.Name, r.Seed, r.TookS)
	fmt.Fprintln(t, "latency ms\tcount\tp50\tp95\tp99")
	row := func(label string, q Quantiles) {
		fmt.Fprintf(t, "%s\t%d\t%.1f\t%.1f\t%.1f\n", label, q.Count, q.P50, q.P95, q.P99)
	}
	for _, l := range slices.Concat(r.FirstToken, r.Calls) {
		row(l.Label, l.Quantiles)
	}
	row("short, alone", r.ShortAlone)
	row("short, beside long", r.ShortBesideLong)
	for _, l := range r.Teams {
		row("team "+l.Label, l.Quantiles)
	}
	row("start lag", r.StartLag)
	fmt.Fprintf(t, "\nslowdown of short requests\t%.2f\n", r.Slowdown)
	for _, k := range slices.Sorted(maps.Keys(r.Sent)) {
		fmt.Fprintf(t, "%s sent, answered\t%d\t%d\n", k, r.Sent[k], r.Answered[k])
	}
	for _, f := range r.Refusals {
		fmt.Fprintf(t, "%s %s %s\t%d\n", f.Kind, f.Outcome, f.Reason, f.Count)
	}
	fmt.Fprintf(t, "ends past the deadline\t%d\n", r.PastDeadline)
	fmt.Fprintf(t, "keys executed more than once\t%d\n", len(r.RepeatedExecutions))
	for _, k := range slices.Sorted(maps.Keys(r.Failures)) {
		fmt.Fprintf(t, "failures, %s\t%d\n", k, r.Failures[k])
	}
	for _, s := range r.Samples {
		fmt.Fprintf(t, "  %s\n", s)
	}
	left := 0
	for _, n := range r.MemoryLeft {
		left += max(0, n)
	}
	fmt.Fprintf(t, "memory left at engines, tokens\t%d\n", left)
	for _, f := range r.Violations() {
		fmt.Fprintf(t, "BROKEN\t%s\n", f)
	}
	return t.Flush()
}

// WriteJSON writes the result as JSON to a file.
func (r *Result) WriteJSON(path string) error {
	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(b, '\n'), 0o644)
}
