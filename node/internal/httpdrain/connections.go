package httpdrain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rosemaryhill/rosemaryhill/node/internal/ctxtime"
)

// newConnectionGrace is how long a stopping host waits for the first request on a connection. Callers send it as soon as
// the connection is established.
const newConnectionGrace = time.Second

// pollInterval is the interval at which Wait checks for connections with requests.
const pollInterval = 20 * time.Millisecond

// Connections tracks which connections of a server have a request that is not answered yet.
type Connections struct {
	mu   sync.Mutex
	busy map[net.Conn]connection
}

type connection struct {
	state http.ConnState // StateNew or StateActive
	since time.Time
}

// NewConnections returns a tracker without connections.
func NewConnections() *Connections { return &Connections{busy: map[net.Conn]connection{}} }

// Observe implements the ConnState hook of http.Server.
func (x *Connections) Observe(c net.Conn, state http.ConnState) {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		x.busy[c] = connection{state, time.Now()}
	default:
		delete(x.busy, c)
	}
}

// waiting returns the number of connections with a request, or on which the first request may still arrive.
func (x *Connections) waiting(now time.Time) (n int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range x.busy {
		if c.state == http.StateActive || now.Sub(c.since) < newConnectionGrace {
			n++
		}
	}
	return n
}

// Wait blocks until every request that has arrived is answered, or the context ends.
func (x *Connections) Wait(ctx context.Context) {
	for x.waiting(time.Now()) > 0 && ctx.Err() == nil {
		ctxtime.Sleep(ctx, pollInterval)
	}
}
