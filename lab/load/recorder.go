package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

// Upper limit of the histograms in microseconds, and their precision in decimal digits.
const (
	maxMicroseconds   = 3_600_000_000
	significantDigits = 3
)

// maxSamples limits the failures that are kept as text.
const maxSamples = 20

type histogram struct{ *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(1, maxMicroseconds, significantDigits)}
}

func (h histogram) add(d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxMicroseconds))
}

func (h histogram) quantiles() Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99)}
}

// refusalKey groups requests that ended without a complete answer.
type refusalKey struct {
	kind    kind
	outcome string
	reason  outcome.Reason
}

// recorder collects the results of all requests.
type recorder struct {
	tolerance       time.Duration
	mu              sync.Mutex
	byLabel         map[string]histogram // time to first token, or to the complete answer of a service call
	byTeam          map[string]histogram // time to first token of short prompts
	shortAlone      histogram            // time to first token of short prompts while no long one ran
	shortBesideLong histogram            // time to first token of short prompts while a long one ran
	startLag        histogram            // delay from the drawn time of a request to its start
	refusals        map[refusalKey]int
	failures        map[string]int
	samples         []string
	sent            map[kind]int
	answered        map[kind]int
	late            int
	notOffered      int
	byTicket        map[string][]outcome.Kind
	noOutcome       int
}

func newRecorder(exp *Experiment) *recorder {
	r := &recorder{
		byLabel: map[string]histogram{}, byTeam: map[string]histogram{},
		shortAlone: newHistogram(), shortBesideLong: newHistogram(), startLag: newHistogram(),
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

// add records the result of one request.
func (r *recorder) add(e requestResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[e.kind]++
	if e.ticket != "" {
		r.byTicket[e.ticket] = append(r.byTicket[e.ticket], e.outcome)
	}
	if e.duration > e.timeout+r.tolerance {
		r.late++
	}
	for _, v := range e.violations {
		r.countFailureLocked("broken rule", string(e.kind)+" "+e.label+": "+v)
	}
	switch {
	case e.noOutcome:
		r.noOutcome++
		r.countFailureLocked("no outcome", string(e.kind)+" "+e.label+": "+e.cause)
	case e.outcome != outcome.Answered || e.reason != "":
		r.refusals[refusalKey{e.kind, e.outcome.String(), e.reason}]++
	default:
		r.answered[e.kind]++
		r.recordLatency(e)
	}
}

func (r *recorder) recordLatency(e requestResult) {
	if e.kind != kindGenerate {
		r.byLabel[e.label].add(e.duration)
		return
	}
	r.byLabel[e.label].add(e.firstToken)
	if !e.short {
		return
	}
	r.byTeam[e.team].add(e.firstToken)
	if e.besideLong {
		r.shortBesideLong.add(e.firstToken)
	} else {
		r.shortAlone.add(e.firstToken)
	}
}

// countFailureLocked counts a failure and keeps the first maxSamples as text. mu must be held.
func (r *recorder) countFailureLocked(class, text string) {
	r.failures[class]++
	if len(r.samples) < maxSamples {
		r.samples = append(r.samples, class+": "+text)
	}
}

func (r *recorder) countNoTicket(err error) { r.countFailure("no ticket", err.Error()) }

func (r *recorder) countFaultFailed(target string) { r.countFailure("fault not set", target) }

func (r *recorder) countFailure(class, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countFailureLocked(class, text)
}

// countNotOffered counts an arrival that was not sent because MaxInFlight requests were running.
func (r *recorder) countNotOffered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notOffered++
}

func (r *recorder) recordStartLag(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startLag.add(d)
}
