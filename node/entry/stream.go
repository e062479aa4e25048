package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/core/placement"
)

const (
	// stallSlack is the silence beyond a prediction after which an engine counts as lost. Predictions miss
	// by a few passes; callers leave a stream after 2 s without an event.
	stallSlack = 900 * time.Millisecond
	// stallShare is added to it in proportion to the prediction, which is less exact for long waits.
	stallShare = 0.5
	// resumeFloor is the time that must be left for a stream to be worth another server.
	resumeFloor = 50 * time.Millisecond
)

// stream is a streamed answer on its way to the caller.
type stream struct {
	host   *Host
	w      http.ResponseWriter
	flush  *http.ResponseController
	q      *request
	begun  bool // the header has been written
	lastID int64
	failed map[ident.BackendID]bool
}

// serveStream relays the stream of an engine. After a loss it goes on at another engine behind the last
// whole event, where the route allows it.
func (h *Host) serveStream(ctx context.Context, w http.ResponseWriter, q *request) *outcome.Error {
	st := &stream{
		host: h, w: w, flush: http.NewResponseController(w), q: q, lastID: -1, failed: map[ident.BackendID]bool{},
	}
	if id, err := strconv.ParseInt(q.call.ResumeAfter, 10, 64); err == nil {
		st.lastID = id
	}
	var last *outcome.Error
	for {
		choice, srv, e := st.place()
		if e != nil {
			if last == nil {
				last = e
			}
			break
		}
		last = st.try(ctx, choice, srv)
		if last == nil {
			return nil
		}
		if q.left(h.now()) < resumeFloor || !h.mayRepeat(ctx, q, last) {
			break
		}
	}
	last = h.final(ctx, q, last)
	if st.begun {
		h.ended(q, last.Kind.String(), string(last.Reason), last)
		// A stream that ends early must not look complete: the connection is broken off.
		panic(http.ErrAbortHandler)
	}
	return last
}

// place chooses the engines.
func (st *stream) place() (placement.Choice, catalog.Server, *outcome.Error) {
	h, q := st.host, st.q
	now := h.now()
	s := h.state
	s.mu.Lock()
	defer s.mu.Unlock()
	req := placement.Request{
		PromptTokens: q.call.PromptTokens,
		OutputTokens: q.call.OutputTokens,
		Objective:    q.route.Objective - (now - q.arrived),
		MaxPause:     q.route.MaxPause,
		Left:         q.left(now),
		Excluded:     func(id ident.BackendID) bool { return st.failed[id] || s.health.Excluded(now, id) },
	}
	choice, ok := s.engines.Choose(now, q.service, req)
	if !ok {
		req.Excluded = func(id ident.BackendID) bool { return st.failed[id] }
		choice, ok = s.engines.Choose(now, q.service, req)
	}
	if !ok {
		e := outcome.Refuse("place", outcome.Overload, "no engine has room")
		e.RetryAfter = noBackendRetry
		return choice, catalog.Server{}, e
	}
	for _, srv := range s.catalog.Usable(q.service) {
		if srv.ID == choice.Engine {
			return choice, srv, nil
		}
	}
	e := outcome.Refuse("place", outcome.NoBackend, "the engine has left")
	e.RetryAfter = noBackendRetry
	return choice, catalog.Server{}, e
}

// try runs the request on the chosen engines until its end or their loss.
func (st *stream) try(ctx context.Context, choice placement.Choice, srv catalog.Server) *outcome.Error {
	h, q := st.host, st.q
	s := h.state
	s.mu.Lock()
	f := Forward{Engine: true, Urgency: urgency(q.route), ResumeAfter: q.call.ResumeAfter}
	if st.lastID >= 0 {
		f.ResumeAfter = strconv.FormatInt(st.lastID, 10)
	}
	for _, id := range choice.Helpers {
		if a, ok := s.engines.Address(id); ok {
			f.Helpers = append(f.Helpers, Helper{Address: a})
		}
	}
	item := s.engines.Place(h.now(), choice)
	s.mu.Unlock()
	h.changed()
	defer func() {
		s.mu.Lock()
		s.engines.End(item)
		s.mu.Unlock()
		h.changed()
	}()
	h.log.WithFields(fields{
		"request": q.call.ID, "engine": srv.ID, "helpers": len(f.Helpers), "prompt_tokens": q.call.PromptTokens,
		"predicted_ms": choice.First.Milliseconds(), "loss": choice.Loss, "attempt": q.attempts + 1,
	}).Debug("placed")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	guard := st.newGuard(cancel, choice.First)
	defer guard.stop()
	began := h.now()
	answer, ran, err := h.send(ctx, q, srv, f)
	if err != nil {
		st.failed[srv.ID] = true
		return h.sendFailed(ctx, q, srv.ID, ran, guard.explain(err))
	}
	defer answer.resp.Body.Close()
	q.attempts++
	if answer.reply.NotRun {
		st.failed[srv.ID] = true
		return h.rejected(q, srv.ID, answer)
	}
	q.ran = true
	if answer.resp.StatusCode != http.StatusOK {
		return st.passFailure(ctx, srv.ID, answer, began)
	}
	if !answer.belongs(q) || !answer.reply.Sealed {
		st.failed[srv.ID] = true
		return h.answerBroken(ctx, srv.ID, nil)
	}
	if err := st.relay(answer, srv.ID, guard, began, choice.First); err != nil {
		st.failed[srv.ID] = true
		if q.http.Context().Err() == nil && ctx.Err() == nil || guard.fired() {
			h.noteLost(srv.ID, stepAnswer, guard.explain(err))
		}
		return lost(stepAnswer, srv.ID, true, guard.explain(err))
	}
	return nil
}

