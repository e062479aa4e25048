package placement

import "time"

const (
	// unpricedBacklogMS is the mean reading backlog of an engine up to which every request is admitted. Below it,
	// prompts of all sizes still meet their objectives.
	unpricedBacklogMS = 350
	// idleBacklogMS is the mean backlog up to which any prompt is admitted, so that the largest ones are served
	// at all: nothing that it would delay is waiting.
	idleBacklogMS = 60
	// fullPriceBacklogMS is the mean backlog at which the reading time of engines has its full price.
	fullPriceBacklogMS = 1600
	// prefillPrice is the full price of a second of an engine's reading, in worth: what the usual mix of prompts
	// earns with it. Under overload, a prompt that earns less only delays those that earn more.
	prefillPrice = 5.0
	// minRetry and maxRetry bound the time that a refused caller is told to wait.
	minRetry = 400 * time.Millisecond
	maxRetry = 3 * time.Second
)

// Decision is the answer to whether a request is worth its reading at the moment.
type Decision struct {
	Admit      bool
	RetryAfter time.Duration // when the backlog will have drained, if refused
	// What decided: the mean backlog of the engines that read long prompts, what the request is expected to
	// earn and what its reading costs others, in worth.
	Backlog    time.Duration
	Gain, Cost float64
}

// Admit decides whether a placement is worth the reading time that it takes from others. It answers
// overload by long prompts: with an unbounded backlog every prompt is late, whereas a short backlog serves
// as many and in time.
func (t *Table) Admit(now time.Duration, service string, c Choice) Decision {
	g := t.groups[service]
	if g == nil {
		return Decision{}
	}
	req := c.request
	readMS := PrefillMS(g.runtime, req.PromptTokens)
	backlog := g.meanBacklogMS(now)
	// On average half of the request's own reading stands before what comes while it is read.
	own := readMS / float64(2*max(1, len(g.engines)))
	price := prefillPrice * ramp(backlog+own, unpricedBacklogMS, fullPriceBacklogMS)
	worth := Worth(req.PromptTokens, req.OutputTokens)
	gain := worth * (1 - firstEventLoss(ms(c.TimeToFirstEvent), req.Objective))
	v := Decision{Backlog: fromMS(backlog), Gain: gain, Cost: price * readMS / 1000}
	if c.TimeToFirstEvent < req.TimeLeft && (backlog < idleBacklogMS || v.Gain >= v.Cost) {
		v.Admit = true
		return v
	}
	wait := 2 * fromMS(backlog+own-unpricedBacklogMS) // more work comes while the backlog drains
	v.RetryAfter = min(maxRetry, max(minRetry, wait))
	return v
}

// meanBacklogMS returns the mean reading backlog of the engines that read long prompts.
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
