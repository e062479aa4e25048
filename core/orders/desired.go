// Package orders brings engines to their desired state: model, version and adapters. The desired state
// depends only on the configuration version, so two owners with the same version give the same orders.
package orders

import (
	"maps"
	"slices"

	"github.com/rosemaryhill/rosemaryhill/core/config"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// KindLoad is the kind of an order that loads a model version or an adapter.
const KindLoad = "load"

// Desired is the state that a configuration version specifies for one engine.
type Desired struct {
	Engine       ident.BackendID
	HonoursFence bool // the engine refuses orders with an old fencing number
	Model        ident.Model
	Version      string
	Adapters     []string
}

// FromConfig returns the desired state of every engine, sorted by engine.
func FromConfig(c *config.Config) []Desired {
	var out []Desired
	for _, id := range slices.Sorted(maps.Keys(c.BackendServers)) {
		s := c.BackendServers[id]
		if s.Kind != config.KindEngine {
			continue
		}
		m := c.Models[s.Model]
		out = append(out, Desired{
			Engine:       id,
			HonoursFence: s.Fencing == config.FencingHonoured,
			Model:        s.Model,
			Version:      m.Version,
			Adapters:     slices.Sorted(slices.Values(m.Adapters)),
		})
	}
	return out
}