// urgency maps the route's objectives to the engines' priorities, so that short requests are admitted
// before long ones.
func urgency(r *catalog.Route) int {
	switch {
	case r.Objective <= 500*time.Millisecond:
		return 2
	case r.Objective <= 2*time.Second:
		return 4
	default:
		return 6
	}
}

// passFailure handles a complete answer that is no stream.
func (st *stream) passFailure(ctx context.Context, id ident.BackendID, s sent, began time.Duration) *outcome.Error {
	h, q := st.host, st.q
	st.failed[id] = true
	body, err := readAnswer(s.resp)
	if err != nil || !s.belongs(q) {
		return h.answerBroken(ctx, id, err)
	}
	a, e := h.judge(q, id, s, body, h.now()-began)
	if e != nil {
		return e
	}
	if st.begun || (a.status >= http.StatusInternalServerError && h.mayRepeat(ctx, q, nil)) {
		return lost(stepAnswer, id, true, Error.New("status %d", a.status))
	}
	writeAnswer(st.w, a)
	return nil
}

// relay passes whole events on, in order and once.
func (st *stream) relay(s sent, id ident.BackendID, g *guard, began, predicted time.Duration) error {
	h := st.host
	events := newEventReader(s.resp.Body)
	last := time.Duration(0)
	for {
		ev, err := events.next()
		if errors.Is(err, io.EOF) {
			return st.complete(s)
		}
		if err != nil {
			return err
		}
		now := h.now()
		pass := st.observe(id, now, last)
		g.extend(pass)
		if last == 0 {
			h.metrics.first(st.q, now-st.q.arrived)
			h.state.mu.Lock()
			h.state.health.Answered(id, now-began)
			h.state.mu.Unlock()
		}
		last = now
		if ev.id >= 0 && ev.id <= st.lastID {
			continue // the caller has this event already
		}
		if ev.id >= 0 && st.lastID >= 0 && ev.id != st.lastID+1 {
			return Error.New("event %d follows event %d", ev.id, st.lastID)
		}
		if err := st.write(s, ev); err != nil {
			return err
		}
	}
}

// observe compares a pause with its prediction and returns the prediction of the next one.
func (st *stream) observe(id ident.BackendID, now, last time.Duration) time.Duration {
	s := st.host.state
	s.mu.Lock()
	defer s.mu.Unlock()
	pass := s.engines.PassTime(now, id)
	if last != 0 {
		s.engines.Observe(id, pass, now-last)
	}
	return pass
}

// write passes one event on. The first one brings the header of its server, which holds for the whole
// answer.
func (st *stream) write(s sent, ev event) error {
	if !st.begun {
		copyHeader(st.w.Header(), s.resp.Header)
		st.w.Header().Del("Content-Length")
		st.w.WriteHeader(s.resp.StatusCode)
		st.begun = true
	}
	if _, err := st.w.Write(ev.raw); err != nil {
		return err
	}
	if ev.id >= 0 {
		st.lastID = ev.id
	}
	return st.flush.Flush()
}

// complete ends a stream that its server has ended in order.
func (st *stream) complete(s sent) error {
	if st.begun {
		return nil
	}
	// A stream without events: the caller held all of them already.
	copyHeader(st.w.Header(), s.resp.Header)
	st.w.WriteHeader(s.resp.StatusCode)
	st.begun = true
	return nil
}

// guard ends an attempt whose engine stays silent for too long.
type guard struct {
	timer  *time.Timer
	active bool
	hit    atomic.Bool
}

// errStalled explains a cancelled attempt.
var errStalled = Error.New("no event within the time that the engine's load explains")

// newGuard starts a guard for the first event. Streams that may not be resumed get none: their only
// server is never left.
func (st *stream) newGuard(cancel context.CancelFunc, predicted time.Duration) *guard {
	g := &guard{active: st.q.route.Repeatable() && st.q.attempts+1 < st.q.route.MaxAttempts}
	g.timer = time.AfterFunc(patience(predicted), func() {
		if g.active {
			g.hit.Store(true)
			cancel()
		}
	})
	return g
}

func patience(predicted time.Duration) time.Duration {
	return stallSlack + predicted + time.Duration(stallShare*float64(predicted))
}

func (g *guard) extend(predicted time.Duration) { g.timer.Reset(patience(predicted)) }
func (g *guard) stop()                          { g.timer.Stop() }
func (g *guard) fired() bool                    { return g.hit.Load() }

func (g *guard) explain(err error) error {
	if g.fired() {
		return errStalled
	}
	return err
}
