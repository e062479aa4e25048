package httpcall

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
)

// DialContext returns a function for http.Transport.DialContext whose connections report what net/http does not: a reset
// that a writer has met, and a transfer encoding in HTTP/1.0.
func DialContext(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &backendConn{Conn: conn}, nil
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

// Read implements net.Conn. At the end it waits for a write in progress, which may be the one that gets the error.
func (c *backendConn) Read(b []byte) (int, error) {
	if c.headErr != nil {
		return 0, c.headErr // net/http drops the error of a read within a line
	}
	n, err := c.Conn.Read(b)
	if c.headErr = c.head.read(b[:n]); c.headErr != nil {
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
