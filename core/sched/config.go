package sched

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// Policy is the algorithm that chooses engines.
type Policy string

// Policies.
const (
	Predict          Policy = "predict"           // by predicted time to first token
	RoundRobin       Policy = "round_robin"       // next engine in turn with enough memory
	LeastOutstanding Policy = "least_outstanding" // fewest running sessions
)

// Config holds the settings of a scheduler. A zero field takes the default of DefaultConfig.
type Config struct {
	Issuer      ident.HostID      // host of this dispatcher; part of its session ids
	Incarnation ident.Incarnation // of this dispatcher
	Policy      Policy

	// QueueLength limits each class's queue. A longer queue hides overload behind waiting; a shorter
	// one refuses bursts.
	QueueLength int
	// BatchMemoryShare is the fraction of an engine's memory that batch attempts may reserve. A larger
	// share lets long batch prompts crowd out short prompts; a smaller one makes them wait although the
	// engine is idle.
	BatchMemoryShare float64
	// BatchEngineShare is the fraction of a model's engines that batch attempts may use. The others
	// stay free of long prefill, so that a short prompt always finds an engine that responds quickly.
	BatchEngineShare float64
	// LongPromptTokens is the prompt length from which a prefill counts as long.
	LongPromptTokens int
	// LongPrefillTokens limits the tokens of long prefills in flight on one engine. One long prompt is
	// always allowed. A higher limit keeps the engine busy between long prompts; a lower one shortens
	// the wait of short prompts.
	LongPrefillTokens int
	// AgeingLimit is the queueing time after which an attempt is placed ahead of higher classes.
	AgeingLimit time.Duration
	// Grace is the time after a session's deadline at which the session is cancelled, whichever
	// dispatcher issued it.
	Grace time.Duration
	// FirstTokenSlack is the time beyond the predicted time to first token after which an engine counts
	// as hung. It is shorter for a request with little time left.
	FirstTokenSlack time.Duration
	// TokenTimeout is the time without a new token, after the first one, from which an engine counts as
	// hung. It is shorter for a request with little time left.
	TokenTimeout time.Duration
	// CancelRetry is the interval between two cancels of one session.
	CancelRetry time.Duration
	// ReportMaxAge is the age of the last report beyond which an engine gets no new work.
	ReportMaxAge time.Duration
	// PrefillTokensPerS is the prefill rate assumed until a rate is learnt.
	PrefillTokensPerS float64
	// DecodeTokenTime is the time per output token assumed until one is learnt.
	DecodeTokenTime time.Duration
	// AffinityLoad limits prefix affinity: an engine that holds the prefix is preferred while its load
	// is at most this multiple of the mean. A higher value raises the hit rate and the load imbalance.
	AffinityLoad float64
	// MaxConcurrency is the upper bound of the per-engine concurrency limit.
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
