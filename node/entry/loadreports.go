package entry

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/member"
	"github.com/rosemaryhill/rosemaryhill/core/peers"
	"github.com/rosemaryhill/rosemaryhill/core/placement"
	"github.com/rosemaryhill/rosemaryhill/core/quarantine"
	"github.com/rosemaryhill/rosemaryhill/core/serverlimit"
	"github.com/rosemaryhill/rosemaryhill/transport/gossip"
)

const (
	// reportSpacing is the minimum time between two load reports of a host. Hosts that do not know of a placement
	// choose the same engine, so a longer time costs on-time answers.
	reportSpacing = 5 * time.Millisecond
	// fullReportEvery is the number of report intervals after which the full load is sent again.
	fullReportEvery = 3
)

// OnLoad implements gossip.LoadHandler.
func (g *gossipHandler) OnLoad(from member.Addr, r gossip.LoadReport) {
	h := (*Host)(g)
	now := h.now()
	s := h.state
	s.mu.Lock()
	defer s.mu.Unlock()
	owner := placement.Owner(from)
	if s.peers.Observe(now, from, peers.Report{Status: r.Status, Validity: r.Validity, Known: r.KnownAddrs}) {
		s.engines.RemovePeer(owner)
		s.setLimitHosts(now)
		h.requestReport()
	}
	s.engines.ApplyPeerUpdate(now, owner, r.Update)
	if held := s.stateHeld(); r.Revision > held.Revision || r.Config > held.Config {
		signal(h.peerAhead)
	}
}

// requestReport requests that a load report is sent soon.
func (h *Host) requestReport() { signal(h.reportNeeded) }

// reportReason says why a report is sent.
type reportReason int

const (
	reportOnChange   reportReason = iota // something has changed
	reportOnInterval                     // a report interval has passed
	reportWhole                          // the same, and the full load is due
)

// outgoing is a load report with its receivers.
type outgoing struct {
	to       []member.Addr
	report   gossip.LoadReport
	evidence quarantine.Update
	limits   serverlimit.Update // for hosts that have just started
	// unreachable are the services that this host can't reach, which go with the reports that are due after an interval.
	unreachable []uint32
}

// report sends a load report.
func (h *Host) report(reason reportReason) {
	s := h.state
	s.mu.Lock()
	out := h.reportsLocked(reason)
	s.mu.Unlock()
	for _, o := range out {
		h.gossip.SendLoad(o.to, o.report)
		h.gossip.SendEvidence(o.to, o.evidence)
		h.gossip.SendLimits(o.to, h.incarnation, o.limits)
		if len(o.unreachable) > 0 {
			h.gossip.SendReach(o.to, h.incarnation, peers.Reach{Unreachable: o.unreachable, Validity: o.report.Validity})
		}
	}
}

// reportsLocked returns the reports that are due. Near peers get the changes of load. Hosts that have just started get
// the full load and the addresses of the peers that this host knows: with probes alone it would take seconds until all
// hosts know each other, and until then they would all place their requests on the same engines. The state must be
// locked.
func (h *Host) reportsLocked(reason reportReason) []outgoing {
	s := h.state
	status := h.statusLocked()
	var targets peers.Targets
	if reason == reportOnChange {
		targets = s.peers.ChangeTargets(status)
	} else {
		targets = s.peers.IntervalTargets(status)
	}
	full := reason == reportWhole || s.fullReportNeeded
	s.fullReportNeeded = false
	own, shared := s.splitUpdate(s.engines.TakeUpdate(full))
	near := gossip.LoadReport{Status: status, Validity: peers.NearValidity, Update: own}
	far := gossip.LoadReport{Status: status, Validity: targets.FarValidity}
	now := h.now()
	evidence := s.quarantine.TakeUpdate(now, reason != reportOnChange)
	var unreachable []uint32
	if reason != reportOnChange {
		unreachable = s.unreachableHashes()
	}
	out := []outgoing{
		{to: targets.Near, report: near, evidence: evidence, unreachable: unreachable},
		{to: targets.Far, report: far, evidence: evidence, unreachable: unreachable},
	}
	for part, update := range shared {
		report := far
		report.Update = update
		out = append(out, outgoing{to: s.peers.FarSharing(now, part), report: report})
	}
	if started := s.peers.TakeNew(); len(started) > 0 {
		introduction := far
		introduction.Update.Loads = s.engines.OwnLoads()
		introduction.KnownAddrs = s.peers.Sample(gossip.MaxKnownAddrs)
		out = append(out, outgoing{to: started, report: introduction, evidence: s.quarantine.Whole(now), limits: s.limits.Whole(now), unreachable: s.unreachableHashes()})
	}
	return out
}

// statusLocked returns what this host tells its peers about itself. The state must be locked.
func (h *Host) statusLocked() peers.Status {
	s := h.state
	status := peers.Status{
		Incarnation: h.incarnation, Ready: h.readyLocked(), Leaving: h.stopping(), StoreConnected: s.storeConnected,
		Zone: s.peers.Zone(), Revision: s.catalog.Revision(),
	}
	if c := s.catalog.Config(); c != nil {
		status.Config = c.Version
	}
	return status
}

// splitUpdate divides an update into the part for near peers and those for the far peers that place requests on the
// same engines, by partition. A host has load in another partition only while requests run that it placed before the
// partitions changed.
func (s *state) splitUpdate(u placement.Update) (own placement.Update, shared map[int]placement.Update) {
	if s.peers.Partitions() == 1 {
		return u, nil
	}
	shared = map[int]placement.Update{}
	deal := func(key placement.Key, add func(*placement.Update)) {
		dealUpdate(s, s.engines.EngineID(key), &own, shared, add)
	}
	for _, l := range u.Loads {
		deal(l.Engine, func(x *placement.Update) { x.Loads = append(x.Loads, l) })
	}
	for _, p := range u.Prefills {
		deal(p.Engine, func(x *placement.Update) { x.Prefills = append(x.Prefills, p) })
	}
	return own, shared
}

// dealUpdate adds an entry on a server to the updates of the peers that send it requests: the one for near peers, and by
// partition those for far peers.
func dealUpdate[U any](s *state, id ident.BackendID, near *U, far map[int]U, add func(*U)) {
	part := s.peers.PartitionOf(id)
	if s.peers.OwnsPartition(part) {
		add(near)
	}
	if part != s.peers.Partition() {
		x := far[part]
		add(&x)
		far[part] = x
	}
}
