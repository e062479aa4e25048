package fleet

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/placement"
)

// Policy decides whether a host places, queues or refuses a request.
type Policy interface {
	// Name returns the name of the policy in reports.
	Name() string
	// handleArrival decides on a request from a caller, which may be a retry.
	handleArrival(h *host, r *request)
}

// Policies returns all policies: that of entry hosts, the same without its queue, and the baselines.
func Policies() []Policy {
	return []Policy{placementPolicy{queue: true}, placementPolicy{}, roundRobin{}, leastOwnTokens{}}
}

// noCapacityRetryAfter is the retry delay that callers are given when no engine has capacity.
const noCapacityRetryAfter = 400 * time.Millisecond

// placementPolicy is the policy of entry hosts.
type placementPolicy struct {
	queue bool // short requests wait at the host until an engine can serve them better
}

// Name implements Policy.
func (p placementPolicy) Name() string {
	if p.queue {
		return "placement"
	}
	return "placement without queue"
}

func (p placementPolicy) handleArrival(h *host, r *request) {
	c, ok := h.table.Choose(h.w.Now(), service, h.placementRequest(r))
	if !ok {
		h.refuse(r, noCapacityRetryAfter)
		return
	}
	if p.queue && h.table.MayWait(c) {
		if h.table.ShouldPlaceNow(c) {
			h.place(r, c)
		} else {
			h.enqueue(r)
		}
		return
	}
	if v := h.table.Admit(h.w.Now(), service, c); !v.Admit {
		h.refuse(r, v.RetryAfter)
		return
	}
	h.place(r, c)
}

// roundRobin sends each request to the next engine.
type roundRobin struct{}

// Name implements Policy.
func (roundRobin) Name() string { return "round robin" }

func (roundRobin) handleArrival(h *host, r *request) {
	// Hosts start at different engines, since otherwise all of them would use the engines in the same order at once.
	n := h.index*len(h.w.engines)/len(h.w.hosts) + h.assigned
	h.assigned++
	h.place(r, placement.Choice{Engine: h.w.servers[n%len(h.w.servers)].ID})
}

// leastOwnTokens sends each request to the engine with the fewest prompt tokens from this host, as a host does that
// does not know the load of the others.
type leastOwnTokens struct{}

// Name implements Policy.
func (leastOwnTokens) Name() string { return "least own tokens" }

func (leastOwnTokens) handleArrival(h *host, r *request) {
	best, fewest := 0, -1
	for i := range h.w.servers {
		n := (i + h.index*len(h.w.engines)/len(h.w.hosts)) % len(h.w.servers)
		tokens := h.ownTokens[n]
		if fewest < 0 || tokens < fewest {
			best, fewest = n, tokens
		}
	}
	h.place(r, placement.Choice{Engine: h.w.servers[best].ID})
}
