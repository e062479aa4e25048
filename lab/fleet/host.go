package fleet

import (
	"fmt"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/placement"
)

const (
	// fullExchange is the time between two messages with the whole load of a host.
	fullExchange = 750 * time.Millisecond
	// queueInterval is the time between two looks at the waiting requests.
	queueInterval = 10 * time.Millisecond
	// callerRetries is how often a caller comes back after a refusal.
	callerRetries = 1
)

// host emulates an entry host: it places the requests of its callers.
type host struct {
	w        *world
	index    int
	table    *placement.Table
	queue    placement.Queue[*request]
	decide   Policy
	serving  bool // a look at the queue is due
	telling  bool // a message with what changed is due
	assigned int  // requests placed, for policies that take turns
}

// request is what became of an arrival.
type request struct {
	arrival
	deadline time.Duration
	tries    int           // refusals
	first    time.Duration // of the first event at the caller, zero for none
	longest  time.Duration // pause between two events
	last     time.Duration
	done     bool // the whole answer has come
	refused  bool // finally
	job      *job
	engine   *engine
	item     *placement.PlacedRequest
}

func newHost(w *world, i int, policy Policy) *host {
	h := &host{w: w, index: i, table: placement.NewTable(), decide: policy}
	h.table.SetEngines(service, w.runtime, w.servers)
	return h
}

func (h *host) owner() placement.Owner { return placement.Owner(fmt.Sprintf("h%d", h.index)) }

// ask returns what a placement depends on.
func (h *host) ask(r *request) placement.Request {
	return placement.Request{
		PromptTokens: r.prompt, OutputTokens: r.kind.Events * h.w.runtime.StepsPerPass,
		Objective: placement.ObjectiveLeft(h.w.Now(), r.at, fromMS(r.kind.ObjectiveMS)), MaxPause: fromMS(r.kind.MaxPauseMS), TimeLeft: r.deadline - h.w.Now(),
	}
}

// refuse sends a caller away until later.
func (h *host) refuse(r *request, retryAfter time.Duration) {
	r.tries++
	if r.tries > callerRetries || h.w.Now()+retryAfter >= r.deadline {
		r.refused = true
		return
	}
	h.w.After(retryAfter+2*h.w.network(), func() { h.decide.arrive(h, r) })
}

// place sends a request to the chosen engines and books its load.
func (h *host) place(r *request, c placement.Choice) {
	w := h.w
	r.item = h.table.Place(w.Now(), c)
	h.changed()
	r.engine = w.byID[c.Engine]
	var helpers []*engine
	for _, id := range c.Helpers {
		helpers = append(helpers, w.byID[id])
	}
	r.job = &job{
		prompt: r.prompt, tokens: r.prompt + r.kind.Events*w.runtime.StepsPerPass, events: r.kind.Events,
		onEvent: func(now time.Duration) { h.event(r, c.Engine, now) },
		onEnd:   func(time.Duration) { w.After(w.network(), func() { h.end(r, true) }) },
	}
	w.After(w.network()+fromMS(w.profile.Engine.WorkMS), func() {
		if r.job != nil {
			r.engine.start(r.job, helpers)
		}
	})
	w.At(r.deadline, func() { h.end(r, false) })
}

// event passes an event on to the caller.
func (h *host) event(r *request, id ident.BackendID, now time.Duration) {
	if r.first == 0 {
		r.first = now + 2*h.w.network()
		h.table.MarkStarted(r.item)
	} else {
		h.table.Observe(id, h.table.PassTime(now, id), now-r.last)
		r.longest = max(r.longest, now-r.last)
	}
	r.last = now
}

// end takes a request off its engine, with its answer or at its deadline.
func (h *host) end(r *request, answered bool) {
	if r.job == nil {
		return
	}
	j := r.job
	r.job = nil
	r.done = answered
	if !answered {
		r.engine.cancel(j)
	}
	h.table.End(h.w.Now(), r.item)
	h.changed()
}

// changed tells the other hosts soon.
func (h *host) changed() {
	if h.telling {
		return
	}
	h.telling = true
	h.w.After(fromMS(h.w.profile.ExchangeMS), func() {
		h.telling = false
		h.tell(false)
	})
}

func (h *host) exchangeAll() {
	h.tell(true)
	h.w.After(fullExchange, h.exchangeAll)
}

func (h *host) tell(all bool) {
	u := h.table.TakeUpdate(all)
	for _, peer := range h.w.hosts {
		if peer == h || h.w.rng.Float64() < h.w.profile.ExchangeLoss {
			continue
		}
		h.w.After(h.w.network(), func() { peer.table.ApplyPeerUpdate(h.w.Now(), h.owner(), u) })
	}
}

// wait puts a request into the queue.
func (h *host) wait(r *request) {
	h.queue.Add(&placement.QueuedRequest[*request]{
		Value: r, Arrived: r.at, Objective: r.at + fromMS(r.kind.ObjectiveMS),
		WaitUntil: placement.WaitUntil(r.at, fromMS(r.kind.DeadlineMS)),
	})
	h.serveQueue()
}

// serveQueue places waiting requests as engines come free.
func (h *host) serveQueue() {
	if h.serving {
		return
	}
	h.serving = true
	jitter := time.Duration(h.w.rng.Int63n(int64(queueInterval)))
	h.w.After(queueInterval/2+jitter, func() {
		h.serving = false
		h.queue.Offer(h.w.Now(), func(x *placement.QueuedRequest[*request]) bool { return h.offered(x) })
		if h.queue.Len() > 0 {
			h.serveQueue()
		}
	})
}

// offered places a waiting request if it is worth it now.
func (h *host) offered(x *placement.QueuedRequest[*request]) bool {
	r := x.Value
	c, ok := h.table.Choose(h.w.Now(), service, h.ask(r))
	switch {
	case !ok:
		h.refuse(r, noRoomRetry)
	case h.w.Now() < x.WaitUntil && !h.table.ShouldPlaceNow(c):
		return false
	default:
		h.place(r, c)
	}
	return true
}
