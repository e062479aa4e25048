package peers

import (
	"slices"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/member"
)

// Reach says which services a host can't reach, by the hashes of their names. A host that reaches all of them sends none.
type Reach struct {
	Unreachable []uint32
	Validity    time.Duration // how long it holds without another one
}

// ObserveReach records what a peer says about the services that it can't reach. That of an earlier process at its address
// counts for nothing.
func (t *Table) ObserveReach(now time.Duration, from member.Addr, incarnation ident.Incarnation, r Reach) {
	if p := t.peers[from]; p != nil && p.Incarnation == incarnation {
		p.unreachable, p.unreachableUntil = r.Unreachable, now+r.Validity
	}
}

// reaches reports whether the peer has not said that it can't reach a service.
func (p *Peer) reaches(now time.Duration, service uint32) bool {
	return now >= p.unreachableUntil || !slices.Contains(p.unreachable, service)
}

// Reaching returns the live peers that take requests for a service: they are ready, reach its servers, and have the given
// version of the configuration or a newer one. Those of the own availability zone come first, else the order is random.
func (t *Table) Reaching(now time.Duration, service uint32, config ident.Version) []*Peer {
	var near, far []*Peer
	for _, p := range t.peers {
		switch {
		case !p.Alive(now) || !p.Ready || p.Leaving || p.Config < config || !p.reaches(now, service):
		case p.Zone == t.zone:
			near = append(near, p)
		default:
			far = append(far, p)
		}
	}
	return append(near, far...)
}

// AllTargets returns all known hosts as the receivers of a report.
func (t *Table) AllTargets() Targets {
	return Targets{Near: t.near, Far: t.far, FarValidity: t.farValidity()}
}

// IsAlive reports whether the last report of a host is still valid.
func (t *Table) IsAlive(now time.Duration, addr member.Addr) bool {
	p := t.peers[addr]
	return p != nil && p.Alive(now)
}
