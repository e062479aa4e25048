package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/member"
	"github.com/rosemaryhill/rosemaryhill/core/peers"
	"github.com/rosemaryhill/rosemaryhill/core/placement"
)

// largeFleetHost returns a host among 39 peers, with 80 engines in two availability zones: two partitions.
func largeFleetHost(c *qt.C) *Host {
	h := testHost()
	h.reportNeeded = make(chan struct{}, 1)
	zones := []string{"east", "west"}
	h.state.peers.SetSelf(addr(0), zoneHash(zones[0]))
	for i := 1; i < 40; i++ {
		h.observe(addr(i), peers.Status{Incarnation: ident.Incarnation(i), Ready: true, Zone: zoneHash(zones[i%2])}, time.Minute)
	}
	snapshot := catalog.Snapshot{Revision: 1, Config: &catalog.Config{Version: 1, Services: []catalog.Service{{Name: "models", Runtime: &catalog.Runtime{
		Slots: 10, MemoryTokens: 300_000, StepsPerPass: 50, StepMS: 0.85, ReadTokensPerMS: 177, UsualAnswer: 1600,
	}}}}}
	for i := range 80 {
		snapshot.Servers = append(snapshot.Servers, catalog.Server{
			ID: ident.BackendID(fmt.Sprintf("e%02d", i)), Service: "models", Address: fmt.Sprintf("10.1.0.%d:1", i), Zone: zones[i%2], Slots: 10,
		})
	}
	h.state.catalog.Replace(0, snapshot)
	h.state.syncEngines(h.now())
	c.Assert(h.state.peers.Partitions(), qt.Equals, 2)
	h.state.peers.TakeNew()
	return h
}

// receivers returns the hosts that are told of load on an engine.
func receivers(reports []outgoing, key placement.Key) (to []member.Addr) {
	for _, o := range reports {
		if slices.ContainsFunc(o.report.Update.Loads, func(l placement.EngineLoad) bool { return l.Engine == key }) {
			to = append(to, o.to...)
		}
	}
	return to
}

// Guards against hosts that place requests on an engine without knowing what another host has placed there, and
// against telling all hosts of a large fleet.
func TestLoadGoesToThePartitionOfTheEngine(t *testing.T) {
	c := qt.New(t)
	h := largeFleetHost(c)
	s := h.state
	choice, ok := s.engines.Choose(h.now(), "models", placement.Request{PromptTokens: 5000, OutputTokens: 500, MaxPause: time.Second})
	c.Assert(ok, qt.IsTrue)
	c.Assert(s.peers.OwnsPartition(s.peers.PartitionOf(choice.Engine)), qt.IsTrue)
	s.engines.Place(h.now(), choice)
	h.reportsLocked(reportOnChange) // announces the first status to everybody
	s.engines.Place(h.now(), choice)
	to := receivers(h.reportsLocked(reportOnChange), placement.KeyOf(choice.Engine))
	c.Assert(to, qt.HasLen, 19, qt.Commentf("the other hosts of the partition"))

	// Other hosts take over the engines of those that are gone, and have to know the load on them.
	for i := 2; i < 30; i += 2 {
		s.peers.MarkDead(h.now(), addr(i))
	}
	c.Assert(s.replan(h.now()), qt.IsTrue)
	s.syncEngines(h.now())
	reports := h.reportsLocked(reportOnChange)
	part := s.peers.PartitionOf(choice.Engine)
	told := receivers(reports, placement.KeyOf(choice.Engine))
	for _, p := range s.peers.Live(h.now()) {
		if s.peers.PartitionOfHost(p.Addr) == part {
			c.Assert(slices.Contains(told, p.Addr), qt.IsTrue, qt.Commentf("%s places requests on the engine", p.Addr))
		}
	}
}
