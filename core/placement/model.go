// Package placement chooses the engines that serve a request. It minimizes the expected loss of worth over all
// streams, which late first events and pauses above the objective cause, both for the new request and for the
// streams that run beside it. Engines work in passes, and the prefill of a long prompt in a pass delays the next
// event of every stream on that engine.
//
// The Table does no I/O and reads no clock. Each entry host tracks the load of its own requests and receives that
// of its peers.
package placement

import (
	"math"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
)

// PrefillMS returns the ms that an engine needs for the prefill of a prompt, without the token steps of other requests.
func PrefillMS(r *catalog.Runtime, tokens int) float64 {
	n := float64(tokens)
	pairs := n * n / 2 / 1e6
	return n/r.ReadTokensPerMS + pairs*r.PairMSPerMillion
}

// stepsMS returns the ms of the token steps of one pass with the given number of decoding streams and their context.
func stepsMS(r *catalog.Runtime, decoding, context int) float64 {
	step := r.StepMS + float64(decoding)*r.SequenceMS + float64(context)/1000*r.ContextMSPerK
	return float64(max(1, r.StepsPerPass)) * step
}

// ramp rises linearly from 0 at low to 1 at high.
func ramp(x, low, high float64) float64 {
	return math.Min(1, math.Max(0, (x-low)/(high-low)))
}

// Shares of an objective between which a prediction turns from safe to missed. The error of a
// prediction is about one pass, so the loss begins below the objective.
const (
	firstSafe, firstMissed = 0.60, 1.05
	pauseSafe, pauseMissed = 0.70, 1.00
)

// lateShare is the share of its worth that a request loses when it misses an objective.
const lateShare = 0.75

const (
	// overdueSlope is the additional loss for each multiple of the objective by which the first event is late, so that
	// the sooner of two late choices is preferred.
	overdueSlope = 0.05
	// maxOverdue bounds that additional loss: a late answer keeps a part of its worth, even if little of its objective
	// was left when the request was placed.
	maxOverdue = 0.15
)

// firstEventLoss returns the share of its worth that a request is expected to lose when its first event arrives after
// firstMS.
func firstEventLoss(firstMS float64, objective time.Duration) float64 {
	if objective <= 0 {
		return 0
	}
	x := firstMS / ms(objective)
	return lateShare*ramp(x, firstSafe, firstMissed) + math.Min(maxOverdue, overdueSlope*math.Max(0, x-1))
}

// pauseLoss returns the share of its worth that a stream is expected to lose by a pass of the given length.
func pauseLoss(passMS float64, maxPause time.Duration) float64 {
	if maxPause <= 0 {
		return 0
	}
	return lateShare * ramp(passMS/ms(maxPause), pauseSafe, pauseMissed)
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMS(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

const (
	// worthTokens is the size in tokens, prompt and answer together, of a request of worth 1.
	worthTokens = 6000
	// worthExponent is below 1, so that worth grows less than in proportion to the size.
	worthExponent = 0.8
)

// Worth estimates what a request is worth to its caller from its size.
func Worth(promptTokens, outputTokens int) float64 {
	return math.Pow(float64(promptTokens+outputTokens)/worthTokens, worthExponent)
}
