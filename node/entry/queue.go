package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/core/placement"
)

// queueInterval is the time between two looks at the waiting requests. Slots of some twenty full engines come
// free every 10 ms.
const queueInterval = 10 * time.Millisecond

// attempt is a placed attempt of a stream. Its load is booked until the item ends.
type attempt struct {
	choice placement.Choice
	server catalog.Server
	item   *placement.PlacedRequest
}

// queued is a stream that waits for an engine.
type queued struct {
	stream *stream
	ended  chan queueEnd // holds one
}

// queueEnd is how a wait ended.
type queueEnd struct {
	attempt attempt
	err     *outcome.Error
}

type waitingStream = placement.QueuedRequest[queued]

// place chooses engines for a stream and books its load. A request that would be late, or make others late,
// waits for a better moment.
func (st *stream) place(ctx context.Context) (attempt, *outcome.Error) {
	h, q := st.host, st.q
	now := h.now()
	s := h.state
	s.mu.Lock()
	a, e := st.choose(now)
	if e != nil {
		s.mu.Unlock()
		return a, e
	}
	if q.ran || s.engines.ShouldPlaceNow(a.choice) || !s.engines.MayWait(a.choice) {
		a.item = s.engines.Place(now, a.choice)
		s.mu.Unlock()
		h.changed()
		return a, nil
	}
	w := &waitingStream{
		Value:     queued{stream: st, ended: make(chan queueEnd, 1)},
		Team:      q.team,
		Priority:  q.priority,
		Arrived:   q.arrived,
		Objective: q.arrived + q.route.Objective,
		WaitUntil: placement.WaitUntil(q.arrived, q.deadline-q.arrived),
	}
	s.queue(q.service).Add(w)
	s.mu.Unlock()
	signal(h.queued)
	return st.wait(ctx, w)
}

// wait returns when the request has been placed, refused, or given up by its caller.
func (st *stream) wait(ctx context.Context, w *waitingStream) (a attempt, e *outcome.Error) {
	h := st.host
	began := h.now()
	ctx, span := h.startHop(ctx, stepQueue, "")
	defer func() { endSpan(span, e) }()
	select {
	case end := <-w.Value.ended:
		st.q.waited += h.now() - began
		return end.attempt, end.err
	case <-ctx.Done():
	}
	h.state.mu.Lock()
	defer h.state.mu.Unlock()
	h.state.queue(st.q.service).Remove(w)
	select {
	case end := <-w.Value.ended: // placed at the same moment
		if end.attempt.item != nil {
			h.state.engines.End(h.now(), end.attempt.item)
			h.changed()
		}
	default:
	}
	return attempt{}, outcome.Refuse(stepQueue, outcome.Deadline, "no engine came free in time")
}

// serveQueue places waiting requests as engines come free.
func (h *Host) serveQueue() {
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-h.queued:
		}
		for h.ctx.Err() == nil && h.offerQueue() > 0 {
			// The jitter keeps hosts from all taking the same free slot.
			sleep(h.ctx, queueInterval/2+rand.N(queueInterval))
		}
	}
}

// offerQueue places the waiting requests that an engine can take now and returns how many still wait.
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

// offer places a waiting stream, or declines it as long as it gains by waiting. The state must be locked.
func (h *Host) offer(now time.Duration, w *waitingStream) bool {
	engines := h.state.engines
	a, e := w.Value.stream.choose(now)
	if e == nil {
		if now < w.WaitUntil && !engines.ShouldPlaceNow(a.choice) {
			return false
		}
		a.item = engines.Place(now, a.choice)
		h.changed()
	}
	w.Value.ended <- queueEnd{a, e}
	return true
}
