package trail

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"time"

	"github.com/rosemaryhill/rosemaryhill/platform/standin"
)

const (
	// callersPerHost is the number of connections that are open to each host.
	callersPerHost       = 4
	minPause, maxPause   = 30 * time.Millisecond, 90 * time.Millisecond
	reconnectPause       = 50 * time.Millisecond
	callTimeout          = routeTime + 500*time.Millisecond
	maxVersionAge        = 8 // versions before the newest whose routes and keys are asked for
	movedShare, oldShare = 0.4, 0.5
)

// requestKind says what a request shows.
type requestKind int

const (
	onMoved   requestKind = iota // the service that runs it tells the version
	onRoute                      // on a route that two versions have
	withKey                      // with a key that two versions have
	onLasting                    // allowed by all versions
)

// request is a request and its end, as its caller sees it.
type request struct {
	standin.Exchange
	kind  requestKind
	index int // of the first version with its route or key
	host  *host
}

func (r *run) startCallers(ctx context.Context, running *sync.WaitGroup) {
	for _, h := range r.hosts {
		for i := range callersPerHost {
			rng := rand.New(rand.NewSource(r.Seed<<16 + int64(h.number<<8+i)))
			running.Go(func() { r.callHost(ctx, h, i, rng) })
		}
	}
}

// callHost sends requests to a host, one at a time. It opens a connection again only when the host has closed it.
func (r *run) callHost(ctx context.Context, h *host, caller int, rng *rand.Rand) {
	var conn *standin.Connection
	for n := 0; ctx.Err() == nil; n++ {
		if conn == nil {
			var err error
			if conn, err = standin.Connect(h.Settings.Entry.HTTPAddress); err != nil {
				sleep(ctx, reconnectPause)
				continue
			}
		}
		q := r.draw(rng, h, fmt.Sprintf("%s-%d-%d", h.Settings.HostID, caller, n))
		q.Exchange = conn.Do(q.KeptRequest)
		if q.Closing || q.Err != nil {
			_ = conn.Close() // nothing is read from it any more
			conn = nil
		}
		r.mu.Lock()
		r.requests = append(r.requests, q)
		r.mu.Unlock()
		sleep(ctx, between(rng, minPause, maxPause))
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// draw returns the next request to a host.
func (r *run) draw(rng *rand.Rand, h *host, id string) request {
	r.mu.Lock()
	newest := len(r.versions) - 1
	r.mu.Unlock()
	q := request{host: h, index: max(0, newest-rng.Intn(maxVersionAge))}
	q.KeptRequest = standin.KeptRequest{ID: id, Path: poolPath, Key: lastingKey, Timeout: callTimeout}
	switch share := rng.Float64(); {
	case share < movedShare:
		q.kind, q.Path = onMoved, movedPath
	case share < movedShare+oldShare/2:
		q.kind, q.Path = onRoute, routePath(q.index)
	case share < movedShare+oldShare:
		q.kind, q.Key = withKey, keyOf(q.index)
	default:
		q.kind = onLasting
	}
	return q
}
