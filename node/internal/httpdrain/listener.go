// Package httpdrain stops an HTTP server without cutting off requests that have arrived: it empties the backlog of the
// listener, and waits until every connection with a request has its answer. http.Server.Shutdown does neither: it resets
// what is in the backlog, and closes connections whose request it has just read.
package httpdrain

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

const (
	// drainPause is how long a closing listener waits for a further connection. Connections that are established but not
	// yet accepted are in the backlog of the kernel, so each of them is accepted at once.
	drainPause = 5 * time.Millisecond
	// maxDrainTime bounds the time for that when new connections keep arriving.
	maxDrainTime = 200 * time.Millisecond
)

// Listener accepts what is in the backlog of the kernel before it closes. A plain close resets these
// connections, on which callers have sent their requests already.
type Listener struct {
	*net.TCPListener
	closeBy atomic.Pointer[time.Time] // when to close at the latest; nil while the listener is open
	done    chan struct{}             // closed when connections are no longer accepted
}

// NewListener returns a listener that accepts the connections of l. Serve must run its accept loop.
func NewListener(l *net.TCPListener) *Listener {
	return &Listener{TCPListener: l, done: make(chan struct{})}
}

// Drain closes the listener and waits until the backlog is accepted or the context ends.
func (l *Listener) Drain(ctx context.Context) {
	_ = l.Close() // fails only if the listener is closed already
	select {
	case <-l.done:
	case <-ctx.Done():
	}
}

// Accept implements net.Listener. While the listener drains, it returns net.ErrClosed when the backlog is empty.
func (l *Listener) Accept() (net.Conn, error) {
	if by := l.closeBy.Load(); by != nil {
		_ = l.SetDeadline(nextDrainDeadline(*by)) // fails only if the listener is closed, as Accept then reports
	}
	conn, err := l.TCPListener.Accept()
	if l.closeBy.Load() != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, errors.Join(net.ErrClosed, l.TCPListener.Close())
	}
	return conn, err
}

// Close implements net.Listener. It lets Accept empty the backlog and close the listener.
func (l *Listener) Close() error {
	by := time.Now().Add(maxDrainTime)
	l.closeBy.Store(&by)
	return l.SetDeadline(nextDrainDeadline(by))
}

func nextDrainDeadline(by time.Time) time.Time {
	next := time.Now().Add(drainPause)
	if next.After(by) {
		return by
	}
	return next
}

// Serve serves connections until the listener is closed. It returns nil after a Drain or a Close.
func (l *Listener) Serve(s *http.Server) error {
	defer close(l.done)
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
