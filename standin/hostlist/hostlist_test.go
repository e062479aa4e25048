package hostlist

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/core/platformapi"
)

// Guards against a host list without lag, which would hide in other tests that a host is marked as
// leaving too late.
func TestChangesShowAfterLag(t *testing.T) {
	c := qt.New(t)
	s := New(Config{Lag: 50 * time.Millisecond}, []platformapi.Host{{ID: "a", State: platformapi.Live}})
	s.SetState("a", platformapi.Leaving)
	c.Assert(s.visibleList(false).Hosts[0].State, qt.Equals, platformapi.Live)
	time.Sleep(60 * time.Millisecond)
	c.Assert(s.visibleList(false).Hosts[0].State, qt.Equals, platformapi.Leaving)
	c.Assert(s.visibleList(false).Version, qt.Equals, uint64(2))
	c.Assert(s.visibleList(true).Version, qt.Equals, uint64(1))
}
