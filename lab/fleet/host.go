package fleet

import (
	"fmt"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/member"
	"github.com/rosemaryhill/rosemaryhill/core/placement"
	"github.com/rosemaryhill/rosemaryhill/core/serverlimit"
)

const (
	// fullUpdateInterval is the time between two messages with the complete load of a host.
	fullUpdateInterval = 750 * time.Millisecond
	// queueCheckInterval is the mean time between two checks of the waiting requests.
	queueCheckInterval = 10 * time.Millisecond
	// callerRetries is how often a caller retries after a refusal.
	callerRetries = 1
)

// host simulates an entry host, which places the requests of its callers on engines.
type host struct {
	w                   *world
	index               int
	table               *placement.Table
	limits              *serverlimit.Table
	queue               placement.Queue[*request]
	policy              Policy
	queueCheckScheduled bool  // a check of the queue is pending
	updateScheduled     bool  // a message with the changes is pending
	assigned            int   // number of placed requests, for round robin
	ownTokens           []int // prompt tokens of own requests in progress, by engine index
}

// request is an arrival and its progress and outcome.
type request struct {
	arrival
	deadline     time.Duration
	refusals     int           // how often it was refused
	firstEvent   time.Duration // arrival of the first event at the caller, zero for none
	longestPause time.Duration // between two events
	lastEvent    time.Duration
	done         bool // answered completely
	refused      bool // refused for the last time: the caller does not retry
	job          *job
	engine       *engine
	placed       *placement.PlacedRequest
}

func newHost(w *world, i int, policy Policy) *host {
	h := &host{
		w: w, index: i, table: placement.NewTable(), policy: policy, ownTokens: make([]int, len(w.servers)),
		limits: serverlimit.NewTable(serverlimit.Config{Seed: uint64(i + 1)}),
	}
	servers := w.serversOf(h.partition())
	h.table.SetEngines(service, w.runtime, servers)
	others := w.profile.Hosts/w.partitions() - 1
	h.limits.SetHosts(0, others, others)
	for _, s := range servers[:min(w.profile.LimitedEngines, len(servers))] {
		h.limits.Hear(0, s.ID, 0, serverlimit.Statement{Limited: true, PerSecond: w.profile.LimitPerS})
	}
	return h
}

// partition returns the part of the fleet that the host places requests on.
func (h *host) partition() int { return h.index * h.w.partitions() / h.w.profile.Hosts }

func (h *host) owner() placement.Owner { return placement.Owner(fmt.Sprintf("h%d", h.index)) }

// placementRequest returns the properties of a request that its placement depends on.
func (h *host) placementRequest(r *request) placement.Request {
	return placement.Request{
		PromptTokens: r.prompt, OutputTokens: r.kind.Events * h.w.runtime.StepsPerPass,
		Objective: placement.ObjectiveLeft(h.w.Now(), r.at, fromMS(r.kind.ObjectiveMS)), MaxPause: fromMS(r.kind.MaxPauseMS), TimeLeft: r.deadline - h.w.Now(), Returned: r.refusals > 0,
		Excluded: func(id ident.BackendID) bool { return !h.limits.Allows(h.w.Now(), id) },
	}
}

// refuse rejects a request. The caller retries after retryAfter, unless its retries or its time are used up.
func (h *host) refuse(r *request, retryAfter time.Duration) {
	r.refusals++
	if r.refusals > callerRetries || h.w.Now()+retryAfter >= r.deadline {
		r.refused = true
		return
	}
	h.w.After(retryAfter+2*h.w.network(), func() { h.policy.handleArrival(h, r) })
}

// place sends a request to the chosen engines and records its load in the table.
func (h *host) place(r *request, c placement.Choice) {
	w := h.w
	r.placed = h.table.Place(w.Now(), c)
	h.scheduleUpdate()
	for _, id := range append([]ident.BackendID{c.Engine}, c.Helpers...) {
		h.limits.Take(w.Now(), id)
	}
	r.engine = w.byID[c.Engine]
	h.ownTokens[r.engine.index] += r.prompt
	var helpers []*engine
	for _, id := range c.Helpers {
		helpers = append(helpers, w.byID[id])
	}
	r.job = &job{
		prompt: r.prompt, tokens: r.prompt + r.kind.Events*w.runtime.StepsPerPass, events: r.kind.Events,
		onEvent: func(now time.Duration) { h.event(r, c.Engine, now) },
		onEnd:   func(time.Duration) { w.After(w.network(), func() { h.end(r, true) }) },
	}
	w.After(w.network()+fromMS(w.profile.Engine.OverheadMS), func() {
		if r.job != nil {
			r.engine.start(r.job, helpers)
		}
	})
	w.At(r.deadline, func() { h.end(r, false) })
}

