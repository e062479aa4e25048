package retry

import (
	"math/rand"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const ms = time.Millisecond

// Guards against retries that multiply the load of a destination that fails altogether.
func TestBudget(t *testing.T) {
	c := qt.New(t)
	b, rng := New(Config{}), rand.New(rand.NewSource(1))
	call := Call{Idempotent: true, Tries: 1, Left: time.Minute, Expected: 10 * ms}
	granted := func(now time.Duration, n int) (sum int) {
		for range n {
			if _, ok := b.Next(now, rng, call); ok {
				sum++
			}
		}
		return sum
	}
	c.Assert(granted(0, 100), qt.Equals, 3)
	for range 200 {
		b.Success(time.Second)
	}
	c.Assert(granted(time.Second, 100), qt.Equals, 17, qt.Commentf("20 of 200 successes, 3 are spent"))
	c.Assert(granted(30*time.Second, 100), qt.Equals, 3, qt.Commentf("the window has passed"))
}

// Guards against retries of calls that are not idempotent, and against tries that cannot finish before the
// deadline.
func TestNextRefuses(t *testing.T) {
	c := qt.New(t)
	b, rng := New(Config{}), rand.New(rand.NewSource(1))
	_, ok := b.Next(0, rng, Call{Tries: 1, Left: time.Minute})
	c.Assert(ok, qt.IsFalse)
	_, ok = b.Next(0, rng, Call{Idempotent: true, Tries: 1, Left: 9 * ms, Expected: 10 * ms})
	c.Assert(ok, qt.IsFalse)
	wait, ok := b.Next(0, rng, Call{Idempotent: true, Tries: 9, Left: 10 * ms, Expected: 10 * ms})
	c.Assert(ok, qt.IsTrue)
	c.Assert(wait, qt.Equals, time.Duration(0))
}

// Guards against waits beyond the cap and against callers that retry at the same time.
func TestJitter(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewSource(1))
	low, high := time.Hour, time.Duration(0)
	for range 1000 {
		w := Jitter(rng, 20*ms, time.Second, 60)
		low, high = min(low, w), max(high, w)
	}
	c.Assert(low < 50*ms, qt.IsTrue)
	c.Assert(high > 900*ms && high <= time.Second, qt.IsTrue)
}
