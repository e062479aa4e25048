package gateway

import (
	"context"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/core/config"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/owner"
	"github.com/rosemaryhill/rosemaryhill/node/obs"
	"github.com/rosemaryhill/rosemaryhill/node/settings"
	"github.com/rosemaryhill/rosemaryhill/node/view"
	"github.com/rosemaryhill/rosemaryhill/transport/link"
	"github.com/rosemaryhill/rosemaryhill/transport/wire"
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

// ignoreFrames is a dispatcher's end of a link that ignores what it receives.
type ignoreFrames struct{}

func (ignoreFrames) OnUp(*link.Peer)                    {}
func (ignoreFrames) OnMessage(*link.Peer, wire.Message) {}
func (ignoreFrames) OnDown(*link.Peer, error)           {}

// gatewayLinkedTo returns a gateway that can only choose dispatchers, with links to the given ones.
func gatewayLinkedTo(c *qt.C, dispatchers ...ident.HostID) *Gateway {
	o, err := obs.New(obs.Config{HostID: "h1", LogLevel: "info", LogTo: io.Discard, TraceTo: io.Discard})
	c.Assert(err, qt.IsNil)
	g := &Gateway{log: o.Log, view: &view.View{}, routes: newRoutes(), linkUp: make(chan struct{}, 1)}
	g.client, err = link.NewClient(link.Config{Host: "gateway-1", Role: link.RoleGateway, Incarnation: 1}, (*linkHandler)(g))
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(g.client.Close(context.Background()), qt.IsNil) })
	for _, host := range dispatchers {
		server, err := link.Listen(link.Config{Host: host, Role: link.RoleDispatcher, Incarnation: 2}, "127.0.0.1:0", ignoreFrames{})
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { c.Check(server.Close(context.Background()), qt.IsNil) })
		g.client.Add(host, server.Addr())
		c.Assert(linkComesUp(g.client, host), qt.IsTrue, qt.Commentf("%s", host))
	}
	return g
}

func linkComesUp(client *link.Client, host ident.HostID) bool {
	for range 1000 {
		if _, up := client.Peer(host); up {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// Guards against requests that fail with "no_backend" while this gateway still takes a dispatcher that has started
// again for a leaving one, and the dispatcher that it takes for the owner has given the engines back.
func TestDispatcherTakenForLeavingIsTriedLast(t *testing.T) {
	c := qt.New(t)
	dp := newDispatcherPicker(gatewayLinkedTo(c, "wavre-1", "leuven-1"))
	ownedBy := func(host ident.HostID) map[ident.Model][]ownerDispatcher {
		return map[ident.Model][]ownerDispatcher{"reader": {{host: host, totalMemory: 1000, largestGroup: 1000}}}
	}
	dp.ownership.Store(&ownership{byModel: ownedBy("wavre-1"), fallback: ownedBy("leuven-1")})
	refused := map[ident.HostID]bool{}
	for _, want := range []ident.HostID{"wavre-1", "leuven-1"} {
		peer, ok := dp.pick("reader", 10, refused)
		c.Assert(ok, qt.IsTrue, qt.Commentf("refused by %v", refused))
		c.Assert(peer.Host(), qt.Equals, want)
		refused[want] = true
	}
	_, ok := dp.pick("reader", 10, refused)
	c.Assert(ok, qt.IsFalse)
}
