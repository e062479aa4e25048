package entry

import (
	"iter"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/coldstart"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/serverlimit"
)

const (
	// meetTime is the time after its start in which a host sends nothing to cold servers: it does not know yet with how many
	// hosts it shares their limits.
	meetTime = 500 * time.Millisecond
	// hostsRefresh is how often the numbers of hosts that share the limits of cold servers are counted while requests come.
	// Both sides of a divided fleet send as if they were alone until then.
	hostsRefresh = 50 * time.Millisecond
)

// syncCold takes over the published state of servers that may be cold. The state must be locked.
func (s *state) syncCold(now time.Duration) {
	var services []coldstart.Listed
	for i := range s.catalog.Config().Services {
		if svc := &s.catalog.Config().Services[i]; svc.Cold.Limits() {
			services = append(services, coldstart.Listed{Service: svc, Servers: s.listedServers(svc.Name)})
		}
	}
	s.cold.Sync(now, s.latestRevision(), s.catalog, services)
	s.publishCold(now)
}

func (s *state) listedServers(service string) iter.Seq[coldstart.Server] {
	return func(yield func(coldstart.Server) bool) {
		for srv := range s.catalog.Listed(service) {
			if !yield(coldstart.Server{Server: srv, Lapsing: s.catalog.Lapsing(srv.ID)}) {
				return
			}
		}
	}
}

// latestRevision returns the highest revision of the published state that is known of any host. The state must be locked.
func (s *state) latestRevision() ident.Revision {
	return max(s.catalog.Revision(), s.peers.LatestRevision())
}

// publishCold makes the limits of cold servers hold or end, and keeps the news for the log. The state must be locked.
func (s *state) publishCold(now time.Duration) {
	for _, x := range s.cold.TakeChanges() {
		s.holdCold(now, x)
		if x.News {
			s.coldNews = append(s.coldNews, coldNews{x, x.Until - now})
		}
	}
}

// holdCold makes the limit of a cold server hold, or ends it. The state must be locked.
func (s *state) holdCold(now time.Duration, x coldstart.Change) {
	s.limits.Publish(now, x.Server, serverlimit.Published{
		PerSecond: x.PerSecond, Until: x.Until, FirstHand: x.FirstHand, Started: x.Started, AsOf: x.AsOf,
	})
}

// holdAllCold makes the limits of the cold servers hold that keep accepts. The state must be locked.
func (s *state) holdAllCold(now time.Duration, keep func(ident.BackendID) bool) {
	for x := range s.cold.Cold() {
		if keep(x.Server) {
			s.holdCold(now, x)
		}
	}
}

// coldNews says that a server has become cold, for a time, or warm.
type coldNews struct {
	coldstart.Change
	left time.Duration
}

// logCold logs which servers have become cold or warm, and tells other hosts if something is due.
func (h *Host) logCold() {
	s := h.state
	s.mu.Lock()
	news := s.coldNews
	s.coldNews = nil
	s.mu.Unlock()
	if len(news) == 0 {
		return
	}
	signal(h.limitNews)
	for _, x := range news {
		f := fields{"server": x.Server, "source": x.Source.String()}
		switch {
		case x.Cold:
			f["for_ms"] = x.left.Milliseconds()
			h.log.WithFields(f).Info("server cold")
		case x.Early:
			f["ended_by"] = "entry"
			h.log.WithFields(f).Info("server warm")
		default:
			f["ended_by"] = "time"
			h.log.WithFields(f).Info("server warm")
		}
	}
}

// refreshLimitHosts counts the hosts that share the limits of cold servers, if there are any. The state must be locked.
func (s *state) refreshLimitHosts(now time.Duration) {
	if s.limits.Published() > 0 && now-s.hostsCounted >= hostsRefresh {
		s.setLimitHosts(now)
	}
}
