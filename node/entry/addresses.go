package entry

import "net"

// maxListedAddresses is the number of addresses in an answer to callers. They use no more of a longer list.
const maxListedAddresses = 64

// addresses returns the addresses listed to callers: this host, if ready, and peers that report to be ready.
func (h *Host) addresses() []string {
	now := h.now()
	s := h.state
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	if h.readyLocked() {
		out = append(out, h.settings.HTTPAddress)
	}
	for _, addr := range s.peers.Ready(now, maxListedAddresses-len(out)) {
		out = append(out, withPort(string(addr), h.settings.HTTPAddress))
	}
	return out
}

// withPort returns the host of one address with the port of another.
func withPort(address, portSource string) string {
	host, _, _ := net.SplitHostPort(address)
	_, port, _ := net.SplitHostPort(portSource)
	return net.JoinHostPort(host, port)
}

// readyLocked reports whether the host accepts new connections. The state must be locked.
func (h *Host) readyLocked() bool {
	return !h.stopping() && h.state.catalog.Config() != nil
}

func (h *Host) ready() bool {
	h.state.mu.Lock()
	defer h.state.mu.Unlock()
	return h.readyLocked()
}
