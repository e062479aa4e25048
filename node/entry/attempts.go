package entry

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/hedge"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/node/obs"
)

// engineAttempt is an attempt of a stream at an engine. Its goroutine sends the stream what the engine answers; all fields
// after stream belong to the goroutine of the request.
type engineAttempt struct {
	attempt
	stream *stream

	id           hedge.Attempt
	resumeAfter  string // last event that the caller has, empty for none
	continues    bool   // the caller has a part of the stream from another attempt
	cancel       context.CancelFunc
	began        time.Duration
	lastProgress time.Duration // when the request was sent or the last event was received
	events       int
	firstEvent   time.Duration // when the first event was received
	proven       bool          // the server has gone on after it began to answer
	early        []byte        // what came before the first event
	foreign      bool          // something else than events and comments came before the first event
}

// attemptMessage is an event of an attempt, or its end.
type attemptMessage struct {
	from     *engineAttempt
	received backendResponse // with an event
	event    event
	end      *attemptEnd
}

// attemptEnd says how an attempt has ended.
type attemptEnd struct {
	step       string
	received   *backendResponse // nil without a response
	body       []byte           // of a complete response that is not a stream
	memory     share            // of the body
	err        error            // nil for a complete response
	invalid    bool             // the response is no answer to the request
	contextErr error            // of the attempt, when it failed
}

// isStream reports whether the response is a stream.
func (e *attemptEnd) isStream() bool {
	return e.received != nil && !e.invalid && !e.received.reply.NotRun
}

// run runs the attempt until the stream ends or the engine fails.
func (x *engineAttempt) run(ctx context.Context) {
	defer x.cancel()
	end := x.exchange(ctx)
	end.contextErr = ctx.Err()
	x.stream.host.endPlacement(x.placed)
	select {
	case x.stream.messages <- attemptMessage{from: x, end: &end}:
	case <-x.stream.done:
		end.memory.release()
	}
}

// exchange reserves memory, sends the request and relays the response.
func (x *engineAttempt) exchange(ctx context.Context) (end attemptEnd) {
	h, q := x.stream.host, x.stream.q
	held, err := x.reserve(ctx)
	if err != nil {
		return attemptEnd{step: stepReserve, err: err}
	}
	defer held.release()
	ctx, span := h.startStepSpan(ctx, stepSend, x.server.ID)
	defer func() { endAttemptSpan(span, end.received, end.err) }()
	received, ran, err := h.send(ctx, q, x.server, x.forward(held))
	var refused *reserveError
	switch {
	case errors.As(err, &refused): // a helper takes no new work any more
		return attemptEnd{step: stepReserve, err: err}
	case err != nil:
		return attemptEnd{step: sendStep(ran), err: err}
	}
	defer received.resp.Body.Close()
	if err := received.check(q); err != nil {
		return attemptEnd{step: stepAnswer, received: &received, err: err, invalid: true}
	}
	switch {
	case received.reply.NotRun:
		return attemptEnd{step: stepSend, received: &received}
	case received.resp.StatusCode != http.StatusOK:
		end = attemptEnd{step: stepAnswer, received: &received, invalid: true, memory: share{memory: h.bodies}}
		end.body, end.err = readResponse(&end.memory, received.resp)
		return end
	case !received.reply.Signed:
		return attemptEnd{step: stepAnswer, received: &received, err: Error.New("stream without the server's signature"), invalid: true}
	case x.continues && !mayBeStream(received.resp.Header):
		return attemptEnd{step: stepAnswer, received: &received, err: errNoContinuation, invalid: true}
	}
	return attemptEnd{step: stepAnswer, received: &received, err: x.relay(ctx, received)}
}

// sendStep returns the step at which a request without a response has failed. ran is false if nothing has reached the server.
func sendStep(ran bool) string {
	if ran {
		return stepSend
	}
	return stepDial
}

// reserve reserves the memory that the choice needs on its helpers. If it fails, the request has not been sent.
func (x *engineAttempt) reserve(ctx context.Context) (held *reservations, err error) {
	if len(x.choice.Reservations) == 0 {
		return nil, nil
	}
	h := x.stream.host
	ctx, span := h.startStepSpan(ctx, stepReserve, "")
	if held, err = h.reserve(ctx, x.choice, x.cancel); err != nil {
		obs.EndSpan(span, string(outcome.Overload))
		return nil, err
	}
	obs.EndSpan(span, "")
	return held, nil
}

