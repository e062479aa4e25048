package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/core/placement"
)

// answer is a server's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// Limits of the time that one server has for an idempotent request before another one is asked, as
// multiples and bounds of its usual answer time.
const (
	patienceFactor = 6
	minPatience    = 350 * time.Millisecond
	maxPatience    = 1200 * time.Millisecond
)

// maxDials is the number of servers that may turn out unreachable for one request. A host that reaches none of
// them is cut off itself, and its callers are better served elsewhere.
const maxDials = 3

// servePlain serves a request to a plain service. Non-idempotent requests are sent once; only a server
// that was never reached may be followed by another.
func (h *Host) servePlain(ctx context.Context, w http.ResponseWriter, q *request) *outcome.Error {
	tried := map[ident.BackendID]bool{}
	var last *outcome.Error
	var kept *answer // a complete failure of a server, for when nothing better comes
	for {
		srv, ok := h.choosePlain(q, tried)
		if !ok {
			break
		}
		tried[srv.ID] = true
		a, e := h.tryPlain(ctx, q, srv)
		if e == nil && a.status < http.StatusInternalServerError {
			writeAnswer(w, a)
			return nil
		}
		if e == nil {
			kept = a
		}
		last = e
		if !h.mayRepeat(ctx, q, e) {
			break
		}
	}
	if kept != nil {
		writeAnswer(w, kept)
		return nil
	}
	return h.final(ctx, q, last)
}

// final turns the last failure of a request into its end.
func (h *Host) final(ctx context.Context, q *request, last *outcome.Error) *outcome.Error {
	if last == nil {
		last = outcome.Refuse("place", outcome.NoBackend, "no server of "+q.service+" is usable")
		last.RetryAfter = noBackendRetry
	}
	switch {
	case q.http.Context().Err() != nil:
		last.Reason = outcome.Cancelled
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		last.Reason = outcome.Deadline
	}
	if q.ran {
		last.Kind = outcome.MayHaveRun
	}
	if last.Kind == outcome.NotRun && last.RetryAfter == 0 {
		last.RetryAfter = noBackendRetry
	}
	return last
}

// mayRepeat decides whether the request may go to another server after a failure. A nil failure is a
// complete answer that says that the server failed.
func (h *Host) mayRepeat(ctx context.Context, q *request, e *outcome.Error) bool {
	if ctx.Err() != nil {
		return false
	}
	if e != nil && e.Step == stepDial {
		q.dials++ // nothing was sent, so it counts neither as an attempt nor as a repeat
		return q.dials < maxDials
	}
	notRun := e != nil && e.Kind == outcome.NotRun
	if !notRun && !q.route.Repeatable() {
		return false
	}
	if q.attempts >= max(1, q.route.MaxAttempts) {
		return false
	}
	s := h.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allowRepeat(h.now(), q.service)
}

func (h *Host) choosePlain(q *request, tried map[ident.BackendID]bool) (catalog.Server, bool) {
	now := h.now()
	s := h.state
	s.mu.Lock()
	defer s.mu.Unlock()
	evidence := func(honourExclusion bool) func(ident.BackendID) placement.ServerHealth {
		return func(id ident.BackendID) placement.ServerHealth {
			return placement.ServerHealth{
				Excluded:    tried[id] || (honourExclusion && s.health.Excluded(now, id)),
				FailureRate: s.health.FailureRate(id),
				AnswerTime:  s.health.AnswerTime(id),
			}
		}
	}
	usable := s.catalog.Usable(q.service)
	srv, ok := s.plain.Choose(now, usable, evidence(true), s.rng.Float64())
	if !ok {
		// All are excluded: a wrong verdict on all servers must not refuse every request.
		srv, ok = s.plain.Choose(now, usable, evidence(false), s.rng.Float64())
	}
	if ok {
		s.plain.Begin(srv.ID)
	}
	return srv, ok
}

// Steps at which a request can fail.
const (
	stepQueue   = "queue"
	stepDial    = "dial"
	stepReserve = "reserve"
	stepSend    = "send"
	stepAnswer  = "answer"
)

// tryPlain sends a request to one server and reads the whole answer.
func (h *Host) tryPlain(ctx context.Context, q *request, srv catalog.Server) (a *answer, e *outcome.Error) {
	began := h.now()
	ctx, span := h.startHop(ctx, stepSend, srv.ID)
	defer func() { endSpan(span, e) }()
	ctx, cancel := h.withPatience(ctx, q, srv.ID)
	defer cancel()
	defer func() {
		h.state.mu.Lock()
		h.state.plain.End(srv.ID)
		h.state.mu.Unlock()
	}()
	s, ran, err := h.send(ctx, q, srv, Forward{})
	if err != nil {
		return nil, h.sendFailed(ctx, q, srv.ID, ran, err)
	}
	defer s.resp.Body.Close()
	if s.reply.NotRun {
		q.attempts++
		return nil, h.rejected(q, srv.ID, s)
	}
	q.attempts++
	q.ran = true
	body, err := readAnswer(s.resp)
	if err != nil || !s.belongs(q) {
		return nil, h.answerBroken(ctx, srv.ID, err)
	}
	return h.judge(q, srv.ID, s, body, h.now()-began)
}

