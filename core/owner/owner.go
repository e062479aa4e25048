// Package owner chooses who is responsible for what by rendezvous hashing: which dispatcher owns an
// engine group, and which hosts watch the configuration or exchange digests between availability zones.
// Every process computes the same answer from the same list, and a host that comes or goes moves only
// its own share.
package owner

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// Salt separates the choices, so that one host does not get every role.
type Salt string

// Salts.
const (
	SaltGroup    Salt = "group"    // owner of an engine group
	SaltWatcher  Salt = "watcher"  // watcher of the configuration service
	SaltDelegate Salt = "delegate" // delegate of an availability zone
)

// Candidate is a live host that is not leaving.
type Candidate struct {
	Host   ident.HostID
	Zone   ident.Zone
	Region string
}

// Group is an engine group with the place of its engine with the lowest id.
type Group struct {
	Name   string
	Zone   ident.Zone
	Region string
}

// Of returns the owner of a group: the candidate with the highest score in the group's availability
// zone, else in its region. ok is false if the region has no candidate.
func Of(g Group, cands []Candidate) (host ident.HostID, ok bool) {
	var best, bestInZone score
	key := keyHash(SaltGroup, g.Name)
	for i := range cands {
		c := &cands[i]
		if c.Region != g.Region {
			continue
		}
		v := newScore(key, c.Host)
		best.raise(v)
		if c.Zone == g.Zone {
			bestInZone.raise(v)
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

// Pick returns up to n hosts of an availability zone with the highest scores for the salt, best
// first. It chooses the watchers and the delegates.
func Pick(salt Salt, zone ident.Zone, cands []Candidate, n int) []ident.HostID {
	key := keyHash(salt, string(zone))
	scores := make([]score, 0, len(cands))
	for i := range cands {
		if cands[i].Zone == zone {
			scores = append(scores, newScore(key, cands[i].Host))
		}
	}
	slices.SortFunc(scores, func(a, b score) int {
		if a.above(b) {
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

func keyHash(salt Salt, key string) uint64 {
	return xxhash.Sum64String(string(salt) + "\x00" + key)
}

func newScore(key uint64, host ident.HostID) score {
	return score{value: mix(key ^ xxhash.Sum64String(string(host))), host: host}
}

// mix is the finaliser of splitmix64. Without it, the xor of two hashes would give one order of the
// hosts for keys that differ only in low bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// above orders equal hashes by host, so that every process breaks a tie in the same way.
func (s score) above(o score) bool {
	if s.value != o.value {
		return s.value > o.value
	}
	return s.host < o.host
}

func (s *score) raise(o score) {
	if s.host == "" || o.above(*s) {
		*s = o
	}
}
