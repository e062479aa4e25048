package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/hedge"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/node/internal/ctxtime"
	"github.com/rosemaryhill/rosemaryhill/node/internal/httpcall"
)

const (
	// maxReserveFailures is the number of failed memory reservations after which a request is placed again
	// without using the retry budget. Each further failure counts as a retry.
	maxReserveFailures = 2
	// minResumeTime is the minimum time left for which a stream is retried on another server.
	minResumeTime = 50 * time.Millisecond
)

// stream is the state of a streamed response to a caller. It belongs to the goroutine of the request: the attempts run in
// goroutines of their own and send it messages.
type stream struct {
	host          *Host
	ctx           context.Context // of the request and its attempts
	w             http.ResponseWriter
	flush         *http.ResponseController
	q             *request
	headerWritten bool // the response header has been written
	race          *hedge.Race
	running       map[hedge.Attempt]*engineAttempt
	messages      chan attemptMessage
	done          chan struct{} // closed when messages are no longer received
	silence       *time.Timer   // fires when the attempts have been silent for too long
	patience      time.Duration // time that silence was last set to; zero if the stream is not watched
	failed        map[ident.BackendID]bool
	// reserveFailures is the number of placements whose memory could not be reserved.
	reserveFailures int
	// otherResponse is a complete response that is not a stream, passed on if no other server succeeds.
	otherResponse *response
	// emptyEnd is the response of an attempt that ended without a new event while another one ran. It completes the stream if
	// that one fails without a further event.
	emptyEnd   *backendResponse
	testsParts bool // the request tests quarantined parts of its prompt
}

// serveStream relays the event stream of an engine. If the engine is lost, the stream is resumed on another
// engine after the last complete event, where the route allows it.
func (h *Host) serveStream(ctx context.Context, w http.ResponseWriter, q *request) *outcome.Error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends attempts that have lost
	st := h.newStream(ctx, w, q)
	defer close(st.done)
	defer st.silence.Stop()
	defer st.endTest()
	last := st.serve()
	if last == nil {
		return nil
	}
	if st.emptyEnd != nil && last.Reason != outcome.Cancelled {
		st.writeHeader(*st.emptyEnd)
		return nil
	}
	if st.otherResponse != nil && !st.headerWritten {
		h.writeResponse(w, st.otherResponse)
		return nil
	}
	if st.mayHandOn(last) {
		e, done := h.handOn(ctx, w, q, st.resumePoint())
		if done && (e == nil || !st.headerWritten) {
			return e
		}
		if done {
			last = e
		}
	}
	last = h.finalError(ctx, q, last)
	if st.headerWritten {
		h.recordEnd(q, last.Kind.String(), string(last.Reason), last)
		abort(st.flush, q.http)
	}
	return last
}

// mayHandOn reports whether the rest of the stream may come from a peer. One that has begun needs an event to go on after.
func (st *stream) mayHandOn(last *outcome.Error) bool {
	return (!st.headerWritten || st.race.Last() >= 0) && st.host.mayHandOn(st.ctx, st.q, last)
}

// resumePoint returns the last event that the caller has of a stream that has begun, else -1.
func (st *stream) resumePoint() int64 {
	if !st.headerWritten {
		return -1
	}
	return st.race.Last()
}

func (h *Host) newStream(ctx context.Context, w http.ResponseWriter, q *request) *stream {
	last := int64(-1)
	if id, err := strconv.ParseInt(q.call.ResumeAfter, 10, 64); err == nil {
		last = id
	}
	st := &stream{
		host: h, ctx: ctx, w: w, flush: http.NewResponseController(w), q: q,
		race: hedge.NewRace(q.route.MaxAttempts, q.route.Repeatable(), last), running: map[hedge.Attempt]*engineAttempt{},
		messages: make(chan attemptMessage), done: make(chan struct{}), failed: map[ident.BackendID]bool{},
		silence: time.NewTimer(time.Hour),
	}
	st.silence.Stop()
	return st
}

// serve runs attempts until the answer is complete or no further attempt is made, and returns the last failure.
func (st *stream) serve() *outcome.Error {
	if e := st.begin(); e != nil {
		return e
	}
	overdue, stop := ctxtime.After(st.ctx, attemptEndTime)
	defer stop()
	for {
		var e *outcome.Error
		ended := false
		select {
		case <-overdue:
			return st.host.attemptsOverdue(st.q)
		case m := <-st.messages:
			if m.end != nil {
				e, ended = st.handleEnd(m.from, *m.end)
			} else {
				e, ended = st.handleEvent(m.from, m.received, m.event)
			}
		case <-st.silence.C:
			st.hedgeSilent()
		}
		if ended {
			return e
		}
	}
}

