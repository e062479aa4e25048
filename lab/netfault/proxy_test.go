package netfault

import (
	"bufio"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// startEchoServer starts a server that sends all data back, and returns a proxy to it.
func startEchoServer(c *qt.C) *Proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	p, err := Listen("127.0.0.1:0", l.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = p.Close() })
	return p
}

type client struct {
	net.Conn
	lines *bufio.Reader
}

func connect(c *qt.C, p *Proxy) client {
	conn, err := net.Dial("tcp", p.Addr())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	return client{conn, bufio.NewReader(conn)}
}

// roundTrip sends a line and returns the time until its echo arrived.
func (x client) roundTrip(limit time.Duration) (time.Duration, error) {
	began := time.Now()
	if _, err := io.WriteString(x, "hello\n"); err != nil {
		return 0, err
	}
	return x.readEcho(began, limit)
}

func (x client) readEcho(began time.Time, limit time.Duration) (time.Duration, error) {
	_ = x.SetReadDeadline(time.Now().Add(limit))
	_, err := x.lines.ReadString('\n')
	return time.Since(began), err
}

// Guards against a proxy whose faults have no effect, with which the soak test would pass without testing anything.
func TestFaults(t *testing.T) {
	c := qt.New(t)
	p := startEchoServer(c)
	x := connect(c, p)
	_, err := x.roundTrip(time.Second)
	c.Assert(err, qt.IsNil)

	p.SetFault(Fault{Delay: 40 * time.Millisecond})
	took, err := x.roundTrip(time.Second)
	c.Assert(err, qt.IsNil)
	c.Assert(took >= 80*time.Millisecond, qt.IsTrue, qt.Commentf("round trip took %v", took))

	for _, f := range []Fault{{HoldRequests: true}, {HoldAnswers: true}} {
		p.SetFault(f)
		_, err = x.roundTrip(100 * time.Millisecond)
		c.Assert(err, qt.IsNotNil, qt.Commentf("%+v", f))
		p.SetFault(Fault{})
		_, err = x.readEcho(time.Now(), time.Second)
		c.Assert(err, qt.IsNil, qt.Commentf("held data is forwarded after the fault"))
	}

	p.Reset()
	_, err = x.roundTrip(time.Second)
	c.Assert(err, qt.IsNotNil)
	_, err = connect(c, p).roundTrip(time.Second)
	c.Assert(err, qt.IsNil)
}

// Guards against a held connection that stays open after its proxy was closed, which would leak goroutines.
func TestCloseEndsHeldConnections(t *testing.T) {
	c := qt.New(t)
	p := startEchoServer(c)
	x := connect(c, p)
	p.SetFault(Fault{HoldRequests: true, HoldAnswers: true})
	_, err := io.WriteString(x, "hello\n")
	c.Assert(err, qt.IsNil)
	c.Assert(p.Close(), qt.IsNil)
	_, err = x.readEcho(time.Now(), time.Second)
	c.Assert(err, qt.IsNotNil)
}

// Guards against a proxy that accepts connections while it is to refuse them, cuts the open ones, or stays closed.
func TestProxyRefusesForAWhile(t *testing.T) {
	c := qt.New(t)
	p := startEchoServer(c)
	open := connect(c, p)
	c.Assert(p.StopListening(), qt.IsNil)
	_, err := net.Dial("tcp", p.Addr())
	c.Assert(err, qt.ErrorMatches, ".*refused")
	_, err = open.roundTrip(time.Second)
	c.Assert(err, qt.IsNil)
	c.Assert(p.ListenAgain(), qt.IsNil)
	_, err = connect(c, p).roundTrip(time.Second)
	c.Assert(err, qt.IsNil)
}

// Guards against a proxy that resets the connections it is to hold, goes on with them, or holds new ones as well.
func TestHoldOpen(t *testing.T) {
	c := qt.New(t)
	p := startEchoServer(c)
	x := connect(c, p)
	_, err := x.roundTrip(time.Second)
	c.Assert(err, qt.IsNil)
	p.HoldOpen()
	_, err = x.roundTrip(100 * time.Millisecond)
	var silent net.Error
	c.Assert(errors.As(err, &silent) && silent.Timeout(), qt.IsTrue, qt.Commentf("%v", err))
	_, err = connect(c, p).roundTrip(time.Second)
	c.Assert(err, qt.IsNil)
}
