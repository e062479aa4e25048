package sched

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// Policy names a way to choose engines.
type Policy string

// Policies.
const (
	Predict          Policy = "predict"           // by predicted time to first token
	RoundRobin       Policy = "round_robin"       // next engine in turn with enough memory
	LeastOutstanding Policy = "least_outstanding" // fewest running sessions
)

// Config holds the settings of a scheduler. A zero field takes the default of DefaultConfig.
type Config struct {
	Issuer      ident.HostID      // this dispatcher's host; stands in session ids
	Incarnation ident.Incarnation // of this dispatcher
	Policy      Policy

	// QueueLength bounds each class's queue. More hides overload behind waiting; less refuses bursts.
	QueueLength int
	// BatchMemoryShare is the part of an engine's memory that batch attempts may hold. More lets
	// archives crowd out short prompts; less makes archives wait on an idle engine.
	BatchMemoryShare float64
	// BatchEngineShare is the part of a model's engines that batch attempts may use at all. The others
	// stay free of long prefill, so that a short prompt always finds one that is quick.
	BatchEngineShare float64
	// LongPromptTokens is the prompt size from which a prefill counts as long.
	LongPromptTokens int
	// LongPrefillTokens bounds the long prefill in flight on one engine. One long prompt is always
	// allowed. More keeps the engine busy between archives; less shortens the wait of short prompts.
	LongPrefillTokens int
	// AgeingLimit is the wait after which an attempt competes with classes above its own.
	AgeingLimit time.Duration
	// Grace is the time after a deadline at which a session of any issuer is cancelled.
	Grace time.Duration
	// FirstTokenSlack is added to the predicted time to first token before an engine counts as hanging.
	// A request with little time left gets less.
	FirstTokenSlack time.Duration
	// TokenTimeout is the longest silence after the first token. A request with little time left gets
	// less.
	TokenTimeout time.Duration
	// CancelRetry is the time between two cancels of one session.
	CancelRetry time.Duration
	// ReportMaxAge is the age of the last report beyond which an engine gets nothing new.
	ReportMaxAge time.Duration
	// PrefillTokensPerS is the prefill rate assumed before a rate was learnt.
	PrefillTokensPerS float64
	// DecodeTokenTime is the time per output token assumed before one was learnt.
	DecodeTokenTime time.Duration
	// AffinityLoad bounds prefix affinity: an engine that holds the prefix is preferred while its load
	// is at most this multiple of the mean. More raises the hit rate and the skew.
	AffinityLoad float64
	// MaxConcurrency is the upper end of the per-engine concurrency limit.
	MaxConcurrency int
}

// DefaultConfig returns the settings used where Config has zero fields.
func DefaultConfig() Config {
	return Config{
		Policy:            Predict,
		QueueLength:       1024,
		BatchMemoryShare:  0.92,
		BatchEngineShare:  0.85,
		LongPromptTokens:  ident.InteractiveMaxTokens + 1,
		LongPrefillTokens: 200_000,
		AgeingLimit:       20 * time.Second,
		Grace:             2 * time.Second,
		FirstTokenSlack:   10 * time.Second,
		TokenTimeout:      5 * time.Second,
		CancelRetry:       time.Second,
		ReportMaxAge:      10 * time.Second,
		PrefillTokensPerS: 20_000,
		DecodeTokenTime:   25 * time.Millisecond,
		AffinityLoad:      1.25,
		MaxConcurrency:    256,
	}
}

func (c Config) withDefaults() Config {
	d := DefaultConfig()
	setDefault(&c.Policy, d.Policy)
	setDefault(&c.QueueLength, d.QueueLength)
	setDefault(&c.BatchMemoryShare, d.BatchMemoryShare)
	setDefault(&c.BatchEngineShare, d.BatchEngineShare)
	setDefault(&c.LongPromptTokens, d.LongPromptTokens)
	setDefault(&c.LongPrefillTokens, d.LongPrefillTokens)
	setDefault(&c.AgeingLimit, d.AgeingLimit)
	setDefault(&c.Grace, d.Grace)
	setDefault(&c.FirstTokenSlack, d.FirstTokenSlack)
	setDefault(&c.TokenTimeout, d.TokenTimeout)
	setDefault(&c.CancelRetry, d.CancelRetry)
	setDefault(&c.ReportMaxAge, d.ReportMaxAge)
	setDefault(&c.PrefillTokensPerS, d.PrefillTokensPerS)
	setDefault(&c.DecodeTokenTime, d.DecodeTokenTime)
	setDefault(&c.AffinityLoad, d.AffinityLoad)
	setDefault(&c.MaxConcurrency, d.MaxConcurrency)
	return c
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}
