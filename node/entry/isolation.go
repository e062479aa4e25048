package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/isolation"
	"github.com/rosemaryhill/rosemaryhill/core/member"
	"github.com/rosemaryhill/rosemaryhill/core/peers"
	"github.com/rosemaryhill/rosemaryhill/node/internal/ctxtime"
	"github.com/rosemaryhill/rosemaryhill/node/obs"
)

const (
	// silenceIsFailure is how long a server must be silent before that counts as a failure to reach it. Sound servers may be
	// silent for a second.
	silenceIsFailure = 1500 * time.Millisecond
	// firstProbe and maxProbe bound the time between two probes of a service that can't be reached. Its requests are handed on
	// meanwhile and do not show whether it can be reached again.
	firstProbe = 300 * time.Millisecond
	maxProbe   = time.Second
	// probeTimeout bounds a probe. A live server answers within a few ms.
	probeTimeout = 700 * time.Millisecond
)

// serviceHash returns the hash by which hosts name a service to each other.
func serviceHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// recordUnreached records that an attempt at a server, which began at a time, has met no connection or got no answer.
func (h *Host) recordUnreached(service string, id ident.BackendID, began time.Duration) {
	now := h.now()
	s := h.state
	s.mu.Lock()
	var servers []isolation.Server
	failed := isolation.Server{ID: id}
	for _, srv := range s.catalog.Usable(service) {
		servers = append(servers, isolation.Server{ID: srv.ID, Zone: srv.Zone})
		if srv.ID == id {
			failed.Zone = srv.Zone
		}
	}
	change, changed := s.isolation.Failed(now, began, service, failed, servers)
	reaching := 0
	if changed {
		reaching = len(s.peers.Reaching(now, serviceHash(service), 0))
	}
	s.mu.Unlock()
	if !changed {
		return
	}
	h.log.WithContext(obs.Essential).WithFields(fields{
		"service": service, "servers": change.Servers, "since_ms": change.For.Milliseconds(), "peers_reaching": reaching,
	}).Warn("service unreachable")
	h.announceReach()
	signal(h.serviceLost)
}

// recordReached records that a server has answered an attempt that began at a time.
func (h *Host) recordReached(service string, began time.Duration) {
	s := h.state
	s.mu.Lock()
	change, changed := s.isolation.Answered(h.now(), began, service)
	s.mu.Unlock()
	if !changed {
		return
	}
	h.log.WithContext(obs.Essential).WithFields(fields{"service": service, "unreachable_ms": change.For.Milliseconds()}).Info("service reachable again")
	h.announceReach()
}

// recordReach records what the end of a send shows about the way to a server. began is when the send began.
func (h *Host) recordReach(ctx context.Context, service string, id ident.BackendID, began time.Duration, err error) {
	var notSent ineligibleError
	var refused *reserveError
	switch {
	case err == nil:
		h.recordReached(service, began)
	case ctx.Err() != nil || errors.As(err, &notSent) || errors.As(err, &refused): // ended by this host
	default:
		h.recordUnreached(service, id, began)
	}
}

// probeServices asks servers of the services that can't be reached for any answer, until there is none left.
func (h *Host) probeServices() {
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-h.serviceLost:
		}
		for pause := firstProbe; h.ctx.Err() == nil; pause = min(maxProbe, pause*3/2) {
			ctxtime.Sleep(h.ctx, h.jitter(pause))
			servers, lost := h.serversToProbe()
			if !lost {
				break
			}
			var probes sync.WaitGroup
			for service, srv := range servers {
				probes.Go(func() { h.probe(service, srv) })
			}
			probes.Wait()
		}
	}
}

// probe asks a server of a service for any answer.
func (h *Host) probe(service string, srv catalog.Server) {
	began := h.now()
	ctx, cancel := context.WithTimeout(h.ctx, probeTimeout)
	defer cancel()
	if err := h.cfg.Dialect.Probe(ctx, h.client, Engine{ID: srv.ID, Address: srv.Address}); err != nil {
		h.log.WithFields(fields{"service": service, "server": srv.ID, "error": err.Error()}).Debug("service still unreachable")
		return
	}
	h.recordReached(service, began)
}

// serversToProbe returns a random server of each service that can't be reached and has servers. lost is false if all services can
// be reached.
func (h *Host) serversToProbe() (servers map[string]catalog.Server, lost bool) {
	s := h.state
	s.mu.Lock()
	defer s.mu.Unlock()
	servers = map[string]catalog.Server{}
	for _, service := range s.isolation.All() {
		if usable := s.catalog.Usable(service); len(usable) > 0 {
			servers[service] = usable[s.rng.Intn(len(usable))]
		}
	}
	return servers, s.isolation.Any()
}

// isUnreachable reports whether this host can't reach a service.
func (h *Host) isUnreachable(service string) bool {
	h.state.mu.Lock()
	defer h.state.mu.Unlock()
	return h.state.isolation.Unreachable(service)
}

// announceReach tells all peers that the services which this host can't reach have changed.
func (h *Host) announceReach() {
	s := h.state
	s.mu.Lock()
	to, unreachable := s.peers.AllTargets(), s.unreachableHashes()
	s.mu.Unlock()
	h.gossip.SendReach(to.Near, h.incarnation, peers.Reach{Unreachable: unreachable, Validity: peers.NearValidity})
	h.gossip.SendReach(to.Far, h.incarnation, peers.Reach{Unreachable: unreachable, Validity: to.FarValidity})
}

// unreachableHashes returns the hashes of the services that this host can't reach. The state must be locked.
func (s *state) unreachableHashes() (hashes []uint32) {
	for _, name := range s.isolation.All() {
		hashes = append(hashes, serviceHash(name))
	}
	return hashes
}

// OnReach implements gossip.ReachHandler.
func (g *gossipHandler) OnReach(from member.Addr, incarnation ident.Incarnation, r peers.Reach) {
	h := (*Host)(g)
	h.state.mu.Lock()
	defer h.state.mu.Unlock()
	h.state.peers.ObserveReach(h.now(), from, incarnation, r)
}
