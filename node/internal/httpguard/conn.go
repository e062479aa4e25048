package httpguard

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

// refusal answers a head that exceeds the limit.
const refusal = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\n" +
	"Content-Length: 0\r\nConnection: close\r\n\r\n"

// maxDiscarded bounds what is read of a refused head, in bytes.
const maxDiscarded = 256 << 10

var errDropped = errors.New("connection closed for a budget")

// phase is what a connection is read for.
type phase uint8

const (
	waiting phase = iota // for the first byte of a head
	inHead
	inRequest // for its body, or to notice that the caller closes the connection
)

// conn is the connection of a caller. It has all methods of a TCP connection, which net/http and handlers use.
type conn struct {
	*net.TCPConn
	guard *Guard
	port  string

	// Only one goroutine at a time reads from a connection and changes its state: that of net/http which serves it, or in a
	// request the one that waits for the end of the connection.
	phase    phase
	served   bool // had a request
	idleNext bool // the next deadline that net/http sets is the one of an idle connection
	head     int  // bytes of the head in progress

	// Guarded by the guard.
	reading    bool  // waits for bytes of a request; only then it may be dropped
	dropped    bool  // is closed for a budget
	ended      bool  // is no longer counted
	memory     int64 // of the head in progress
	since      time.Time
	in         *list
	prev, next *conn
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.phase == inRequest {
		return c.TCPConn.Read(p)
	}
	if !c.beginRead() {
		return 0, readError(errDropped)
	}
	n, err := c.TCPConn.Read(p)
	if !c.endRead(p[:n]) {
		return 0, readError(errDropped)
	}
	c.guard.collect(n)
	if c.head > c.guard.limits.Load().HeadBytes+headSlack {
		c.refuseHead()
		return 0, readError(errDropped)
	}
	return n, err
}

// readError returns an error that net/http takes for a lost connection, so that it sends no answer.
func readError(err error) error { return &net.OpError{Op: "read", Net: "tcp", Err: err} }

// beginRead allows the guard to drop the connection. While heads need more memory than there is, it drops those that have been
// in progress for longest. It returns false if this connection is dropped.
func (c *conn) beginRead() bool {
	victims, ok := c.startWaiting()
	for _, v := range victims {
		v.drop(reasonHeadMemory)
	}
	return ok
}

func (c *conn) startWaiting() (victims []*conn, ok bool) {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.dropped {
		return nil, false
	}
	c.reading = true
	if c.in == nil {
		// net/http has used up the bytes that it has read, so a whole head is not among them.
		l := &g.heads
		if c.phase == waiting {
			l = &g.fresh
			if c.served {
				l = &g.idle
			}
		}
		c.since = time.Now()
		l.add(c)
	}
	for g.headMemory > g.maxHeadMemory {
		v := g.heads.firstReading()
		if v == nil {
			break // those that are not waiting for bytes may have a whole head
		}
		victims = append(victims, g.take(v))
	}
	return victims, !c.dropped
}

// endRead records bytes of a head. It returns false if the connection is dropped.
func (c *conn) endRead(b []byte) bool {
	n, lines := len(b), bytes.Count(b, []byte{'\n'})
	if n > 0 && c.phase == waiting {
		if c.phase = inHead; !c.served || n < 4 {
			// net/http sets this deadline itself after the first 4 bytes of a later head.
			_ = c.TCPConn.SetReadDeadline(time.Now().Add(c.guard.limits.Load().HeadTime)) // an error shows in the next read
		}
	}
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.dropped {
		return false
	}
	c.reading = false
	if n == 0 {
		return true
	}
	if c.in != &g.heads {
		g.leave(c)
		g.heads.add(c)
		c.memory = headMemory
		g.headMemory += headMemory
	}
	c.head += n
	more := int64(n + lineMemory*lines)
	c.memory += more
	g.headMemory += more
	return true
}

// beginBody allows the guard to drop the connection until the body of its request has been read.
func (c *conn) beginBody() {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if !c.dropped {
		c.reading = true
		c.guard.bodies.add(c)
	}
}

// endBody reports whether the connection was not dropped before the end of the body.
func (c *conn) endBody() bool {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.leave(c)
	return !c.dropped
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	c *conn
}

// Read implements io.Reader. A body whose connection was dropped has no end, so that its request does not run.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !b.c.endBody() {
		return 0, errDropped
	}
	return n, err
}

// observe follows the states that net/http reports.
func (c *conn) observe(state http.ConnState) {
	switch state {
	case http.StateActive, http.StateHijacked:
		c.phase, c.head = inRequest, 0
		c.guard.mu.Lock()
		defer c.guard.mu.Unlock()
		c.guard.leave(c)
	case http.StateIdle:
		c.phase, c.served, c.idleNext = waiting, true, true
		c.endBody() // the handler may have left it to net/http
	}
}

// SetReadDeadline implements net.Conn. It applies the present limits to the deadlines that net/http sets outside of requests. A
// new connection has the time of an idle one until its first byte.
func (c *conn) SetReadDeadline(t time.Time) error {
	if c.phase != inRequest && !t.IsZero() {
		l := c.guard.limits.Load()
		t = time.Now().Add(l.HeadTime)
		if c.phase == waiting && (c.idleNext || !c.served) {
			t = time.Now().Add(l.IdleTime)
		}
		c.idleNext = false
	}
	return c.TCPConn.SetReadDeadline(t)
}

// refuseHead answers a head that exceeds the limit. It reads on for a while: a connection that is closed while more arrives is
// reset, which may cost the client the answer.
func (c *conn) refuseHead() {
	c.guard.report(c, reasonHeadSize)
	until := time.Now().Add(refusalTime)
	_ = c.TCPConn.SetDeadline(until) // errors show in the calls below
	if _, err := io.WriteString(c.TCPConn, refusal); err != nil {
		return
	}
	_ = c.CloseWrite()
	if c.beginRead() {
		_, _ = io.CopyN(io.Discard, c.TCPConn, maxDiscarded)
	}
}

// drop closes a connection that was taken out of its list.
func (c *conn) drop(reason string) {
	c.guard.report(c, reason)
	_ = c.Close() // its reader gets the error
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.TCPConn.Close()
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if !c.ended {
		c.ended = true
		c.guard.connections--
		c.guard.leave(c)
	}
	return err
}

// list is a list of connections in the order in which they were added.
type list struct{ first, last *conn }

func (l *list) add(c *conn) {
	c.in, c.prev = l, l.last
	if l.last == nil {
		l.first = c
	} else {
		l.last.next = c
	}
	l.last = c
}

func (l *list) remove(c *conn) {
	if c.prev == nil {
		l.first = c.next
	} else {
		c.prev.next = c.next
	}
	if c.next == nil {
		l.last = c.prev
	} else {
		c.next.prev = c.prev
	}
	c.in, c.prev, c.next = nil, nil, nil
}

// firstReading returns the first connection that may be dropped, nil if there is none.
func (l *list) firstReading() *conn {
	for c := l.first; c != nil; c = c.next {
		if c.reading {
			return c
		}
	}
	return nil
}
