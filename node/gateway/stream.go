package gateway

import (
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
	// resumeFor bounds the time in which a lost stream looks for another dispatcher. Membership finds
	// a dead dispatcher within about 5 s (probe, indirect probes, suspicion); until then nobody owns
	// its engines.
	resumeFor = 20 * time.Second
	// moveFor bounds the time in which a request that dispatchers refused as not theirs is offered again.
	// While an engine group moves, the old owner refuses and the new one waits for its first report.
	moveFor = time.Second
	// resumeBase and resumeCap bound the waits between two tries to resume.
	resumeBase = 50 * time.Millisecond
	resumeCap  = time.Second
	// chunkTime is added to the wait for acceptance for each chunk of the prompt.
	chunkTime = 50 * time.Millisecond
)

// stream carries one generation through its attempts to the caller.
type stream struct {
	g        *Gateway
	gen      *generation
	out      *events
	r        *http.Request
	answer   answer.Stream
	deadline *time.Timer

	excluded map[ident.HostID]bool // dispatchers that failed since the last token
	reached  int                   // attempts that reached, or may have reached, an engine
	lostAt   time.Duration         // when the stream was lost; zero while it runs
	tries    int                   // failed attempts since the last token
}

func (g *Gateway) newStream(w http.ResponseWriter, r *http.Request, gen *generation) *stream {
	return &stream{g: g, gen: gen, r: r, out: newEvents(w), excluded: map[ident.HostID]bool{}}
}

const stepChoose = "choose"

// errCallerLeft ends a request whose caller closed the connection.
var errCallerLeft = errors.New("the caller closed the connection")

// verdict of one attempt.
type verdict struct {
	done bool           // the answer is whole
	err  *outcome.Error // why the attempt failed
	// again tells that another attempt may succeed.
	again bool
}

// run starts attempts until one of them brings the end of the answer, and tells the caller how the
// request ended.
func (s *stream) run() *outcome.Error {
	s.deadline = time.NewTimer(s.remaining())
	defer s.deadline.Stop()
	for {
		v := s.attempt()
		if v.done {
			s.out.end(outcome.Answered, "", s.answer.ResumeFrom(), nil)
			return nil
		}
		if !v.again || !s.pause(v.err) {
			return s.giveUp(v.err)
		}
		s.g.resumes.Add(1, string(v.err.Reason))
		s.g.log.WithFields(fields{
			"request": s.gen.id, "from": s.answer.ResumeFrom(), "reason": string(v.err.Reason), "peer": v.err.Peer,
		}).Info("attempt replaced")
	}
}

// pause waits before the next attempt. It returns false when there is none: the deadline or the time
// to resume is over, the caller left, or nothing ran yet and no other dispatcher may take the request.
func (s *stream) pause(cause *outcome.Error) bool {
	now := s.g.view.Now()
	if s.lostAt == 0 {
		s.lostAt = now
	}
	s.tries++
	if now-s.lostAt >= resumeFor {
		return false
	}
	wait := retry.Jitter(s.g.rng(), resumeBase, resumeCap, s.tries)
	if _, other := s.choose(); other {
		wait = 0
	} else if s.reached == 0 && (!moving(cause) || now-s.lostAt >= moveFor) {
		// Nothing ran and nobody else takes it: a refusal now is worth more than a wait.
		return false
	} else {
		// After a failure everywhere, all dispatchers are asked again: ownership may have moved.
		clear(s.excluded)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.deadline.C:
		s.deadline.Reset(0)
		*cause = *s.pastDeadline()
		return false
	case <-s.r.Context().Done():
		return false
	}
}

// moving tells that a dispatcher refused a request because it does not own an engine for it.
func moving(e *outcome.Error) bool {
	return e.Kind == outcome.NotRun && e.Step != stepChoose &&
		(e.Reason == outcome.NoBackend || e.Reason == outcome.Draining || e.Reason == outcome.NotReady)
}

func (s *stream) choose() (*link.Peer, bool) {
	return s.g.chosen.pick(s.gen.model, s.gen.tokens+s.gen.output, s.excluded)
}

