package view

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/rosemaryhill/rosemaryhill/core/config"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/owner"
)

// Backend is a backend server of the configuration with its ID and region.
type Backend struct {
	config.BackendServer
	ID     ident.BackendID
	Region string
}

// Snapshot is an accepted configuration with lookup lists derived from it. It must not be modified.
type Snapshot struct {
	*config.Config
	Engines  []Backend            // sorted by ID
	Services map[string][]Backend // instances per service, sorted by ID
	Groups   []owner.Group        // in the order of their first engine's ID
	byGroup  map[string][]Backend
}

// newSnapshot derives the lists of a snapshot. region maps an availability zone to its region.
func newSnapshot(c *config.Config, region func(ident.Zone) string) *Snapshot {
	s := &Snapshot{Config: c, Services: map[string][]Backend{}, byGroup: map[string][]Backend{}}
	for _, id := range slices.Sorted(maps.Keys(c.BackendServers)) {
		b := Backend{BackendServer: c.BackendServers[id], ID: id}
		b.Region = region(b.AvailabilityZone)
		if b.Kind == config.KindService {
			s.Services[b.Service] = append(s.Services[b.Service], b)
			continue
		}
		s.Engines = append(s.Engines, b)
		if len(s.byGroup[b.Group]) == 0 {
			// The engine with the lowest ID determines the zone and region of the group.
			s.Groups = append(s.Groups, owner.Group{Name: b.Group, Zone: b.AvailabilityZone, Region: b.Region})
		}
		s.byGroup[b.Group] = append(s.byGroup[b.Group], b)
	}
	return s
}

// Group returns the engines of a group, sorted by ID.
func (s *Snapshot) Group(name string) []Backend { return s.byGroup[name] }

// ShortDigest returns the first 8 bytes of the digest. Gossip messages carry only these.
func (s *Snapshot) ShortDigest() uint64 { return binary.BigEndian.Uint64(s.Digest[:8]) }
