package entry

import (
	"context"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
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
	s := p.host.state
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := &control.StateReply{Revision: s.catalog.Revision()}
	c := s.catalog.Config()
	if c == nil || (c.Version <= req.Config && reply.Revision <= req.Revision) {
		return reply, nil
	}
	changes, ok := s.catalog.Since(req.Revision)
	if ok && req.Config != 0 {
		reply.Changes = changes
		return reply, nil
	}
	snapshot := s.catalog.Snapshot()
	reply.State = &snapshot
	return reply, nil
}

// fetchFromPeer fetches from the peer with the newest platform state what this host lacks.
func (h *Host) fetchFromPeer(ctx context.Context) {
	addr, req, ok := h.newestPeer()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := h.peerClient.State(ctx, addr, &req)
	if err != nil {
		h.log.WithFields(fields{"peer": addr, "error": err.Error()}).Warn("peer state not read")
		return
	}
	if reply.State == nil && len(reply.Changes) == 0 {
		return
	}
	h.updateCatalog("peer "+addr, func(t *catalog.Table) bool {
		if reply.State != nil {
			return t.Replace(h.now(), *reply.State)
		}
		refused := t.Apply(h.now(), reply.Changes)
		t.Advance(reply.Revision)
		return refused
	})
}

// newestPeer returns the control address of the peer with the newest platform state, if it is newer than this
// host's.
func (h *Host) newestPeer() (address string, req control.StateRequest, ok bool) {
	now := h.now()
	s := h.state
	s.mu.Lock()
	defer s.mu.Unlock()
	req.Revision = s.catalog.Revision()
	if c := s.catalog.Config(); c != nil {
		req.Config = c.Version
	}
	p := s.peers.Newest(now, req.Revision, req.Config)
	if p == nil {
		return "", req, false
	}
	return withPort(string(p.Addr), h.settings.ControlAddress), req, true
}
