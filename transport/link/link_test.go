package link

import (
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/transport/wire"
)

// Guards against tokens that reach another gateway or attempt, arrive out of order or lose their head. Three
// gateways run attempts with the same numbers on two dispatchers.
func TestConcurrentStreamsAreIsolated(t *testing.T) {
	c := qt.New(t)
	const attempts, tokens = 20, 30
	echo := &recorder{onMsg: func(p *Peer, m wire.Message) {
		s := m.(*wire.Submit)
		for n := 1; n <= tokens; n++ {
			if err := p.Send(&wire.Token{Attempt: s.Attempt, N: n, Text: fmt.Sprintf("%s-%s-%d", p, s.Request, n)}); err != nil {
				panic(err)
			}
		}
		_ = p.Send(&wire.End{Attempt: s.Attempt, Count: tokens})
	}}
	servers := []*Server{
		startServer(c, testConfig("d0", RoleDispatcher), "127.0.0.1:0", echo),
		startServer(c, testConfig("d1", RoleDispatcher), "127.0.0.1:0", echo),
	}
	for g := range 3 {
		rec := &recorder{}
		cfg := testConfig(fmt.Sprintf("g%d", g), RoleGateway)
		cfg.ConfigVersion = func() ident.Version { return 42 }
		cl := startClient(c, cfg, rec)
		for i, s := range servers {
			cl.Add(ident.HostID(fmt.Sprintf("d%d", i)), s.Addr())
		}
		eventually(c, "links up", func() bool { return len(cl.Peers()) == len(servers) })
		for a := range uint64(attempts) {
			for _, p := range cl.Peers() {
				c.Assert(p.Send(&wire.Submit{Attempt: a, Request: fmt.Sprintf("r%d", a)}), qt.IsNil)
			}
		}
		for _, p := range cl.Peers() {
			eventually(c, "all answers", func() bool { return len(rec.got(p.String())) == attempts*(tokens+1) })
			next := map[uint64]int{}
			for _, m := range rec.got(p.String()) {
				c.Assert(m.Header().Sender, qt.Equals, p.String())
				c.Assert(ident.Incarnation(m.Header().Incarnation), qt.Equals, p.Incarnation())
				if tok, ok := m.(*wire.Token); ok {
					next[tok.Attempt]++
					c.Assert(tok.N, qt.Equals, next[tok.Attempt])
					c.Assert(tok.Text, qt.Equals, fmt.Sprintf("g%d/gateway-r%d-%d", g, tok.Attempt, tok.N))
				}
			}
			c.Assert(next, qt.HasLen, attempts)
		}
	}
	c.Assert(servers[0].Peers()[0].ConfigVersion(), qt.Equals, ident.Version(42))
}

