package limitshare

import (
	"math/rand"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/serverlimit"
)

// Design is a way to hold the hosts together to a limit without shared state.
type Design string

// The designs. In all of them hosts tell each other limits as core/serverlimit does.
const (
	Alone       Design = "each host alone"   // each host uses the whole limit
	EqualShares Design = "equal shares"      // each host uses its share, whether it has requests or not
	OneOwner    Design = "one owner"         // the live host that ranks first for the server sends alone
	FewOwners   Design = "few owners"        // as many live hosts as get at least 1/s each share the limit
	Counts      Design = "counts"            // counts told with the load reports, of all hosts' requests
	CountsAtOne Design = "counts, no spread" // the same, but all hosts wait for the same level
)

// Designs returns all designs.
func Designs() []Design {
	return []Design{Alone, EqualShares, OneOwner, FewOwners, CountsAtOne, Counts}
}

// limiter decides on the requests of a host while the server has a limit.
type limiter interface {
	allows(now time.Duration) bool
	take(now time.Duration)
	freeAt(now time.Duration) time.Duration
}

// newLimiter returns the limiter of a host that has just started.
func (w *world) newLimiter(h *host) limiter {
	switch w.Design {
	case Counts, CountsAtOne:
		return tableLimiter{h.table}
	default:
		return &bucket{w: w, h: h, level: w.firstLevel(), updated: w.Now()}
	}
}

// firstLevel differs between hosts with shares, which would all send at the same time otherwise.
func (w *world) firstLevel() float64 {
	if w.Design == EqualShares || w.Design == FewOwners {
		return w.rng.Float64()
	}
	return 0
}

func (w *world) tableConfig(rng *rand.Rand) serverlimit.Config {
	cfg := serverlimit.Config{Seed: rng.Uint64()}
	if w.Design == CountsAtOne {
		cfg.ContentionTime = 1
	}
	return cfg
}

// tableLimiter uses the counts of all hosts.
type tableLimiter struct{ *serverlimit.Table }

func (t tableLimiter) allows(now time.Duration) bool          { return t.Allows(now, serverID) }
func (t tableLimiter) take(now time.Duration)                 { t.Take(now, serverID) }
func (t tableLimiter) freeAt(now time.Duration) time.Duration { return t.FreeAt(now, serverID) }

// bucket is a token bucket of a host's share.
type bucket struct {
	w       *world
	h       *host
	level   float64
	updated time.Duration
}

const (
	bucketBurst   = 1.0
	bucketSeconds = 0.25              // of the share that a bucket holds in addition
	minRate       = 0.1               // requests a second of all hosts to a server that accepts none
	notBefore     = 100 * time.Second // when a host without a share asks again; later than the end of a play
)

// share returns the part of the limit that the host may use.
func (b *bucket) share() float64 {
	switch b.w.Design {
	case EqualShares:
		return 1 / float64(1+b.w.live(b.h))
	case OneOwner:
		return b.ranked(1)
	case FewOwners:
		l, _ := b.h.table.Limit(serverID)
		return b.ranked(min(1+b.w.live(b.h), max(1, int(l))))
	default:
		return 1
	}
}

// ranked returns the share of this host if n hosts have one.
func (b *bucket) ranked(n int) float64 {
	higher := 0
	for _, o := range b.w.hosts {
		if o.rank > b.h.rank && b.w.believesAlive(b.h, o) {
			higher++
		}
	}
	if higher >= n {
		return 0
	}
	return 1 / float64(n)
}

func (b *bucket) advance(now time.Duration) (rate float64) {
	l, _ := b.h.table.Limit(serverID)
	rate = max(l, minRate) * b.share()
	b.level = min(bucketBurst+bucketSeconds*rate, b.level+rate*(now-b.updated).Seconds())
	b.updated = now
	return rate
}

func (b *bucket) limited() bool {
	_, limited := b.h.table.Limit(serverID)
	return limited
}

func (b *bucket) allows(now time.Duration) bool {
	if !b.limited() {
		return true
	}
	return b.advance(now) > 0 && b.level >= 1
}

func (b *bucket) take(now time.Duration) {
	if b.limited() {
		b.advance(now)
		b.level--
	}
}

func (b *bucket) freeAt(now time.Duration) time.Duration {
	rate := b.advance(now)
	if rate == 0 {
		return now + notBefore
	}
	return now + time.Duration(max(0, 1-b.level)/rate*float64(time.Second)) + time.Microsecond
}
