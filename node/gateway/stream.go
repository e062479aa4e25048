package gateway

import (
	"context"
	"errors"
	"math/rand"
	"net/http"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/answer"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/core/retry"
	"github.com/rosemaryhill/rosemaryhill/node/obs"
	"github.com/rosemaryhill/rosemaryhill/transport/link"
	"github.com/rosemaryhill/rosemaryhill/transport/wire"
)

const (
	// resumeTimeout bounds the time that an interrupted stream has to resume at another dispatcher. Membership
	// detects a dead dispatcher within about 5 s (probe, indirect probes, suspicion); until then no live
	// dispatcher owns its engines.
	resumeTimeout = 20 * time.Second
	// ownerMoveTimeout bounds the retries of a request that all dispatchers refused because they own no engine
	// for it. While the ownership of an engine group moves, the old owner refuses requests and the new one
	// waits for its first report.
	ownerMoveTimeout = time.Second
	// resumeBackoffBase and resumeBackoffMax bound the backoff between two attempts to resume.
	resumeBackoffBase = 50 * time.Millisecond
	resumeBackoffMax  = time.Second
	// acceptTimePerChunk is added to the acceptance timeout for each chunk of the prompt.
	acceptTimePerChunk = 50 * time.Millisecond
)

// stream runs the attempts of one generate request and relays their tokens to the caller.
type stream struct {
	g        *Gateway
	gen      *generation
	out      *events
	r        *http.Request
	answer   answer.Stream
	deadline *time.Timer

	excluded       map[ident.HostID]bool // dispatchers that failed since the last token; cleared when no other is left
	engineAttempts int                   // attempts that reached, or may have reached, an engine
	lostAt         time.Duration         // time of the first failure since the last token; zero while the stream runs
	failures       int                   // failed attempts since the last token
}

func (g *Gateway) newStream(w http.ResponseWriter, r *http.Request, gen *generation) *stream {
	return &stream{g: g, gen: gen, r: r, out: newEvents(w), excluded: map[ident.HostID]bool{}}
}

const stepChoose = "choose"

// errCallerDisconnected is the cause of a request that ends because its caller disconnected.
var errCallerDisconnected = errors.New("the caller closed the connection")

// attemptResult is the result of one attempt.
type attemptResult struct {
	complete bool           // the answer is complete
	err      *outcome.Error // why the attempt failed
	// retry is set if another attempt may succeed.
	retry bool
}

// run makes attempts until one of them completes the answer, and sends the outcome of the request to the
// caller.
func (s *stream) run() *outcome.Error {
	s.deadline = time.NewTimer(s.remaining())
	defer s.deadline.Stop()
	for {
		v := s.attempt()
		if v.complete {
			s.out.end(outcome.Answered, "", s.answer.ResumeFrom(), nil)
			return nil
		}
		if !v.retry || !s.waitForRetry(v.err) {
			return s.fail(v.err)
		}
		s.g.resumes.Add(1, string(v.err.Reason))
		s.g.log.WithFields(fields{
			"request": s.gen.id, "from": s.answer.ResumeFrom(), "reason": string(v.err.Reason), "peer": v.err.Peer,
		}).Info("attempt failed, retrying")
	}
}

// waitForRetry waits before the next attempt. It returns false if no further attempt may be made: the deadline
// or resumeTimeout has passed, the caller disconnected, or no attempt reached an engine and no other dispatcher
// may accept the request.
func (s *stream) waitForRetry(cause *outcome.Error) bool {
	now := s.g.view.Now()
	if s.lostAt == 0 {
		s.lostAt = now
	}
	s.failures++
	if now-s.lostAt >= resumeTimeout {
		return false
	}
	wait := retry.Jitter(s.g.rng(), resumeBackoffBase, resumeBackoffMax, s.failures)
	if _, other := s.pickDispatcher(); other {
		wait = 0
	} else if s.engineAttempts == 0 && (!refusedAsNotOwner(cause) || now-s.lostAt >= ownerMoveTimeout) {
		// No attempt reached an engine and no other dispatcher is left, so the request is refused without a
		// wait.
		return false
	} else {
		// All dispatchers have failed. They are all tried again, because the ownership may have moved.
		clear(s.excluded)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.deadline.C:
		s.deadline.Reset(0)
		*cause = *s.deadlineError()
		return false
	case <-s.r.Context().Done():
		return false
	}
}

// refusedAsNotOwner reports whether a dispatcher refused a request because it owns no engine for it.
func refusedAsNotOwner(e *outcome.Error) bool {
	return e.Kind == outcome.NotRun && e.Step != stepChoose &&
		(e.Reason == outcome.NoBackend || e.Reason == outcome.Draining || e.Reason == outcome.NotReady)
}

