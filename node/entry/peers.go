package entry

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryhill/rosemaryhill/core/member"
	"github.com/rosemaryhill/rosemaryhill/core/pause"
	"github.com/rosemaryhill/rosemaryhill/core/peers"
	"github.com/rosemaryhill/rosemaryhill/core/placement"
)

// pauseGap is the time between two ticks above which the process is taken to have been paused. It is two report
// intervals, since slow hosts delay timers.
const pauseGap = 2 * peers.ReportInterval

// gossipHandler implements gossip.Handler, so that its methods are not part of Host's API.
type gossipHandler Host

// OnChange implements gossip.Handler.
func (g *gossipHandler) OnChange(a member.Action) {
	m, ok := a.(member.MemberChanged)
	if !ok {
		return
	}
	g.log.WithFields(fields{"member": m.Member.ID, "state": m.Member.State, "leaving": m.Member.Leaving}).Info("member changed")
	if m.Member.State == member.Dead {
		g.state.mu.Lock()
		g.state.peers.MarkDead((*Host)(g).now(), m.Member.Addr)
		g.state.mu.Unlock()
	}
}

// signal wakes the receiver of c, unless a signal is already pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// tick sends load reports, detects pauses of the process and expires old state.
func (h *Host) tick() {
	timer := time.NewTimer(peers.ReportInterval)
	defer timer.Stop()
	pauses := pause.New(pause.Config{Gap: pauseGap})
	for intervals := 0; ; {
		reason := reportOnChange
		select {
		case <-h.ctx.Done():
			return
		case <-h.reportNeeded:
			time.Sleep(reportSpacing)
		case <-timer.C:
			reason = reportOnInterval
			if intervals%fullReportEvery == 0 {
				reason = reportWhole
			}
			intervals++
			timer.Reset(peers.ReportInterval)
		}
		if gap, paused := pauses.Tick(h.now()); paused {
			h.log.WithField("gap_ms", gap.Milliseconds()).Warn("process was paused")
			h.afterPause()
		}
		h.mayBeStale()
		h.dropExpired()
		h.logCold()
		h.logUnreadable()
		h.evaluateQuarantine()
		if reason != reportOnChange {
			h.refreshPeers()
		}
		h.report(reason)
		if reason != reportOnChange {
			h.sendLimits(true)
		}
	}
}

// afterPause catches up on what happened while the process did not run.
func (h *Host) afterPause() {
	signal(h.resync)
	h.state.mu.Lock()
	defer h.state.mu.Unlock()
	h.state.limits.AfterPause(h.now())
}

// dropExpired drops pauses that have ended, and the coldness of servers that are warm.
func (h *Host) dropExpired() {
	now := h.now()
	s := h.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pauses.Forget(now)
	s.cold.Tick(now)
	s.publishCold(now)
}

// refreshPeers drops the load of peers that no longer report and recomputes the partitions.
func (h *Host) refreshPeers() {
	now := h.now()
	members := h.members()
	s := h.state
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, addr := range s.peers.Expire(now) {
		s.engines.RemovePeer(placement.Owner(addr))
	}
	s.peers.SetMembers(members)
	s.setLimitHosts(now)
	if c := s.catalog.Config(); s.replan(now) && c != nil {
		s.setOwnEngines(c)
	}
	h.logPartition()
}

// logPartition logs a change of this host's partition or of the number of partitions. The state must be locked.
func (h *Host) logPartition() {
	p := h.state.peers
	now := [2]int{p.Partition(), p.Partitions()}
	if now == h.loggedPartition {
		return
	}
	h.loggedPartition = now
	h.log.WithFields(fields{"partition": now[0], "partitions": now[1], "peers": len(p.Live(h.now()))}).Info("partition changed")
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

// zoneHash returns the hash by which hosts tell availability zones apart.
func zoneHash(zone string) uint32 { return uint32(xxhash.Sum64String(zone)) }
