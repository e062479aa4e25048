// Package retry decides whether and when an idempotent call is tried again.
package retry

import (
	"math/rand"
	"time"
)

// Config configures retries to one destination. A zero field takes the default in brackets.
type Config struct {
	// Ratio is the number of retries allowed for each success of the last Window [0.1]. A higher
	// ratio hides more failures but adds as much load to a destination that fails altogether.
	Ratio float64
	// Window is the time over which successes count [10 s].
	Window time.Duration
	// Min is the number of retries allowed in a Window without any success [3].
	Min int
	// Base and Cap bound the wait before try n: a random time up to min(Cap, Base × 2^(n−1)) [20 ms, 1 s].
	Base time.Duration
	Cap  time.Duration
}

// windowParts is the number of parts of the window; the counts cover up to 1/windowParts less than the window.
const windowParts = 10

// Budget limits the retries to one destination. It is not safe for concurrent use.
type Budget struct {
	cfg       Config
	part      int64 // index of the newest part
	successes [windowParts]int
	retries   [windowParts]int
}

// New returns a budget.
func New(cfg Config) *Budget {
	if cfg.Ratio == 0 {
		cfg.Ratio = 0.1
	}
	if cfg.Window == 0 {
		cfg.Window = 10 * time.Second
	}
	if cfg.Min == 0 {
		cfg.Min = 3
	}
	if cfg.Base == 0 {
		cfg.Base = 20 * time.Millisecond
	}
	if cfg.Cap == 0 {
		cfg.Cap = time.Second
	}
	return &Budget{cfg: cfg}
}

// Success counts a call that succeeded, whether on its first or a later try.
func (b *Budget) Success(now time.Duration) {
	b.advance(now)
	b.successes[b.part%windowParts]++
}

// Call describes a failed call for which a retry is considered.
type Call struct {
	Idempotent bool
	Tries      int           // tries so far, at least 1
	Left       time.Duration // time until the caller's deadline
	Expected   time.Duration // expected service time
}

// Next returns the wait before the next try. ok is false if there must be no further try: the call is not
// idempotent, the time left is shorter than the expected service time, or the budget is spent. A retry
// that is granted counts against the budget.
func (b *Budget) Next(now time.Duration, rng *rand.Rand, c Call) (wait time.Duration, ok bool) {
	if !c.Idempotent || !CanFinish(c.Left, c.Expected) {
		return 0, false
	}
	b.advance(now)
	if b.spent() >= b.allowance() {
		return 0, false
	}
	wait = Jitter(rng, b.cfg.Base, b.cfg.Cap, c.Tries)
	// A long wait is shortened so that the expected service time still fits before the deadline.
	wait = min(wait, c.Left-c.Expected)
	b.retries[b.part%windowParts]++
	return wait, true
}

// CanFinish reports whether a call is expected to finish within the time left.
func CanFinish(left, expected time.Duration) bool { return left > 0 && left >= expected }

// Jitter returns a wait between zero and min(limit, base × 2^(tries−1)), uniformly ("full jitter"), so that
// callers that failed together do not retry together.
func Jitter(rng *rand.Rand, base, limit time.Duration, tries int) time.Duration {
	bound := base
	for i := 1; i < tries && bound < limit; i++ {
		bound *= 2
	}
	bound = min(bound, limit)
	if bound <= 0 {
		return 0
	}
	return time.Duration(rng.Int63n(int64(bound) + 1))
}

func (b *Budget) allowance() int {
	n := 0
	for _, v := range b.successes {
		n += v
	}
	return max(b.cfg.Min, int(b.cfg.Ratio*float64(n)))
}

func (b *Budget) spent() int {
	n := 0
	for _, v := range b.retries {
		n += v
	}
	return n
}

func (b *Budget) advance(now time.Duration) {
	part := int64(now / (b.cfg.Window / windowParts))
	if part-b.part >= windowParts {
		b.successes, b.retries = [windowParts]int{}, [windowParts]int{}
		b.part = part
		return
	}
	for b.part < part {
		b.part++
		b.successes[b.part%windowParts] = 0
		b.retries[b.part%windowParts] = 0
	}
}