func (s *stream) pickDispatcher() (*link.Peer, bool) {
	return s.g.dispatchers.pick(s.gen.model, s.gen.promptTokens+s.gen.maxOutput, s.excluded)
}

// attempt submits the request to one dispatcher and relays its answer.
func (s *stream) attempt() attemptResult {
	// After a pause of the process the links are often down too. The deadline is checked first, because it is
	// the cause to report.
	if s.remaining() < time.Millisecond {
		return attemptResult{err: s.deadlineError()}
	}
	peer, ok := s.pickDispatcher()
	if !ok {
		e := outcome.Refuse(stepChoose, outcome.NoBackend, "no dispatcher with engines of the model is reachable")
		return attemptResult{err: retryLater(e), retry: s.engineAttempts > 0}
	}
	number := s.g.attempts.Add(1)
	route := s.g.routes.add(number, peer)
	defer s.g.routes.remove(route)
	resumeFrom := s.answer.Start(number)
	if e := s.submit(peer, number, resumeFrom); e != nil {
		s.excluded[peer.Host()] = true
		return attemptResult{err: e, retry: e.Reason != outcome.Deadline}
	}
	s.engineAttempts++
	v := s.relay(route)
	if !v.complete {
		s.answer.Abandon()
		s.excluded[peer.Host()] = true
	}
	return v
}

// submit queues the request on the link. It computes the remaining time itself, because the process may have
// been paused since the deadline was last checked.
func (s *stream) submit(peer *link.Peer, number uint64, resumeFrom int) *outcome.Error {
	remaining := s.remaining()
	if remaining < time.Millisecond {
		return s.deadlineError()
	}
	chunks := (len(s.gen.prompt) + wire.MaxChunk - 1) / wire.MaxChunk
	err := peer.Send(&wire.Submit{
		Request: s.gen.id, Attempt: number, Team: string(s.gen.team), Model: string(s.gen.model), Class: uint8(s.gen.class),
		PromptTokens: s.gen.promptTokens, MaxOutputTokens: s.gen.maxOutput, RemainingMS: remaining.Milliseconds(),
		ResumeFrom: resumeFrom, TraceParent: obs.TraceParent(s.r.Context()), Chunks: chunks,
	})
	for i := 0; i < chunks && err == nil; i++ {
		from := i * wire.MaxChunk
		to := min(from+wire.MaxChunk, len(s.gen.prompt))
		err = peer.Send(&wire.Chunk{Attempt: number, Index: i, Data: s.gen.prompt[from:to]})
	}
	if err == nil {
		return nil
	}
	// The dispatcher doesn't send an attempt to an engine before its last chunk has arrived.
	s.cancel(peer, number, "submit failed")
	e := &outcome.Error{Kind: outcome.NotRun, Reason: outcome.NoBackend, Step: "submit", Peer: peer.String(), Err: err}
	if link.ErrFull.Has(err) {
		e.Reason = outcome.Overload
	}
	return retryLater(e)
}

func (s *stream) cancel(peer *link.Peer, number uint64, reason string) {
	// An error means that the link is down, which cancels the attempt too.
	_ = peer.Send(&wire.Cancel{Attempt: number, Reason: reason})
}

// relay passes the frames of an attempt on to the caller until the attempt ends.
func (s *stream) relay(r *route) attemptResult {
	accept := time.NewTimer(s.acceptTimeout())
	defer accept.Stop()
	for {
		select {
		case m := <-r.inbox.Items():
			accept.Stop()
			if v, ended := s.handleFrame(r, m); ended {
				return v
			}
		case <-r.failed:
			return s.drainInbox(r)
		case <-accept.C:
			s.cancel(r.peer, r.number, "not accepted in time")
			return attemptResult{err: s.lostError(r, "accept", "the dispatcher did not accept the attempt in time"), retry: true}
		case <-s.deadline.C:
			s.deadline.Reset(0)
			s.cancel(r.peer, r.number, string(outcome.Deadline))
			return attemptResult{err: s.deadlineError()}
		case <-s.r.Context().Done():
			s.cancel(r.peer, r.number, string(outcome.Cancelled))
			return attemptResult{err: s.contextError()}
		}
	}
}

func (s *stream) acceptTimeout() time.Duration {
	chunks := len(s.gen.prompt)/wire.MaxChunk + 1
	return time.Duration(s.g.cfg.Settings.Gateway.AcceptQueueMS)*time.Millisecond + time.Duration(chunks)*acceptTimePerChunk
}

// drainInbox handles the frames that arrived before the route was closed, and returns the cause if the attempt
// has not ended with them.
func (s *stream) drainInbox(r *route) attemptResult {
	for {
		m, ok := r.inbox.TryPop()
		if !ok {
			break
		}
		if v, ended := s.handleFrame(r, m); ended {
			return v
		}
	}
	if r.overrun {
		s.cancel(r.peer, r.number, string(outcome.Overload))
		return attemptResult{err: s.lostError(r, "deliver", "the caller reads too slowly")}
	}
	return attemptResult{err: s.lostError(r, "link", "the link to the dispatcher was lost"), retry: true}
}

