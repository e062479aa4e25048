package entry

import (
	"context"
	"errors"
	"net"
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

// drainingListener accepts what is in the backlog of the kernel before it closes. A plain close resets these
// connections, on which callers have sent their requests already.
type drainingListener struct {
	*net.TCPListener
	closeBy atomic.Pointer[time.Time] // when to close at the latest; nil while the listener is open
	done    chan struct{}             // closed when connections are no longer accepted
}

func newDrainingListener(l *net.TCPListener) *drainingListener {
	return &drainingListener{TCPListener: l, done: make(chan struct{})}
}

// drain closes the listener and waits until the backlog is accepted or the context ends.
func (l *drainingListener) drain(ctx context.Context) {
	_ = l.Close() // fails only if the listener is closed already
	select {
	case <-l.done:
	case <-ctx.Done():
	}
}

// Accept implements net.Listener. While the listener drains, it returns net.ErrClosed when the backlog is empty.
func (l *drainingListener) Accept() (net.Conn, error) {
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
func (l *drainingListener) Close() error {
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
