package entry

import (
	"context"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/member"
	"github.com/rosemaryhill/rosemaryhill/core/pause"
	"github.com/rosemaryhill/rosemaryhill/core/placement"
	"github.com/rosemaryhill/rosemaryhill/transport/control"
	"github.com/rosemaryhill/rosemaryhill/transport/gossip"
)

const (
	// peerTimeout bounds a call to another entry host, which answers within a few ms.
	peerTimeout = 400 * time.Millisecond
	// reportInterval is the maximum time between two load reports of a host.
	reportInterval = 250 * time.Millisecond
	// reportSpacing is the minimum time between two load reports of a host.
	reportSpacing = 5 * time.Millisecond
	// pauseGap is the time between two ticks above which the process is taken to have been paused. It is two
	// report intervals, since slow hosts delay timers.
	pauseGap = 2 * reportInterval
	// fullReportEvery is the number of report intervals after which the full load is sent again.
	fullReportEvery = 3
	// peerExpiry is the time without a report, about four report intervals, after which a peer is no longer
	// listed to callers and its load is no longer counted.
	peerExpiry = 1100 * time.Millisecond
	// unconfirmedPeerTTL is how long a host that other peers named is sent reports before it has sent one
	// itself.
	unconfirmedPeerTTL = 3 * time.Second
	// forgetPeerAfter is the time without a report after which a peer no longer shares the retry budget: twice
	// the budget's window.
	forgetPeerAfter = 20 * time.Second
)

// gossipHandler implements gossip.Handler, so that its methods are not part of Host's API.
type gossipHandler Host

// OnChange implements gossip.Handler.
func (g *gossipHandler) OnChange(a member.Action) {
	if m, ok := a.(member.MemberChanged); ok {
		g.log.WithFields(fields{"member": m.Member.ID, "state": m.Member.State, "leaving": m.Member.Leaving}).Info("member changed")
	}
}

// OnLoad implements gossip.LoadHandler.
func (g *gossipHandler) OnLoad(from member.Addr, r gossip.LoadReport) {
	h := (*Host)(g)
	now := h.now()
	s := h.state
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peers[from]
	if p == nil {
		p = &peer{}
		s.peers[from] = p
		delete(s.unconfirmedPeers, from)
	}
	owner := placement.Owner(from)
	if p.incarnation != r.Incarnation {
		s.engines.RemovePeer(owner)
		s.newPeers = append(s.newPeers, from)
		h.requestReport()
	}
	for _, addr := range r.KnownAddrs {
		if s.peers[addr] == nil && addr != g.gossip.Addr() {
			s.unconfirmedPeers[addr] = now + unconfirmedPeerTTL
		}
	}
	*p = peer{
		lastReport: now, incarnation: r.Incarnation, ready: r.Ready, leaving: r.Leaving, storeConnected: r.StoreConnected,
		zone: r.ZoneHash, config: r.Config, revision: r.Revision,
	}
	s.engines.ApplyPeerUpdate(now, owner, r.Update)
	if r.Revision > s.catalog.Revision() {
		signal(h.peerAhead)
	}
}

// requestReport requests that a load report is sent soon.
func (h *Host) requestReport() { signal(h.reportNeeded) }

// signal wakes the receiver of c, unless a signal is already pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// tick sends load reports, detects pauses of the process and expires old state.
func (h *Host) tick() {
	timer := time.NewTimer(reportInterval)
	defer timer.Stop()
	pauses := pause.New(pause.Config{Gap: pauseGap})
	for intervals := 0; ; {
		full := false
		select {
		case <-h.ctx.Done():
			return
		case <-h.reportNeeded:
			time.Sleep(reportSpacing)
		case <-timer.C:
			full = intervals%fullReportEvery == 0
			intervals++
			timer.Reset(reportInterval)
		}
		if gap, paused := pauses.Tick(h.now()); paused {
			h.log.WithField("gap_ms", gap.Milliseconds()).Warn("process was paused")
			signal(h.resync)
		}
		h.expire()
		h.report(full)
	}
}

