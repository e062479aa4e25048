package rollout

import (
	"context"
	"math/rand"
	"sync"
	"time"
)

// Bounds of the planned work that a seed draws.
const (
	minTermGap, maxTermGap     = 500 * time.Millisecond, 2500 * time.Millisecond // between two hosts that are stopped in turn
	minRoundGap, maxRoundGap   = 2 * time.Second, 6 * time.Second                // between two rounds of stops
	minWorkGap, maxWorkGap     = 300 * time.Millisecond, 4 * time.Second         // between two pieces of other work
	stormShare, stormChanges   = 0.2, 20                                         // of the configurations that come in a series
	stormGap                   = 80 * time.Millisecond
	announcedShare, againShare = 0.7, 0.7 // of the servers that are taken away
)

// startWork starts the planned work, which ends with the context.
func (r *run) startWork(ctx context.Context, running *sync.WaitGroup) {
	for i, work := range []func(ctx context.Context, rng *rand.Rand, running *sync.WaitGroup){r.roll, r.reloads, r.configurations, r.replacements} {
		rng := rand.New(rand.NewSource(r.Seed*31 + int64(i)))
		running.Go(func() {
			for pause(ctx, rng, minWorkGap, maxWorkGap) {
				work(ctx, rng, running)
			}
		})
	}
}

// pause waits for a random time and reports whether the context has not ended.
func pause(ctx context.Context, rng *rand.Rand, low, high time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(low + time.Duration(rng.Int63n(int64(high-low)))):
		return ctx.Err() == nil
	}
}

// roll stops a part of the hosts, one after the other, without waiting for the ends of the ones before.
func (r *run) roll(ctx context.Context, rng *rand.Rand, running *sync.WaitGroup) {
	order := rng.Perm(len(r.hosts))
	for _, i := range order[:1+rng.Intn(len(order))] {
		h := r.hosts[i]
		running.Go(func() { r.stop(h) })
		if !pause(ctx, rng, minTermGap, maxTermGap) {
			return
		}
	}
	pause(ctx, rng, minRoundGap, maxRoundGap)
}

func (r *run) reloads(_ context.Context, rng *rand.Rand, _ *sync.WaitGroup) {
	r.reload(r.hosts[rng.Intn(len(r.hosts))])
}

func (r *run) configurations(ctx context.Context, rng *rand.Rand, _ *sync.WaitGroup) {
	n := 1
	if rng.Float64() < stormShare {
		n = stormChanges
	}
	for range n {
		r.record(configWork, nil)
		r.publish()
		if !pause(ctx, rng, stormGap, stormGap+1) {
			return
		}
	}
}

func (r *run) replacements(_ context.Context, rng *rand.Rand, running *sync.WaitGroup) {
	service := engines
	if rng.Intn(4) == 0 {
		service = plain
	}
	announced, again := rng.Float64() < announcedShare, service == plain || rng.Float64() < againShare
	own := rand.New(rand.NewSource(rng.Int63()))
	running.Go(func() { r.replace(service, own, announced, again) })
}
