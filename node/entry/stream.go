package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/core/placement"
)

const (
	// minStall and maxStall bound the silence beyond a prediction after which an engine counts as lost; in
	// between it is twice the objective. Callers of short requests leave a stream after 2 s without an event,
	// those of long ones after 6 s and more. A long prompt that is given up wrongly is read twice.
	minStall = 900 * time.Millisecond
	maxStall = 3 * time.Second
	// stallShare is added to it in proportion to the prediction, which is less exact for long waits.
	stallShare = 0.5
	// maxReserveFailures bounds the placements that are tried until one has its memory.
	maxReserveFailures = 2
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
	// reserveFailures counts placements whose memory was not free.
	reserveFailures int
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
		a, e := st.place(ctx)
		if e != nil {
			if last == nil {
				last = e
			}
			break
		}
		last = st.try(ctx, a)
		if last == nil {
			return nil
		}
		if last.Step == stepReserve && st.reserveFailures <= maxReserveFailures && ctx.Err() == nil {
			continue // nothing was sent
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

// choose returns the placement that is best now. The state must be locked.
func (st *stream) choose(now time.Duration) (attempt, *outcome.Error) {
	q := st.q
	s := st.host.state
	req := placement.Request{
		PromptTokens: q.call.PromptTokens,
		OutputTokens: q.call.OutputTokens,
		Objective:    placement.ObjectiveLeft(now, q.arrived, q.route.Objective),
		MaxPause:     q.route.MaxPause,
		TimeLeft:     q.left(now),
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
		return attempt{}, e
	}
	if !q.ran && !s.engines.MayWait(choice) {
		if v := s.engines.Admit(now, q.service, choice); !v.Admit {
			e := outcome.Refuse("admit", outcome.Overload, fmt.Sprintf(
				"reading costs others %.1f, earns %.1f; backlog %d ms, first event after %d ms",
				v.Cost, v.Gain, v.Backlog.Milliseconds(), choice.TimeToFirstEvent.Milliseconds()))
			e.RetryAfter = v.RetryAfter
			return attempt{}, e
		}
	}
	for _, srv := range s.catalog.Usable(q.service) {
		if srv.ID == choice.Engine {
			return attempt{choice: choice, server: srv}, nil
		}
	}
	e := outcome.Refuse("place", outcome.NoBackend, "the engine has left")
	e.RetryAfter = noBackendRetry
	return attempt{}, e
}

// try runs a placed attempt until its end or the loss of an engine.
func (st *stream) try(ctx context.Context, a attempt) (failed *outcome.Error) {
	h, q := st.host, st.q
	s := h.state
	choice, srv, item := a.choice, a.server, a.item
	defer func() {
		s.mu.Lock()
		s.engines.End(h.now(), item)
		s.mu.Unlock()
		h.changed()
	}()
	q.placed = placed{engine: srv.ID, helpers: len(choice.Helpers), predicted: choice.TimeToFirstEvent, loss: choice.Loss}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	memory, e := st.reserve(ctx, choice, cancel)
	if e != nil {
		return e
	}
	defer memory.release()
	guard := st.newGuard(cancel, choice.TimeToFirstEvent)
	defer guard.stop()
	f := st.forward(choice, memory)
	began := h.now()
	ctx, span := h.startHop(ctx, stepSend, srv.ID)
	defer func() { endSpan(span, failed) }()
	answer, ran, err := h.send(ctx, q, srv, f)
	if err != nil {
		st.failed[srv.ID] = true
		if guard.fired() {
			h.noteLost(srv.ID, stepSend, errStalled)
		}
		return h.sendFailed(ctx, q, srv.ID, ran, guard.explain(err))
	}
	defer answer.resp.Body.Close()
	q.attempts++
	if answer.reply.NotRun {
		st.blame(srv.ID, answer.reply.AtFault)
		return h.rejected(q, srv.ID, answer)
	}
	q.ran = true
	if answer.resp.StatusCode != http.StatusOK {
		return st.passFailure(ctx, srv.ID, answer, began)
	}
	if !answer.belongs(q) || !answer.reply.Signed {
		st.failed[srv.ID] = true
		return h.answerBroken(ctx, srv.ID, nil)
	}
	if err := st.relay(answer, srv.ID, item, guard, began); err != nil {
		st.failed[srv.ID] = true
		if ctx.Err() == nil || guard.fired() {
			h.noteLost(srv.ID, stepAnswer, guard.explain(err))
		}
		return lost(stepAnswer, srv.ID, true, guard.explain(err))
	}
	return nil
}

// reserve sets aside the memory that the choice needs on its helpers. A failure leaves the request unsent.
func (st *stream) reserve(ctx context.Context, choice placement.Choice, lose context.CancelFunc) (held *reservations, e *outcome.Error) {
	if len(choice.Reservations) == 0 {
		return nil, nil
	}
	ctx, span := st.host.startHop(ctx, stepReserve, "")
	defer func() { endSpan(span, e) }()
	memory, err := st.host.reserve(ctx, choice, lose)
	if err == nil {
		return memory, nil
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

// blame notes which engine made an attempt fail: the one that refused it, or a helper that it names by id or
// address, which then gets no parts from other requests either.
func (st *stream) blame(refused ident.BackendID, atFault string) {
	h := st.host
	s := h.state
	s.mu.Lock()
	culprit, found := s.engines.Find(atFault)
	s.mu.Unlock()
	if !found || culprit == refused {
		st.failed[refused] = true
		return
	}
	st.failed[culprit] = true
	h.noteLost(culprit, stepSend, errHelper)
}

// forward builds what the engine is told.
func (st *stream) forward(choice placement.Choice, memory *reservations) Forward {
	f := Forward{Engine: true, Urgency: urgency(st.q.priority, st.q.route.Objective), ResumeAfter: st.q.call.ResumeAfter}
	if st.lastID >= 0 {
		f.ResumeAfter = strconv.FormatInt(st.lastID, 10)
	}
	s := st.host.state
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range choice.Helpers {
		if a, ok := s.engines.Address(id); ok {
			f.Helpers = append(f.Helpers, Helper{Address: a, Reservation: memory.idFor(id)})
		}
	}
	return f
}

// Urgencies of engines go from 0 to 9. Each priority has three of them, by the latency objective.
const (
	urgenciesPerPriority = 3
	maxUrgency           = 9
	shortObjective       = 500 * time.Millisecond
	mediumObjective      = 2 * time.Second
)

// urgency orders requests for admission to an engine: by the priority of team or route, then short objectives
// first.
func urgency(priority int, objective time.Duration) int {
	u := priority * urgenciesPerPriority
	switch {
	case objective <= shortObjective:
	case objective <= mediumObjective:
		u++
	default:
		u += 2
	}
	return min(maxUrgency, max(0, u))
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
func (st *stream) relay(s sent, id ident.BackendID, item *placement.PlacedRequest, g *guard, began time.Duration) error {
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
			st.q.placed.first = now - began
			h.state.mu.Lock()
			h.state.health.RecordSuccess(id, now-began)
			h.state.engines.MarkStarted(item)
			h.state.mu.Unlock()
		}
		if last != 0 {
			st.q.placed.longest = max(st.q.placed.longest, now-last)
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
	slack  time.Duration
	hit    atomic.Bool
}

// errHelper explains the exclusion of an engine that another one named.
var errHelper = Error.New("another engine could not use it as helper")

// errStalled explains a cancelled attempt.
var errStalled = Error.New("no event within the time that the engine's load explains")

// newGuard starts a guard for the first event. Streams that may not be resumed get none: their only
// server is never left.
func (st *stream) newGuard(cancel context.CancelFunc, predicted time.Duration) *guard {
	g := &guard{
		active: st.q.route.Repeatable() && st.q.attempts+1 < st.q.route.MaxAttempts,
		slack:  min(maxStall, max(minStall, 2*st.q.route.Objective)),
	}
	g.timer = time.AfterFunc(g.patience(predicted), func() {
		if g.active {
			g.hit.Store(true)
			cancel()
		}
	})
	return g
}

func (g *guard) patience(predicted time.Duration) time.Duration {
	return g.slack + predicted + time.Duration(stallShare*float64(predicted))
}

func (g *guard) extend(predicted time.Duration) { g.timer.Reset(g.patience(predicted)) }
func (g *guard) stop()                          { g.timer.Stop() }
func (g *guard) fired() bool                    { return g.hit.Load() }

func (g *guard) explain(err error) error {
	if g.fired() {
		return errStalled
	}
	return err
}