// withPatience bounds the time of one server for an idempotent request, so that time is left for another.
func (h *Host) withPatience(ctx context.Context, q *request, id ident.BackendID) (context.Context, context.CancelFunc) {
	if !q.route.Repeatable() || q.attempts+1 >= q.route.MaxAttempts {
		return context.WithCancel(ctx)
	}
	h.state.mu.Lock()
	usual := h.state.health.AnswerTime(id)
	h.state.mu.Unlock()
	patience := min(maxPatience, max(minPatience, patienceFactor*usual))
	return context.WithTimeout(ctx, patience)
}

// sendFailed records a request that got no answer at all.
func (h *Host) sendFailed(ctx context.Context, q *request, id ident.BackendID, ran bool, err error) *outcome.Error {
	step := stepDial
	if ran {
		step = stepSend
		q.attempts++
		q.ran = true
	}
	h.noteFailure(ctx, id, step, err)
	return lost(step, id, ran, err)
}

// noteFailure records a failed send as evidence. The end of the request's own time, or of the caller's
// patience, says little about the server: routes may have short timeouts.
func (h *Host) noteFailure(ctx context.Context, id ident.BackendID, step string, err error) {
	if ctx.Err() == nil {
		h.noteLost(id, step, err)
		return
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		h.state.mu.Lock()
		h.state.health.RecordFailure(id)
		h.state.mu.Unlock()
	}
}

// noteLost excludes a server that could not be reached or broke off.
func (h *Host) noteLost(id ident.BackendID, step string, err error) {
	now := h.now()
	s := h.state
	s.mu.Lock()
	already := s.health.Excluded(now, id)
	s.health.RecordUnavailable(now, id)
	s.mu.Unlock()
	if !already {
		h.log.WithFields(fields{"server": id, "step": step, "error": err.Error()}).Warn("server excluded")
	}
}

// rejected turns a server's refusal before running into an error.
func (h *Host) rejected(q *request, id ident.BackendID, s sent) *outcome.Error {
	h.metrics.rejected.Add(1, q.service)
	h.decisions.write(fields{
		"request": q.call.ID, "server": id, "status": s.resp.StatusCode, "at_fault": s.reply.AtFault,
		"helpers": q.placed.helpers, "prompt_tokens": q.call.PromptTokens,
	}, "server refused request")
	e := &outcome.Error{
		Kind: outcome.NotRun, Reason: outcome.Overload, Step: stepSend, Peer: string(id), RetryAfter: noBackendRetry,
		Detail: "the server refused the request: status " + strconv.Itoa(s.resp.StatusCode),
	}
	return e
}

func (h *Host) answerBroken(ctx context.Context, id ident.BackendID, err error) *outcome.Error {
	if err == nil {
		err = Error.New("answer to another request")
	}
	if ctx.Err() == nil {
		h.state.mu.Lock()
		h.state.health.RecordFailure(id)
		h.state.mu.Unlock()
	}
	return lost(stepAnswer, id, true, err)
}

// judge accepts a complete answer, or turns one that must not be passed on into an error.
func (h *Host) judge(q *request, id ident.BackendID, s sent, body []byte, took time.Duration) (*answer, *outcome.Error) {
	status := s.resp.StatusCode
	h.state.mu.Lock()
	if status >= http.StatusInternalServerError {
		h.state.health.RecordFailure(id)
	} else {
		h.state.health.RecordSuccess(id, took)
	}
	if l := s.reply.Load; l != nil {
		h.state.plain.Report(h.now(), id, placement.ServerLoad(*l))
	}
	h.state.mu.Unlock()
	if promisesNotRun(status) || (status < http.StatusMultipleChoices && !s.reply.Signed) {
		return nil, lost(stepAnswer, id, true, Error.New("status %d without the server's word for it", status))
	}
	return &answer{status: status, header: s.resp.Header, body: body}, nil
}

// promisesNotRun tells which statuses say to the caller that a request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func writeAnswer(w http.ResponseWriter, a *answer) {
	copyHeader(w.Header(), a.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body) // a caller that has left needs no handling
}
