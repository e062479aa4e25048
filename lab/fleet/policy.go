package fleet

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/placement"
)

// Policy decides what becomes of a request that reaches a host.
type Policy interface {
	// Name is how the policy is called in reports.
	Name() string
	// arrive decides on a request from a caller, which comes for the first time or again.
	arrive(h *host, r *request)
}

// Policies returns all policies: the product's, the same without its queue, and baselines.
func Policies() []Policy {
	return []Policy{product{queue: true}, product{}, takeTurns{}, ownCounts{}}
}

// noRoomRetry is told to callers when no engine has room.
const noRoomRetry = 400 * time.Millisecond

// product is what entry hosts do.
type product struct {
	queue bool // short requests wait at the host for a better moment
}

// Name implements Policy.
func (p product) Name() string {
	if p.queue {
		return "placement"
	}
	return "placement without queue"
}

func (p product) arrive(h *host, r *request) {
	c, ok := h.table.Choose(h.w.Now(), service, h.ask(r))
	if !ok {
		h.refuse(r, noRoomRetry)
		return
	}
	if p.queue && h.table.MayWait(c) {
		if h.table.ShouldPlaceNow(c) {
			h.place(r, c)
		} else {
			h.wait(r)
		}
		return
	}
	if v := h.table.Admit(h.w.Now(), service, c); !v.Admit {
		h.refuse(r, v.RetryAfter)
		return
	}
	h.place(r, c)
}

// takeTurns gives each request to the next engine.
type takeTurns struct{}

// Name implements Policy.
func (takeTurns) Name() string { return "round robin" }

func (takeTurns) arrive(h *host, r *request) {
	// Hosts begin at different engines, or all of them would take the same turns.
	n := h.index*len(h.w.engines)/len(h.w.hosts) + h.assigned
	h.assigned++
	h.place(r, placement.Choice{Engine: h.w.servers[n%len(h.w.servers)].ID})
}

// ownCounts gives each request to the engine that has the fewest prompt tokens of this host, as a host does
// that knows nothing of the others.
type ownCounts struct{}

// Name implements Policy.
func (ownCounts) Name() string { return "least own tokens" }

func (ownCounts) arrive(h *host, r *request) {
	best, fewest := 0, -1
	for i := range h.w.servers {
		n := (i + h.index*len(h.w.engines)/len(h.w.hosts)) % len(h.w.servers)
		tokens := 0
		for _, other := range h.w.requests {
			if other.job != nil && other.host == h.index && other.engine.index == n {
				tokens += other.prompt
			}
		}
		if fewest < 0 || tokens < fewest {
			best, fewest = n, tokens
		}
	}
	h.place(r, placement.Choice{Engine: h.w.servers[best].ID})
}
