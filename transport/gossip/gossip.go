// Package gossip carries the datagrams of core/member over UDP.
//
// Datagrams are neither authenticated nor encrypted, because gnet has no DTLS. Run it only on a trusted network.
package gossip

import (
	"context"
	"math/rand"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/rosemaryhill/rosemaryhill/core/member"
	"github.com/rosemaryhill/rosemaryhill/transport/internal/gnetlog"
	"github.com/rosemaryhill/rosemaryhill/transport/ring"
	"github.com/zeebo/errs"
)

const (
	// MaxDatagram is the maximum size of a datagram in bytes, below the smallest common path MTU.
	MaxDatagram = 1200
	// tickInterval is the time between two Ticks, well below the 250 ms above which a gap
	// counts as a pause of the process.
	tickInterval = 50 * time.Millisecond
	// inboxCapacity bounds the datagrams and events that wait for the machine. A node receives about ten
	// datagrams per second; the remaining capacity absorbs bursts of leaving marks.
	inboxCapacity = 4096
	// stopTimeout bounds the wait for gnet to stop.
	stopTimeout = 2 * time.Second
)

// ErrSocket is returned when the socket cannot be opened.
var ErrSocket = errs.Class("gossip: socket")

// Handler receives changes from the membership machine on the service's goroutine. It must not block. It may call
// View and Enqueue.
type Handler interface {
	// OnChange is called with MemberChanged, LeavingLearned and ConfigSeen actions.
	OnChange(a member.Action)
}

// Stats holds datagram counters since the start of the service.
type Stats struct {
	In, Out, BytesIn, BytesOut uint64
	Undecodable                uint64 // dropped because they could not be decoded
	Refused                    uint64 // dropped because the inbox was full or closed
	SendFailures               uint64
}

// Service runs a membership machine over UDP. One goroutine owns the machine.
type Service struct {
	gnet.BuiltinEventEngine
	handler Handler
	engine  gnet.Engine
	sock    net.PacketConn // duplicate of the listening socket, used for sending
	addr    string
	start   time.Time
	inbox   *ring.Ring[member.Event]
	codec   *codec // used by run only
	decoder *codec // used by the event loop only
	booted  chan error
	stopped chan struct{} // closed when gnet has stopped
	runDone chan struct{} // closed when run has returned
	quit    chan struct{}
	once    sync.Once

	mu      sync.Mutex
	machine *member.Machine

	dgramsIn, dgramsOut, bytesIn, bytesOut, undecodable, refused, sendFailures atomic.Uint64
}

// Listen starts the service. Port 0 in the address selects a free port. An empty cfg.Addr is replaced by
// the listening address.
func Listen(cfg member.Config, addr string, h Handler) (*Service, error) {
	s := &Service{
		handler: h,
		start:   time.Now(),
		inbox:   ring.New[member.Event](inboxCapacity),
		codec:   newCodec(),
		decoder: newCodec(),
		booted:  make(chan error, 1),
		stopped: make(chan struct{}),
		runDone: make(chan struct{}),
		quit:    make(chan struct{}),
	}
	go func() {
		defer close(s.stopped)
		if err := gnet.Run(s, "udp://"+addr, gnet.WithNumEventLoop(1), gnet.WithLogger(gnetlog.Discard{})); err != nil {
			s.booted <- err
		}
	}()
	if err := <-s.booted; err != nil {
		<-s.stopped
		return nil, ErrSocket.Wrap(errs.New("step=listen peer=%s: %v", addr, err))
	}
	if cfg.Addr == "" {
		cfg.Addr = member.Addr(s.addr)
	}
	if cfg.StartedMS == 0 {
		cfg.StartedMS = uint64(time.Now().UnixMilli())
	}
	s.machine = member.New(cfg, rand.New(rand.NewSource(int64(cfg.Incarnation))), 0)
	go s.run()
	return s, nil
}

// OnBoot implements gnet.EventHandler. The socket is bound at this point. gnet reads from it; sending
// uses a duplicated socket, because gnet exposes UDP connections only while it reads from them.
func (s *Service) OnBoot(eng gnet.Engine) gnet.Action {
	s.engine = eng
	err := s.openSendSocket(eng)
	s.booted <- err
	if err != nil {
		return gnet.Shutdown
	}
	return gnet.None
}

func (s *Service) openSendSocket(eng gnet.Engine) error {
	fd, err := eng.Dup()
	if err != nil {
		return err
	}
	f := os.NewFile(uintptr(fd), "gossip")
	defer f.Close()
	s.sock, err = net.FilePacketConn(f)
	if err != nil {
		return err
	}
	s.addr = s.sock.LocalAddr().String()
	return nil
}

