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

// Update is one result of Follow: entries, which are empty after a watch without changes, or an error.
type Update struct {
	platformapi.Entries
	After uint64 // the entry number after which the read started; a first entry above After+1 means a gap
	Err   error
}

// Follow delivers all entries with numbers above after, in order, until ctx ends. It reads the existing
// entries page by page and then watches for new ones. deliver is called on the calling goroutine. It also
// gets errors; the next read after an error is delayed with backoff and jitter.
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
			// Only some parts of a snapshot have been published, so a watch would return at once.
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

// HostsUpdate is one result of FollowHosts.
type HostsUpdate struct {
	platformapi.Hosts
	Err error
}

// FollowHosts reads the host list immediately and then once per interval, plus up to a tenth of jitter,
// until ctx ends. deliver is called on the calling goroutine.
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

// backoff computes retry delays. The bound doubles with each failure and the delay is uniformly distributed
// below it, so that the processes of a fleet don't retry at the same time.
type backoff struct {
	min, max, bound time.Duration
}

func (c *Client) newBackoff() *backoff {
	return &backoff{min: c.cfg.BackoffMin, max: c.cfg.BackoffMax, bound: c.cfg.BackoffMin}
}

func (b *backoff) reset() { b.bound = b.min }

// wait sleeps for a random delay, and at least for the retry-after of err up to the last bound. err may be
// nil.
func (b *backoff) wait(ctx context.Context, err error) {
	d := b.min/10 + rand.N(b.bound)
	if e := (*outcome.Error)(nil); errors.As(err, &e) && e.RetryAfter > 0 {
		d = max(d, min(e.RetryAfter, b.max)+rand.N(b.min))
	}
	b.bound = min(2*b.bound, b.max)
	ctxtime.Sleep(ctx, d)
}
