package gateway

import (
	"sync"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/transport/link"
	"github.com/rosemaryhill/rosemaryhill/transport/ring"
	"github.com/rosemaryhill/rosemaryhill/transport/wire"
)

// inboxCapacity is the number of frames of one attempt that are queued for the caller. At 29 ms between tokens
// it holds 29 s of an answer. The attempt of a caller that falls further behind is cancelled.
const inboxCapacity = 1024

// route queues the frames of one attempt for the goroutine that serves its request.
type route struct {
	number uint64
	peer   *link.Peer
	inbox  *ring.Ring[wire.Message]
	// failed is closed when no more frames will be queued: the link is down or the inbox was full.
	failed   chan struct{}
	failOnce sync.Once
	overrun  bool // the inbox was full; set before failed is closed
}

func (r *route) fail(overrun bool) {
	r.failOnce.Do(func() {
		r.overrun = overrun
		close(r.failed)
	})
}

// routes maps attempt numbers to routes.
type routes struct {
	mu       sync.RWMutex
	byNumber map[uint64]*route
}

func newRoutes() *routes { return &routes{byNumber: map[uint64]*route{}} }

func (rs *routes) add(number uint64, p *link.Peer) *route {
	r := &route{number: number, peer: p, inbox: ring.New[wire.Message](inboxCapacity), failed: make(chan struct{})}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.byNumber[number] = r
	return r
}

func (rs *routes) remove(r *route) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	delete(rs.byNumber, r.number)
}

// find returns the route of an attempt at this peer, or nil. A frame with the same attempt number from another
// peer has no route.
func (rs *routes) find(number uint64, p *link.Peer) *route {
	rs.mu.RLock()
	defer rs.mu.RUnlock()
	if r := rs.byNumber[number]; r != nil && r.peer == p {
		return r
	}
	return nil
}

func (rs *routes) failPeer(p *link.Peer) {
	rs.mu.RLock()
	defer rs.mu.RUnlock()
	for _, r := range rs.byNumber {
		if r.peer == p {
			r.fail(false)
		}
	}
}

// outstanding returns the number of attempts in progress at each dispatcher.
func (rs *routes) outstanding() map[ident.HostID]int {
	rs.mu.RLock()
	defer rs.mu.RUnlock()
	n := map[ident.HostID]int{}
	for _, r := range rs.byNumber {
		n[r.peer.Host()]++
	}
	return n
}

// linkHandler implements link.Handler, so that its methods are not part of the API of Gateway.
type linkHandler Gateway

// OnUp implements link.Handler.
func (h *linkHandler) OnUp(p *link.Peer) {
	h.log.WithFields(fields{"peer": p.String(), "incarnation": p.Incarnation().String()}).Info("link up")
	select {
	case h.linkUp <- struct{}{}:
	default: // a signal is pending
	}
}

// OnDown implements link.Handler.
func (h *linkHandler) OnDown(p *link.Peer, err error) {
	h.log.WithFields(fields{"peer": p.String(), "error": err.Error()}).Info("link down")
	h.routes.failPeer(p)
}

// OnMessage implements link.Handler.
func (h *linkHandler) OnMessage(p *link.Peer, m wire.Message) {
	var number uint64
	switch m := m.(type) {
	case *wire.Accepted:
		number = m.Attempt
	case *wire.Token:
		number = m.Attempt
	case *wire.End:
		number = m.Attempt
	default:
		return
	}
	r := h.routes.find(number, p)
	if r == nil {
		return // the attempt was abandoned
	}
	if !r.inbox.Push(m) {
		r.fail(true)
	}
}