// forward returns the information that is sent to the engine along with the caller's header.
func (x *engineAttempt) forward(reserved *reservations) Forward {
	q := x.stream.q
	f := Forward{Engine: true, Urgency: urgency(q.priority, q.route.Objective), ResumeAfter: x.resumeAfter}
	s := x.stream.host.state
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range x.choice.Helpers {
		if a, ok := s.engines.Address(id); ok {
			f.Helpers = append(f.Helpers, Helper{Address: a, Reservation: reserved.idFor(id), id: id})
		}
	}
	return f
}

// relay sends the stream complete events until the response ends.
func (x *engineAttempt) relay(ctx context.Context, received backendResponse) error {
	events := newEventReader(received.resp.Body, x.stream.host.bodies)
	for {
		ev, err := events.next()
		if err != nil {
			ev.memory.release()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		select {
		case x.stream.messages <- attemptMessage{from: x, received: received, event: ev}:
		case <-ctx.Done(): // cancelled, or the stream has ended
			ev.memory.release()
			return ctx.Err()
		}
	}
}

// errNoContinuation is the error of an answer that the caller can't get as a part of a stream that has begun.
var errNoContinuation = Error.New("the answer does not continue the stream")

// mayBeStream reports whether a response is a stream of events, or does not say what it is.
func mayBeStream(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return h.Get("Content-Type") == "" || (err == nil && mediaType == "text/event-stream")
}

// hold keeps what comes before the first event, or returns it if the attempt has events. Comments and events without an id
// are no progress: a server that sends only these is as good as silent. In the middle of a stream they are left out: they
// may be the text of an error.
func (x *engineAttempt) hold(raw []byte) (relayed []byte, err error) {
	if x.events > 0 {
		return raw, nil
	}
	if x.continues && !x.stream.race.Holds(x.id) {
		x.foreign = x.foreign || !isComment(raw)
		return nil, nil
	}
	return nil, x.keep(raw)
}

// keep adds bytes to those that are relayed with the next event. They count towards the memory of the request.
func (x *engineAttempt) keep(raw []byte) error {
	if x.early = append(x.early, raw...); len(x.early) > maxEvent {
		return Error.New("more than %d bytes before the first event", maxEvent)
	}
	return x.stream.q.memory.takeBeyondFree(len(x.early), len(raw))
}

// attemptEndTime is how long a request waits for the ends of its attempts when its time is over or its caller has left.
const attemptEndTime = 100 * time.Millisecond

// attemptsOverdue ends a request whose attempts have not ended with its context, so that its caller gets an answer in time.
func (h *Host) attemptsOverdue(q *request) *outcome.Error {
	q.mayHaveRun = true
	h.log.WithFields(fields{"request": q.call.ID, "service": q.service}).Error("attempts go on after the end of their request")
	return backendError(stepAnswer, "", true, errAttemptsOverdue)
}

var errAttemptsOverdue = Error.New("attempts did not end with the request")

// Causes of failed attempts, as named in logs and metrics.
const (
	causeUnreachable = "unreachable" // no connection
	causeRefused     = "refused"     // the server states that it did not run the request
	causeCancelled   = "cancelled"   // the caller left, the time was over, or a lease was lost
	causeBroken      = "broken"      // the server broke off or sent something else than an answer
)

// attemptCause returns the cause of a failed attempt. ended reports whether its context had ended.
func attemptCause(e *outcome.Error, ended bool) string {
	switch {
	case e.Step == stepDial:
		return causeUnreachable
	case e.Kind == outcome.NotRun:
		return causeRefused
	case ended:
		return causeCancelled
	}
	return causeBroken
}

// recordFailedAttempt logs and counts an attempt at a server that gave no complete answer. ended reports whether its
// context had ended, and silence is the time since the server was sent the request or sent its last event.
func (h *Host) recordFailedAttempt(q *request, e *outcome.Error, ended bool, events int, silence time.Duration) {
	cause := attemptCause(e, ended)
	h.metrics.attemptsFailed.Add(1, cause)
	h.decisions.write(fields{
		"request": q.call.ID, "server": e.Peer, "step": e.Step, "cause": cause, "events": events,
		"silent_ms": silence.Milliseconds(), "attempts": q.attempts, "config": uint64(q.config), "error": e.Error(),
		"parts": q.call.SharedParts,
	}, "attempt failed")
}

// recordSilent logs and counts a server that has been silent for longer than its load explains. taken says what the host
// does about it.
func (h *Host) recordSilent(q *request, server string, silence time.Duration, taken string) {
	h.metrics.silences.Add(1, taken)
	if silence >= silenceIsFailure {
		h.recordUnreached(q.service, ident.BackendID(server), h.now()-silence)
	}
	h.decisions.write(fields{
		"request": q.call.ID, "server": server, "silent_ms": silence.Milliseconds(), "attempts": q.attempts, "action": taken,
	}, "server silent")
}