// begin places an attempt, which may have to wait for an engine, and starts it.
func (st *stream) begin() *outcome.Error {
	a, e := st.place(st.ctx)
	if e != nil {
		return e
	}
	st.start(a)
	return nil
}

// start starts a placed attempt. It continues after the last event that the caller has.
func (st *stream) start(a attempt) {
	h := st.host
	h.state.mu.Lock()
	gaps := h.state.numberings.Gaps(st.q.service, a.server.ID)
	h.state.mu.Unlock()
	x := &engineAttempt{attempt: a, stream: st, id: st.race.Open(gaps), began: h.now(), continues: st.headerWritten}
	if last := st.race.Last(); last >= 0 {
		x.resumeAfter = strconv.FormatInt(last, 10)
	} else {
		x.resumeAfter = st.q.call.ResumeAfter
	}
	x.lastProgress = x.began
	st.running[x.id] = x
	st.q.placement = placementStats{
		engine: a.server.ID, helpers: len(a.choice.Helpers), predictedFirstEvent: a.choice.TimeToFirstEvent, loss: a.choice.Loss,
	}
	st.watch(a.choice.TimeToFirstEvent)
	var ctx context.Context
	ctx, x.cancel = context.WithCancel(st.ctx)
	go x.run(ctx)
}

// handleEvent relays an event, or ends the attempt that sent it. ended is set if the caller can't be reached.
func (st *stream) handleEvent(x *engineAttempt, received backendResponse, ev event) (e *outcome.Error, ended bool) {
	defer ev.memory.release()
	if !st.race.IsOpen(x.id) {
		return nil, false // it has lost
	}
	st.q.mayHaveRun = true
	var raw []byte
	var err error
	if ev.id < 0 {
		raw, err = x.hold(ev.raw)
	} else {
		raw, err = st.accept(x, ev)
	}
	if err != nil {
		x.cancel()
		return st.handleEnd(x, attemptEnd{step: stepAnswer, received: &received, err: err})
	}
	if len(raw) == 0 {
		return nil, false
	}
	e = st.write(received, raw)
	if ev.id >= 0 && st.patience > 0 {
		st.silence.Reset(st.patience) // the time that the caller took to read is no silence of the server
	}
	return e, e != nil
}

// handleEnd handles the end of an attempt. ended is set if the answer is complete or no further attempt is made.
func (st *stream) handleEnd(x *engineAttempt, end attemptEnd) (e *outcome.Error, ended bool) {
	st.q.memory.absorb(end.memory)
	if !st.race.Close(x.id) {
		return nil, false // it has lost
	}
	delete(st.running, x.id)
	e = st.conclude(x, end)
	if e == nil || e.Reason == outcome.Cancelled {
		return e, true
	}
	h := st.host
	h.recordFailedAttempt(st.q, e, end.contextErr != nil, x.events, h.now()-x.lastProgress)
	if st.race.Running() > 0 {
		return nil, false // another attempt may still answer
	}
	return st.retry(e)
}

// retry begins another attempt after the last one has failed, where that is allowed.
func (st *stream) retry(last *outcome.Error) (e *outcome.Error, ended bool) {
	h, q := st.host, st.q
	unsent := last.Step == stepReserve && st.reserveFailures <= maxReserveFailures && st.ctx.Err() == nil
	if !unsent && (q.timeLeft(h.now()) < minResumeTime || !h.mayRetry(st.ctx, q, last)) {
		return last, true
	}
	if st.begin() != nil {
		return last, true
	}
	return nil, false
}

