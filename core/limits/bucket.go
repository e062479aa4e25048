package limits

import (
	"math"
	"time"
)

// bucket is a token bucket whose rate may change between calls. golang.org/x/time/rate is not used
// here: it cannot admit a request larger than its burst, and archives are larger than a second's share.
type bucket struct {
	level float64
	at    time.Duration
	rate  float64 // as of the last refill
}

func capacity(rate float64, burst time.Duration, least float64) float64 {
	return max(rate*burst.Seconds(), least)
}

func (b *bucket) fill(now time.Duration, rate float64, burst time.Duration, least float64) {
	b.level, b.at, b.rate = capacity(rate, burst, least), now, rate
}

// wait refills and returns the time until n can be taken, zero for now. A rate of zero is no limit.
func (b *bucket) wait(now time.Duration, rate float64, burst time.Duration, n float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	full := capacity(rate, burst, min(n, 1))
	if now > b.at {
		// A rate that rose in between counts from now: the share was another gateway's before.
		b.level += min(rate, b.rate) * (now - b.at).Seconds()
		b.at = now
	}
	b.rate = rate
	b.level = min(b.level, full)
	missing := min(n, full) - b.level
	if missing <= 1e-9 {
		return 0
	}
	return time.Duration(math.Ceil(missing / rate * float64(time.Second)))
}

func (b *bucket) take(rate, n float64) {
	if rate > 0 {
		b.level -= n
	}
}