// expire drops servers whose store entries have lapsed and peers that no longer report.
func (h *Host) expire() {
	now := h.now()
	s := h.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.catalog.Tick(now) {
		s.syncEngines()
	}
	for addr, p := range s.peers {
		if now-p.lastReport > peerExpiry {
			s.engines.RemovePeer(placement.Owner(addr))
		}
		if now-p.lastReport > forgetPeerAfter {
			delete(s.peers, addr)
		}
	}
}

// report sends the load report to all other hosts. Hosts that have just started also get the addresses of the
// peers that this host knows: with probes alone it would take seconds until all hosts know each other, and
// until then they would all place their requests on the same engines.
func (h *Host) report(full bool) {
	members := h.members()
	s := h.state
	s.mu.Lock()
	newPeers := s.newPeers
	s.newPeers = nil
	to := s.reportTargets(h.now(), members)
	r := gossip.LoadReport{
		Incarnation: h.incarnation, Ready: h.readyLocked(), Leaving: h.stopping.Load(), StoreConnected: s.storeConnected,
		ZoneHash: s.zone, Revision: s.catalog.Revision(), Update: s.engines.TakeUpdate(full),
	}
	if c := s.catalog.Config(); c != nil {
		r.Config = c.Version
	}
	introduction := r
	introduction.Update = placement.Update{}
	if len(newPeers) > 0 {
		introduction.Update.Loads = s.engines.OwnLoads()
		introduction.KnownAddrs = s.knownPeers()
	}
	s.mu.Unlock()
	h.gossip.SendLoad(to, r)
	if len(newPeers) > 0 {
		h.gossip.SendLoad(newPeers, introduction)
	}
}

// reportTargets returns all hosts known by membership, by their reports, from the settings, or because another
// host named them.
func (s *state) reportTargets(now time.Duration, members []member.Addr) []member.Addr {
	all := map[member.Addr]bool{}
	for _, addr := range members {
		all[addr] = true
	}
	for addr := range s.peers {
		all[addr] = true
	}
	for addr, until := range s.unconfirmedPeers {
		if now > until {
			delete(s.unconfirmedPeers, addr)
			continue
		}
		all[addr] = true
	}
	if now < unconfirmedPeerTTL {
		for _, seed := range s.seeds {
			all[seed.Addr] = true
		}
	}
	return slices.Collect(maps.Keys(all))
}

// knownPeers returns addresses of peers that have sent a report, at most as many as fit in a report.
func (s *state) knownPeers() []member.Addr {
	var out []member.Addr
	for addr := range s.peers { // in random order, so that several reports together cover a large fleet
		if len(out) == gossip.MaxKnownAddrs {
			break
		}
		out = append(out, addr)
	}
	return out
}

// members returns the gossip addresses of the other entry hosts that are not considered dead.
func (h *Host) members() []member.Addr {
	var out []member.Addr
	own := h.gossip.Addr()
	h.gossip.View(func(m *member.Machine) {
		for _, x := range m.Members() {
			if x.State != member.Dead && x.Addr != own {
				out = append(out, x.Addr)
			}
		}
	})
	return out
}

// addresses returns the addresses listed to callers: this host, if ready, and all peers that report to be
// ready.
func (h *Host) addresses() []string {
	now := h.now()
	s := h.state
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	if h.readyLocked() {
		out = append(out, h.settings.HTTPAddress)
	}
	for addr, p := range s.peers {
		if p.ready && !p.leaving && now-p.lastReport < peerExpiry {
			out = append(out, withPort(string(addr), h.settings.HTTPAddress))
		}
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
	return !h.stopping.Load() && h.state.catalog.Config() != nil
}

func (h *Host) ready() bool {
	h.state.mu.Lock()
	defer h.state.mu.Unlock()
	return h.readyLocked()
}

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
	best, bestInZone := req.Revision, false
	for addr, p := range s.peers {
		if now-p.lastReport >= peerExpiry || p.revision <= req.Revision && p.config <= req.Config {
			continue
		}
		sameZone := p.zone == s.zone
		// Peers in the same availability zone are preferred: traffic between zones is slower and costs more.
		if !ok || (sameZone && !bestInZone) || (sameZone == bestInZone && p.revision > best) {
			best, bestInZone, ok = p.revision, sameZone, true
			address = withPort(string(addr), h.settings.ControlAddress)
		}
	}
	return address, req, ok
}