// Guards against a link that stays open after a frame was lost, repeated, reordered, corrupted or sent by another
// process.
func TestFaultyFramesCloseTheLink(t *testing.T) {
	token := func(n int) wire.Message { return &wire.Token{Attempt: 1, N: n, Text: "x"} }
	cases := []struct {
		name   string
		inject func(r *rawPeer)
		class  func(error) bool
	}{
		{"duplicate", func(r *rawPeer) { b := r.frame(2, token(1)); r.write(append(b, b...)) }, ErrSequence.Has},
		{"dropped", func(r *rawPeer) { r.write(append(r.frame(2, token(1)), r.frame(4, token(3))...)) }, ErrSequence.Has},
		{"reordered", func(r *rawPeer) { r.write(append(r.frame(3, token(2)), r.frame(2, token(1))...)) }, ErrSequence.Has},
		{"second hello", func(r *rawPeer) { r.write(r.frame(2, &wire.Hello{Role: "gateway"})) }, ErrSequence.Has},
		{"other incarnation", func(r *rawPeer) { r.head.Incarnation++; r.write(r.frame(2, token(1))) }, ErrSequence.Has},
		{"other sender", func(r *rawPeer) { r.head.Sender = "g9/gateway"; r.write(r.frame(2, token(1))) }, ErrSequence.Has},
		{"garbage", func(r *rawPeer) { r.write([]byte("\x00\x00\x00\x09\x06garbage!")) }, ErrFrame.Has},
		{"unknown type", func(r *rawPeer) { r.write([]byte{0, 0, 0, 2, 200, 0x90}) }, ErrFrame.Has},
		{"oversized", func(r *rawPeer) { r.write([]byte{0xff, 0xff, 0xff, 0xff, 6}) }, ErrFrame.Has},
		{"cut frame", func(r *rawPeer) { b := r.frame(2, token(1)); r.write(b[:len(b)-1]); r.conn.Close() }, ErrLost.Has},
		{"closed", func(r *rawPeer) { _ = r.conn.(*net.TCPConn).CloseWrite() }, ErrClosed.Has},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			rec := &recorder{}
			s := startServer(c, testConfig("d0", RoleDispatcher), "127.0.0.1:0", rec)
			r := dialRaw(c, s, "g1")
			r.hello()
			eventually(c, "up", func() bool { return rec.ups() == 1 })
			tc.inject(r)
			eventually(c, "down", func() bool { return len(rec.downs()) == 1 })
			err := rec.downs()[0]
			c.Assert(tc.class(err), qt.IsTrue, qt.Commentf("%v", err))
			var e *Error
			c.Assert(errors.As(err, &e), qt.IsTrue)
			c.Assert(e.Peer, qt.Equals, "g1/gateway")
			c.Assert(len(rec.got("g1/gateway")) <= 1, qt.IsTrue)
			c.Assert(s.Peers(), qt.HasLen, 0)
		})
	}
}

// Guards against a link that comes up without a valid Hello, and against a server that stops serving other peers
// after an invalid one.
func TestNoLinkWithoutHello(t *testing.T) {
	c := qt.New(t)
	rec := &recorder{}
	cfg := testConfig("d0", RoleDispatcher)
	cfg.HandshakeTimeout = 100 * time.Millisecond
	s := startServer(c, cfg, "127.0.0.1:0", rec)
	for _, b := range [][]byte{
		nil, // silence
		[]byte("GET / HTTP/1.1\r\n\r\n"),
		dialRaw(c, s, "g1").frame(1, &wire.Token{N: 1}),
		dialRaw(c, s, "g1").frame(2, &wire.Hello{Role: "gateway"}),
		dialRaw(c, s, "g1").frame(1, &wire.Hello{Role: "dispatcher"}),
	} {
		dialRaw(c, s, "g1").write(b)
	}
	eventually(c, "all refused", func() bool { return s.Stats().HandshakeFailures >= 5 })
	c.Assert(rec.ups(), qt.Equals, 0)
	dialRaw(c, s, "g2").hello()
	eventually(c, "good peer up", func() bool { return rec.ups() == 1 })
}

