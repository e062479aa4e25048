package link

import (
	"context"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/rosemaryhill/rosemaryhill/transport/internal/gnetlog"
	"github.com/zeebo/errs"
)

// Stats holds counters since the start of a server or client.
type Stats struct {
	Up                uint64 // links that came up
	Down              uint64 // links that ended after they came up
	DialFailures      uint64
	HandshakeFailures uint64 // connections that ended before the handshake completed
	BadFrames         uint64 // frames that could not be decoded
	BadSequences      uint64 // frames that were missing, repeated or reordered
	Refused           uint64 // sends refused by a full outbound ring
	FramesIn          uint64
	FramesOut         uint64
	BytesIn           uint64
	BytesOut          uint64
}

type counters struct {
	up, down, dialFailures, handshakeFailures, badFrames, badSequences atomic.Uint64
	refused, framesIn, framesOut, bytesIn, bytesOut                    atomic.Uint64
}

func (c *counters) snapshot() Stats {
	return Stats{
		Up:                c.up.Load(),
		Down:              c.down.Load(),
		DialFailures:      c.dialFailures.Load(),
		HandshakeFailures: c.handshakeFailures.Load(),
		BadFrames:         c.badFrames.Load(),
		BadSequences:      c.badSequences.Load(),
		Refused:           c.refused.Load(),
		FramesIn:          c.framesIn.Load(),
		FramesOut:         c.framesOut.Load(),
		BytesIn:           c.bytesIn.Load(),
		BytesOut:          c.bytesOut.Load(),
	}
}

// endpoint is the part that Server and Client share. It implements gnet.EventHandler.
type endpoint struct {
	gnet.BuiltinEventEngine
	cfg     Config
	sender  string
	handler Handler
	start   time.Time
	stats   counters
	wg      sync.WaitGroup // writer and delivery goroutines

	mu      sync.Mutex
	streams map[*stream]*Peer  // all open streams; the peer is nil until its Hello arrives
	byName  map[string]*stream // newest stream of each peer that is up
	closing bool
}

func newEndpoint(cfg Config, h Handler) (*endpoint, error) {
	cfg = cfg.withDefaults()
	if cfg.Host == "" || cfg.Role == "" || cfg.Incarnation == 0 {
		return nil, wrapErr(&ErrHandshake, "configure", cfg.sender(), errs.New("host, role and incarnation are required"))
	}
	return &endpoint{
		cfg:     cfg,
		sender:  cfg.sender(),
		handler: h,
		start:   time.Now(),
		streams: map[*stream]*Peer{},
		byName:  map[string]*stream{},
	}, nil
}

func (e *endpoint) now() time.Duration { return time.Since(e.start) }

func (e *endpoint) options() []gnet.Option {
	return []gnet.Option{
		gnet.WithNumEventLoop(e.cfg.EventLoops),
		gnet.WithReuseAddr(true), // lets a restarted server bind its address while old connections are in TIME_WAIT
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithLogger(gnetlog.Discard{}),
	}
}

// add registers a new stream unless the endpoint is closing or has MaxPeers streams.
func (e *endpoint) add(s *stream) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closing || len(e.streams) >= e.cfg.MaxPeers {
		return false
	}
	e.streams[s] = nil
	e.wg.Add(2) // writer and delivery goroutine; added under the lock, so that closeStreams waits for them
	return true
}

// setPeer records the peer of a stream after its Hello. An older link of the same peer is closed, because the
// peer connects again only after it lost the old link.
func (e *endpoint) setPeer(p *Peer) {
	e.mu.Lock()
	old := e.byName[p.name]
	e.streams[p.stream] = p
	e.byName[p.name] = p.stream
	e.mu.Unlock()
	if old != nil {
		old.abort(&ErrReplaced, "hello", nil)
	}
}

func (e *endpoint) remove(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := e.streams[s]; p != nil && e.byName[p.name] == s {
		delete(e.byName, p.name)
	}
	delete(e.streams, s)
}

func (e *endpoint) peerOf(s *stream) *Peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[s]
}

func (e *endpoint) peers() []*Peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	peers := make([]*Peer, 0, len(e.byName))
	for _, s := range e.byName {
		peers = append(peers, e.streams[s])
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].name < peers[j].name })
	return peers
}

// closeStreams rejects new streams, closes the open ones and waits for their goroutines.
func (e *endpoint) closeStreams(ctx context.Context) error {
	e.mu.Lock()
	e.closing = true
	for s := range e.streams {
		s.close()
	}
	e.mu.Unlock()
	done := make(chan struct{})
	go func() {
		e.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return wrapErr(&ErrClosed, "close", e.sender, ctx.Err())
	}
}

// OnOpen implements gnet.EventHandler. The context of a client connection is already set to its stream.
func (e *endpoint) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	s, _ := c.Context().(*stream)
	if s == nil {
		s = newStream(e, c.RemoteAddr().String(), "")
	}
	if !e.add(s) {
		return nil, gnet.Close
	}
	c.SetContext(s)
	s.onOpen(c)
	return nil, gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (e *endpoint) OnTraffic(c gnet.Conn) gnet.Action {
	if s, _ := c.Context().(*stream); s != nil && c.InboundBuffered() > 0 {
		return s.onTraffic(c)
	}
	return gnet.None
}

// OnClose implements gnet.EventHandler.
func (e *endpoint) OnClose(c gnet.Conn, err error) gnet.Action {
	if s, _ := c.Context().(*stream); s != nil && s.opened.Load() {
		s.onClose(c.InboundBuffered(), err)
	}
	return gnet.None
}
