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
	// reportInterval is the longest time between two load reports; a host that sends none is silent.
	reportInterval = 250 * time.Millisecond
	// reportSpacing is the shortest time between two load reports of one host.
	reportSpacing = 5 * time.Millisecond
	// pauseGap is the gap between two ticks above which the process was paused: two report intervals, since
	// slow hosts delay timers.
	pauseGap = 2 * reportInterval
	// fullReports is the number of report intervals after which the whole load is sent again.
	fullReports = 3
	// silence is the time without a report after which a peer is not handed out to callers and its load does
	// not count: four reports.
	silence = 1100 * time.Millisecond
	// contactTime is how long a host that others named gets reports before it answers.
	contactTime = 3 * time.Second
	// forgetPeer is the time after which a silent peer no longer shares the retry budget, twice its window.
	forgetPeer = 20 * time.Second
)

// gossipHandler keeps the methods of gossip.Handler out of Host's own.
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
		delete(s.contacts, from)
	}
	owner := placement.Owner(from)
	if p.incarnation != r.Incarnation {
		s.engines.RemovePeer(owner)
		s.newcomers = append(s.newcomers, from)
		h.changed()
	}
	for _, addr := range r.KnownAddrs {
		if s.peers[addr] == nil && addr != g.gossip.Addr() {
			s.contacts[addr] = now + contactTime
		}
	}
	*p = peer{
		heard: now, incarnation: r.Incarnation, ready: r.Ready, leaving: r.Leaving, connected: r.StoreConnected,
		zone: r.ZoneHash, config: r.Config, revision: r.Revision,
	}
	s.engines.ApplyPeerUpdate(now, owner, r.Update)
	if r.Revision > s.catalog.Revision() {
		signal(h.behind)
	}
}

// changed asks for a load report soon.
func (h *Host) changed() { signal(h.wake) }

// signal wakes the receiver, unless it has been woken already.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// tick sends load reports and runs the timers of the state.
func (h *Host) tick() {
	timer := time.NewTimer(reportInterval)
	defer timer.Stop()
	pauses := pause.New(pause.Config{Gap: pauseGap})
	for intervals := 0; ; {
		full := false
		select {
		case <-h.ctx.Done():
			return
		case <-h.wake:
			time.Sleep(reportSpacing)
		case <-timer.C:
			full = intervals%fullReports == 0
			intervals++
			timer.Reset(reportInterval)
		}
		if gap, paused := pauses.Tick(h.now()); paused {
			h.log.WithField("gap_ms", gap.Milliseconds()).Warn("process was paused")
			signal(h.resync)
		}
		h.maintain()
		h.report(full)
	}
}

// maintain drops what has expired.
func (h *Host) maintain() {
	now := h.now()
	s := h.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.catalog.Tick(now) {
		s.published()
	}
	for addr, p := range s.peers {
		if now-p.heard > silence {
			s.engines.RemovePeer(placement.Owner(addr))
		}
		if now-p.heard > forgetPeer {
			delete(s.peers, addr)
		}
	}
}

// report sends the load to all other hosts, and whom this host knows to those that have just started:
// probes alone would take seconds to bring all of them together, and until then every host would place
// its requests on the same engines.
func (h *Host) report(full bool) {
	members := h.members()
	s := h.state
	s.mu.Lock()
	newcomers := s.newcomers
	s.newcomers = nil
	to := s.reportTo(h.now(), members)
	r := gossip.LoadReport{
		Incarnation: h.incarnation, Ready: h.readyLocked(), Leaving: h.stopping.Load(), StoreConnected: s.connected,
		ZoneHash: s.zone, Revision: s.catalog.Revision(), Update: s.engines.TakeUpdate(full),
	}
	if c := s.catalog.Config(); c != nil {
		r.Config = c.Version
	}
	greeting := r
	greeting.Update = placement.Update{}
	if len(newcomers) > 0 {
		greeting.Update.Loads = s.engines.OwnLoads()
		greeting.KnownAddrs = s.known()
	}
	s.mu.Unlock()
	h.gossip.SendLoad(to, r)
	if len(newcomers) > 0 {
		h.gossip.SendLoad(newcomers, greeting)
	}
}

// reportTo returns all hosts that are known in any way: by membership, by their reports, by the settings
// or because another host named them.
func (s *state) reportTo(now time.Duration, members []member.Addr) []member.Addr {
	all := map[member.Addr]bool{}
	for _, addr := range members {
		all[addr] = true
	}
	for addr := range s.peers {
		all[addr] = true
	}
	for addr, until := range s.contacts {
		if now > until {
			delete(s.contacts, addr)
			continue
		}
		all[addr] = true
	}
	if now < contactTime {
		for _, seed := range s.seeds {
			all[seed.Addr] = true
		}
	}
	return slices.Collect(maps.Keys(all))
}

// known returns addresses of hosts that were heard, at most as many as fit a report.
func (s *state) known() []member.Addr {
	var out []member.Addr
	for addr := range s.peers { // in random order, so that several reports together name all hosts of a large fleet
		if len(out) == gossip.MaxKnownAddrs {
			break
		}
		out = append(out, addr)
	}
	return out
}

// members returns the gossip addresses of the other entry hosts that are not known to be dead.
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

// addresses returns the addresses for callers: this host and all that report to be ready.
func (h *Host) addresses() []string {
	now := h.now()
	s := h.state
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	if h.readyLocked() {
		out = append(out, h.set.HTTPAddress)
	}
	for addr, p := range s.peers {
		if p.ready && !p.leaving && now-p.heard < silence {
			out = append(out, withPort(string(addr), h.set.HTTPAddress))
		}
	}
	return out
}

// withPort returns the host of one address with the port of another.
func withPort(address, like string) string {
	host, _, _ := net.SplitHostPort(address)
	_, port, _ := net.SplitHostPort(like)
	return net.JoinHostPort(host, port)
}

// readyLocked reports whether new connections are welcome. The state must be locked.
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

// askPeers takes over what the peer with the newest view knows beyond this host.
func (h *Host) askPeers(ctx context.Context) {
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
	h.publish("peer "+addr, func(t *catalog.Table) bool {
		if reply.State != nil {
			return t.Replace(h.now(), *reply.State)
		}
		refused := t.Apply(h.now(), reply.Changes)
		t.Advance(reply.Revision)
		return refused
	})
}

// newestPeer returns the control address of the peer with the newest view, if it is newer than the own.
func (h *Host) newestPeer() (address string, req control.StateRequest, ok bool) {
	now := h.now()
	s := h.state
	s.mu.Lock()
	defer s.mu.Unlock()
	req.Revision = s.catalog.Revision()
	if c := s.catalog.Config(); c != nil {
		req.Config = c.Version
	}
	best, near := req.Revision, false
	for addr, p := range s.peers {
		if now-p.heard >= silence || p.revision <= req.Revision && p.config <= req.Config {
			continue
		}
		same := p.zone == s.zone
		// Hosts of the own availability zone go first: traffic between zones is slower and dearer.
		if !ok || (same && !near) || (same == near && p.revision > best) {
			best, near, ok = p.revision, same, true
			address = withPort(string(addr), h.set.ControlAddress)
		}
	}
	return address, req, ok
}
