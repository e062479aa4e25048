package entry

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/node/internal/httpend"
)

const (
	// notReadyRetry is told to callers while no configuration is known; a read of the store takes some ms.
	notReadyRetry = 300 * time.Millisecond
	// noBackendRetry is told to callers when no server could be reached; servers come back within seconds.
	noBackendRetry = 400 * time.Millisecond
	// answerMargin is kept from the route's timeout, so that the final answer arrives within it.
	answerMargin = 25 * time.Millisecond
	// defaultTimeout holds where neither the route nor the caller names one.
	defaultTimeout = 30 * time.Second
	// defaultMaxBody and defaultBodyTime hold where the configuration names no limits.
	defaultMaxBody  = 4 << 20
	defaultBodyTime = 10 * time.Second
)

// request is a caller's request on its way through this host.
type request struct {
	http     *http.Request
	call     Call
	route    *catalog.Route
	service  string
	team     string
	priority int           // of the team, else of the route; 0 is the most urgent
	config   ident.Version // that decided the route and the team
	body     []byte
	arrived  time.Duration
	deadline time.Duration // by the steady clock
	attempts int           // servers that it was sent to
	dials    int           // servers that could not be reached
	ran      bool          // a server may have begun it
	waited   time.Duration // for an engine; streams only
	placed   placed        // the last placement; streams only
}

// placed is what a placement expected and what came of it.
type placed struct {
	engine    ident.BackendID
	helpers   int
	predicted time.Duration // time to the first event
	first     time.Duration // seen, zero when none came
	longest   time.Duration // pause between two events
	loss      float64       // expected loss of worth
}

func (q *request) left(now time.Duration) time.Duration { return q.deadline - now }

// ServeHTTP implements http.Handler for callers.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.running.Add(1)
	defer h.running.Add(-1)
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	q := &request{http: r, call: h.cfg.Dialect.Call(r), arrived: h.now()}
	ctx, span := h.startRequest(q)
	// What the span ends with when a stream that has begun is broken off by a panic.
	e := outcome.Fail(stepAnswer, "", outcome.BackendLost, nil)
	defer func() { endSpan(span, e) }()
	if e = h.answer(ctx, w, q); e != nil {
		h.refuse(w, q, e)
		return
	}
	h.ended(q, outcome.Answered.String(), "", nil)
}

// answer admits a request and answers it. An error means that the caller has got no answer yet.
func (h *Host) answer(ctx context.Context, w http.ResponseWriter, q *request) *outcome.Error {
	if e := h.admit(q); e != nil {
		return e
	}
	if e := h.readBody(w, q); e != nil {
		return e
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(q.left(h.now())-answerMargin))
	defer cancel()
	if q.route.Kind == catalog.Streaming {
		return h.serveStream(ctx, w, q)
	}
	return h.servePlain(ctx, w, q)
}

// admit finds the route, the team and the deadline of a request.
func (h *Host) admit(q *request) *outcome.Error {
	s := h.state
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.catalog.Config()
	if c == nil {
		e := outcome.Refuse("admit", outcome.NotReady, "no configuration is known yet")
		e.RetryAfter = notReadyRetry
		return e
	}
	q.config = c.Version
	q.route = s.catalog.Route(q.http.Host, q.http.URL.Path)
	if q.route == nil {
		return outcome.Refuse("route", outcome.UnknownModel, "no route for this host and path")
	}
	q.priority = q.route.Priority
	if !q.route.Public && s.catalog.HasTeams() {
		team := s.catalog.TeamOf(q.call.Key)
		if team == nil {
			return outcome.Refuse("authenticate", outcome.UnknownTeam, "unknown API key")
		}
		q.team = team.Name
		if team.Priority >= 0 {
			q.priority = team.Priority
		}
	}
	q.service = q.route.Pick(s.rng.Float64())
	limit := defaultTimeout
	if q.route.Timeout > 0 {
		limit = q.route.Timeout
	}
	if q.call.Timeout > 0 {
		limit = min(limit, q.call.Timeout)
	}
	q.deadline = q.arrived + limit
	s.budget(q.service).RecordRequest(q.arrived)
	return nil
}

func (h *Host) readBody(w http.ResponseWriter, q *request) *outcome.Error {
	limit, within := int64(defaultMaxBody), defaultBodyTime
	h.state.mu.Lock()
	if c := h.state.catalog.Config(); c != nil && c.Limits.MaxBodyBytes > 0 {
		limit = c.Limits.MaxBodyBytes
	}
	h.state.mu.Unlock()
	var e *outcome.Error
	q.body, e = httpend.ReadBody(w, q.http, limit, min(within, q.left(h.now())))
	return e
}

// refuse writes the final answer of a request that got none.
func (h *Host) refuse(w http.ResponseWriter, q *request, e *outcome.Error) {
	h.ended(q, e.Kind.String(), string(e.Reason), e)
	if q.http.Context().Err() != nil {
		return // the caller has left
	}
	httpend.Write(w, e, fractionalSeconds)
}

func fractionalSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

// ended writes the line of a request's end and counts it.
func (h *Host) ended(q *request, kind, reason string, cause *outcome.Error) {
	took := h.now() - q.arrived
	h.metrics.end(q, kind, reason, took)
	f := fields{
		"request": q.call.ID, "service": q.service, "team": q.team, "outcome": kind, "attempts": q.attempts,
		"config": uint64(q.config), "took_ms": took.Milliseconds(), "prompt_tokens": q.call.PromptTokens,
	}
	if q.waited > 0 {
		f["waited_ms"] = q.waited.Milliseconds()
	}
	if p := q.placed; p.engine != "" {
		f["engine"], f["helpers"], f["loss"] = p.engine, p.helpers, math.Round(p.loss*1000)/1000
		f["predicted_ms"], f["first_ms"], f["pause_ms"] = p.predicted.Milliseconds(), p.first.Milliseconds(), p.longest.Milliseconds()
	}
	if cause == nil {
		h.decisions.write(f, "request answered")
		return
	}
	f["reason"], f["step"], f["peer"], f["error"] = reason, cause.Step, cause.Peer, cause.Error()
	h.decisions.write(f, "request failed")
}

func splitList(line string) []string {
	parts := strings.Split(line, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}
