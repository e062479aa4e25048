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
	"github.com/rosemaryhill/rosemaryhill/core/quarantine"
	"github.com/rosemaryhill/rosemaryhill/node/internal/httpend"
)

const (
	// notReadyRetry is the retry delay sent to callers while no configuration is known. Reading the store takes
	// a few ms.
	notReadyRetry = 300 * time.Millisecond
	// noBackendRetry is the retry delay sent to callers when no server could be reached or none accepted the
	// request. Servers usually become available again within seconds.
	noBackendRetry = 400 * time.Millisecond
	// responseMargin is subtracted from the request's time, so that the final response arrives before the
	// deadline.
	responseMargin = 25 * time.Millisecond
	// defaultTimeout applies when neither the route nor the caller sets a timeout.
	defaultTimeout = 30 * time.Second
	// defaultMaxBody is the maximum size of a body in bytes when the configuration sets no limit.
	// defaultBodyTime bounds the time for reading a body.
	defaultMaxBody  = 4 << 20
	defaultBodyTime = 10 * time.Second
)

// request is the state of a caller's request on this host.
type request struct {
	http        *http.Request
	call        Call
	route       *catalog.Route
	service     string
	team        string
	priority    int               // of the team or, if it has none, of the route; 0 is the most urgent
	config      ident.Version     // configuration version that determined the route and the team
	parts       []quarantine.Part // keys of the shared parts of the prompt
	body        []byte
	memory      share          // of the host's memory for bodies
	arrived     time.Duration  // of the header; of the whole body where that came during a shutdown
	deadline    time.Duration  // on the clock of Host.now
	stopBound   bool           // the deadline is the end of the shutdown time
	attempts    int            // servers that the request was sent to
	failedDials int            // failed attempts to connect to a server
	mayHaveRun  bool           // a server may have started to process it
	queueTime   time.Duration  // time spent waiting for an engine; streams only
	placement   placementStats // statistics of the last placement; streams only
	caller      callerState
	handover    *handover // what the host says that has handed it on, nil for a request of a caller
	handedTo    string    // peer whose answer the caller gets
}

// placementStats compares a placement's prediction with the observed timing.
type placementStats struct {
	engine              ident.BackendID
	helpers             int
	predictedFirstEvent time.Duration // time to the first event
	firstEvent          time.Duration // observed time to the first event; zero if none came
	longestPause        time.Duration // longest pause between two events
	loss                float64       // expected loss of value across requests, see placement.Choice
}

// returnedShare is the share of a route's timeout below which a caller's remaining time shows that it has waited for a
// retry delay already. Callers count down their time, and grant a first request nearly all of the timeout.
const returnedShare = 0.85

// hasReturned reports whether the caller seems to have been refused before.
func (q *request) hasReturned() bool {
	return q.call.Timeout > 0 && float64(q.call.Timeout) < returnedShare*float64(q.route.Timeout)
}

func (q *request) timeLeft(now time.Duration) time.Duration { return q.deadline - now }

// ServeHTTP implements http.Handler for callers.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.serveRequest(w, r, nil) }

// serveRequest serves a request of a caller, or of another host that has handed it on.
func (h *Host) serveRequest(w http.ResponseWriter, r *http.Request, from *handover) {
	h.running.Add(1)
	defer h.running.Add(-1)
	h.closeWhenStopping(w)
	q := &request{http: r, call: h.cfg.Dialect.Call(r), arrived: h.now(), memory: share{memory: h.bodies}, handover: from}
	if from != nil {
		h.handoversTaken.Add(1)
		defer h.handoversTaken.Add(-1)
		q.takeOver(*from)
	}
	defer q.memory.release()
	ctx, span := h.startRequestSpan(q)
	// The span ends with this error when a panic aborts a stream that has already begun.
	e := outcome.Fail(stepAnswer, "", outcome.BackendLost, nil)
	defer func() { endSpan(span, e) }()
	if e = h.handle(ctx, w, q); e != nil {
		h.writeError(w, q, e)
		return
	}
	h.recordEnd(q, outcome.Answered.String(), "", nil)
}

// takeOver makes the request one that has begun at another host.
func (q *request) takeOver(from handover) {
	q.arrived -= from.elapsed
	if from.resume >= 0 {
		q.call.ResumeAfter = strconv.FormatInt(from.resume, 10)
	}
}

