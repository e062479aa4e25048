package gateway

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/core/config"
	"github.com/rosemaryhill/rosemaryhill/core/owner"
	"github.com/rosemaryhill/rosemaryhill/node/settings"
	"github.com/rosemaryhill/rosemaryhill/node/view"
)

// Guards against a gateway that reports ready between the arrival of the configuration and that of the first
// dispatcher: until its links are up, it refuses every generation with "no_backend".
func TestNotReadyWhileEngineGroupsHaveNoOwner(t *testing.T) {
	c := qt.New(t)
	g := &Gateway{cfg: Config{Settings: settings.Settings{Region: "r"}}}
	dp := newDispatcherPicker(g)
	s := &view.Snapshot{Config: &config.Config{}, Groups: []owner.Group{{Name: "pool-a", Zone: "z", Region: "r"}}}

	dp.ownership.Store(dp.assignGroups(s, nil))
	missing, ok := dp.missingLink()
	c.Assert(ok, qt.IsFalse)
	c.Assert(missing, qt.Equals, "any dispatcher for engine group pool-a")

	// Groups of other regions are served there.
	g.cfg.Settings.Region = "other"
	dp.ownership.Store(dp.assignGroups(s, nil))
	_, ok = dp.missingLink()
	c.Assert(ok, qt.IsTrue)
}
