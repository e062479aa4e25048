package soak

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"github.com/rosemaryhill/rosemaryhill/platform/standin"
)

// Kinds of faults of the store that Config.Without may name: it comes back from an older copy, and it cuts the watches that wait.
const (
	restoredStore = "restored store"
	cutWatches    = "cut watches"
)

const (
	// minLost and maxLost bound the age of a copy from which the store comes back, and minAway and maxAway how long it is away.
	minLost, maxLost = 200 * time.Millisecond, 8 * time.Second
	minAway, maxAway = 50 * time.Millisecond, 2 * time.Second
	// maxRewrite is the greatest time until what the copy lacks is written again.
	maxRewrite = 2 * time.Second
	// minWatch and maxWatch bound how long a watch may wait in a store that cuts watches, and minCutting and maxCutting how long it
	// cuts them.
	minWatch, maxWatch     = 20 * time.Millisecond, time.Second
	minCutting, maxCutting = time.Second, 6 * time.Second
	// The gaps bound the time between the ends and the starts of two faults of a kind.
	minRestoreGap, maxRestoreGap = time.Second, 5 * time.Second
	minCutGap, maxCutGap         = time.Second, 6 * time.Second
)

// injectRestore lets the store come back from a copy. What the copy lacks is written again later.
func (r *run) injectRestore(ctx context.Context, rng *rand.Rand, _ *sync.WaitGroup) {
	lost, away, rewrite := randomDuration(rng, minLost, maxLost), randomDuration(rng, minAway, maxAway), randomDuration(rng, 0, maxRewrite)
	copied := r.fleet.Store.Copy()
	ctxSleep(ctx, lost)
	// Hosts that start before everything is written again can't know what the copy lacks.
	for _, l := range r.storeLinks() {
		defer l.failed.open(0)()
	}
	r.failStore(0, standin.Reset, away)
	r.fleet.Store.Restore(copied)
	ctxSleep(ctx, rewrite)
	r.fleet.Store.Rewrite()
}

// injectCuts lets the store cut watches for a while.
func (r *run) injectCuts(ctx context.Context, rng *rand.Rand, _ *sync.WaitGroup) {
	r.fleet.Store.CutWatches(randomDuration(rng, minWatch, maxWatch))
	ctxSleep(ctx, randomDuration(rng, minCutting, maxCutting))
	r.fleet.Store.CutWatches(0)
}
