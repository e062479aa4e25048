package link

import (
	"errors"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/transport/ring"
	"github.com/rosemaryhill/rosemaryhill/transport/wire"
	"github.com/zeebo/errs"
)

// stream is one TCP connection. Three goroutines use it: the event loop (reads and closes), the writer
// (encodes messages and detects a dead peer) and the delivery goroutine (calls the handler).
type stream struct {
	ep           *endpoint
	addr         string
	expectedHost ident.HostID // host that the Hello must name; empty on a server
	conn         gnet.Conn
	opened       atomic.Bool

	in      *ring.Ring[inbound]
	inBytes atomic.Int64 // frame bytes in the inbound ring
	out     *ring.Ring[wire.Message]
	lastIn  atomic.Int64 // ep.now() when bytes were last received

	closing   chan struct{} // closed to request a graceful close
	closeOnce sync.Once
	done      chan struct{} // closed when the connection is closed

	errMu sync.Mutex
	err   error // first error that ended the stream

	// Owned by the event loop.
	dec     *wire.Decoder
	nextSeq uint64
	peer    *Peer // nil before Hello
}

// inbound is a message for the handler. A nil message requests the OnUp call.
type inbound struct {
	msg  wire.Message
	size int
}

func newStream(ep *endpoint, addr string, expectedHost ident.HostID) *stream {
	return &stream{
		ep:           ep,
		addr:         addr,
		expectedHost: expectedHost,
		in:           ring.New[inbound](ep.cfg.InboundFrames),
		out:          ring.New[wire.Message](ep.cfg.OutboundFrames),
		closing:      make(chan struct{}),
		done:         make(chan struct{}),
		dec:          wire.NewDecoder(),
		nextSeq:      1,
	}
}

// onOpen runs on the event loop when the connection is established.
func (s *stream) onOpen(c gnet.Conn) {
	s.conn = c
	s.lastIn.Store(int64(s.ep.now()))
	s.opened.Store(true)
	go s.deliverLoop()
	go newWriter(s).run()
}

// setErr records why the stream ends. Only the first error is kept.
func (s *stream) setErr(class *errs.Class, step string, cause error) {
	s.errMu.Lock()
	defer s.errMu.Unlock()
	if s.err == nil {
		s.err = wrapErr(class, step, s.name(), cause)
	}
}

func (s *stream) firstErr() error {
	s.errMu.Lock()
	defer s.errMu.Unlock()
	return s.err
}

// name returns the peer's name, or its address before Hello.
func (s *stream) name() string {
	if p := s.ep.peerOf(s); p != nil {
		return p.name
	}
	return s.addr
}

func (s *stream) send(m wire.Message) error {
	if err := wire.Validate(m); err != nil {
		return wrapErr(&ErrFrame, "send", s.name(), err)
	}
	if s.out.Push(m) {
		return nil
	}
	select {
	case <-s.closing:
		return wrapErr(&ErrClosed, "send", s.name(), nil)
	case <-s.done:
		return wrapErr(&ErrClosed, "send", s.name(), nil)
	default:
		s.ep.stats.refused.Add(1)
		return wrapErr(&ErrFull, "send", s.name(), nil)
	}
}

// close requests a graceful close by the writer.
func (s *stream) close() {
	s.closeOnce.Do(func() {
		close(s.closing)
		s.out.Close()
	})
}

// abort closes the connection without sending the queued messages.
func (s *stream) abort(class *errs.Class, step string, cause error) {
	s.setErr(class, step, cause)
	_ = s.conn.Close()
}

// onClose runs on the event loop when the connection has ended. partial is the number of bytes received of an
// incomplete frame.
func (s *stream) onClose(partial int, err error) {
	switch {
	case err == nil:
		s.setErr(&ErrClosed, "close", nil)
	case errors.Is(err, io.EOF) && partial == 0:
		s.setErr(&ErrClosed, "read", err)
	default:
		s.setErr(&ErrLost, "read", err)
	}
	close(s.done)
	s.out.Close()
	s.in.Close()
}

// deliverLoop calls the handler until the inbound ring is closed and empty.
func (s *stream) deliverLoop() {
	defer s.ep.wg.Done()
	var peer *Peer
	for it := range s.in.Items() {
		if it.msg == nil {
			peer = s.ep.peerOf(s)
			s.ep.stats.up.Add(1)
			s.ep.handler.OnUp(peer)
			continue
		}
		s.inBytes.Add(int64(-it.size))
		s.ep.handler.OnMessage(peer, it.msg)
	}
	err := s.firstErr()
	s.ep.remove(s)
	if peer == nil {
		s.ep.stats.handshakeFailures.Add(1)
		s.ep.cfg.OnError(err)
		return
	}
	s.ep.stats.down.Add(1)
	s.ep.handler.OnDown(peer, err)
}

