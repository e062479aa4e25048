package soak

import (
	"context"
	"math/rand"
	"slices"
	"sync"
	"time"

	"github.com/rosemaryhill/rosemaryhill/platform/standin"
)

// call is a request of the soak and its result.
type call struct {
	standin.Result
	host   *host
	sentAt time.Time
}

const (
	// callerCount is the number of concurrent callers; each sends one request at a time.
	callerCount = 6
	// callPause is the time between an answer and the next request of a caller.
	callPause = 5 * time.Millisecond
	// callTimeout aborts a call whose link to the host is silent.
	callTimeout = 2 * requestTimeout
	// largePromptShare is the fraction of streams whose prompt does not fit into the memory of one engine.
	largePromptShare = 0.1
)

// startCallers starts the callers. The returned function stops them and waits for their last requests.
func (r *run) startCallers() (stop func()) {
	done := make(chan struct{})
	var running sync.WaitGroup
	for i := range callerCount {
		rng := rand.New(rand.NewSource(r.cfg.Seed + int64(i)))
		running.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(callPause):
					r.callOnce(rng)
				}
			}
		})
	}
	return func() {
		close(done)
		running.Wait()
	}
}

func (r *run) callOnce(rng *rand.Rand) {
	path := []string{standin.SafePath, standin.UnsafePath, standin.StreamPath}[rng.Intn(3)]
	h := r.hosts[rng.Intn(len(r.hosts))]
	var header []string
	if path == standin.StreamPath && rng.Float64() < largePromptShare {
		header = standin.LargePromptHeader
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	c := call{host: h, sentAt: time.Now()}
	c.Result = r.caller.Call(ctx, h.callerLink.Addr(), path, header...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
}

// callDirect sends a request directly to a host, bypassing the proxy of its callers.
func (r *run) callDirect(ctx context.Context, h *host, path string) standin.Result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.caller.Call(ctx, h.settings.Entry.HTTPAddress, path)
}

// checkCalls checks the results of all requests against what the servers executed.
func (r *run) checkCalls() {
	runs := r.fleet.Runs()
	for _, c := range r.calls {
		for _, v := range c.Violations(runs[c.ID], standin.StreamEvents) {
			r.reportViolation("%s", v)
		}
		late := c.Took > requestTimeout+answerSlack
		if late && !c.host.lateAllowed.overlap(c.sentAt, c.sentAt.Add(c.Took)) {
			r.reportViolation("late answer of host %s: %+v", c.host.settings.HostID, c.Result)
		}
		if c.Served() {
			r.result.Served++
		}
	}
	r.result.Requests = len(r.calls)
	r.checkBudget()
}

// checkBudget checks that in every window all hosts together retry no more often than the settings allow.
func (r *run) checkBudget() {
	set := r.hosts[0].settings.Entry
	window := time.Duration(set.RetryWindowMS) * time.Millisecond
	for service, paths := range map[string][]string{
		"ledger": {standin.SafePath, standin.UnsafePath}, "models": {standin.StreamPath},
	} {
		var sent, retries []time.Time
		for _, c := range r.calls {
			if slices.Contains(paths, c.Path) {
				sent = append(sent, c.sentAt)
			}
		}
		for _, arrivals := range r.fleet.ArrivalTimes(service) {
			retries = append(retries, arrivals[1:]...)
		}
		for _, t := range retries {
			n := countWithin(retries, t.Add(-window), t)
			requests := max(countWithin(sent, t.Add(-window), t), countWithin(sent, t.Add(-2*window), t.Add(-window)))
			if float64(n) > set.RetryRatio*float64(requests)+set.RetrySlack {
				r.reportViolation("%d retries to service %s for %d requests within %v", n, service, requests, window)
				break
			}
		}
	}
}

// countWithin counts the times in the interval (from, to].
func countWithin(times []time.Time, from, to time.Time) (n int) {
	for _, t := range times {
		if t.After(from) && !t.After(to) {
			n++
		}
	}
	return n
}
