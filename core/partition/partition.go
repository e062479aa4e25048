// Package partition divides the engines of a large fleet among its entry hosts. A host places requests on the
// engines of its own partition and tells only the hosts of that partition what it has placed, so that the traffic
// between hosts depends on the size of a partition and not on that of the fleet. Fewer hosts that choose among the
// same engines also collide less often on the one that looks best to all of them.
//
// Every host computes the plan from the engines that the store lists and the hosts that it hears from. Hosts whose
// views differ by a few hosts agree on the partitions of all others but those next to a boundary.
package partition

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minEngines is the least number of engines in a partition. A long prompt takes several engines for seconds, and
	// with fewer of them the short requests beside it have too few others.
	minEngines = 40
	// minHosts is the least number of hosts in a partition, so that the loss of a few of them moves few callers.
	minHosts = 8
)

// Node is a host or an engine.
type Node struct {
	ID   string // unique among hosts or among engines
	Zone uint32 // hash of its availability zone
}

// Plan assigns hosts and engines to partitions, which are numbered from 0. The zero value is a single partition.
type Plan struct {
	count   int
	hosts   map[string]int
	engines map[string]int
}

// New computes the plan for the hosts that are alive and the engines of each service. Hosts and engines are ordered by
// availability zone and cut into parts of equal size, so that a partition holds few zones and its hosts and engines
// are in the same ones. A service with too few engines for all partitions is not divided.
func New(hosts []Node, services map[string][]Node) Plan {
	p := Plan{count: count(hosts, services)}
	if p.count == 1 {
		return p
	}
	p.hosts, p.engines = map[string]int{}, map[string]int{}
	assign(p.hosts, hosts, p.count)
	for _, engines := range services {
		if len(engines) >= p.count*minEngines {
			assign(p.engines, engines, p.count)
		}
	}
	return p
}

// count returns the number of partitions. It is 1 while the hosts of an availability zone with engines are all
// silent: that zone may be unreachable, and a partition that holds its engines could serve nothing.
func count(hosts []Node, services map[string][]Node) int {
	heard := map[uint32]bool{}
	for _, h := range hosts {
		heard[h.Zone] = true
	}
	most := 0
	for _, engines := range services {
		for _, e := range engines {
			if !heard[e.Zone] {
				return 1
			}
		}
		most = max(most, len(engines))
	}
	return max(1, min(most/minEngines, len(hosts)/minHosts))
}

// assign cuts the nodes into n parts of equal size, in the order of their availability zones.
func assign(parts map[string]int, nodes []Node, n int) {
	type ranked struct {
		Node
		hash uint64
	}
	order := make([]ranked, 0, len(nodes))
	for _, x := range nodes {
		order = append(order, ranked{x, xxhash.Sum64String(x.ID)})
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.hash, b.hash), cmp.Compare(a.ID, b.ID))
	})
	for i, x := range order {
		parts[x.ID] = i * n / len(order)
	}
}

// Count returns the number of partitions.
func (p Plan) Count() int { return max(1, p.count) }

// OfHost returns the partition of a host. Hosts that the plan does not know are in partition 0.
func (p Plan) OfHost(id string) int { return p.hosts[id] }

// Undivided is the partition of engines that the hosts of all partitions share: those of services that are not divided,
// and those that the plan does not know.
const Undivided = -1

// OfEngine returns the partition of an engine, or Undivided.
func (p Plan) OfEngine(id string) int {
	if part, divided := p.engines[id]; divided {
		return part
	}
	return Undivided
}

// HasEngine reports whether the hosts of a partition place requests on an engine.
func (p Plan) HasEngine(part int, id string) bool {
	return Owns(part, p.OfEngine(id))
}

// Owns reports whether the hosts of a partition place requests on the engines of another one, which may be the same or
// Undivided.
func Owns(part, engines int) bool { return engines == Undivided || engines == part }

// Equal reports whether both plans assign the same hosts and engines to the same partitions.
func (p Plan) Equal(o Plan) bool {
	return maps.Equal(p.hosts, o.hosts) && maps.Equal(p.engines, o.engines)
}