// attempt submits the request to one dispatcher and passes its answer on.
func (s *stream) attempt() verdict {
	// After a pause the links are often down too; the passed deadline is the cause to report.
	if s.remaining() < time.Millisecond {
		return verdict{err: s.pastDeadline()}
	}
	peer, ok := s.choose()
	if !ok {
		e := outcome.Refuse(stepChoose, outcome.NoBackend, "no dispatcher with engines of the model is reachable")
		return verdict{err: retryLater(e), again: s.reached > 0}
	}
	number := s.g.attempts.Add(1)
	route := s.g.routes.add(number, peer)
	defer s.g.routes.remove(route)
	resumeFrom := s.answer.Start(number)
	if e := s.submit(peer, number, resumeFrom); e != nil {
		s.excluded[peer.Host()] = true
		return verdict{err: e, again: e.Reason != outcome.Deadline}
	}
	s.reached++
	v := s.follow(route)
	if !v.done {
		s.answer.Abandon()
		s.excluded[peer.Host()] = true
	}
	return v
}

// submit queues the request on the link. The remaining time is taken right before, because the
// process may have been paused since the last look at the deadline.
func (s *stream) submit(peer *link.Peer, number uint64, resumeFrom int) *outcome.Error {
	remaining := s.remaining()
	if remaining < time.Millisecond {
		return s.pastDeadline()
	}
	chunks := (len(s.gen.prompt) + wire.MaxChunk - 1) / wire.MaxChunk
	err := peer.Send(&wire.Submit{
		Request: s.gen.id, Attempt: number, Team: string(s.gen.team), Model: string(s.gen.model), Class: uint8(s.gen.class),
		PromptTokens: s.gen.tokens, MaxOutputTokens: s.gen.output, RemainingMS: remaining.Milliseconds(),
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
	// Without its last chunk an attempt never reaches an engine.
	s.cancel(peer, number, "submit failed")
	e := &outcome.Error{Kind: outcome.NotRun, Reason: outcome.NoBackend, Step: "submit", Peer: peer.String(), Err: err}
	if link.ErrFull.Has(err) {
		e.Reason = outcome.Overload
	}
	return retryLater(e)
}

func (s *stream) cancel(peer *link.Peer, number uint64, reason string) {
	// An error means that the link is down, which cancels the attempt as well.
	_ = peer.Send(&wire.Cancel{Attempt: number, Reason: reason})
}

// follow passes the frames of an attempt on until its end.
func (s *stream) follow(r *route) verdict {
	accept := time.NewTimer(s.acceptTime())
	defer accept.Stop()
	for {
		select {
		case m := <-r.inbox.Items():
			accept.Stop()
			if v, over := s.frame(r, m); over {
				return v
			}
		case <-r.broken:
			return s.drain(r)
		case <-accept.C:
			s.cancel(r.peer, r.number, "not accepted in time")
			return verdict{err: s.lost(r, "accept", "the dispatcher did not accept the attempt in time"), again: true}
		case <-s.deadline.C:
			s.deadline.Reset(0)
			s.cancel(r.peer, r.number, string(outcome.Deadline))
			return verdict{err: s.pastDeadline()}
		case <-s.r.Context().Done():
			s.cancel(r.peer, r.number, string(outcome.Cancelled))
			return verdict{err: outcome.Fail("caller", "", outcome.Cancelled, errCallerLeft)}
		}
	}
}

func (s *stream) acceptTime() time.Duration {
	chunks := len(s.gen.prompt)/wire.MaxChunk + 1
	return time.Duration(s.g.cfg.Settings.Gateway.AcceptQueueMS)*time.Millisecond + time.Duration(chunks)*chunkTime
}

// drain handles what arrived before the route broke.
func (s *stream) drain(r *route) verdict {
	for {
		m, ok := r.inbox.TryPop()
		if !ok {
			break
		}
		if v, over := s.frame(r, m); over {
			return v
		}
	}
	if r.overrun {
		s.cancel(r.peer, r.number, string(outcome.Overload))
		return verdict{err: s.lost(r, "deliver", "the caller reads too slowly")}
	}
	return verdict{err: s.lost(r, "link", "the link to the dispatcher was lost"), again: true}
}

func (s *stream) lost(r *route, step, detail string) *outcome.Error {
	e := outcome.Fail(step, r.peer.String(), outcome.BackendLost, nil)
	e.Detail = detail
	return e
}

// remaining returns the time left until the caller's deadline.
func (s *stream) remaining() time.Duration { return s.gen.deadline - s.g.view.Now() }

func (s *stream) pastDeadline() *outcome.Error {
	e := outcome.Refuse("deadline", outcome.Deadline, "the caller's deadline has passed")
	return retryLater(e)
}

// frame handles one frame; over tells that the attempt has ended.
func (s *stream) frame(r *route, m wire.Message) (v verdict, over bool) {
	switch m := m.(type) {
	case *wire.Token:
		return s.token(r, m)
	case *wire.End:
		return s.ended(r, m), true
	}
	return v, false
}

func (s *stream) token(r *route, m *wire.Token) (v verdict, over bool) {
	switch s.answer.Token(m.Attempt, m.N) {
	case answer.Deliver:
	case answer.Gap:
		s.cancel(r.peer, r.number, "gap")
		return verdict{err: s.lost(r, "answer", "a frame of the answer was lost"), again: true}, true
	default:
		return v, false
	}
	if m.N == 1 {
		s.g.firstToken.Record(s.g.view.Now()-s.gen.started, s.gen.class.String())
	}
	s.lostAt, s.tries = 0, 0
	s.g.tokens.Add(1, s.gen.class.String())
	if err := s.out.token(m.N, m.Text, r.inbox.Len() == 0); err != nil {
		s.cancel(r.peer, r.number, string(outcome.Cancelled))
		return verdict{err: outcome.Fail("caller", "", outcome.Cancelled, err)}, true
	}
	return v, false
}

func (s *stream) ended(r *route, m *wire.End) verdict {
	kind, reason := outcome.Kind(m.Outcome), outcome.Reason(m.Reason)
	if kind == outcome.Answered {
		switch s.answer.End(m.Attempt, m.Count) {
		case answer.Complete:
			return verdict{done: true}
		case answer.Gap:
			return verdict{err: s.lost(r, "answer", "frames before the end were lost"), again: true}
		default:
			return verdict{err: outcome.Fail("answer", r.peer.String(), outcome.Internal, errors.New("the end does not match the frames delivered"))}
		}
	}
	if kind == outcome.NotRun {
		s.reached--
	}
	e := &outcome.Error{
		Kind: kind, Reason: reason, Step: m.Step, Peer: m.Peer,
		RetryAfter: time.Duration(m.RetryAfterMS) * time.Millisecond,
	}
	return verdict{err: e, again: elsewhere(kind, reason)}
}

// elsewhere tells whether another dispatcher may succeed. Overload and a deadline out of reach are
// decisions about the request; sending it around would multiply the load that caused them.
func elsewhere(k outcome.Kind, r outcome.Reason) bool {
	switch r {
	case outcome.NoBackend, outcome.Draining, outcome.NotReady, outcome.BackendLost, outcome.BackendFailed:
		return true
	case outcome.Overload:
		return k == outcome.MayHaveRun // the link or engine lost a running stream
	}
	return false
}

// giveUp tells the caller at once that the request has ended without its whole answer.
func (s *stream) giveUp(cause *outcome.Error) *outcome.Error {
	s.answer.Close()
	e := *cause
	e.Kind = outcome.NotRun
	if s.reached > 0 || s.answer.ResumeFrom() > 0 {
		e.Kind = outcome.MayHaveRun
	}
	if s.out.begun {
		s.out.end(e.Kind, e.Reason, s.answer.ResumeFrom(), &e)
		return &e
	}
	return s.g.fail(s.out.w, &e)
}

// rng returns a random source for one decision.
func (g *Gateway) rng() *rand.Rand { return rand.New(rand.NewSource(time.Now().UnixNano())) }
