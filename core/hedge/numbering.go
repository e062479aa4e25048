package hedge

import (
	"maps"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// Gaps says what earlier streams show about the numbers of a server's events. They always increase; an event may hold several
// tokens and so leave numbers out.
type Gaps uint8

// Values of Gaps.
const (
	Unknown  Gaps = iota // too few streams are known
	Nowhere              // events are numbered consecutively
	Anywhere             // numbers are left out
)

const (
	// minStreams is the number of streams from which on a consecutive numbering is known.
	minStreams = 10
	// minGapShare is the least share of streams with gaps of a numbering that leaves numbers out. Fewer may be faults.
	minGapShare = 0.1
	// maxStreams bounds the streams that count, so that a change of the numbering shows after a few of them.
	maxStreams = 100
)

// Numbering is how the events of some streams were numbered. The zero value has seen none.
type Numbering struct{ consecutive, gapped float64 }

// Record records a complete stream of at least two events.
func (n *Numbering) Record(leftOut bool) {
	if n.consecutive+n.gapped >= maxStreams {
		n.consecutive, n.gapped = n.consecutive/2, n.gapped/2
	}
	if leftOut {
		n.gapped++
	} else {
		n.consecutive++
	}
}

// Gaps returns where the streams leave numbers out.
func (n *Numbering) Gaps() Gaps {
	all := n.consecutive + n.gapped
	switch {
	case n.gapped > 0 && n.gapped >= minGapShare*all:
		return Anywhere
	case all < minStreams:
		return Unknown
	}
	return Nowhere
}

// Numberings holds the numbering of each server and service. Servers of a service may differ: a release replaces them one by
// one. The zero value has seen no stream.
type Numberings struct {
	services map[string]*Numbering
	servers  map[ident.BackendID]*Numbering
}

// Record records a complete answer of at least two events.
func (n *Numberings) Record(service string, server ident.BackendID, leftOut bool) {
	if n.services == nil {
		n.services, n.servers = map[string]*Numbering{}, map[ident.BackendID]*Numbering{}
	}
	record(n.services, service, leftOut)
	record(n.servers, server, leftOut)
}

func record[K comparable](in map[K]*Numbering, key K, leftOut bool) {
	if in[key] == nil {
		in[key] = &Numbering{}
	}
	in[key].Record(leftOut)
}

// Gaps returns where a server leaves numbers out: by its own streams or, if these are too few, by those of its service.
func (n *Numberings) Gaps(service string, server ident.BackendID) Gaps {
	if own := n.servers[server]; own != nil && own.Gaps() != Unknown {
		return own.Gaps()
	}
	if all := n.services[service]; all != nil {
		return all.Gaps()
	}
	return Unknown
}

// Retain forgets the servers that are not to be kept.
func (n *Numberings) Retain(keep func(ident.BackendID) bool) {
	maps.DeleteFunc(n.servers, func(id ident.BackendID, _ *Numbering) bool { return !keep(id) })
}