// Guards against unbounded memory for a peer that does not read, and against a refused message that is neither
// reported nor counted. Other links must keep working.
func TestSlowReaderFillsTheRing(t *testing.T) {
	c := qt.New(t)
	rec := &recorder{}
	s := startServer(c, testConfig("d0", RoleDispatcher), "127.0.0.1:0", rec)
	slow := dialRaw(c, s, "g1")
	slow.hello()
	eventually(c, "up", func() bool { return rec.ups() == 1 })
	p := s.Peers()[0]
	var sent int
	var err error
	for err == nil && sent < 100_000 {
		err = p.Send(&wire.Chunk{Data: make([]byte, 64<<10)})
		sent++
		if sent%512 == 0 {
			time.Sleep(time.Millisecond)
		}
		if sent%200 == 0 {
			slow.write(slow.frame(uint64(1+sent/200), &wire.Keepalive{}))
		}
	}
	c.Assert(ErrFull.Has(err), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(s.Stats().Refused, qt.Equals, uint64(1))
	// The ring, gnet's buffer and the kernel's socket buffers together hold all accepted frames.
	c.Assert(sent < 3000, qt.IsTrue, qt.Commentf("%d frames accepted", sent))

	fast := &recorder{}
	cl := startClient(c, testConfig("g2", RoleGateway), fast)
	cl.Add("d0", s.Addr())
	eventually(c, "second peer", func() bool { return len(s.Peers()) == 2 })
	c.Assert(s.Peers()[1].Send(&wire.Token{N: 1}), qt.IsNil)
	eventually(c, "token at second peer", func() bool { return len(fast.got("d0/dispatcher")) == 1 })
}

// Guards against a handler that blocks the event loop. Its own link is closed with ErrOverrun, and another link
// receives its messages in the meantime.
func TestSlowHandlerLosesOnlyItsLink(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	rec := &recorder{onMsg: func(p *Peer, _ wire.Message) {
		if p.Host() == "g1" {
			<-release
		}
	}}
	cfg := testConfig("d0", RoleDispatcher)
	cfg.InboundFrames = 8
	s := startServer(c, cfg, "127.0.0.1:0", rec)
	slow, fast := dialRaw(c, s, "g1"), dialRaw(c, s, "g2")
	slow.hello()
	fast.hello()
	var burst []byte
	for n := range uint64(20) {
		burst = append(burst, slow.frame(n+2, &wire.Token{N: 1})...)
	}
	slow.write(burst)
	fast.write(fast.frame(2, &wire.Token{N: 1}))
	eventually(c, "message of the other link", func() bool { return len(rec.got("g2/gateway")) == 1 })
	close(release)
	eventually(c, "down", func() bool { return len(rec.downs()) == 1 })
	c.Assert(ErrOverrun.Has(rec.downs()[0]), qt.IsTrue, qt.Commentf("%v", rec.downs()[0]))
}

// Guards against a dead peer whose link stays up, since TCP alone does not detect a host that has disappeared.
func TestSilentPeerTimesOut(t *testing.T) {
	c := qt.New(t)
	rec := &recorder{}
	cfg := testConfig("d0", RoleDispatcher)
	cfg.DeadAfter = 300 * time.Millisecond
	s := startServer(c, cfg, "127.0.0.1:0", rec)
	dialRaw(c, s, "g1").hello()
	live := startClient(c, testConfig("g2", RoleGateway), &recorder{})
	live.Add("d0", s.Addr())
	eventually(c, "both up", func() bool { return rec.ups() == 2 })
	eventually(c, "silent peer down", func() bool { return len(rec.downs()) == 1 })
	c.Assert(ErrDead.Has(rec.downs()[0]), qt.IsTrue, qt.Commentf("%v", rec.downs()[0]))
	time.Sleep(2 * cfg.DeadAfter)
	c.Assert(rec.downs(), qt.HasLen, 1) // keepalives keep the idle link open
	c.Assert(s.Peers(), qt.HasLen, 1)
}

// Guards against a client that does not reconnect after the server restarts, and against confusing two incarnations
// of a server.
func TestReconnectAfterRestart(t *testing.T) {
	c := qt.New(t)
	rec := &recorder{}
	var reported atomic.Int64
	cfg := testConfig("g1", RoleGateway)
	cfg.OnError = func(error) { reported.Add(1) }
	cl := startClient(c, cfg, rec)
	first := startServer(c, testConfig("d0", RoleDispatcher), "127.0.0.1:0", &recorder{})
	addr := first.Addr()
	cl.Add("d0", addr)
	cl.Add("d0", addr)
	eventually(c, "up", func() bool { return rec.ups() == 1 })
	closeWithin(first)
	eventually(c, "down", func() bool { return len(rec.downs()) == 1 })
	c.Assert(ErrClosed.Has(rec.downs()[0]), qt.IsTrue, qt.Commentf("%v", rec.downs()[0]))
	eventually(c, "failed dial reported", func() bool { return reported.Load() > 0 && cl.Stats().DialFailures > 0 })
	startServer(c, testConfig("d0", RoleDispatcher), addr, &recorder{})
	eventually(c, "up again", func() bool { return rec.ups() == 2 })
	c.Assert(rec.up[0].Incarnation(), qt.Not(qt.Equals), rec.up[1].Incarnation())
	c.Assert(ErrClosed.Has(rec.up[0].Send(&wire.Token{N: 1})), qt.IsTrue)
	cl.Remove("d0")
	eventually(c, "removed", func() bool { return len(cl.Peers()) == 0 && len(rec.downs()) == 2 })
}

// Guards against a link to another host than the requested one, for example after an address was reassigned.
func TestWrongHostIsRefused(t *testing.T) {
	c := qt.New(t)
	errs := make(chan error, 100)
	cfg := testConfig("g1", RoleGateway)
	cfg.OnError = func(err error) {
		select {
		case errs <- err:
		default:
		}
	}
	rec := &recorder{}
	cl := startClient(c, cfg, rec)
	s := startServer(c, testConfig("d0", RoleDispatcher), "127.0.0.1:0", &recorder{})
	cl.Add("d5", s.Addr())
	c.Assert(ErrHandshake.Has(<-errs), qt.IsTrue)
	c.Assert(rec.ups(), qt.Equals, 0)
}

// Guards against frames lost in a graceful close by either side.
func TestCloseFlushes(t *testing.T) {
	c := qt.New(t)
	const n = 1000
	atServer, atClient := &recorder{}, &recorder{}
	s := startServer(c, testConfig("d0", RoleDispatcher), "127.0.0.1:0", atServer)
	cl := startClient(c, testConfig("g1", RoleGateway), atClient)
	cl.Add("d0", s.Addr())
	eventually(c, "up", func() bool { return len(cl.Peers()) == 1 && len(s.Peers()) == 1 })
	p := cl.Peers()[0]
	for i := range n {
		c.Assert(p.Send(&wire.Chunk{Index: i, Data: make([]byte, 1<<10)}), qt.IsNil)
	}
	p.Close()
	c.Assert(ErrClosed.Has(p.Send(&wire.Token{N: 1})), qt.IsTrue)
	eventually(c, "all chunks", func() bool { return len(atServer.got("g1/gateway")) == n })

	eventually(c, "up again", func() bool { return atClient.ups() == 2 && atServer.ups() == 2 })
	eventually(c, "server sees the new link", func() bool { return len(s.Peers()) == 1 })
	for i := range n {
		c.Assert(atServer.up[1].Send(&wire.Token{N: i, Text: "x"}), qt.IsNil)
	}
	closeWithin(s)
	eventually(c, "all tokens", func() bool { return len(atClient.got("d0/dispatcher")) == n })
}

// Guards against a dispatcher that keeps two links to one gateway after the gateway lost the first one.
func TestNewerLinkReplacesOlder(t *testing.T) {
	c := qt.New(t)
	rec := &recorder{}
	s := startServer(c, testConfig("d0", RoleDispatcher), "127.0.0.1:0", rec)
	dialRaw(c, s, "g1").hello()
	eventually(c, "first up", func() bool { return rec.ups() == 1 })
	dialRaw(c, s, "g1").hello()
	eventually(c, "first down", func() bool { return len(rec.downs()) == 1 })
	c.Assert(ErrReplaced.Has(rec.downs()[0]), qt.IsTrue)
	c.Assert(s.Peers(), qt.HasLen, 1)
}

// Guards against closing links after a pause of this process, when the peer's data was only waiting in the socket.
func TestPauseIsNotPeerSilence(t *testing.T) {
	c := qt.New(t)
	ep, err := newEndpoint(testConfig("d0", RoleDispatcher), &recorder{})
	c.Assert(err, qt.IsNil)
	w := newWriter(newStream(ep, "addr", ""))
	ep.start = ep.start.Add(-time.Minute) // a minute passes without a tick
	c.Assert(w.s.sinceLastRead() > ep.cfg.DeadAfter, qt.IsTrue)
	c.Assert(w.tick(), qt.IsTrue)
	c.Assert(w.s.sinceLastRead() < ep.cfg.DeadAfter, qt.IsTrue)
}
