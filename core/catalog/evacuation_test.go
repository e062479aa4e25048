package catalog

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/core/eligibility"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

func serverIn(id, zone string, rev ident.Revision) Server {
	s := server(id, rev)
	s.Zone = zone
	return s
}

// Guards against new work for the servers of an evacuated zone, also for those that register later and those that run again
// after a removal, and against the zone's return while its key is there.
func TestEvacuatedZoneGetsNoWork(t *testing.T) {
	c := qt.New(t)
	tb := NewTable()
	tb.Replace(0, Snapshot{Revision: 5, Config: config(1), Servers: []Server{serverIn("a", "y", 1), serverIn("b", "z", 2)}})
	tb.Apply(0, []Change{{Revision: 6, Evacuated: "z"}, {Revision: 7, Evacuated: "empty"}})
	late := serverIn("c", "empty", 8)
	tb.Apply(0, []Change{{Revision: 8, Server: &late}})
	c.Assert(ids(tb.Usable("s")), qt.DeepEquals, []string{"a"})
	for _, id := range []string{"b", "c"} {
		_, why := tb.Status(server(id, 0).ID)
		c.Assert(why, qt.Equals, eligibility.Evacuated)
	}
	draining := serverIn("b", "z", 9)
	draining.State = Draining
	tb.Apply(0, []Change{{Revision: 9, Server: &draining}})
	_, why := tb.Status("b")
	c.Assert(why, qt.Equals, eligibility.Draining, qt.Commentf("what the server's entry says comes first"))

	// The store is away and returns without the servers' entries.
	tb.SourceLost()
	tb.SourceRestored(time.Minute)
	tb.Replace(time.Minute, Snapshot{Revision: 20, Evacuations: []Evacuation{{"empty", 7}, {"z", 6}}})
	again := serverIn("b", "z", 21)
	tb.Apply(time.Minute, []Change{{Revision: 21, Server: &again}})
	tb.Tick(time.Hour)
	c.Assert(ids(tb.Usable("s")), qt.HasLen, 0)
	tb.Apply(time.Hour, []Change{{Revision: 22, TakenBack: "z"}})
	c.Assert(ids(tb.Usable("s")), qt.DeepEquals, []string{"b"})
}

// Guards against a zone whose servers count as warm because the end of its evacuation was not noted, or was noted at the wrong
// time.
func TestTakenBack(t *testing.T) {
	c := qt.New(t)
	tb := NewTable()
	expect := func(at time.Duration, ok bool) {
		c.Helper()
		gotAt, gotOK := tb.TakenBack("z")
		c.Assert(fmt.Sprint(gotAt, gotOK), qt.Equals, fmt.Sprint(at, ok))
	}
	tb.Replace(0, Snapshot{Revision: 5, Config: config(1)})
	expect(0, false)
	tb.Apply(1*time.Second, []Change{{Revision: 6, Evacuated: "z"}})
	expect(0, false)
	tb.Apply(2*time.Second, []Change{{Revision: 7, TakenBack: "z"}})
	expect(2*time.Second, true)
	tb.Apply(3*time.Second, []Change{{Revision: 8, TakenBack: "z"}})
	tb.Replace(3*time.Second, Snapshot{Revision: 8})
	expect(2*time.Second, true)
	tb.Apply(4*time.Second, []Change{{Revision: 9, Evacuated: "z"}})
	expect(0, false)
	tb.Replace(5*time.Second, Snapshot{Revision: 10})
	expect(5*time.Second, true)
	tb.Apply(6*time.Second, []Change{{Revision: 11, Evacuated: "z"}, {Revision: 12, TakenBack: "z"}})
	expect(6*time.Second, true)
}

// Guards against a table that grows with each zone that was ever evacuated, or that forgets one that is.
func TestEndedEvacuationsAreBounded(t *testing.T) {
	c := qt.New(t)
	tb := NewTable()
	tb.Apply(0, []Change{{Revision: 1, Evacuated: "kept"}})
	for i := range 3 * maxEnded {
		tb.Apply(time.Duration(i), []Change{{Revision: ident.Revision(i + 2), TakenBack: fmt.Sprint(i)}})
	}
	c.Assert(len(tb.evacuations), qt.Equals, maxEnded+1)
	c.Assert(tb.Evacuations(), qt.DeepEquals, []Evacuation{{"kept", 1}})
	_, ok := tb.TakenBack(fmt.Sprint(3*maxEnded - 1))
	c.Assert(ok, qt.IsTrue)
}