// event forwards an event of a request to the caller and records its timing.
func (h *host) event(r *request, id ident.BackendID, now time.Duration) {
	if r.firstEvent == 0 {
		r.firstEvent = now + 2*h.w.network()
		h.table.MarkStarted(r.placed)
	} else {
		h.table.Observe(id, h.table.PassTime(now, id), now-r.lastEvent)
		r.longestPause = max(r.longestPause, now-r.lastEvent)
	}
	r.lastEvent = now
}

// end ends a request, either answered or cancelled at its deadline.
func (h *host) end(r *request, answered bool) {
	if r.job == nil {
		return
	}
	j := r.job
	r.job = nil
	r.done = answered
	h.ownTokens[r.engine.index] -= r.prompt
	if !answered {
		r.engine.cancel(j)
	}
	h.table.End(h.w.Now(), r.placed)
	h.scheduleUpdate()
}

// scheduleUpdate schedules an update with the changed load to the other hosts, unless one is pending.
func (h *host) scheduleUpdate() {
	if h.updateScheduled {
		return
	}
	h.updateScheduled = true
	h.w.After(fromMS(h.w.profile.ExchangeMS), func() {
		h.updateScheduled = false
		h.sendUpdate(false)
	})
}

func (h *host) sendFullUpdates() {
	h.sendUpdate(true)
	h.w.After(fullUpdateInterval, h.sendFullUpdates)
}

func (h *host) sendUpdate(all bool) {
	u, limits := h.table.TakeUpdate(all), h.limits.TakeUpdate(h.w.Now(), all)
	for _, peer := range h.w.hosts {
		if peer == h || peer.partition() != h.partition() || h.w.rng.Float64() < h.w.profile.ExchangeLoss {
			continue
		}
		h.w.After(h.w.network(), func() {
			peer.table.ApplyPeerUpdate(h.w.Now(), h.owner(), u)
			peer.limits.Apply(h.w.Now(), member.Addr(h.owner()), ident.Incarnation(h.index+1), limits)
		})
	}
}

// enqueue adds a request to the host's queue.
func (h *host) enqueue(r *request) {
	h.queue.Add(&placement.QueuedRequest[*request]{
		Value: r, Arrived: r.at, Objective: r.at + fromMS(r.kind.ObjectiveMS),
		WaitUntil: placement.WaitUntil(r.at, fromMS(r.kind.DeadlineMS)),
	})
	h.scheduleQueueCheck()
}

// scheduleQueueCheck schedules a check of the queue, which repeats until the queue is empty.
func (h *host) scheduleQueueCheck() {
	if h.queueCheckScheduled {
		return
	}
	h.queueCheckScheduled = true
	jitter := time.Duration(h.w.rng.Int63n(int64(queueCheckInterval)))
	h.w.After(queueCheckInterval/2+jitter, func() {
		h.queueCheckScheduled = false
		h.queue.Offer(h.w.Now(), func(x *placement.QueuedRequest[*request]) bool { return h.tryPlace(x) })
		if h.queue.Len() > 0 {
			h.scheduleQueueCheck()
		}
	})
}

// tryPlace places or refuses a waiting request. It reports false if the request should keep waiting.
func (h *host) tryPlace(x *placement.QueuedRequest[*request]) bool {
	r := x.Value
	c, ok := h.table.Choose(h.w.Now(), service, h.placementRequest(r))
	switch {
	case !ok:
		h.refuse(r, noCapacityRetryAfter)
	case h.w.Now() < x.WaitUntil && !h.table.ShouldPlaceNow(c):
		return false
	default:
		h.place(r, c)
	}
	return true
}
