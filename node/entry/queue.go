package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/core/placement"
	"github.com/rosemaryhill/rosemaryhill/node/internal/ctxtime"
)

// queueInterval is the mean interval between attempts to place the waiting requests. Across some twenty fully
// loaded engines, a slot becomes free every 10 ms.
const queueInterval = 10 * time.Millisecond

// attempt is a stream's placement on an engine. Its load is accounted for until placed is passed to End.
type attempt struct {
	choice placement.Choice
	server catalog.Server
	placed *placement.PlacedRequest
}

// queueEntry is a stream that waits for an engine.
type queueEntry struct {
	stream *stream
	result chan queueResult // buffered for one result
}

// queueResult is the outcome of a wait: a placement or an error.
type queueResult struct {
	attempt attempt
	err     *outcome.Error
}

type waitingStream = placement.QueuedRequest[queueEntry]

// place chooses engines for a stream and accounts for its load. A request that would miss its objective, or
// make others miss theirs, is queued until an engine is available.
func (st *stream) place(ctx context.Context) (attempt, *outcome.Error) {
	var a attempt
	var w *waitingStream
	var e *outcome.Error
	if closed := st.host.whenOpen(ctx, st.q, func(now time.Duration) { a, w, e = st.placeOrQueue(now) }); closed != nil {
		return attempt{}, closed
	}
	switch {
	case e != nil:
		return attempt{}, e
	case w != nil:
		signal(st.host.queueNonEmpty)
		return st.wait(ctx, w)
	}
	st.host.requestReport()
	return a, nil
}

// placeOrQueue places a stream, or adds it to the queue of its service. The state must be locked.
func (st *stream) placeOrQueue(now time.Duration) (a attempt, w *waitingStream, e *outcome.Error) {
	h, q := st.host, st.q
	s := h.state
	if e := st.checkParts(now); e != nil {
		return attempt{}, nil, e
	}
	if a, e = st.choose(now); e != nil {
		return attempt{}, nil, e
	}
	if q.mayHaveRun || s.engines.ShouldPlaceNow(a.choice) || !s.engines.MayWait(a.choice) {
		a.placed = h.place(now, a.choice)
		return a, nil, nil
	}
	w = &waitingStream{
		Value:     queueEntry{stream: st, result: make(chan queueResult, 1)},
		Team:      q.team,
		Priority:  q.priority,
		Arrived:   q.arrived,
		Objective: q.arrived + q.route.Objective,
		WaitUntil: placement.WaitUntil(q.arrived, q.deadline-q.arrived),
	}
	s.queue(q.service).Add(w)
	return attempt{}, w, nil
}

// wait blocks until the request has been placed, refused, or cancelled by its caller.
func (st *stream) wait(ctx context.Context, w *waitingStream) (a attempt, e *outcome.Error) {
	h := st.host
	began := h.now()
	ctx, span := h.startStepSpan(ctx, stepQueue, "")
	defer func() { endSpan(span, e) }()
	select {
	case end := <-w.Value.result:
		st.q.queueTime += h.now() - began
		return end.attempt, end.err
	case <-ctx.Done():
	}
	h.state.mu.Lock()
	defer h.state.mu.Unlock()
	h.state.queue(st.q.service).Remove(w)
	select {
	case end := <-w.Value.result: // placed concurrently with the cancellation
		if end.attempt.placed != nil {
			h.state.engines.End(h.now(), end.attempt.placed)
			h.requestReport()
		}
	default:
	}
	return attempt{}, outcome.Refuse(stepQueue, outcome.Deadline, "no engine came free in time")
}

// serveQueue places waiting requests as engine slots become free.
func (h *Host) serveQueue() {
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-h.queueNonEmpty:
		}
		for h.ctx.Err() == nil && h.offerQueue() > 0 {
			// The jitter prevents hosts from all taking the same free slot.
			ctxtime.Sleep(h.ctx, queueInterval/2+rand.N(queueInterval))
		}
	}
}

// offerQueue places the waiting requests that an engine can take now and returns the number still waiting.
func (h *Host) offerQueue() (waiting int) {
	now := h.now()
	s := h.state
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, queue := range s.queues {
		queue.Offer(now, func(w *waitingStream) bool { return h.offer(now, w) })
		waiting += queue.Len()
	}
	return waiting
}

// offer tries to place a waiting stream. It returns false while the stream should keep waiting. The state must
// be locked.
func (h *Host) offer(now time.Duration, w *waitingStream) bool {
	engines := h.state.engines
	if e := w.Value.stream.checkParts(now); e != nil {
		w.Value.result <- queueResult{err: e}
		return true
	}
	service := w.Value.stream.q.service
	if next, closed := h.state.nextOpening(now, service, len(h.state.openWaiters[service])); closed {
		if next.at < w.WaitUntil {
			return false
		}
		w.Value.result <- queueResult{err: h.state.refuseClosed(now, service, next)}
		return true
	}
	a, e := w.Value.stream.choose(now)
	if e == nil {
		if now < w.WaitUntil && !engines.ShouldPlaceNow(a.choice) {
			return false
		}
		a.placed = h.place(now, a.choice)
		h.requestReport()
	}
	w.Value.result <- queueResult{a, e}
	return true
}
