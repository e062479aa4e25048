// Package health rates backend servers by passive checks: connections that fail, answers that are interrupted
// or never arrive, and the share of failed answers. Load reports and the results of active health checks do not
// count. The Tracker does no I/O and reads no clock.
package health

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// Config configures a Tracker. Zero fields take the package's defaults.
type Config struct {
	// FirstExclusion is the time for which a server gets no requests after it is found unavailable. Each further
	// exclusion without a success in between is twice as long, up to MaxExclusion. A longer time keeps a recovered
	// server idle, a shorter one sends more requests to a server that still fails.
	FirstExclusion time.Duration
	MaxExclusion   time.Duration
}

// Defaults of Config. A crash makes several requests fail at about the same time, so the first exclusion
// only has to outlast those.
const (
	FirstExclusion = 700 * time.Millisecond
	MaxExclusion   = 6 * time.Second
)

// failureGain is the weight of one answer in the smoothed failure rate.
const failureGain = 0.12

// Tracker holds the observed health of all backend servers. It is not safe for concurrent use.
type Tracker struct {
	cfg     Config
	servers map[ident.BackendID]*record
}

type record struct {
	excludedUntil time.Duration
	exclusion     time.Duration // length of the last exclusion
	failureRate   float64       // smoothed failure rate
	answerTime    time.Duration // smoothed time to an answer
}

// NewTracker returns a tracker without observations.
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

// RecordUnavailable records that the server could not be reached, interrupted an answer or did not answer. The server
// is excluded.
func (t *Tracker) RecordUnavailable(now time.Duration, id ident.BackendID) {
	r := t.record(id)
	r.failureRate += failureGain * (1 - r.failureRate)
	if now < r.excludedUntil {
		return // one incident makes many requests fail, and must extend the exclusion only once
	}
	r.exclusion = min(t.cfg.MaxExclusion, max(t.cfg.FirstExclusion, 2*r.exclusion))
	r.excludedUntil = now + r.exclusion
}

// RecordFailure records a complete answer that reports a failure of the server.
func (t *Tracker) RecordFailure(id ident.BackendID) {
	r := t.record(id)
	r.failureRate += failureGain * (1 - r.failureRate)
}

// RecordSuccess records a successful answer and the time that it took, and resets the length of the next exclusion.
func (t *Tracker) RecordSuccess(id ident.BackendID, took time.Duration) {
	r := t.record(id)
	r.failureRate -= failureGain * r.failureRate
	r.exclusion = 0
	if r.answerTime == 0 {
		r.answerTime = took
	}
	r.answerTime += time.Duration(failureGain * float64(took-r.answerTime))
}

// Excluded reports whether the server must get no requests now.
func (t *Tracker) Excluded(now time.Duration, id ident.BackendID) bool {
	r := t.servers[id]
	return r != nil && now < r.excludedUntil
}

// FailureRate returns the smoothed share of failed answers, from 0 to 1.
func (t *Tracker) FailureRate(id ident.BackendID) float64 {
	if r := t.servers[id]; r != nil {
		return r.failureRate
	}
	return 0
}

// AnswerTime returns the smoothed time to an answer, zero when none is known.
func (t *Tracker) AnswerTime(id ident.BackendID) time.Duration {
	if r := t.servers[id]; r != nil {
		return r.answerTime
	}
	return 0
}

// Retain drops the records of servers that are no longer listed.
func (t *Tracker) Retain(listed func(ident.BackendID) bool) {
	for id := range t.servers {
		if !listed(id) {
			delete(t.servers, id)
		}
	}
}
