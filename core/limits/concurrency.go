package limits

import (
	"container/heap"
	"time"
)

// ConcurrencyConfig sets up a concurrency limiter. A zero field takes the default in brackets.
type ConcurrencyConfig struct {
	Initial int // initial limit of calls in flight [32]
	Min     int // the limit never falls below this, so that a recovery of the server is detected [1]
	Max     int // the limit never rises above this [256]
	// HoldDown is the time after a reduction during which further failures do not reduce the limit
	// again, because they belong to the same incident [100 ms].
	HoldDown time.Duration
}

// Result is the outcome of the call that a permit was used for.
type Result uint8

// Results.
const (
	Success Result = iota // raises the limit
	Failure               // halves the limit
	Neutral               // leaves the limit as it is, for example a cancellation by the caller
)

// Lease identifies the permit for one call. The zero Lease is never issued.
type Lease uint64

// Concurrency limits the calls in flight to one backend server by additive increase and multiplicative
// decrease: a failure halves the limit, and as many successes as the limit has permits raise it by one. A
// permit is a lease that expires, so a permit that is never released holds capacity only until its expiry.
type Concurrency struct {
	cfg           ConcurrencyConfig
	limit         float64
	lastReduction time.Duration
	reduced       bool
	next          Lease
	held          map[Lease]struct{}
	expiry        leaseHeap
}

// NewConcurrency returns a limiter.
func NewConcurrency(cfg ConcurrencyConfig) *Concurrency {
	if cfg.Initial == 0 {
		cfg.Initial = 32
	}
	if cfg.Min == 0 {
		cfg.Min = 1
	}
	if cfg.Max == 0 {
		cfg.Max = 256
	}
	if cfg.HoldDown == 0 {
		cfg.HoldDown = 100 * time.Millisecond
	}
	initial := float64(min(max(cfg.Initial, cfg.Min), cfg.Max))
	return &Concurrency{cfg: cfg, limit: initial, held: map[Lease]struct{}{}}
}

// Acquire takes a permit that expires at the given time. ok is false if the limit is reached.
func (c *Concurrency) Acquire(now, expires time.Duration) (lease Lease, ok bool) {
	c.expire(now)
	if len(c.held) >= int(c.limit) {
		return 0, false
	}
	c.next++
	c.held[c.next] = struct{}{}
	heap.Push(&c.expiry, leaseEnd{lease: c.next, at: expires})
	return c.next, true
}

// Release returns a permit. The result adjusts the limit even if the permit is expired or unknown.
func (c *Concurrency) Release(now time.Duration, l Lease, r Result) {
	delete(c.held, l)
	c.expire(now)
	switch r {
	case Success:
		c.limit = min(c.limit+1/c.limit, float64(c.cfg.Max))
	case Failure:
		if !c.reduced || now-c.lastReduction >= c.cfg.HoldDown {
			c.limit = max(c.limit/2, float64(c.cfg.Min))
			c.lastReduction, c.reduced = now, true
		}
	}
}

// Free returns the number of permits that Acquire would grant.
func (c *Concurrency) Free(now time.Duration) int {
	c.expire(now)
	return max(0, int(c.limit)-len(c.held))
}

// Limit returns the current limit.
func (c *Concurrency) Limit() int { return int(c.limit) }

// InFlight returns the number of permits that are held and have not expired.
func (c *Concurrency) InFlight(now time.Duration) int {
	c.expire(now)
	return len(c.held)
}

func (c *Concurrency) expire(now time.Duration) {
	for len(c.expiry) > 0 {
		first := c.expiry[0]
		_, live := c.held[first.lease]
		if live && first.at > now {
			return
		}
		heap.Pop(&c.expiry)
		delete(c.held, first.lease)
	}
}

type leaseEnd struct {
	lease Lease
	at    time.Duration
}

type leaseHeap []leaseEnd

func (h leaseHeap) Len() int           { return len(h) }
func (h leaseHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h leaseHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *leaseHeap) Push(x any)        { *h = append(*h, x.(leaseEnd)) }
func (h *leaseHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
