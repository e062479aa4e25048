package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

// Range and precision of the histograms, in microseconds.
const (
	maxMicroseconds = 3_600_000_000
	digits          = 3
)

// maxSamples bounds the broken rules that are kept as text.
const maxSamples = 20

type histogram struct{ *hdrhistogram.Histogram }

func newHistogram() histogram { return histogram{hdrhistogram.New(1, maxMicroseconds, digits)} }

func (h histogram) add(d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxMicroseconds))
}

func (h histogram) quantiles() Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99)}
}

// refusalKey groups ends that are no whole answer.
type refusalKey struct {
	kind    kind
	outcome string
	reason  outcome.Reason
}

// recorder collects the ends of all requests.
type recorder struct {
	tolerance  time.Duration
	mu         sync.Mutex
	byLabel    map[string]histogram // time to first token, or to the answer of a service call
	byTeam     map[string]histogram // time to first token of short prompts
	alone      histogram            // of short prompts without a long one
	together   histogram            // of short prompts beside a long one
	lagging    histogram            // start of a request after its drawn time
	refusals   map[refusalKey]int
	failures   map[string]int
	samples    []string
	sent       map[kind]int
	answered   map[kind]int
	late       int
	unoffered  int
	byTicket   map[string][]outcome.Kind
	answerless int
}

func newRecorder(exp *Experiment) *recorder {
	r := &recorder{
		byLabel: map[string]histogram{}, byTeam: map[string]histogram{},
		alone: newHistogram(), together: newHistogram(), lagging: newHistogram(),
		refusals: map[refusalKey]int{}, failures: map[string]int{},
		tolerance: exp.tolerance(),
		sent:      map[kind]int{}, answered: map[kind]int{}, byTicket: map[string][]outcome.Kind{},
	}
	for _, t := range exp.Teams {
		r.byTeam[t.Name] = newHistogram()
	}
	for _, p := range exp.Prompts {
		r.byLabel[p.Label] = newHistogram()
	}
	for _, k := range []string{string(kindLookup), string(kindPosting), "repeat"} {
		r.byLabel[k] = newHistogram()
	}

	return r
}

// add books the end of one request.
func (r *recorder) add(e ended) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[e.kind]++
	if e.ticket != "" {
		r.byTicket[e.ticket] = append(r.byTicket[e.ticket], e.outcome)
	}
	if e.took > e.timeout+r.tolerance {
		r.late++
	}
	for _, f := range e.faults {
		r.fail("broken rule", string(e.kind)+" "+e.label+": "+f)
	}
	switch {
	case e.answerless:
		r.answerless++
		r.fail("no outcome", string(e.kind)+" "+e.label+": "+e.cause)
	case e.outcome != outcome.Answered || e.reason != "":
		r.refusals[refusalKey{e.kind, e.outcome.String(), e.reason}]++
	default:
		r.answered[e.kind]++
		r.latency(e)
	}
}

func (r *recorder) latency(e ended) {
	if e.kind != kindGenerate {
		r.byLabel[e.label].add(e.took)
		return
	}
	r.byLabel[e.label].add(e.firstToken)
	if !e.short {
		return
	}
	r.byTeam[e.team].add(e.firstToken)
	if e.withLong {
		r.together.add(e.firstToken)
	} else {
		r.alone.add(e.firstToken)
	}
}

// fail counts a failure and keeps the first ones as text. The caller holds mu.
func (r *recorder) fail(class, text string) {
	r.failures[class]++
	if len(r.samples) < maxSamples {
		r.samples = append(r.samples, class+": "+text)
	}
}

func (r *recorder) noTicket(err error) { r.failLocked("no ticket", err.Error()) }

func (r *recorder) faultFailed(target string) { r.failLocked("fault not set", target) }

func (r *recorder) failLocked(class, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fail(class, text)
}

// notOffered counts an arrival above MaxInFlight.
func (r *recorder) notOffered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unoffered++
}

func (r *recorder) lag(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lagging.add(d)
}
