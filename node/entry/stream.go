package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/core/placement"
	"github.com/rosemaryhill/rosemaryhill/node/internal/httpcall"
)

const (
	// maxReserveFailures is the number of failed memory reservations after which a request is placed again
	// without using the retry budget. Each further failure counts as a retry.
	maxReserveFailures = 2
	// minResumeTime is the minimum time left for which a stream is retried on another server.
	minResumeTime = 50 * time.Millisecond
)

// stream is the state of a streamed response to a caller.
type stream struct {
	host          *Host
	w             http.ResponseWriter
	flush         *http.ResponseController
	q             *request
	headerWritten bool // the response header has been written
	lastID        int64
	failed        map[ident.BackendID]bool
	// reserveFailures is the number of placements whose memory could not be reserved.
	reserveFailures int
}

// serveStream relays the event stream of an engine. If the engine is lost, the stream is resumed on another
// engine after the last complete event, where the route allows it.
func (h *Host) serveStream(ctx context.Context, w http.ResponseWriter, q *request) *outcome.Error {
	st := &stream{
		host: h, w: w, flush: http.NewResponseController(w), q: q, lastID: -1, failed: map[ident.BackendID]bool{},
	}
	if id, err := strconv.ParseInt(q.call.ResumeAfter, 10, 64); err == nil {
		st.lastID = id
	}
	var last *outcome.Error
	for {
		a, e := st.place(ctx)
		if e != nil {
			if last == nil {
				last = e
			}
			break
		}
		last = st.runAttempt(ctx, a)
		if last == nil {
			return nil
		}
		if last.Step == stepReserve && st.reserveFailures <= maxReserveFailures && ctx.Err() == nil {
			continue // nothing was sent
		}
		if q.timeLeft(h.now()) < minResumeTime || !h.mayRetry(ctx, q, last) {
			break
		}
	}
	last = h.finalError(ctx, q, last)
	if st.headerWritten {
		h.recordEnd(q, last.Kind.String(), string(last.Reason), last)
		abort(st.flush, q.http)
	}
	return last
}

// runAttempt runs a placed attempt until the stream ends or the engine fails.
func (st *stream) runAttempt(ctx context.Context, a attempt) (failed *outcome.Error) {
	h, q := st.host, st.q
	s := h.state
	choice, srv, placed := a.choice, a.server, a.placed
	defer func() {
		s.mu.Lock()
		s.engines.End(h.now(), placed)
		s.mu.Unlock()
		h.requestReport()
	}()
	q.placement = placementStats{engine: srv.ID, helpers: len(choice.Helpers), predictedFirstEvent: choice.TimeToFirstEvent, loss: choice.Loss}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	held, e := st.reserve(ctx, choice, cancel)
	if e != nil {
		return e
	}
	defer held.release()
	stall := st.newStallTimer(cancel, choice.TimeToFirstEvent)
	defer stall.stop()
	f := st.buildForward(choice, held)
	began := h.now()
	ctx, span := h.startStepSpan(ctx, stepSend, srv.ID)
	defer func() { endSpan(span, failed) }()
	received, ran, err := h.send(ctx, q, srv, f)
	if err != nil {
		st.failed[srv.ID] = true
		if stall.fired() {
			h.excludeServer(srv.ID, stepSend, errStalled)
		}
		return h.sendFailed(ctx, q, srv.ID, ran, stall.cause(err))
	}
	defer received.resp.Body.Close()
	q.attempts++
	if err := received.check(q); err != nil {
		q.mayHaveRun = true
		st.failed[srv.ID] = true
		return h.invalidResponse(ctx, srv.ID, err)
	}
	if received.reply.NotRun {
		st.recordRefusal(srv.ID, received.reply.AtFault)
		return h.rejected(q, srv.ID, received)
	}
	q.mayHaveRun = true
	if received.resp.StatusCode != http.StatusOK {
		return st.handleNonStream(ctx, srv.ID, received, began)
	}
	if !received.reply.Signed {
		st.failed[srv.ID] = true
		return h.invalidResponse(ctx, srv.ID, Error.New("stream without the server's signature"))
	}
	if err := st.relay(received, srv.ID, placed, stall, began); err != nil {
		st.failed[srv.ID] = true
		// A resumed stream may have no event left, so that its end is no evidence against the server.
		nothingLeft := errors.Is(err, httpcall.ErrNoEvent) && st.lastID >= 0
		if !nothingLeft && (ctx.Err() == nil || stall.fired()) {
			h.excludeServer(srv.ID, stepAnswer, stall.cause(err))
		}
		return backendError(stepAnswer, srv.ID, true, stall.cause(err))
	}
	return nil
}

// reserve reserves the memory that the choice needs on its helpers. If it fails, the request has not been sent.
func (st *stream) reserve(ctx context.Context, choice placement.Choice, cancelAttempt context.CancelFunc) (held *reservations, e *outcome.Error) {
	if len(choice.Reservations) == 0 {
		return nil, nil
	}
	ctx, span := st.host.startStepSpan(ctx, stepReserve, "")
	defer func() { endSpan(span, e) }()
	reserved, err := st.host.reserve(ctx, choice, cancelAttempt)
	if err == nil {
		return reserved, nil
	}
	st.reserveFailures++
	var refused *reserveError
	if errors.As(err, &refused) {
		st.failed[refused.engine] = true
	}
	st.host.decisions.write(fields{"request": st.q.call.ID, "error": err.Error(), "helpers": len(choice.Helpers)}, "memory not reserved")
	return nil, &outcome.Error{
		Kind: outcome.NotRun, Reason: outcome.Overload, Step: stepReserve, RetryAfter: noBackendRetry, Err: err,
	}
}

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

// buildForward builds the information that is sent to the engine along with the caller's header.
func (st *stream) buildForward(choice placement.Choice, reserved *reservations) Forward {
	f := Forward{Engine: true, Urgency: urgency(st.q.priority, st.q.route.Objective), ResumeAfter: st.q.call.ResumeAfter}
	if st.lastID >= 0 {
		f.ResumeAfter = strconv.FormatInt(st.lastID, 10)
	}
	s := st.host.state
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range choice.Helpers {
		if a, ok := s.engines.Address(id); ok {
			f.Helpers = append(f.Helpers, Helper{Address: a, Reservation: reserved.idFor(id)})
		}
	}
	return f
}

// handleNonStream handles a complete response that is not a stream.
func (st *stream) handleNonStream(ctx context.Context, id ident.BackendID, s backendResponse, began time.Duration) *outcome.Error {
	h, q := st.host, st.q
	st.failed[id] = true
	body, err := readResponse(q, s.resp)
	if err != nil {
		return h.invalidResponse(ctx, id, err)
	}
	a, e := h.checkResponse(q, id, s, body, h.now()-began)
	if e != nil {
		return e
	}
	if st.headerWritten || (a.status >= http.StatusInternalServerError && h.mayRetry(ctx, q, nil)) {
		return backendError(stepAnswer, id, true, Error.New("status %d", a.status))
	}
	writeResponse(st.w, a)
	return nil
}
