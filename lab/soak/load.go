package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/platform/standin"
)

// call is a request of the soak and its result.
type call struct {
	standin.Result
	host    *host
	sentAt  time.Time // before the request was sent
	endedAt time.Time // after its end
	parts   parts     // of a stream's prompt
}

// cause says why the request was not served, as its caller sees it.
func (c *call) cause() string {
	switch {
	case c.Status == 0:
		return "no response of the host"
	case !c.Complete:
		return "answer broken off"
	}
	var e outcome.Body
	if err := json.Unmarshal([]byte(c.Body), &e); err != nil {
		return fmt.Sprintf("%d of a server", c.Status)
	}
	return fmt.Sprintf("%d %s at step %s", c.Status, e.Reason, e.Step)
}

const (
	// callerCount is the number of concurrent callers; each sends one request at a time.
	callerCount = 12
	// callPause is the time between an answer and the next request of a caller.
	callPause = 5 * time.Millisecond
	// callTimeout aborts a call whose link to the host is silent.
	callTimeout = streamTimeout + requestTimeout
	// avoidTime is how long a caller leaves out a host that gave no response, as callers with a list of addresses do.
	avoidTime = time.Second
	// largePromptShare is the fraction of streams whose prompt does not fit into the memory of one engine.
	largePromptShare = 0.1
)

// startCallers starts the callers. The returned function stops them and waits for their last requests.
func (r *run) startCallers() (stop func()) {
	done := make(chan struct{})
	var running sync.WaitGroup
	for i := range callerCount {
		c := &caller{run: r, rng: rand.New(rand.NewSource(r.cfg.Seed + int64(i))), avoided: map[*host]time.Time{}}
		running.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(callPause):
					c.callOnce()
				}
			}
		})
	}
	return func() {
		close(done)
		running.Wait()
	}
}

// caller sends requests to all hosts, one at a time.
type caller struct {
	run     *run
	rng     *rand.Rand
	avoided map[*host]time.Time // until when a host gets no requests
}

func (c *caller) callOnce() {
	r := c.run
	path := []string{standin.SafePath, standin.UnsafePath, standin.StreamPath}[c.rng.Intn(3)]
	h := c.pickHost()
	var header []string
	sent := call{host: h, sentAt: time.Now()}
	if path == standin.StreamPath {
		sent.parts = r.randomParts(c.rng, sent.sentAt)
		header = sent.parts.header(fmt.Sprintf("%x", c.rng.Uint64()))
	}
	if path == standin.StreamPath && c.rng.Float64() < largePromptShare {
		header = append(header, standin.LargePromptHeader...)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	sent.Result = r.caller.Call(ctx, h.callerLink.Addr(), path, header...)
	sent.endedAt = time.Now()
	if sent.Status == 0 {
		c.avoided[h] = time.Now().Add(avoidTime)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, sent)
}

// pickHost returns a random host that is not avoided, or any if all are.
func (c *caller) pickHost() *host {
	first := c.rng.Intn(len(c.run.hosts))
	for i := range c.run.hosts {
		h := c.run.hosts[(first+i)%len(c.run.hosts)]
		if time.Now().After(c.avoided[h]) {
			return h
		}
	}
	return c.run.hosts[first]
}

// callDirect sends a request directly to a host, bypassing the proxy of its callers.
func (r *run) callDirect(ctx context.Context, h *host, path string) standin.Result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.caller.Call(ctx, h.Settings.Entry.HTTPAddress, path)
}

// checkCalls checks the results of all requests against what the servers executed.
func (r *run) checkCalls() {
	runs, streams, plain := r.fleet.Runs(), r.fleet.Arrivals("models"), r.fleet.Arrivals("ledger")
	for _, c := range r.calls {
		if c.Path == standin.StreamPath && r.cutWithoutCause(&c, streams[c.ID]) {
			r.reportViolation("stream cut at host %s while its server would have gone on: %+v, %s, arrivals %+v",
				c.host.Settings.HostID, c.Result, c.cause(), streams[c.ID])
		}
		for _, v := range r.violations(c.Result, append(streams[c.ID], plain[c.ID]...), runs[c.ID]) {
			r.reportViolation("%s", v)
		}
		late := c.Took > timeoutOf(c.Path)+answerSlack
		if late && !c.host.lateAllowed.overlap(c.sentAt, c.endedAt) {
			r.reportViolation("late answer of host %s: %+v", c.host.Settings.HostID, c.Result)
		}
		if c.Served() {
			r.result.Served++
		} else {
			r.result.Unserved[c.cause()]++
		}
	}
	r.result.Requests = len(r.calls)
	r.checkBadPart(streams)
	r.checkBudget()
	r.checkNotices()
	r.checkLimits()
	r.checkZones()
	r.checkCold()
}

