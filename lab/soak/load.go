package soak

import (
	"context"
	"math/rand"
	"slices"
	"sync"
	"time"

	"github.com/rosemaryhill/rosemaryhill/platform/standin"
)

// call is a request of the soak and its end.
type call struct {
	standin.Result
	host  *host
	began time.Time
}

const (
	// callers send requests one after the other.
	callers = 6
	// callPause is the time between two requests of a caller.
	callPause = 5 * time.Millisecond
	// callPatience ends a call whose link to the host is silent.
	callPatience = 2 * requestTimeout
	// hugeShare is the part of the streams whose prompt does not fit one engine.
	hugeShare = 0.1
)

// startCallers sends requests until the returned function is called; it waits for the last ones.
func (r *run) startCallers() (stop func()) {
	done := make(chan struct{})
	var running sync.WaitGroup
	for i := range callers {
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
	if path == standin.StreamPath && rng.Float64() < hugeShare {
		header = standin.LargePromptHeader
	}
	ctx, cancel := context.WithTimeout(context.Background(), callPatience)
	defer cancel()
	c := call{host: h, began: time.Now()}
	c.Result = r.caller.Call(ctx, h.caller.Addr(), path, header...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
}

// callDirect sends a request to a host past the link of its callers.
func (r *run) callDirect(ctx context.Context, h *host, path string) standin.Result {
	ctx, cancel := context.WithTimeout(ctx, callPatience)
	defer cancel()
	return r.caller.Call(ctx, h.set.Entry.HTTPAddress, path)
}

// checkCalls checks the ends of all requests against what the servers have run.
func (r *run) checkCalls() {
	runs := r.fleet.Runs()
	for _, c := range r.calls {
		for _, b := range c.Violations(runs[c.ID], standin.StreamEvents) {
			r.broken("%s", b)
		}
		late := c.Took > requestTimeout+answerSlack
		if late && !c.host.windows.overlap(c.began, c.began.Add(c.Took)) {
			r.broken("late answer of host %s: %+v", c.host.set.HostID, c.Result)
		}
		if c.Served() {
			r.result.Served++
		}
	}
	r.result.Requests = len(r.calls)
	r.checkBudget()
}

// checkBudget checks that the hosts together repeat no more than the settings allow, in every window.
func (r *run) checkBudget() {
	set := r.hosts[0].set.Entry
	window := time.Duration(set.RetryWindowMS) * time.Millisecond
	for service, paths := range map[string][]string{
		"ledger": {standin.SafePath, standin.UnsafePath}, "models": {standin.StreamPath},
	} {
		var sent, repeats []time.Time
		for _, c := range r.calls {
			if slices.Contains(paths, c.Path) {
				sent = append(sent, c.began)
			}
		}
		for _, arrivals := range r.fleet.ArrivalTimes(service) {
			repeats = append(repeats, arrivals[1:]...)
		}
		for _, t := range repeats {
			n := within(repeats, t.Add(-window), t)
			requests := max(within(sent, t.Add(-window), t), within(sent, t.Add(-2*window), t.Add(-window)))
			if float64(n) > set.RetryRatio*float64(requests)+set.RetrySlack {
				r.broken("%d repeats at service %s for %d requests within %v", n, service, requests, window)
				break
			}
		}
	}
}

// within counts the times after from and up to to.
func within(times []time.Time, from, to time.Time) (n int) {
	for _, t := range times {
		if t.After(from) && !t.After(to) {
			n++
		}
	}
	return n
}
