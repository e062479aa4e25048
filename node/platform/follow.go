package platform

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/core/platformapi"
	"github.com/rosemaryhill/rosemaryhill/node/internal/ctxtime"
)

// Update is one result of following the configuration: entries, none when a watch ended quietly, or
// an error.
type Update struct {
	platformapi.Entries
	After uint64 // the number that the read asked for; a first entry above After+1 shows a gap
	Err   error
}

// Follow delivers all entries above after, in order, until ctx ends. It pages through what is there
// and then holds one watch. deliver runs on the calling goroutine, one call at a time; after an error
// it gets the error, and the next read waits with backoff and jitter.
func (c *Client) Follow(ctx context.Context, after uint64, deliver func(Update)) {
	b := c.newBackoff()
	read := c.Entries
	for ctx.Err() == nil {
		got, err := read(ctx, after)
		if ctx.Err() != nil {
			return
		}
		deliver(Update{Entries: got, After: after, Err: err})
		if err != nil {
			b.wait(ctx, err)
			continue
		}
		n := len(got.Entries)
		if n == 0 && after < got.Head {
			// Parts of a snapshot are there and the rest is not: a watch would return at once.
			b.wait(ctx, nil)
			continue
		}
		b.reset()
		if n > 0 {
			after = max(after, got.Entries[n-1].Number)
		}
		read = c.Watch
		if after < got.Head {
			read = c.Entries
		}
	}
}

// HostsUpdate is one result of following the host list.
type HostsUpdate struct {
	platformapi.Hosts
	Err error
}

// FollowHosts reads the host list at once and then every interval, with up to a tenth of jitter,
// until ctx ends. deliver runs on the calling goroutine.
func (c *Client) FollowHosts(ctx context.Context, interval time.Duration, deliver func(HostsUpdate)) {
	b := c.newBackoff()
	for ctx.Err() == nil {
		got, err := c.Hosts(ctx)
		if ctx.Err() != nil {
			return
		}
		deliver(HostsUpdate{Hosts: got, Err: err})
		if err != nil {
			b.wait(ctx, err)
			continue
		}
		b.reset()
		ctxtime.Sleep(ctx, interval+rand.N(interval/10+1))
	}
}

// backoff doubles its bound with each failure; the delay is uniform below the bound, so that the
// readers of a fleet don't return in step.
type backoff struct {
	min, max, bound time.Duration
}

func (c *Client) newBackoff() *backoff {
	return &backoff{min: c.cfg.BackoffMin, max: c.cfg.BackoffMax, bound: c.cfg.BackoffMin}
}

func (b *backoff) reset() { b.bound = b.min }

// wait sleeps for a random delay, and at least for the retry-after of err, which may be nil.
func (b *backoff) wait(ctx context.Context, err error) {
	d := b.min/10 + rand.N(b.bound)
	if e := (*outcome.Error)(nil); errors.As(err, &e) && e.RetryAfter > 0 {
		d = max(d, min(e.RetryAfter, b.max)+rand.N(b.min))
	}
	b.bound = min(2*b.bound, b.max)
	ctxtime.Sleep(ctx, d)
}