func (s *stream) lostError(r *route, step, detail string) *outcome.Error {
	e := outcome.Fail(step, r.peer.String(), outcome.BackendLost, nil)
	e.Detail = detail
	return e
}

// remaining returns the time left until the caller's deadline.
func (s *stream) remaining() time.Duration { return s.gen.deadline - s.g.view.Now() }

func (s *stream) deadlineError() *outcome.Error {
	e := outcome.Refuse("deadline", outcome.Deadline, "the caller's deadline has passed")
	return retryLater(e)
}

// contextError returns the error of a request whose context has ended.
func (s *stream) contextError() *outcome.Error {
	if cause := context.Cause(s.r.Context()); errors.Is(cause, errShutdownOver) {
		return outcome.Fail("shutdown", "", outcome.Draining, cause)
	}
	return outcome.Fail("caller", "", outcome.Cancelled, errCallerDisconnected)
}

// handleFrame handles one frame; ended is true if it ends the attempt.
func (s *stream) handleFrame(r *route, m wire.Message) (v attemptResult, ended bool) {
	switch m := m.(type) {
	case *wire.Token:
		return s.handleToken(r, m)
	case *wire.End:
		return s.handleEnd(r, m), true
	}
	return v, false
}

func (s *stream) handleToken(r *route, m *wire.Token) (v attemptResult, ended bool) {
	switch s.answer.Token(m.Attempt, m.N) {
	case answer.Deliver:
	case answer.Gap:
		s.cancel(r.peer, r.number, "gap")
		return attemptResult{err: s.lostError(r, "answer", "a frame of the answer was lost"), retry: true}, true
	default:
		return v, false
	}
	if m.N == 1 {
		s.g.firstToken.Record(s.g.view.Now()-s.gen.started, s.gen.class.String())
	}
	s.lostAt, s.failures = 0, 0
	clear(s.excluded)
	s.g.tokens.Add(1, s.gen.class.String())
	if err := s.out.token(m.N, m.Text, r.inbox.Len() == 0); err != nil {
		s.cancel(r.peer, r.number, string(outcome.Cancelled))
		return attemptResult{err: outcome.Fail("caller", "", outcome.Cancelled, err)}, true
	}
	return v, false
}

func (s *stream) handleEnd(r *route, m *wire.End) attemptResult {
	kind, reason := outcome.Kind(m.Outcome), outcome.Reason(m.Reason)
	if kind == outcome.Answered {
		switch s.answer.End(m.Attempt, m.Count) {
		case answer.Complete:
			return attemptResult{complete: true}
		case answer.Gap:
			return attemptResult{err: s.lostError(r, "answer", "frames before the end were lost"), retry: true}
		default:
			return attemptResult{err: outcome.Fail("answer", r.peer.String(), outcome.Internal, errors.New("the end does not match the frames delivered"))}
		}
	}
	if kind == outcome.NotRun {
		s.engineAttempts--
	}
	e := &outcome.Error{
		Kind: kind, Reason: reason, Step: m.Step, Peer: m.Peer,
		RetryAfter: time.Duration(m.RetryAfterMS) * time.Millisecond,
	}
	return attemptResult{err: e, retry: retryable(kind, reason)}
}

// retryable reports whether an attempt at another dispatcher may succeed. Overload and an unreachable deadline
// are decisions about the request; retrying it elsewhere would multiply the load that caused them.
func retryable(k outcome.Kind, r outcome.Reason) bool {
	switch r {
	case outcome.NoBackend, outcome.Draining, outcome.NotReady, outcome.BackendLost, outcome.BackendFailed:
		return true
	case outcome.Overload:
		return k == outcome.MayHaveRun // the link or the engine dropped a running stream
	}
	return false
}

// fail tells the caller that the request has ended without a complete answer. The outcome is NotRun only if no
// attempt may have reached an engine.
func (s *stream) fail(cause *outcome.Error) *outcome.Error {
	s.answer.Close()
	e := *cause
	e.Kind = outcome.NotRun
	if s.engineAttempts > 0 || s.answer.ResumeFrom() > 0 {
		e.Kind = outcome.MayHaveRun
	}
	if s.out.headerSent {
		s.out.end(e.Kind, e.Reason, s.answer.ResumeFrom(), &e)
		return &e
	}
	return s.g.fail(s.out.w, &e)
}

// rng returns a new random source.
func (g *Gateway) rng() *rand.Rand { return rand.New(rand.NewSource(time.Now().UnixNano())) }
