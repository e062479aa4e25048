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

	"golang.org/x/sys/unix"
)

const (
	// drainPause is how long a closing listener waits for a further connection. Connections that are established but not
	// yet accepted are in the backlog of the kernel, so each of them is accepted at once.
	drainPause = 5 * time.Millisecond
	// drainPoll is the interval at which the backlog is checked meanwhile.
	drainPoll = time.Millisecond
	// maxDrainTime bounds the time for that when new connections keep arriving.
	maxDrainTime = 500 * time.Millisecond
	// acceptTimeout bounds the wait for a pending connection that its caller closes before it is accepted.
	acceptTimeout = time.Second
)

// Listener accepts what is in the backlog of the kernel before it closes. A plain close resets these
// connections, on which callers have sent their requests already.
type Listener struct {
	*net.TCPListener
	// Wrap, if set, returns the connection to serve in place of an accepted one, or nil if it has closed it. It must be set
	// before Serve.
	Wrap    func(net.Conn) net.Conn
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
	for {
		conn, err := l.accept()
		if err != nil || l.Wrap == nil {
			return conn, err
		}
		if conn = l.Wrap(conn); conn != nil {
			return conn, nil
		}
	}
}

func (l *Listener) accept() (net.Conn, error) {
	if by := l.closeBy.Load(); by != nil {
		return l.acceptBacklog(*by)
	}
	conn, err := l.TCPListener.Accept()
	if by := l.closeBy.Load(); by != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		return l.acceptBacklog(*by)
	}
	return conn, err
}

// acceptBacklog returns the next connection of the backlog. It closes the listener when none arrives for drainPause, and at
// the given time.
//
// It asks the kernel for pending connections, since Accept can report that its deadline has passed while there are some: on
// a busy machine the runtime notices the deadline first.
func (l *Listener) acceptBacklog(by time.Time) (net.Conn, error) {
	last := time.Now().Add(drainPause)
	for !l.pending() {
		if time.Now().After(last) {
			return nil, errors.Join(net.ErrClosed, l.TCPListener.Close())
		}
		time.Sleep(drainPoll)
	}
	if time.Now().After(by) {
		return nil, errors.Join(net.ErrClosed, l.TCPListener.Close())
	}
	if err := l.SetDeadline(time.Now().Add(acceptTimeout)); err != nil {
		return nil, err
	}
	return l.TCPListener.Accept()
}

// pending reports whether the backlog holds a connection.
func (l *Listener) pending() (ok bool) {
	raw, err := l.SyscallConn()
	if err != nil {
		return false // the listener is closed
	}
	_ = raw.Control(func(fd uintptr) { // fails only if the listener is closed
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		ok = err == nil && n > 0
	})
	return ok
}

// Close implements net.Listener. It lets Accept empty the backlog and close the listener.
func (l *Listener) Close() error {
	by := time.Now().Add(maxDrainTime)
	l.closeBy.Store(&by)
	return l.SetDeadline(time.Now()) // wakes Accept
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
