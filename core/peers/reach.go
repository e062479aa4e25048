package peers

import (
	"cmp"
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

// Reaching returns the live peers that take requests for a service: they are ready and reach its servers. Those that have
// reported the given version of the configuration or a newer one come first, among these those of the own availability zone, else
// the order is random.
func (t *Table) Reaching(now time.Duration, service uint32, config ident.Version) []*Peer {
	var out []*Peer
	for _, p := range t.peers {
		if p.Alive(now) && p.Ready && !p.Leaving && p.reaches(now, service) {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b *Peer) int { return cmp.Compare(t.handoverRank(a, config), t.handoverRank(b, config)) })
	return out
}

// handoverRank orders peers by how well they suit a request, from 0.
func (t *Table) handoverRank(p *Peer, config ident.Version) (rank int) {
	if p.Config < config {
		rank += 2
	}
	if p.Zone != t.zone {
		rank++
	}
	return rank
}

// SameRank reports whether two peers suit a request equally well.
func (t *Table) SameRank(a, b *Peer, config ident.Version) bool {
	return t.handoverRank(a, config) == t.handoverRank(b, config)
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
