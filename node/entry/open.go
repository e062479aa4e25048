package entry

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/eligibility"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/core/placement"
	"github.com/rosemaryhill/rosemaryhill/core/retry"
	"github.com/rosemaryhill/rosemaryhill/node/internal/ctxtime"
)

const (
	// stepPause and stepLimit refuse requests while all servers of a service want none. With stepLimit at least one of them
	// has only reached its request limit, and with stepWarming that of a cold server.
	stepPause   = "pause"
	stepLimit   = "limit"
	stepWarming = "warming"
	// openShare is the share of the time left of a request's objective for which it waits for a server that takes it, so that
	// it may still be on time.
	openShare = 0.5
	// defaultOpenWait is that time for routes without an objective, and startedOpenWait the one for requests that a server
	// may have begun to process: their callers can't be told that nothing has run.
	defaultOpenWait = 100 * time.Millisecond
	startedOpenWait = time.Second
	// pauseJitter spreads the requests that have waited for the end of a pause.
	pauseJitter = 20 * time.Millisecond
	// maxOpenWait bounds the computed time to the room for a request.
	maxOpenWait = time.Hour
)

// opening says when the first server of a service takes a request again.
type opening struct {
	at      time.Duration
	limited bool // a server has reached its request limit, which does not open for all waiting requests at once
	warming bool // one of these limits is that of a cold server
}

// nextOpening returns when the first server of a service takes a request again that waits behind a number of others. closed is
// false if one does now, or if there is no usable one. The state must be locked.
func (s *state) nextOpening(now time.Duration, service string, ahead int) (next opening, closed bool) {
	if !s.pauses.Any() && s.limits.Limited() == 0 && s.limits.Published() == 0 {
		return next, false // the servers are not enumerated, which may be costly
	}
	servers := s.ownEngines(service)
	perSecond := 0.0
	for _, srv := range servers {
		if _, why := s.eligibility(now, srv.ID, false); why == eligibility.Eligible {
			return next, false
		}
		limit, _, _ := s.limits.InForce(now, srv.ID)
		perSecond += limit
	}
	// Other hosts have as many waiting requests for the same room.
	behind := roomTime(ahead*s.sharingHosts, perSecond)
	for _, srv := range servers {
		at := max(now, s.pauses.Until(srv.ID))
		if _, cold, limited := s.limits.InForce(now, srv.ID); limited {
			next.limited, next.warming = true, next.warming || cold
			at = max(at, s.limits.FreeAt(now, srv.ID)) + behind
		}
		if !closed || at < next.at {
			next.at, closed = at, true
		}
	}
	return next, closed
}

// roomTime returns the time in which servers take n requests.
func roomTime(n int, perSecond float64) time.Duration {
	if n == 0 {
		return 0
	}
	return time.Duration(math.Min(float64(n)/perSecond, maxOpenWait.Seconds()) * float64(time.Second))
}

// whenOpen calls choose, with the state locked, once a server of the request's service takes a request, if that is soon enough
// for it. Else it returns a refusal that says when to return.
func (h *Host) whenOpen(ctx context.Context, q *request, choose func(now time.Duration)) *outcome.Error {
	s := h.state
	until := h.now() + q.openWait(h.now())
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.stopWaiting(q)
	for {
		now := h.now()
		next, closed := s.nextOpening(now, q.service, s.waitingBefore(q))
		if !closed {
			choose(now)
			return nil
		}
		if next.at > until || ctx.Err() != nil {
			return s.refuseClosed(now, q.service, next)
		}
		s.startWaiting(q)
		wait := next.at - now
		if !next.limited {
			wait += time.Duration(s.rng.Float64() * float64(pauseJitter))
		}
		sleep, cancel := context.WithCancel(ctx)
		s.wake[q] = cancel
		s.mu.Unlock()
		ctxtime.Sleep(sleep, wait)
		cancel()
		s.mu.Lock()
		delete(s.wake, q)
	}
}

// waitingBefore returns the number of waiting requests that go before this one.
func (s *state) waitingBefore(q *request) int {
	if i := slices.Index(s.openWaiters[q.service], q); i >= 0 {
		return i
	}
	return len(s.openWaiters[q.service])
}

func (s *state) startWaiting(q *request) {
	if !slices.Contains(s.openWaiters[q.service], q) {
		s.openWaiters[q.service] = append(s.openWaiters[q.service], q)
	}
}

func (s *state) stopWaiting(q *request) {
	if i := slices.Index(s.openWaiters[q.service], q); i >= 0 {
		s.openWaiters[q.service] = slices.Delete(s.openWaiters[q.service], i, i+1)
	}
}

// refuseClosed refuses a request that can't wait until a server takes it. The state must be locked.
func (s *state) refuseClosed(now time.Duration, service string, next opening) *outcome.Error {
	e := outcome.Refuse(stepPause, outcome.Overload, "all servers of "+service+" have asked for a pause")
	if next.limited {
		e = outcome.Refuse(stepLimit, outcome.Overload, "all servers of "+service+" have reached their request limits or asked for a pause")
	}
	if next.warming {
		e = outcome.Refuse(stepWarming, outcome.Overload, "all servers of "+service+
			" are cold, have reached their request limits or asked for a pause (servers: "+s.countServers(now, service).String()+")")
	}
	e.RetryAfter = retry.ReturnAfter(next.at-now, s.rng.Float64())
	return e
}

// openWait returns for how long a request may wait for a server that takes it.
func (q *request) openWait(now time.Duration) time.Duration {
	if q.mayHaveRun {
		return min(startedOpenWait, q.timeLeft(now)/2)
	}
	left := placement.ObjectiveLeft(now, q.arrived, q.route.Objective)
	if left == 0 {
		return min(defaultOpenWait, q.timeLeft(now)/2)
	}
	return time.Duration(openShare * float64(max(0, left)))
}

// returnDelay returns the retry delay for callers whose request no server has run.
func (h *Host) returnDelay(service string) time.Duration {
	s := h.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := h.now()
	if next, closed := s.nextOpening(now, service, len(s.openWaiters[service])); closed {
		return retry.ReturnAfter(next.at-now, s.rng.Float64())
	}
	return noBackendRetry
}
