package placement

import "time"

const (
	// unpricedBacklogMS is the mean prefill backlog of an engine up to which prefill time costs nothing and
	// every request is admitted. Below it, prompts of all sizes still meet their objectives.
	unpricedBacklogMS = 350
	// idleBacklogMS is the mean backlog up to which prompts are admitted at any price, because they delay no waiting
	// request. Otherwise the largest prompts would always be refused.
	idleBacklogMS = 60
	// fullPriceBacklogMS is the mean backlog at which prefill time has its full price.
	fullPriceBacklogMS = 1600
	// prefillPrice is the full price of a second of an engine's prefill time, in units of Worth: the worth that the
	// usual mix of prompts yields in that time. Under overload, a prompt that yields less only delays those that
	// yield more.
	prefillPrice = 5.0
	// maxChargedMS is the most prefill time in ms that a request is charged for, and maxReturnedMS the same for one that
	// has come back after a refusal. Prefill grows faster than the worth of a prompt, so at any overload the largest
	// prompts would be refused again and again, and most of their callers never served.
	maxChargedMS  = 20_000
	maxReturnedMS = 8_000
	// manyEngines is the number of engines from which maxReturnedMS applies. With fewer engines one such prompt delays
	// all other requests.
	manyEngines = 32
	// minRetryAfter and maxRetryAfter bound the time that a refused caller is told to wait.
	minRetryAfter = 400 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// Decision says whether a request is admitted at the current load.
type Decision struct {
	Admit      bool
	RetryAfter time.Duration // predicted time until the backlog has drained, if refused
	// Inputs of the decision: the mean backlog of the engines that prefill long prompts, the worth that the
	// request is expected to yield, and the worth that its prefill costs other requests.
	Backlog    time.Duration
	Gain, Cost float64
}

// Admit decides whether the worth of a request exceeds the cost of the prefill time that it takes from other requests.
// It protects against overload by long prompts: with an unbounded backlog every prompt is late, whereas with a
// bounded one the engines serve the same number of prompts on time.
func (t *Table) Admit(now time.Duration, service string, c Choice) Decision {
	g := t.groups[service]
	if g == nil {
		return Decision{}
	}
	req := c.request
	chargedMS := min(maxChargedMS, PrefillMS(g.runtime, req.PromptTokens))
	if req.Returned && len(g.engines) >= manyEngines {
		chargedMS = min(chargedMS, maxReturnedMS)
	}
	backlog := g.meanBacklogMS(now)
	// On average, requests that arrive during this request's prefill wait for half of it.
	halfOwnMS := chargedMS / float64(2*max(1, len(g.engines)))
	price := prefillPrice * ramp(backlog+halfOwnMS, unpricedBacklogMS, fullPriceBacklogMS)
	worth := Worth(req.PromptTokens, req.OutputTokens)
	// A late answer keeps the same worth however late it is.
	gain := worth * (1 - min(lateShare, firstEventLoss(ms(c.TimeToFirstEvent), req.Objective)))
	d := Decision{Backlog: fromMS(backlog), Gain: gain, Cost: price * chargedMS / 1000}
	if c.TimeToFirstEvent < req.TimeLeft && (backlog < idleBacklogMS || d.Gain >= d.Cost) {
		d.Admit = true
		return d
	}
	wait := 2 * fromMS(backlog+halfOwnMS-unpricedBacklogMS) // doubled because more work arrives while the backlog drains
	d.RetryAfter = min(maxRetryAfter, max(minRetryAfter, wait))
	return d
}

// meanBacklogMS returns the mean backlog of the engines that prefill long prompts, or of all engines when there
// are none.
func (g *group) meanBacklogMS(now time.Duration) float64 {
	total, n := 0.0, 0
	for _, e := range g.engines {
		if e.role != shortDecode || len(g.engines) == 1 {
			total += e.backlogMS(now)
			n++
		}
	}
	if n == 0 {
		for _, e := range g.engines {
			total += e.backlogMS(now)
			n++
		}
	}
	return total / float64(max(1, n))
}