// OnTraffic implements gnet.EventHandler. Each call delivers one datagram.
func (s *Service) OnTraffic(c gnet.Conn) gnet.Action {
	b, err := c.Next(-1)
	if err != nil || c.RemoteAddr() == nil {
		return gnet.None
	}
	s.dgramsIn.Add(1)
	s.bytesIn.Add(uint64(len(b)))
	if len(b) > 0 && b[0] == loadReportTag {
		s.handleLoadReport(member.Addr(c.RemoteAddr().String()), b[1:])
		return gnet.None
	}
	if len(b) > 0 && b[0] == evidenceTag {
		s.handleEvidence(member.Addr(c.RemoteAddr().String()), b[1:])
		return gnet.None
	}
	if len(b) > 0 && b[0] == limitsTag {
		s.handleLimits(member.Addr(c.RemoteAddr().String()), b[1:], decodeLimits)
		return gnet.None
	}
	if len(b) > 0 && b[0] == publishedTag {
		s.handleLimits(member.Addr(c.RemoteAddr().String()), b[1:], decodePublished)
		return gnet.None
	}
	if len(b) > 0 && b[0] == reachTag {
		s.handleReach(member.Addr(c.RemoteAddr().String()), b[1:])
		return gnet.None
	}
	msg, err := s.decoder.decode(b)
	if err != nil {
		s.undecodable.Add(1)
		return gnet.None
	}
	s.Enqueue(member.Received{From: member.Addr(c.RemoteAddr().String()), Msg: msg})
	return gnet.None
}

func (s *Service) handleLoadReport(from member.Addr, b []byte) {
	h, ok := s.handler.(LoadHandler)
	if !ok {
		return
	}
	r, err := decodeLoad(b)
	if err != nil {
		s.undecodable.Add(1)
		return
	}
	h.OnLoad(from, r)
}

func (s *Service) handleEvidence(from member.Addr, b []byte) {
	h, ok := s.handler.(EvidenceHandler)
	if !ok {
		return
	}
	u, err := decodeEvidence(b)
	if err != nil {
		s.undecodable.Add(1)
		return
	}
	h.OnEvidence(from, u)
}

// Addr returns the address that the service listens on.
func (s *Service) Addr() member.Addr { return member.Addr(s.addr) }

// Enqueue queues an event for the machine. It returns false and counts the event as refused when the inbox is full
// or closed.
func (s *Service) Enqueue(ev member.Event) bool {
	if s.inbox.Push(ev) {
		return true
	}
	s.refused.Add(1)
	return false
}

// Now returns the machine's clock, which is the time since the start of the service.
func (s *Service) Now() time.Duration { return time.Since(s.start) }

// View runs f with exclusive access to the machine. f must not retain the machine or call Step.
func (s *Service) View(f func(m *member.Machine)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.machine)
}

// run passes queued events and ticks to the machine until the service is closed.
func (s *Service) run() {
	defer close(s.runDone)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case ev := <-s.inbox.Items():
			s.step(ev)
		case <-ticker.C:
			s.step(member.Tick{})
		case <-s.quit:
			for ev, ok := s.inbox.TryPop(); ok; ev, ok = s.inbox.TryPop() {
				s.step(ev) // for example the UpdateLocal that announces that this process is leaving
			}
			return
		}
	}
}

func (s *Service) step(ev member.Event) {
	s.mu.Lock()
	actions := s.machine.Step(s.Now(), ev)
	s.mu.Unlock()
	for _, a := range actions {
		if send, ok := a.(member.Send); ok {
			s.send(send)
		} else {
			s.handler.OnChange(a)
		}
	}
}

func (s *Service) send(a member.Send) {
	b, err := s.codec.encode(a.Msg)
	if err != nil {
		s.sendFailures.Add(1)
		return
	}
	s.write(a.To, b)
}

func (s *Service) write(addr member.Addr, b []byte) {
	to, err := netip.ParseAddrPort(string(addr))
	if err == nil {
		_, err = s.sock.WriteTo(b, net.UDPAddrFromAddrPort(to))
	}
	if err != nil {
		s.sendFailures.Add(1)
		return
	}
	s.dgramsOut.Add(1)
	s.bytesOut.Add(uint64(len(b)))
}

// Stats returns the counters.
func (s *Service) Stats() Stats {
	return Stats{
		In:           s.dgramsIn.Load(),
		Out:          s.dgramsOut.Load(),
		BytesIn:      s.bytesIn.Load(),
		BytesOut:     s.bytesOut.Load(),
		Undecodable:  s.undecodable.Load(),
		Refused:      s.refused.Load(),
		SendFailures: s.sendFailures.Load(),
	}
}

// Close processes the queued events and stops the service. Before Close, announce the leave with an
// UpdateLocal event and wait a few seconds, so that the announcement can be repeated.
func (s *Service) Close(ctx context.Context) error {
	s.once.Do(func() { close(s.quit) })
	select {
	case <-s.runDone:
	case <-ctx.Done():
		return ctx.Err()
	}
	// Stop polls for completion only every 500 ms. With a cancelled context it returns right after requesting the stop.
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	_ = s.engine.Stop(cancelled)
	select {
	case <-s.stopped:
	case <-time.After(stopTimeout):
	}
	return s.sock.Close()
}