// violations returns the guarantees that the result of a request violates, given its arrivals at all servers.
func (r *run) violations(e standin.Result, arrivals []standin.Arrival, runs int) []string {
	var sent []standin.RawAnswer
	var other []standin.Arrival
	for _, a := range arrivals {
		if a.Failure == standin.Raw {
			sent = append(sent, r.fleet.Servers[a.Server].RawFor(e.ID).Parse(e.ID))
		} else {
			other = append(other, a)
		}
	}
	if len(sent) > 0 {
		return e.RawViolations(sent, other, runs, standin.StreamEvents)
	}
	return e.Violations(runs, standin.StreamEvents)
}

// timeoutOf returns the timeout of a route.
func timeoutOf(path string) time.Duration {
	if path == standin.StreamPath {
		return streamTimeout
	}
	return requestTimeout
}

// cutWithoutCause reports whether a stream ended without a complete answer although nothing broke it. That is allowed
//   - before it began: it reached no server, and the host refused it or gave no response, so there is no stream to cut;
//   - if a server that it reached answered with a failure or crashed, or the link to that server was reset: the server has broken
//     off, and the retry budget may forbid another one. A link that only delays or holds data does not excuse a host,
//     since a server that is silent behind it goes on as well, unless the run is to be without silent servers;
//   - if the whole timeout had passed;
//   - if the process of the host was killed, stopped or paused, or the link from its callers had a fault, during the
//     request or shortly before. Reloads and configurations excuse nothing.
//   - if the host names a peer that it has handed the request on to, and the process of that peer was killed, stopped or paused.
//
// A request that the host says may have run began, also if no server has read it: then a server was silent on accept.
func (r *run) cutWithoutCause(c *call, arrivals []standin.Arrival) bool {
	began := len(arrivals) > 0 || c.Status == http.StatusBadGateway || c.Status == http.StatusGatewayTimeout
	end := c.endedAt
	if c.Served() || !began || c.Took >= streamTimeout || c.host.cutAllowed.overlap(c.sentAt, end) {
		return false
	}
	if r.peerFailed(c) {
		return false
	}
	for _, a := range arrivals {
		if a.Failure != standin.NoFailure || r.crashed(a.Server, c.sentAt, end) {
			return false
		}
	}
	if len(arrivals) == 0 && r.crashed("", c.sentAt, end) {
		return false
	}
	for _, l := range r.links {
		reached := slices.ContainsFunc(arrivals, func(a standin.Arrival) bool { return r.fleet.AddressOf(a.Server) == l.Addr() })
		brokeOff := l.resets.overlap(c.sentAt, end) || (r.leftOut(silentServer) && l.faults.overlap(c.sentAt, end))
		if (reached || len(arrivals) == 0) && brokeOff {
			return false
		}
	}
	return true
}

// peerFailed reports whether a request has failed at a peer whose process was killed, stopped or paused meanwhile.
func (r *run) peerFailed(c *call) bool {
	return slices.ContainsFunc(r.hosts, func(h *host) bool {
		ip, _, _ := strings.Cut(h.Settings.Entry.HTTPAddress, ":")
		return strings.Contains(c.Body, `"step":"handover","peer":"`+ip+`:`) && h.cutAllowed.overlap(c.sentAt, c.endedAt)
	})
}

// checkBudget checks that in every window all hosts together retry no more often than the settings allow.
func (r *run) checkBudget() {
	set := r.hosts[0].Settings.Entry
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
		for _, arrivals := range r.fleet.Arrivals(service) {
			for _, a := range arrivals[1:] {
				retries = append(retries, a.At)
			}
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
