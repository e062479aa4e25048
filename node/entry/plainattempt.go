package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/hedge"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/core/placement"
	"github.com/rosemaryhill/rosemaryhill/node/internal/ctxtime"
)

// The time after which a server counts as silent, so that an idempotent request is sent to another one as well, is
// serverTimeoutFactor times the server's usual response time, but at least minServerTimeout and at most maxServerTimeout.
const (
	serverTimeoutFactor = 6
	minServerTimeout    = 350 * time.Millisecond
	maxServerTimeout    = 1200 * time.Millisecond
)

// plainRequest is the state of a request to a plain service. It belongs to the goroutine of the request; each attempt runs in
// a goroutine of its own and sends its end.
type plainRequest struct {
	host    *Host
	ctx     context.Context // of the request and its attempts
	q       *request
	race    *hedge.Race
	running map[hedge.Attempt]*plainAttempt
	tried   map[ident.BackendID]bool
	ends    chan plainEnd
	done    chan struct{} // closed when ends are no longer received
	silence *time.Timer   // fires when the running attempts have been silent for too long
	// failedResponse is a complete 5xx response, passed on if no other server succeeds.
	failedResponse *response
}

// plainAttempt is an attempt at a plain server.
type plainAttempt struct {
	id     hedge.Attempt
	server catalog.Server
	began  time.Duration
	silent bool // it has counted as silent
}

// plainEnd says how an attempt has ended.
type plainEnd struct {
	from       *plainAttempt
	step       string
	received   *backendResponse // nil without a response
	body       []byte
	memory     share // of the body
	err        error // nil for a complete response
	contextErr error // of the attempt, when it ended
}

func (h *Host) newPlainRequest(ctx context.Context, q *request) *plainRequest {
	r := &plainRequest{
		host: h, ctx: ctx, q: q, race: hedge.NewRace(q.route.MaxAttempts, q.route.Repeatable(), -1),
		running: map[hedge.Attempt]*plainAttempt{}, tried: map[ident.BackendID]bool{},
		ends: make(chan plainEnd), done: make(chan struct{}), silence: time.NewTimer(time.Hour),
	}
	r.silence.Stop()
	return r
}

// serve runs attempts until a server has answered or no further attempt is made. It returns the answer or the last failure.
func (r *plainRequest) serve() (*response, *outcome.Error) {
	if e := r.begin(); e != nil {
		return nil, e
	}
	overdue, stop := ctxtime.After(r.ctx, attemptEndTime)
	defer stop()
	for {
		select {
		case <-overdue:
			return nil, r.host.attemptsOverdue(r.q)
		case end := <-r.ends:
			a, e := r.conclude(end)
			if a != nil && a.status < http.StatusInternalServerError {
				return a, nil
			}
			if a != nil {
				r.failedResponse = a
			}
			if len(r.running) > 0 {
				r.watch(minServerTimeout) // another server may still answer, or be silent
				continue
			}
			if !r.host.mayRetry(r.ctx, r.q, e) || r.begin() != nil {
				return nil, e
			}
		case <-r.silence.C:
			r.hedgeSilent()
		}
	}
}

// begin starts an attempt at another server. It returns a refusal if there is none.
func (r *plainRequest) begin() *outcome.Error {
	h := r.host
	var srv catalog.Server
	var ok bool
	e := h.whenOpen(r.ctx, r.q, func(now time.Duration) {
		if srv, ok = r.choose(now, true); !ok {
			// All servers are excluded or tried. Ignore the exclusions, so that wrongly excluding every server does
			// not refuse all requests.
			srv, ok = r.choose(now, false)
		}
		if ok {
			r.account(now, srv.ID)
		}
	})
	if e != nil {
		return e
	}
	if !ok {
		return outcome.Refuse(stepPlace, outcome.NoBackend, "no server of "+r.q.service+" is usable")
	}
	r.start(srv)
	return nil
}

// account adds the request to the load of a server and takes it from its limit. The state must be locked.
func (r *plainRequest) account(now time.Duration, id ident.BackendID) {
	r.host.state.loadBalancer.Begin(id)
	r.host.countSent(now, id)
}

// choose returns a server that has not been tried and takes requests. The state must be locked.
func (r *plainRequest) choose(now time.Duration, useExclusions bool) (catalog.Server, bool) {
	s := r.host.state
	eligible := s.eligibleFor(now, useExclusions, func(id ident.BackendID) bool { return r.tried[id] })
	return s.loadBalancer.Choose(now, s.catalog.Usable(r.q.service), func(id ident.BackendID) placement.ServerHealth {
		return placement.ServerHealth{
			Excluded:    !eligible(id),
			FailureRate: s.health.FailureRate(id),
			AnswerTime:  s.health.AnswerTime(id),
		}
	}, s.rng.Float64())
}

