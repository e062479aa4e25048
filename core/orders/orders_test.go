package orders

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rosemaryhill/rosemaryhill/core/backendapi"
	"github.com/rosemaryhill/rosemaryhill/core/config"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// TestTermAfterLostOrder guards against a lost order that arrives after the next one and drops the
// adapters loaded since. The engine accepts it if both orders carry the same fencing number.
func TestTermAfterLostOrder(t *testing.T) {
	c := qt.New(t)
	o := New(Config{Host: "h1"})
	o.Step(0, desired(1))
	o.Step(0, Owned{Engines: []ident.BackendID{"honours"}})
	first := o.Step(0, Reported{Engine: "honours"})
	c.Assert(first, qt.HasLen, 1)
	c.Assert(o.Confirm(0, "honours", first[0].ID), qt.IsTrue)
	c.Assert(o.Confirm(0, "honours", first[0].ID), qt.IsFalse) // a second write would repeat the order
	c.Assert(o.Step(Timeout, Tick{}), qt.HasLen, 0)
	next := o.Step(Timeout+RetryInterval, Reported{Engine: "honours", Taken: Timeout + RetryInterval})
	c.Assert(next, qt.HasLen, 1)
	c.Assert(first[0].Order.Fence.Less(next[0].Order.Fence), qt.IsTrue)
	lagging := o.Step(Timeout+RetryInterval, Reported{Engine: "honours", Taken: 0})
	c.Assert(lagging, qt.HasLen, 0)
}

// TestRefusals guards against sending orders without a delay to an engine that refuses all of them.
func TestRefusals(t *testing.T) {
	c := qt.New(t)
	o := New(Config{Host: "h1"})
	o.Step(0, desired(1))
	o.Step(0, Owned{Engines: []ident.BackendID{"honours"}})
	s := o.Step(0, Reported{Engine: "honours"})[0]
	outranked := backendapi.Fence{Config: 1, Term: s.Order.Fence.Term + 5<<ownerBits}
	again := o.Step(0, Ended{Engine: "honours", ID: s.ID, Result: Refused, Highest: outranked})
	c.Assert(again, qt.HasLen, 1)
	c.Assert(outranked.Less(again[0].Order.Fence), qt.IsTrue)
	c.Assert(o.Step(0, Ended{Engine: "honours", ID: again[0].ID, Result: Refused, Highest: outranked}), qt.HasLen, 0)
	c.Assert(o.Step(RetryInterval, Tick{}), qt.HasLen, 1)
}

// TestFromConfig guards against a desired state that depends on anything but the configuration, such as
// the order of adapters.
func TestFromConfig(t *testing.T) {
	cfg := &config.Config{
		Models: map[ident.Model]config.Model{"m": {Version: "7", Adapters: []string{"b", "a"}}},
		BackendServers: map[ident.BackendID]config.BackendServer{
			"e2": {Kind: config.KindEngine, Model: "m", Fencing: config.FencingHonoured},
			"e1": {Kind: config.KindEngine, Model: "m", Fencing: config.FencingIgnored},
			"s1": {Kind: config.KindService},
		},
	}
	qt.Assert(t, FromConfig(cfg), qt.DeepEquals, []Desired{
		{Engine: "e1", Model: "m", Version: "7", Adapters: []string{"a", "b"}},
		{Engine: "e2", HonoursFence: true, Model: "m", Version: "7", Adapters: []string{"a", "b"}},
	})
}
