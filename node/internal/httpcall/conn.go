package httpcall

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// freeHeadBytes is the part of a head that does not count towards HeadMemory. Usual heads are smaller.
const freeHeadBytes = 4 << 10

// ErrHeadMemory is the error of an answer whose head does not fit into the HeadMemory.
var ErrHeadMemory = errors.New("the heads of answers in progress take all of the memory for them")

// HeadMemory bounds the bytes of the heads that are being read at the same time, so that many servers with heads without end do
// not take the memory of a process. Nil stands for no bound.
type HeadMemory struct {
	limit int64
	used  atomic.Int64
}

// NewHeadMemory returns a bound in bytes.
func NewHeadMemory(limit int64) *HeadMemory { return &HeadMemory{limit: limit} }

// DialContext returns a function for http.Transport.DialContext whose connections report what net/http does not: a reset
// that a writer has met, and a transfer encoding in HTTP/1.0. Heads are not bounded together.
func DialContext(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return (*HeadMemory)(nil).DialContext(d)
}

// DialContext is like the function DialContext, with the bound for heads.
func (m *HeadMemory) DialContext(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return m.WrapDial(d.DialContext)
}

// WrapDial is like DialContext, for connections that dial opens.
func (m *HeadMemory) WrapDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &backendConn{Conn: conn, heads: m}, nil
	}
}

// backendConn is a connection that never reports a reset as a clean end. The kernel reports the error of a reset once. If a
// write gets it, a read returns io.EOF, which is how the body of a response without length or chunks ends.
type backendConn struct {
	net.Conn
	head     headCheck  // used by the reader only
	headErr  error      // fault that head has found; used by the reader only
	mu       sync.Mutex // held during a write
	writeErr error

	heads     *HeadMemory
	headMu    sync.Mutex
	headBytes int64 // of the heads so far, until the last one has ended
	counted   int64 // of these in heads
	closed    bool
}

// countHead counts bytes of a head.
func (c *backendConn) countHead(n int) error {
	if c.heads == nil {
		return nil
	}
	c.headMu.Lock()
	defer c.headMu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.headBytes += int64(n)
	over := max(0, c.headBytes-freeHeadBytes) - c.counted
	c.counted += over
	if over > 0 && c.heads.used.Add(over) > c.heads.limit {
		return ErrHeadMemory
	}
	return nil
}

// releaseHead gives back what the heads have taken.
func (c *backendConn) releaseHead(closed bool) {
	if c.heads == nil {
		return
	}
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.heads.used.Add(-c.counted)
	c.headBytes, c.counted, c.closed = 0, 0, c.closed || closed
}

// Close implements net.Conn.
func (c *backendConn) Close() error {
	c.releaseHead(true)
	return c.Conn.Close()
}

// Write implements net.Conn.
func (c *backendConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

// readHead takes the bytes of a read, as far as they belong to a head.
func (c *backendConn) readHead(b []byte) error {
	if c.head.done {
		return nil
	}
	if err := c.countHead(len(b)); err != nil {
		return err
	}
	err := c.head.read(b)
	if c.head.done {
		c.releaseHead(false)
	}
	return err
}

// Read implements net.Conn. At the end it waits for a write in progress, which may be the one that gets the error.
func (c *backendConn) Read(b []byte) (int, error) {
	if c.headErr != nil {
		return 0, c.headErr // net/http drops the error of a read within a line
	}
	n, err := c.Conn.Read(b)
	if c.headErr = c.readHead(b[:n]); c.headErr != nil {
		return 0, c.headErr
	}
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr != nil {
		return n, c.writeErr
	}
	return n, err
}
