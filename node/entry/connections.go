package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// newConnectionGrace is how long a stopping host waits for the first request on a connection. Callers send it as soon as
// the connection is established.
const newConnectionGrace = time.Second

// connections tracks which connections of callers have a request that is not answered yet. http.Server.Shutdown is no
// substitute: it closes connections whose request it has just read.
type connections struct {
	mu   sync.Mutex
	busy map[net.Conn]connection
}

type connection struct {
	state http.ConnState // StateNew or StateActive
	since time.Time
}

func newConnections() *connections { return &connections{busy: map[net.Conn]connection{}} }

// observe implements the ConnState hook of http.Server.
func (x *connections) observe(c net.Conn, state http.ConnState) {
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
func (x *connections) waiting(now time.Time) (n int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range x.busy {
		if c.state == http.StateActive || now.Sub(c.since) < newConnectionGrace {
			n++
		}
	}
	return n
}

// wait blocks until every request that has arrived is answered, or the context ends.
func (x *connections) wait(ctx context.Context) {
	for x.waiting(time.Now()) > 0 && ctx.Err() == nil {
		sleep(ctx, drainPoll)
	}
}
