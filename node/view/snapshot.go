package view

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/rosemaryhill/rosemaryhill/core/config"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/owner"
)

// Backend is a backend server of the configuration with its id and region.
type Backend struct {
	config.BackendServer
	ID     ident.BackendID
	Region string
}

// Snapshot is an accepted configuration with the lists that requests need. It must not be changed.
type Snapshot struct {
	*config.Config
	Engines  []Backend            // by id
	Services map[string][]Backend // instances by service, by id
	Groups   []owner.Group        // by name
	byGroup  map[string][]Backend
}

// newSnapshot derives the lists. region maps availability zones to regions.
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
			// The engine with the lowest id places the group.
			s.Groups = append(s.Groups, owner.Group{Name: b.Group, Zone: b.AvailabilityZone, Region: b.Region})
		}
		s.byGroup[b.Group] = append(s.byGroup[b.Group], b)
	}
	return s
}

// Group returns the engines of a group, by id.
func (s *Snapshot) Group(name string) []Backend { return s.byGroup[name] }

// ShortDigest returns the first 8 bytes of the digest, which gossip carries.
func (s *Snapshot) ShortDigest() uint64 { return binary.BigEndian.Uint64(s.Digest[:8]) }