// onTraffic runs on the event loop and handles all complete frames in the inbound buffer.
func (s *stream) onTraffic(c gnet.Conn) gnet.Action {
	s.lastIn.Store(int64(s.ep.now()))
	for c.InboundBuffered() >= wire.HeaderSize {
		head, err := c.Peek(wire.HeaderSize)
		if err != nil {
			s.setErr(&ErrLost, "read", err)
			return gnet.Close
		}
		size, err := wire.FrameSize(head)
		if err != nil {
			return s.badFrame(err)
		}
		if c.InboundBuffered() < size {
			return gnet.None
		}
		frame, err := c.Peek(size)
		if err != nil {
			s.setErr(&ErrLost, "read", err)
			return gnet.Close
		}
		if !s.handleFrame(frame) {
			return gnet.Close
		}
		if _, err := c.Discard(size); err != nil {
			s.setErr(&ErrLost, "read", err)
			return gnet.Close
		}
	}
	return gnet.None
}

func (s *stream) badFrame(err error) gnet.Action {
	s.ep.stats.badFrames.Add(1)
	s.setErr(&ErrFrame, "read", err)
	return gnet.Close
}

// handleFrame decodes one complete frame and queues its message. It returns false if the stream must be closed.
func (s *stream) handleFrame(frame []byte) bool {
	s.ep.stats.framesIn.Add(1)
	s.ep.stats.bytesIn.Add(uint64(len(frame)))
	typ, body, _, err := wire.Split(frame)
	if err != nil {
		s.badFrame(err)
		return false
	}
	m, err := s.dec.Decode(typ, body)
	if err != nil {
		s.badFrame(err)
		return false
	}
	if s.peer == nil {
		return s.handleHello(m)
	}
	if err := s.checkHead(m); err != nil {
		s.ep.stats.badSequences.Add(1)
		s.setErr(&ErrSequence, "read", err)
		return false
	}
	s.peer.version.Store(m.Header().ConfigVersion)
	if m.Type() == wire.TypeKeepalive {
		return true
	}
	return s.enqueue(inbound{msg: m, size: len(frame)})
}

func (s *stream) enqueue(it inbound) bool {
	held := s.inBytes.Add(int64(it.size))
	if held > s.ep.cfg.InboundBytes || !s.in.Push(it) {
		s.setErr(&ErrOverrun, "deliver", errs.New("%d messages and %d bytes wait", s.in.Len(), held))
		return false
	}
	return true
}

func (s *stream) checkHead(m wire.Message) error {
	h := m.Header()
	switch {
	case h.Seq != s.nextSeq:
		return errs.New("sequence %d, %d expected", h.Seq, s.nextSeq)
	case h.Sender != s.peer.name || h.Incarnation != uint64(s.peer.incarnation):
		return errs.New("sender %q changed to %q", s.peer.name, h.Sender)
	case m.Type() == wire.TypeHello:
		return errs.New("second Hello")
	}
	s.nextSeq++
	return nil
}

// handleHello checks the first message, which must be a Hello, and registers the peer.
func (s *stream) handleHello(m wire.Message) bool {
	h, ok := m.(*wire.Hello)
	if !ok || h.Head.Seq != s.nextSeq {
		s.setErr(&ErrHandshake, "hello", errs.New("message type %d with sequence %d instead of Hello", m.Type(), m.Header().Seq))
		return false
	}
	host, role, ok := strings.Cut(h.Head.Sender, "/")
	if !ok || host == "" || role != h.Role || h.Head.Incarnation == 0 {
		s.setErr(&ErrHandshake, "hello", errs.New("invalid sender %q for role %q", h.Head.Sender, h.Role))
		return false
	}
	if s.expectedHost != "" && s.expectedHost != ident.HostID(host) {
		s.setErr(&ErrHandshake, "hello", errs.New("connected to host %q, expected %q", host, s.expectedHost))
		return false
	}
	s.nextSeq++
	p := &Peer{stream: s, name: h.Head.Sender, host: ident.HostID(host), role: role, incarnation: ident.Incarnation(h.Head.Incarnation)}
	p.version.Store(h.Head.ConfigVersion)
	s.peer = p
	s.ep.setPeer(p)
	return s.enqueue(inbound{})
}

// sinceLastRead returns the time since bytes were last received from the peer.
func (s *stream) sinceLastRead() time.Duration { return s.ep.now() - time.Duration(s.lastIn.Load()) }
