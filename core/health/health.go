// Package health judges backend servers by what they do: connections that fail, answers that break off
// or never come, and the share of failed answers. What a server or its health check says of itself does
// not count. The Tracker is pure.
package health

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// Config sets up a Tracker. Zero fields take the package's defaults.
type Config struct {
	// FirstExclusion is the time without work after a loss; each further loss doubles it up to
	// MaxExclusion. Longer keeps a server that came back idle, shorter sends it more requests that fail.
	FirstExclusion time.Duration
	MaxExclusion   time.Duration
}

// Defaults of Config. A crashed engine is noticed by several requests at once, so the first exclusion
// only has to outlast those.
const (
	FirstExclusion = 700 * time.Millisecond
	MaxExclusion   = 6 * time.Second
)

// failureGain is the weight of one answer in the share of failures.
const failureGain = 0.12

// Tracker keeps the evidence about all backend servers. It is not safe for concurrent use.
type Tracker struct {
	cfg     Config
	servers map[ident.BackendID]*record
}

type record struct {
	excludedUntil time.Duration
	exclusion     time.Duration // length of the last exclusion
	failures      float64       // smoothed share of failed answers
	answer        time.Duration // smoothed time to an answer
}

// NewTracker returns a tracker without evidence.
func NewTracker(cfg Config) *Tracker {
	if cfg.FirstExclusion == 0 {
		cfg.FirstExclusion = FirstExclusion
	}
	if cfg.MaxExclusion == 0 {
		cfg.MaxExclusion = MaxExclusion
	}
	return &Tracker{cfg: cfg, servers: map[ident.BackendID]*record{}}
}

func (t *Tracker) record(id ident.BackendID) *record {
	r := t.servers[id]
	if r == nil {
		r = &record{}
		t.servers[id] = r
	}
	return r
}

// RecordUnavailable notes that the server could not be reached, broke off or stayed silent. The server is excluded.
func (t *Tracker) RecordUnavailable(now time.Duration, id ident.BackendID) {
	r := t.record(id)
	r.failures += failureGain * (1 - r.failures)
	if now < r.excludedUntil {
		return // one incident fails many requests
	}
	r.exclusion = min(t.cfg.MaxExclusion, max(t.cfg.FirstExclusion, 2*r.exclusion))
	r.excludedUntil = now + r.exclusion
}

// RecordFailure notes a complete answer that says that the server failed.
func (t *Tracker) RecordFailure(id ident.BackendID) {
	r := t.record(id)
	r.failures += failureGain * (1 - r.failures)
}

// RecordSuccess notes a good answer and the time that it took. It ends the doubling of exclusions.
func (t *Tracker) RecordSuccess(id ident.BackendID, took time.Duration) {
	r := t.record(id)
	r.failures -= failureGain * r.failures
	r.exclusion = 0
	if r.answer == 0 {
		r.answer = took
	}
	r.answer += time.Duration(failureGain * float64(took-r.answer))
}

// Excluded reports whether the server must get no work now.
func (t *Tracker) Excluded(now time.Duration, id ident.BackendID) bool {
	r := t.servers[id]
	return r != nil && now < r.excludedUntil
}

// FailureRate returns the smoothed share of failed answers, from 0 to 1.
func (t *Tracker) FailureRate(id ident.BackendID) float64 {
	if r := t.servers[id]; r != nil {
		return r.failures
	}
	return 0
}

// AnswerTime returns the smoothed time to an answer, zero when none is known.
func (t *Tracker) AnswerTime(id ident.BackendID) time.Duration {
	if r := t.servers[id]; r != nil {
		return r.answer
	}
	return 0
}

// Retain drops the evidence about servers that are not listed any more.
func (t *Tracker) Retain(listed func(ident.BackendID) bool) {
	for id := range t.servers {
		if !listed(id) {
			delete(t.servers, id)
		}
	}
}
