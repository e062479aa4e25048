// Package owner assigns responsibilities to hosts by rendezvous hashing: which dispatcher owns an engine
// group, and which hosts watch the configuration or exchange digests between availability zones. All
// processes compute the same assignment from the same list of hosts, and adding or removing a host
// changes only the assignments of that host.
package owner

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// Salt makes the choices for different roles independent, so that one host does not get all of them.
type Salt string

// Salts of the roles.
const (
	SaltGroup    Salt = "group"    // owner of an engine group
	SaltWatcher  Salt = "watcher"  // watcher of the configuration service
	SaltDelegate Salt = "delegate" // delegate of an availability zone
)

// Candidate is a live host that is not leaving, and so can be chosen.
type Candidate struct {
	Host   ident.HostID
	Zone   ident.Zone
	Region string
}

// Group is an engine group, located in the availability zone and region of its engine with the lowest id.
type Group struct {
	Name   string
	Zone   ident.Zone
	Region string
}

// Of returns the host that owns a group: the candidate with the highest score in the group's availability
// zone or, if there is none, in its region. ok is false if the region has no candidate.
func Of(g Group, cands []Candidate) (host ident.HostID, ok bool) {
	var best, bestInZone score
	key := keyHash(SaltGroup, g.Name)
	for i := range cands {
		c := &cands[i]
		if c.Region != g.Region {
			continue
		}
		v := newScore(key, c.Host)
		best.keepHigher(v)
		if c.Zone == g.Zone {
			bestInZone.keepHigher(v)
		}
	}
	if bestInZone.host != "" {
		return bestInZone.host, true
	}
	return best.host, best.host != ""
}

// Owned returns the names of the groups that self owns, in the order of groups.
func Owned(self ident.HostID, groups []Group, cands []Candidate) []string {
	var names []string
	for _, g := range groups {
		if h, ok := Of(g, cands); ok && h == self {
			names = append(names, g.Name)
		}
	}
	return names
}

// Pick returns up to n hosts of an availability zone with the highest scores for the salt, in descending
// order of score. It chooses the watchers and the delegates.
func Pick(salt Salt, zone ident.Zone, cands []Candidate, n int) []ident.HostID {
	key := keyHash(salt, string(zone))
	scores := make([]score, 0, len(cands))
	for i := range cands {
		if cands[i].Zone == zone {
			scores = append(scores, newScore(key, cands[i].Host))
		}
	}
	slices.SortFunc(scores, func(a, b score) int {
		if a.ranksAbove(b) {
			return -1
		}
		return 1
	})
	hosts := make([]ident.HostID, 0, n)
	for _, v := range scores[:min(n, len(scores))] {
		hosts = append(hosts, v.host)
	}
	return hosts
}

type score struct {
	value uint64
	host  ident.HostID
}

// keyHash hashes the name of a group or an availability zone for a role.
func keyHash(salt Salt, key string) uint64 {
	return xxhash.Sum64String(string(salt) + "\x00" + key)
}

func newScore(key uint64, host ident.HostID) score {
	return score{value: mix(key ^ xxhash.Sum64String(string(host))), host: host}
}

// mix is the finalizer of the SplitMix64 generator. Without it, the xor of two hashes would rank the hosts
// in the same order for keys that differ only in low bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// ranksAbove reports whether s has the higher score. Ties are broken by host, so that all processes rank
// hosts in the same order.
func (s score) ranksAbove(o score) bool {
	if s.value != o.value {
		return s.value > o.value
	}
	return s.host < o.host
}

func (s *score) keepHigher(o score) {
	if s.host == "" || o.ranksAbove(*s) {
		*s = o
	}
}
