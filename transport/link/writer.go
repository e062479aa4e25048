package link

import (
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/rosemaryhill/rosemaryhill/transport/wire"
	"github.com/zeebo/errs"
)

const (
	// maxBatchBytes is the size at which a batch of frames is passed to the event loop in one write.
	maxBatchBytes = 64 << 10
	// highWater is the number of bytes that gnet may buffer for a peer that reads slowly. gnet does not
	// bound its buffer, so above this mark frames stay in the outbound ring.
	highWater = 256 << 10
	// drainPollInterval is the interval at which gnet's buffer is polled while it is above highWater, because gnet
	// has no event for it. 256 KiB every 2 ms still allow 128 MB/s.
	drainPollInterval = 2 * time.Millisecond
)

// writer moves messages from the outbound ring to the socket and detects a dead peer.
type writer struct {
	s        *stream
	enc      *wire.Encoder
	buf      []byte
	seq      uint64
	lastOut  time.Duration
	lastTick time.Duration
	buffered chan int // bytes in gnet's outbound buffer, sent by the event loop after a write or a poll
}

func newWriter(s *stream) *writer {
	return &writer{s: s, enc: wire.NewEncoder(), buffered: make(chan int, 1), lastTick: s.ep.now()}
}

func (w *writer) run() {
	s := w.s
	defer s.ep.wg.Done()
	if !w.write(&wire.Hello{Role: s.ep.cfg.Role}) {
		return
	}
	ticker := time.NewTicker(min(s.ep.cfg.KeepaliveInterval, s.ep.cfg.DeadAfter) / 4)
	defer ticker.Stop()
	for {
		select {
		case m, ok := <-s.out.Items():
			if !ok {
				w.closeGracefully()
				return
			}
			if !w.write(m) {
				return
			}
		case <-ticker.C:
			if !w.tick() {
				return
			}
		case <-s.done:
			return
		}
	}
}

// tick closes a link whose peer has timed out, and sends a Keepalive on an idle link. It returns false when it has
// closed the link or the write has failed.
func (w *writer) tick() bool {
	s, now := w.s, w.s.ep.now()
	gap := now - w.lastTick
	w.lastTick = now
	if gap > s.ep.cfg.DeadAfter/2 {
		// This process was paused. Data from the peer may still wait in the socket, so the peer is not timed out.
		s.lastIn.Store(int64(now))
		return true
	}
	if s.ep.peerOf(s) == nil {
		if s.sinceLastRead() > s.ep.cfg.HandshakeTimeout {
			s.abort(&ErrHandshake, "hello", errs.New("no Hello within %v", s.ep.cfg.HandshakeTimeout))
			return false
		}
		return true
	}
	if idle := s.sinceLastRead(); idle > s.ep.cfg.DeadAfter {
		s.abort(&ErrDead, "read", errs.New("nothing received for %v", idle.Round(time.Millisecond)))
		return false
	}
	if now-w.lastOut >= s.ep.cfg.KeepaliveInterval {
		return w.write(&wire.Keepalive{})
	}
	return true
}

// write sends m together with other queued messages, and waits until gnet buffers at most
// highWater bytes. It returns false when the stream has ended.
func (w *writer) write(m wire.Message) bool {
	w.buf = w.buf[:0]
	for ok := true; ok; {
		if !w.encode(m) {
			return false
		}
		if len(w.buf) >= maxBatchBytes {
			break
		}
		m, ok = w.s.out.TryPop()
	}
	n := len(w.buf)
	if err := w.s.conn.AsyncWrite(w.buf, w.reportBuffered); err != nil {
		w.s.abort(&ErrLost, "send", err)
		return false
	}
	w.lastOut = w.s.ep.now()
	held, ok := w.awaitBuffered()
	if !ok {
		return false
	}
	w.s.ep.stats.bytesOut.Add(uint64(n))
	return held <= highWater || w.drain(highWater, nil)
}

func (w *writer) encode(m wire.Message) bool {
	cfg := &w.s.ep.cfg
	w.seq++
	*m.Header() = wire.Head{
		Sender:        w.s.ep.sender,
		Incarnation:   uint64(cfg.Incarnation),
		ConfigVersion: uint64(cfg.ConfigVersion()),
		Seq:           w.seq,
	}
	var err error
	w.buf, err = w.enc.Append(w.buf, m)
	if err != nil {
		w.s.abort(&ErrFrame, "send", err)
		return false
	}
	w.s.ep.stats.framesOut.Add(1)
	return true
}

// reportBuffered runs on the event loop and sends the size of gnet's outbound buffer to the writer.
func (w *writer) reportBuffered(c gnet.Conn, err error) error {
	if err == nil && c.Context() != nil {
		w.buffered <- c.OutboundBuffered() // the writer waits for one value at a time, so this never blocks
	}
	return nil
}

func (w *writer) awaitBuffered() (held int, ok bool) {
	select {
	case held = <-w.buffered:
		return held, true
	case <-w.s.done:
		return 0, false
	}
}

// drain waits until gnet buffers at most limit bytes, the stream ends or the deadline fires. It aborts the
// stream when the peer times out.
func (w *writer) drain(limit int, deadline <-chan time.Time) bool {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-deadline:
			return false
		case <-w.s.done:
			return false
		}
		if idle := w.s.sinceLastRead(); idle > w.s.ep.cfg.DeadAfter && !w.resumedFromPause() {
			w.s.abort(&ErrDead, "send", errs.New("nothing received for %v", idle.Round(time.Millisecond)))
			return false
		}
		if err := w.s.conn.Wake(w.reportBuffered); err != nil {
			w.s.abort(&ErrLost, "send", err)
			return false
		}
		held, ok := w.awaitBuffered()
		if !ok {
			return false
		}
		if held <= limit {
			return true
		}
	}
}

// resumedFromPause reports whether this process has just resumed after a pause. If so, it restarts the timeout of
// the peer.
func (w *writer) resumedFromPause() bool {
	now := w.s.ep.now()
	gap := now - w.lastTick
	w.lastTick = now
	if gap <= w.s.ep.cfg.DeadAfter/2 {
		return false
	}
	w.s.lastIn.Store(int64(now))
	return true
}

// closeGracefully sends all queued frames, shuts down the sending side and waits for the peer to close. An
// immediate close could reset the connection and lose frames in flight.
func (w *writer) closeGracefully() {
	s := w.s
	deadline := time.NewTimer(s.ep.cfg.FlushTimeout)
	defer deadline.Stop()
	if w.drain(0, deadline.C) {
		s.setErr(&ErrClosed, "close", nil)
		_ = s.conn.Wake(func(c gnet.Conn, err error) error {
			if err == nil && c.Context() != nil {
				_ = syscall.Shutdown(c.Fd(), syscall.SHUT_WR)
			}
			return nil
		})
		select {
		case <-s.done:
			return
		case <-deadline.C:
		}
	}
	s.abort(&ErrClosed, "close", errs.New("not flushed within %v", s.ep.cfg.FlushTimeout))
}