func (r *plainRequest) start(srv catalog.Server) {
	r.tried[srv.ID] = true
	x := &plainAttempt{id: r.race.Open(hedge.Unknown), server: srv, began: r.host.now()}
	r.running[x.id] = x
	r.watch(r.host.serverTimeout(srv.ID))
	go r.run(x)
}

// watch starts the time after which the running attempts count as silent. If no other server may be tried beside them, they
// are not watched.
func (r *plainRequest) watch(timeout time.Duration) {
	r.silence.Stop()
	if r.race.MayHedge() {
		r.silence.Reset(timeout)
	}
}

// serverTimeout returns the time after which a server counts as silent.
func (h *Host) serverTimeout(id ident.BackendID) time.Duration {
	h.state.mu.Lock()
	defer h.state.mu.Unlock()
	return min(maxServerTimeout, max(minServerTimeout, serverTimeoutFactor*h.state.health.AnswerTime(id)))
}

// hedgeSilent sends the request to another server beside the silent one, which may only be silent for a while: the first
// complete answer counts.
func (r *plainRequest) hedgeSilent() {
	h, now := r.host, r.host.now()
	srv, taken := r.chooseBeside(now)
	for _, x := range r.running {
		h.recordSilent(r.q, string(x.server.ID), now-x.began, taken)
		if !x.silent {
			h.recordFailure(x.server.ID)
		}
		x.silent = true
	}
	switch taken {
	case silentHedged:
		r.start(srv)
	default:
		r.watch(minServerTimeout) // a server or a retry may be available by then
	}
}

// chooseBeside chooses a server beside the one that runs, if nothing speaks against it.
func (r *plainRequest) chooseBeside(now time.Duration) (srv catalog.Server, taken string) {
	if !r.race.MayHedge() {
		return catalog.Server{}, silentNoRetry
	}
	s := r.host.state
	s.mu.Lock()
	defer s.mu.Unlock()
	srv, ok := r.choose(now, true)
	if !ok {
		return catalog.Server{}, silentNoServer
	}
	if !s.allowRetry(now, r.q.service) {
		return catalog.Server{}, silentNoRetry
	}
	r.account(now, srv.ID)
	return srv, silentHedged
}

// run sends the request to a server and reads the complete response.
func (r *plainRequest) run(x *plainAttempt) {
	h := r.host
	end := r.exchange(x)
	h.state.mu.Lock()
	h.state.loadBalancer.End(x.server.ID)
	h.state.mu.Unlock()
	select {
	case r.ends <- end:
	case <-r.done:
		end.memory.release()
	}
}

func (r *plainRequest) exchange(x *plainAttempt) plainEnd {
	h := r.host
	end := plainEnd{from: x, step: stepAnswer, memory: share{memory: h.bodies}}
	ctx, span := h.startStepSpan(r.ctx, stepSend, x.server.ID)
	defer func() { endAttemptSpan(span, end.received, end.err) }()
	received, ran, err := h.send(ctx, r.q, x.server, Forward{})
	if err != nil {
		end.step, end.err, end.contextErr = sendStep(ran), err, ctx.Err()
		return end
	}
	defer received.resp.Body.Close()
	end.received = &received
	if end.err = received.check(r.q); end.err == nil && !received.reply.NotRun {
		end.body, end.err = readResponse(&end.memory, received.resp)
	}
	end.contextErr = ctx.Err()
	return end
}

// conclude records what the end of an attempt shows about its server, and returns its complete response or its failure.
func (r *plainRequest) conclude(end plainEnd) (a *response, e *outcome.Error) {
	h, q, x := r.host, r.q, end.from
	r.race.Close(x.id)
	delete(r.running, x.id)
	q.memory.absorb(end.memory)
	defer func() {
		if e != nil {
			h.recordFailedAttempt(q, e, end.contextErr != nil, 0, h.now()-x.began)
		}
	}()
	if end.step == stepDial {
		r.race.Unsent()
	}
	q.attempts = r.race.Sent()
	if end.received == nil {
		return nil, h.sendFailed(end.contextErr, q, x.server.ID, end.step, end.err)
	}
	if end.err == nil && end.received.reply.NotRun {
		return nil, h.rejected(q, x.server.ID, *end.received)
	}
	q.mayHaveRun = true
	if end.err != nil {
		return nil, h.invalidResponse(end.contextErr, x.server.ID, end.err)
	}
	return h.checkResponse(x.server.ID, *end.received, end.body, h.now()-x.began)
}