// conclude records what the end of an attempt shows about its servers and returns its failure, nil if the answer is
// complete.
func (st *stream) conclude(x *engineAttempt, end attemptEnd) *outcome.Error {
	h, q, id := st.host, st.q, x.server.ID
	if end.step == stepReserve {
		st.race.Unsent()
		return st.reserveFailed(x, end.err)
	}
	if end.step == stepDial {
		st.race.Unsent()
	}
	q.attempts = st.race.Sent()
	if end.isStream() && end.err == nil && st.race.Holds(x.id) {
		end.err = errNoSuccessor.New("the answer ends after an event that does not follow event %d", st.race.Last())
	}
	if end.isStream() && end.err == nil {
		end.err = httpcall.CheckStreamEnd(end.received.resp, x.events > 0)
		if end.err == nil && x.events == 0 && x.foreign {
			end.err, end.invalid = errNoContinuation, true
		}
	}
	if end.err != nil {
		st.recordBreak(x, end)
	}
	if end.received == nil {
		st.failed[id] = true
		return h.sendFailed(end.contextErr, q, id, end.step, end.err)
	}
	if end.received.reply.NotRun && end.err == nil {
		st.recordRefusal(id, end.received.reply.AtFault)
		return h.rejected(q, id, *end.received)
	}
	q.mayHaveRun = true
	switch {
	case end.err == nil && end.body == nil && x.events == 0 && st.race.Running() > 0:
		st.emptyEnd = end.received
		return backendError(stepAnswer, id, true, errNoEvent)
	case end.err == nil && end.body == nil:
		return st.finish(x, *end.received)
	case end.err == nil:
		st.failed[id] = true
		return st.handleNonStream(x, *end.received, end.body)
	}
	st.failed[id] = true
	if end.invalid {
		return h.invalidResponse(end.contextErr, id, end.err)
	}
	if end.contextErr == nil && st.isFault(end.err) {
		h.excludeServer(id, stepAnswer, end.err)
	}
	return backendError(stepAnswer, id, true, end.err)
}

// recordBreak records a crash of the server if the end of an attempt shows that it broke off.
func (st *stream) recordBreak(x *engineAttempt, end attemptEnd) {
	if end.step == stepDial || end.invalid || end.contextErr != nil || !isBreak(end.err) || st.mayHaveEnded(end.err) {
		return
	}
	st.testsParts = false // the crash is the result of the test
	x.recordCrash(st.host.now())
}

// isFault reports whether the error of an answer is evidence against its server.
func (st *stream) isFault(err error) bool {
	return !st.mayHaveEnded(err) && !errNoSuccessor.Has(err) && !errors.Is(err, errBodyMemory)
}

// mayHaveEnded reports whether a stream that ended with its connection and without a new event may be whole: a resumed one
// may have no event left. Its end is no evidence against the server.
func (st *stream) mayHaveEnded(err error) bool {
	return errors.Is(err, httpcall.ErrNoEvent) && st.race.Last() >= 0
}

// reserveFailed handles a placement whose memory could not be reserved. Nothing has been sent.
func (st *stream) reserveFailed(x *engineAttempt, err error) *outcome.Error {
	st.reserveFailures++
	var refused *reserveError
	if errors.As(err, &refused) {
		st.failed[refused.engine] = true
	}
	st.host.decisions.write(fields{"request": st.q.call.ID, "error": err.Error(), "helpers": len(x.choice.Helpers)}, "memory not reserved")
	return &outcome.Error{
		Kind: outcome.NotRun, Reason: outcome.Overload, Step: stepReserve, Peer: string(x.server.ID), RetryAfter: noBackendRetry, Err: err,
	}
}

// errNoEvent is the error of an attempt beside another one that ended without an event that the caller lacks.
var errNoEvent = Error.New("stream ended without a new event")

// errHelperUnusable is the reason for excluding an engine that another one reported as unusable.
var errHelperUnusable = Error.New("another engine reported it as unusable as a helper")

// recordRefusal excludes the engine that made an attempt fail: the one that refused it, or a helper that it
// names by ID or address. A helper at fault is also excluded for other requests.
func (st *stream) recordRefusal(refused ident.BackendID, atFault string) {
	h := st.host
	s := h.state
	s.mu.Lock()
	faulty, found := s.engines.Find(atFault)
	s.mu.Unlock()
	if !found || faulty == refused {
		st.failed[refused] = true
		return
	}
	st.failed[faulty] = true
	h.excludeServer(faulty, stepSend, errHelperUnusable)
}

// handleNonStream handles a complete response that is not a stream. A failed one, or one beside another attempt, counts only if
// no other attempt succeeds.
func (st *stream) handleNonStream(x *engineAttempt, received backendResponse, body []byte) *outcome.Error {
	a, e := st.host.checkResponse(x.server.ID, received, body, st.host.now()-x.began)
	if e != nil {
		return e
	}
	failed := a.status >= http.StatusInternalServerError
	if st.otherResponse == nil || !failed {
		st.otherResponse = a
	}
	if failed || st.headerWritten || st.race.Running() > 0 {
		return backendError(stepAnswer, x.server.ID, true, Error.New("status %d", a.status))
	}
	st.host.writeResponse(st.w, a)
	return nil
}

func (st *stream) cancelLosers(losers []hedge.Attempt) {
	for _, a := range losers {
		st.running[a].cancel()
		delete(st.running, a)
	}
}