// handle admits a request and serves it. If it returns an error, nothing has been sent to the caller yet.
func (h *Host) handle(ctx context.Context, w http.ResponseWriter, q *request) *outcome.Error {
	if e := h.admit(q); e != nil {
		return e
	}
	if e := h.readBody(w, q); e != nil {
		return e
	}
	if e := h.admitWhole(q); e != nil {
		return e
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(q.timeLeft(h.now())-responseMargin))
	defer cancel()
	defer context.AfterFunc(h.serving, cancel)()
	defer h.watchCaller(q, cancel)()
	if h.isUnreachable(q.service) && h.mayHandOn(ctx, q, nil) {
		if e, done := h.handOn(ctx, w, q, -1); done {
			return e
		}
	}
	if q.route.Kind == catalog.Streaming {
		return h.serveStream(ctx, w, q)
	}
	return h.servePlain(ctx, w, q)
}

// admit determines the route, the team, the service and the deadline of a request.
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
	if e := h.admitHandover(q, c.Version); e != nil {
		return e
	}
	if !isSendable(q.http.URL) {
		return outcome.Refuse("route", outcome.BadRequest, "the path begins with two slashes and has characters that must be encoded")
	}
	q.route = s.catalog.Route(q.http.Host, requestPath(q.http.URL))
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
	if q.handover != nil && q.handover.attempts > 0 {
		rest := *q.route
		rest.MaxAttempts = max(1, rest.MaxAttempts-q.handover.attempts)
		q.route = &rest
	}
	q.service = q.route.Pick(s.rng.Float64())
	q.parts = partKeys(q.service, q.call.SharedParts)
	limit := defaultTimeout
	if q.route.Timeout > 0 {
		limit = q.route.Timeout
	}
	if q.call.Timeout > 0 {
		limit = min(limit, q.call.Timeout)
	}
	q.deadline = q.arrived + limit
	if stop := h.stop.Load(); stop != nil && q.arrived >= stop.listedUntil {
		return h.admitToStopping(q) // a refusal needs no body
	}
	return nil
}

// admitWhole admits a request whose body has arrived. During a shutdown only that moment counts: the header may have come
// long before, when there was still time for an answer.
func (h *Host) admitWhole(q *request) *outcome.Error {
	s := h.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.stopping() {
		q.arrived = h.now()
	}
	if e := h.admitToStopping(q); e != nil {
		return e
	}
	if q.handover == nil { // the host that has handed it on has counted it
		s.budget(q.service).RecordRequest(q.arrived)
	}
	return nil
}

// timeForBody returns the time in which the body of a request must arrive.
func (h *Host) timeForBody(q *request) time.Duration {
	end := q.deadline
	if stop := h.stop.Load(); stop != nil {
		end = min(end, stop.end)
	}
	return min(defaultBodyTime, end-h.now())
}

func (h *Host) readBody(w http.ResponseWriter, q *request) *outcome.Error {
	limit := int64(defaultMaxBody)
	h.state.mu.Lock()
	if c := h.state.catalog.Config(); c != nil && c.Limits.MaxBodyBytes > 0 {
		limit = c.Limits.MaxBodyBytes
	}
	h.state.mu.Unlock()
	var e *outcome.Error
	q.http.Body = q.memory.body(q.http.Body)
	q.body, e = httpend.ReadBody(w, q.http, limit, h.timeForBody(q))
	if e != nil && q.memory.exhausted {
		e = outcome.Refuse("read_body", outcome.Overload, errBodyMemory.Error())
		e.RetryAfter = noBackendRetry
	}
	return e
}

// writeError records the failure of a request and writes the error response.
func (h *Host) writeError(w http.ResponseWriter, q *request, e *outcome.Error) {
	h.explainPlacement(q, e)
	h.recordEnd(q, e.Kind.String(), string(e.Reason), e)
	h.closeWhenStopping(w)
	if x, ok := w.(*handoverWriter); ok {
		x.end = peerEnd{kind: e.Kind, reason: e.Reason, step: e.Step}
	}
	// The caller may only have closed its side of the connection. Without a response net/http would send an empty success.
	httpend.WriteError(w, e, fractionalSeconds)
}

func fractionalSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

// recordEnd logs the outcome of a request and updates the metrics.
func (h *Host) recordEnd(q *request, kind, reason string, cause *outcome.Error) {
	duration := h.now() - q.arrived
	h.metrics.recordRequest(q, kind, reason, duration)
	f := fields{
		"request": q.call.ID, "service": q.service, "team": q.team, "outcome": kind, "attempts": q.attempts,
		"config": uint64(q.config), "took_ms": duration.Milliseconds(), "prompt_tokens": q.call.PromptTokens,
	}
	if q.queueTime > 0 {
		f["waited_ms"] = q.queueTime.Milliseconds()
	}
	if p := q.placement; p.engine != "" {
		f["engine"], f["helpers"], f["loss"] = p.engine, p.helpers, math.Round(p.loss*1000)/1000
		f["predicted_ms"], f["first_ms"], f["pause_ms"] = p.predictedFirstEvent.Milliseconds(), p.firstEvent.Milliseconds(), p.longestPause.Milliseconds()
	}
	q.logHandover(f)
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
