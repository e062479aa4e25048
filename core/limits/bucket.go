package limits

import (
	"math"
	"time"
)

// bucket is a token bucket whose rate may change between calls. golang.org/x/time/rate is not used
// here: it cannot admit a request larger than its burst, and archive requests exceed one second's share.
type bucket struct {
	level float64       // requests or tokens that can be taken; negative after a request larger than the bucket
	at    time.Duration // time of the last refill
	rate  float64       // per second, at the last refill
}

// capacity returns the level of a full bucket, which is at least minimum.
func capacity(rate float64, burst time.Duration, minimum float64) float64 {
	return max(rate*burst.Seconds(), minimum)
}

// fill sets the bucket to its full level.
func (b *bucket) fill(now time.Duration, rate float64, burst time.Duration, minimum float64) {
	b.level, b.at, b.rate = capacity(rate, burst, minimum), now, rate
}

// wait refills the bucket and returns the time until n tokens can be taken, zero if they can be taken now. A
// rate of zero means no limit.
func (b *bucket) wait(now time.Duration, rate float64, burst time.Duration, n float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	full := capacity(rate, burst, min(n, 1))
	if now > b.at {
		// A higher rate applies only from now on: until now, the additional share belonged to another gateway.
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
