package view

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/core/config"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/owner"
)

// Guards against processes that assign a group to different zones and so disagree about its owner.
func TestSnapshotPlacesGroupsByTheLowestEngine(t *testing.T) {
	c := qt.New(t)
	engine := func(zone ident.Zone, group string) config.BackendServer {
		return config.BackendServer{Kind: config.KindEngine, AvailabilityZone: zone, Group: group}
	}
	s := newSnapshot(&config.Config{BackendServers: map[ident.BackendID]config.BackendServer{
		"b": engine("leuven", "g"), "a": engine("wavre", "g"), "c": engine("leuven", "h"),
		"l": {Kind: config.KindService, Service: "ledger", AvailabilityZone: "leuven"},
	}}, func(z ident.Zone) string { return "region of " + string(z) })
	c.Assert(s.Groups, qt.DeepEquals, []owner.Group{
		{Name: "g", Zone: "wavre", Region: "region of wavre"},
		{Name: "h", Zone: "leuven", Region: "region of leuven"},
	})
	c.Assert(s.Engines, qt.HasLen, 3)
	c.Assert(s.Group("g")[0].ID, qt.Equals, ident.BackendID("a"))
	c.Assert(s.Services["ledger"], qt.HasLen, 1)
}
