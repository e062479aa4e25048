package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/peers"
	"github.com/rosemaryhill/rosemaryhill/transport/control"
)

// peerTimeout bounds a call to another entry host, which answers within a few ms.
const peerTimeout = 400 * time.Millisecond

// peerHandler answers the control calls of other entry hosts.
type peerHandler struct {
	control.Unsupported
	host *Host
}

// State implements control.Handler.
func (p peerHandler) State(_ context.Context, req *control.StateRequest) (*control.StateReply, error) {
	return p.host.stateReplies.get(p.host, *req)
}

// stateReplies keeps the replies to other hosts for a short time. After a change all hosts of an availability zone ask
// for the same, and encoding a large configuration for each of them would take longer than they wait.
type stateReplies struct {
	mu      sync.Mutex
	of      control.StateRequest // revision and configuration version that the replies lead to
	expires time.Duration        // time until which the replies are used
	replies map[control.StateRequest]*control.StateReply
}

// replyLifetime is how long a reply is used again. It is limited because servers can lapse without a new revision.
const replyLifetime = 500 * time.Millisecond

// get returns the reply to a request. The replies are encoded one at a time, so that the first ones leave early.
func (r *stateReplies) get(h *Host, req control.StateRequest) (*control.StateReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, held := h.now(), h.stateHeld()
	if held != r.of || now >= r.expires {
		r.of, r.expires = held, now+replyLifetime
		r.replies = map[control.StateRequest]*control.StateReply{}
	}
	if reply := r.replies[req]; reply != nil {
		return reply, nil
	}
	reply := h.stateReply(req)
	if err := reply.Encode(); err != nil {
		return nil, err
	}
	r.replies[req] = reply
	return reply, nil
}

// revision returns the latest store revision that this host has seen.
func (h *Host) revision() ident.Revision {
	h.state.mu.Lock()
	defer h.state.mu.Unlock()
	return h.state.catalog.Revision()
}

// stateHeld returns the revision and the configuration version that this host holds, as it asks peers for newer ones.
func (h *Host) stateHeld() control.StateRequest {
	h.state.mu.Lock()
	defer h.state.mu.Unlock()
	return h.state.stateHeld()
}

func (s *state) stateHeld() control.StateRequest {
	held := control.StateRequest{Revision: s.catalog.Revision()}
	if c := s.catalog.Config(); c != nil {
		held.Config = c.Version
	}
	return held
}

// stateReply returns what a peer lacks.
func (h *Host) stateReply(req control.StateRequest) *control.StateReply {
	s := h.state
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.catalog.Config()
	if c == nil {
		return &control.StateReply{}
	}
	reply := &control.StateReply{Revision: s.catalog.Revision()}
	if c.Version <= req.Config && reply.Revision <= req.Revision {
		return reply
	}
	reply.State, reply.Changes = s.catalog.ForPeer(req.Revision, req.Config)
	return reply
}

// peerScope says which peers a host fetches state from.
type peerScope int

const (
	// ownZone spares the other availability zones the traffic of the whole fleet: each zone has readers of the store.
	ownZone peerScope = iota
	anyZone
)

// fetchFromPeer fetches what this host lacks from a peer with newer platform state.
func (h *Host) fetchFromPeer(ctx context.Context, scope peerScope) {
	addr, req, ok := h.peerAheadIn(scope)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := h.peerClient.State(ctx, addr, &req)
	h.recordPeerCall(addr, err == nil)
	if err != nil {
		h.log.WithFields(fields{"peer": addr, "error": err.Error()}).Warn("peer state not read")
		return
	}
	h.applyReply(addr, req, reply)
}

// maxPeerFailures is the number of calls to peers in a row that may fail before a host that follows them reads the store. One fails
// where a peer has just died: if that were enough, the calls to the store would grow with the fleet.
const maxPeerFailures = 2

// peerCalls holds the outcome of the last calls to peers for their state.
type peerCalls struct {
	failures int    // in a row
	failed   string // control address of the peer whose call has failed last
}

func (h *Host) recordPeerCall(addr string, ok bool) {
	s := h.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok {
		s.peerCalls = peerCalls{}
		return
	}
	s.peerCalls.failures++
	s.peerCalls.failed = addr
}

// resetPeerCalls lets peers be asked again before the store is.
func (h *Host) resetPeerCalls() {
	h.state.mu.Lock()
	defer h.state.mu.Unlock()
	h.state.peerCalls = peerCalls{}
}

// peersFail reports whether the store has to be read since calls to peers fail.
func (h *Host) peersFail() bool {
	h.state.mu.Lock()
	defer h.state.mu.Unlock()
	return h.state.peerCalls.failures >= maxPeerFailures
}

// applyReply applies a peer's reply to a request of this host.
func (h *Host) applyReply(addr string, req control.StateRequest, reply *control.StateReply) {
	if reply.State == nil && len(reply.Changes) == 0 {
		// What the store has changed since is nothing that hosts hold. A host that did not move on would ask again.
		if req.Config != 0 {
			h.advance(reply.Revision)
		}
		return
	}
	h.updateCatalog("peer "+addr, func(t *catalog.Table) bool {
		if reply.State != nil {
			state := *reply.State
			if state.Evacuations == nil { // from a build that does not know evacuations
				state.Evacuations = t.Evacuations()
			}
			return t.Replace(h.now(), state)
		}
		refused := t.Apply(h.now(), reply.Changes)
		t.Advance(reply.Revision)
		return refused
	})
}

// peerAheadIn returns the control address of a peer with newer platform state than this host's, and the request to
// send. It chooses at random, so that a fleet that lacks the same change does not ask one peer, and the one whose call has failed
// last only if there is no other. ok is false if there is none.
func (h *Host) peerAheadIn(scope peerScope) (address string, req control.StateRequest, ok bool) {
	now := h.now()
	s := h.state
	s.mu.Lock()
	defer s.mu.Unlock()
	req = s.stateHeld()
	ahead := s.peers.Ahead(now, req.Revision, req.Config)
	if scope == ownZone {
		ahead = slices.DeleteFunc(ahead, func(p *peers.Peer) bool { return p.Zone != s.peers.Zone() })
	}
	if len(ahead) == 0 {
		return "", req, false
	}
	at := s.rng.Intn(len(ahead))
	address = withPort(string(ahead[at].Addr), h.settings.ControlAddress)
	if address == s.peerCalls.failed && len(ahead) > 1 {
		next := ahead[(at+1+s.rng.Intn(len(ahead)-1))%len(ahead)]
		address = withPort(string(next.Addr), h.settings.ControlAddress)
	}
	return address, req, true
}
