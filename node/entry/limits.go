package entry

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/member"
	"github.com/rosemaryhill/rosemaryhill/core/placement"
	"github.com/rosemaryhill/rosemaryhill/core/serverlimit"
)

// heardFromServer is the source of a limit that a server has named itself, as logged; else it is the address of a peer.
const heardFromServer = "server"

// hearLimit records what a server has said about its limit, if it has said anything, with the answer to a request or order that
// was sent at a time. It reports whether that is new. An answer that names none ends a limit only if its request was sent after
// the limit was heard: else it may be older than the limit, since answers overtake each other. The state must be locked.
func (s *state) hearLimit(now, sentAt time.Duration, id ident.BackendID, started int64, said *serverlimit.Statement) (changed bool) {
	if said == nil || (!said.Limited && sentAt < s.limitHeard[id]) {
		return false
	}
	if changed = s.limits.Hear(now, id, started, *said); changed {
		s.noteLimit(now, id, said.Limited)
	}
	return changed
}

// noteLimit keeps when a limit was heard. The state must be locked.
func (s *state) noteLimit(now time.Duration, id ident.BackendID, limited bool) {
	if !limited {
		delete(s.limitHeard, id)
		return
	}
	s.limitHeard[id] = now
}

// recordLimit logs and counts that a server has named another limit, or none any more.
func (h *Host) recordLimit(id ident.BackendID, said serverlimit.Statement, from string) {
	h.metrics.notices.Add(1, noticeLimit)
	if !said.Limited {
		h.decisions.write(fields{"server": id, "from": from}, "server limit ended")
		return
	}
	h.decisions.write(fields{"server": id, "per_second": said.PerSecond, "from": from}, "server limits requests")
}

// countSent takes a request, a part of a prompt or an order from the limit of the server that it is sent to. The state must be
// locked.
func (h *Host) countSent(now time.Duration, id ident.BackendID) {
	if _, _, limited := h.state.limits.InForce(now, id); limited {
		h.state.limits.Take(now, id)
		signal(h.limitNews)
	}
}

// countOrder is countSent for an order to an engine. Orders are sent whether the limit has room or not: without a renewal a
// request would be cancelled, and without a release its memory stays reserved.
func (h *Host) countOrder(id ident.BackendID) {
	h.state.mu.Lock()
	defer h.state.mu.Unlock()
	h.countSent(h.now(), id)
}

// place accounts for the load of a choice and for what it sends to limited servers. The state must be locked.
func (h *Host) place(now time.Duration, choice placement.Choice) *placement.PlacedRequest {
	h.countSent(now, choice.Engine)
	for _, id := range choice.Helpers {
		h.countSent(now, id)
	}
	return h.state.engines.Place(now, choice)
}

// setLimitHosts sets the numbers of hosts that share the limits. The state must be locked.
func (s *state) setLimitHosts(now time.Duration) {
	s.sharingHosts = 1 + len(s.peers.Live(now))
	s.hostsCounted = now
	s.limits.SetFreshHosts(now, s.peers.Fresh(now), s.sharingHosts-1, s.peers.MayServe(now))
}

// OnLimits implements gossip.LimitsHandler.
func (g *gossipHandler) OnLimits(from member.Addr, incarnation ident.Incarnation, u serverlimit.Update) {
	h := (*Host)(g)
	now := h.now()
	s := h.state
	said := map[ident.BackendID]serverlimit.Statement{}
	s.mu.Lock()
	for _, x := range u.Published {
		s.cold.Hear(now, x.Server, x.Started, x.Left, x.AsOf)
	}
	s.publishCold(now)
	for _, id := range s.limits.Apply(now, from, incarnation, u) {
		perSecond, limited := s.limits.Limit(id)
		s.noteLimit(now, id, limited)
		said[id] = serverlimit.Statement{Limited: limited, PerSecond: perSecond}
	}
	_, due := s.limits.NextUpdate()
	s.mu.Unlock()
	if due {
		signal(h.limitNews)
	}
	for id, x := range said {
		h.recordLimit(id, x, string(from))
	}
	if len(u.Published) > 0 {
		h.logCold()
	}
}

// reportLimits tells other hosts at once what this one sends to limited servers, and repeats it as core/serverlimit asks.
func (h *Host) reportLimits() {
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-h.limitNews:
		}
		h.sendLimits(false)
		time.Sleep(reportSpacing)
		h.state.mu.Lock()
		at, due := h.state.limits.NextUpdate()
		h.state.mu.Unlock()
		if due {
			time.AfterFunc(at-h.now(), func() { signal(h.limitNews) })
		}
	}
}

// outgoingLimits is an update with its receivers.
type outgoingLimits struct {
	to     []member.Addr
	update serverlimit.Update
}

// sendLimits sends the other hosts what is due.
func (h *Host) sendLimits(interval bool) {
	now := h.now()
	s := h.state
	s.mu.Lock()
	out := s.limitUpdates(now, s.limits.TakeUpdate(now, interval))
	s.mu.Unlock()
	for _, o := range out {
		h.gossip.SendLimits(o.to, h.incarnation, o.update)
	}
}

// limitUpdates divides an update among the hosts that may send to its servers: near peers, which place requests on the engines
// of the own partition, and for each other partition, or servers that are not divided, the far ones. The state must be locked.
func (s *state) limitUpdates(now time.Duration, u serverlimit.Update) (out []outgoingLimits) {
	if u.Empty() {
		return nil
	}
	near := s.peers.Near()
	if s.peers.Partitions() == 1 {
		return []outgoingLimits{{near, u}}
	}
	var own serverlimit.Update
	shared := map[int]serverlimit.Update{}
	for _, x := range u.Servers {
		dealUpdate(s, x.Server, &own, shared, func(u *serverlimit.Update) { u.Servers = append(u.Servers, x) })
	}
	for _, x := range u.Published {
		dealUpdate(s, x.Server, &own, shared, func(u *serverlimit.Update) { u.Published = append(u.Published, x) })
	}
	out = append(out, outgoingLimits{near, own})
	for part, x := range shared {
		out = append(out, outgoingLimits{s.peers.FarSharing(now, part), x})
	}
	return out
}
