package entry

import (
	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// errNotWanted is the reason why nothing was sent to a server that was chosen a moment before.
var errNotWanted = Error.New("the server takes no new work")

// recordNotice records what a server, in the lifetime that began at the given start, has said about itself.
func (h *Host) recordNotice(id ident.BackendID, started int64, n Notice) {
	if !n.Leaving {
		return
	}
	s := h.state
	s.mu.Lock()
	news := s.catalog.MarkLeaving(id, started)
	if news {
		s.syncEngines(h.now())
	}
	s.mu.Unlock()
	if news {
		h.metrics.notices.Add(1, noticeLeaving)
		h.log.WithField("server", id).Info("server leaving")
		h.requestReport()
	}
}

// wants reports whether a server still takes new work, in the lifetime in which it was chosen.
func (h *Host) wants(srv catalog.Server) bool {
	h.state.mu.Lock()
	defer h.state.mu.Unlock()
	now, usable := h.state.catalog.Server(srv.ID)
	return usable && now.Started == srv.Started
}
