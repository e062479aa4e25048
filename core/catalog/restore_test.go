package catalog

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// rev returns a revision. The store of these tests is in era 1, and comes back in era 2 from a copy of number 10.
func rev(era, number uint64) ident.Revision {
	r, _ := ident.NewRevision(era, number)
	return r
}

// at returns a copy of an entry at a revision.
func (s Server) at(r ident.Revision) *Server {
	s.Revision = r
	return &s
}

func (s Server) with(change func(*Server)) Server {
	change(&s)
	return s
}

// Guards against a host that believes a restored copy against what it knows from the seconds that the copy lacks, or that never
// believes the store again. Each case runs with the copy read from the store and from a peer that has just started.
func TestRestoredCopy(t *testing.T) {
	a := server("a", 0).with(func(s *Server) { s.Zone, s.Started = "z", 1 })
	draining := a.with(func(s *Server) { s.State = Draining })
	again := a.with(func(s *Server) { s.Started = 2 })
	cold := a.with(func(s *Server) { s.ColdFor = time.Second })
	moved := a.with(func(s *Server) { s.Slots++ })
	lapsed := LapseGracePeriod
	for name, x := range map[string]struct {
		lost    []Change          // between the copy and the end of era 1
		listed  []*Server         // by the store when it is read first
		zones   []Evacuation      // the same
		then    []Change          // after that, in era 2
		want    string            // usable servers with their lifetimes, right after the store was read
		later   string            // the same after the changes of era 2
		at      time.Duration     // of the changes of era 2
		settled string            // the same at the end of the transition
		check   func(*Table) bool // right after the store was read
	}{
		"drains":                  {lost: []Change{{Server: draining.at(rev(1, 15))}}, listed: []*Server{a.at(rev(2, 10))}, settled: "[a1]"},
		"drains, said again":      {lost: []Change{{Server: draining.at(rev(1, 15))}}, listed: []*Server{a.at(rev(2, 10))}, then: []Change{{Server: draining.at(rev(2, 11))}}},
		"drains, read again":      {lost: []Change{{Server: draining.at(rev(1, 15))}}, listed: []*Server{draining.at(rev(2, 11))}},
		"drains, new lifetime":    {lost: []Change{{Server: draining.at(rev(1, 15))}}, listed: []*Server{again.at(rev(2, 11))}, want: "[a2]", settled: "[a2]"},
		"drains, same number":     {lost: []Change{{Server: moved.at(rev(1, 15))}}, listed: []*Server{draining.at(rev(2, 15))}},
		"drains, lower number":    {lost: []Change{{Server: moved.at(rev(1, 15))}}, listed: []*Server{draining.at(rev(2, 12))}},
		"removed":                 {lost: []Change{{Removed: "a", Revision: rev(1, 15)}}, listed: []*Server{a.at(rev(2, 10))}, settled: "[a1]"},
		"removed, expires":        {lost: []Change{{Removed: "a", Revision: rev(1, 15)}}, listed: []*Server{a.at(rev(2, 10))}, then: []Change{{Removed: "a", Revision: rev(2, 11)}}},
		"removed, back":           {lost: []Change{{Removed: "a", Revision: rev(1, 15)}}, listed: []*Server{a.at(rev(2, 10))}, then: []Change{{Server: a.at(rev(2, 11))}}, later: "[a1]", settled: "[a1]"},
		"removed, new lifetime":   {lost: []Change{{Removed: "a", Revision: rev(1, 15)}}, listed: []*Server{again.at(rev(2, 11))}, want: "[a2]", settled: "[a2]"},
		"older lifetime":          {lost: []Change{{Server: again.at(rev(1, 15))}}, listed: []*Server{a.at(rev(2, 10))}, want: "[a2]", settled: "[a1]"},
		"not in the copy":         {lost: []Change{{Server: again.at(rev(1, 15))}}, want: "[a2]", at: lapsed},
		"not in the copy, back":   {lost: []Change{{Server: again.at(rev(1, 15))}}, want: "[a2]", then: []Change{{Server: again.at(rev(2, 11))}}, later: "[a2]", settled: "[a2]"},
		"drains, not in the copy": {lost: []Change{{Server: draining.at(rev(1, 15))}}},
		"cold": {
			lost: []Change{{Server: cold.at(rev(1, 15))}}, listed: []*Server{a.at(rev(2, 10))}, want: "[a1]", settled: "[a1]",
			check: func(t *Table) bool { s, _ := t.Status("a"); return s.ColdFor > 0 },
		},
		"unchanged": {
			listed: []*Server{a.at(rev(2, 10))}, want: "[a1]", settled: "[a1]",
			check: func(t *Table) bool { s, _ := t.Status("a"); return s.Revision == rev(1, 10) },
		},
		"evacuated": {lost: []Change{{Evacuated: "z", Revision: rev(1, 15)}}, listed: []*Server{a.at(rev(2, 10))}, settled: "[a1]"},
		"evacuated, said again": {
			lost: []Change{{Evacuated: "z", Revision: rev(1, 15)}}, listed: []*Server{a.at(rev(2, 10))}, then: []Change{{Evacuated: "z", Revision: rev(2, 11)}},
		},
		"evacuated, taken back": {
			lost: []Change{{Evacuated: "z", Revision: rev(1, 15)}}, listed: []*Server{a.at(rev(2, 10))},
			then: []Change{{TakenBack: "z", Revision: rev(2, 11)}}, later: "[a1]", settled: "[a1]",
		},
		"evacuated anew": { // a zone that was taken back in the lost seconds
			lost:   []Change{{Evacuated: "z", Revision: rev(1, 13)}, {TakenBack: "z", Revision: rev(1, 14)}},
			listed: []*Server{a.at(rev(2, 10))}, zones: []Evacuation{{"z", rev(2, 13)}},
		},
		"configuration": {
			lost: []Change{{Config: config(9), Revision: rev(1, 15)}}, listed: []*Server{a.at(rev(2, 10))}, want: "[a1]", settled: "[a1]",
			check: func(t *Table) bool { return t.Config().Version == 9 },
		},
	} {
		for _, source := range []string{"store", "peer"} {
			t.Run(name+"/"+source, func(t *testing.T) {
				c := qt.New(t)
				usable := func(tb *Table, want string) {
					c.Helper()
					got := []string{}
					for _, s := range tb.Usable("s") {
						got = append(got, fmt.Sprintf("%s%d", s.ID, s.Started))
					}
					if want == "" {
						want = "[]"
					}
					c.Check(fmt.Sprint(got), qt.Equals, want)
				}
				tb := NewTable()
				tb.Replace(0, Snapshot{Revision: rev(1, 10), Config: config(1), Servers: []Server{*a.at(rev(1, 10))}})
				for _, change := range x.lost {
					if change.Server != nil {
						change.Revision = change.Server.Revision
					}
					tb.Apply(0, []Change{change})
				}
				tb.Advance(rev(1, 20))
				copied := Snapshot{Revision: rev(2, 10), Config: config(1), Evacuations: x.zones}
				for _, s := range x.listed {
					copied.Servers = append(copied.Servers, *s)
					copied.Revision = max(copied.Revision, s.Revision)
				}
				if source == "peer" {
					peer := NewTable()
					peer.Replace(0, copied)
					update(tb, peer)
				} else {
					tb.Replace(0, copied)
				}
				usable(tb, x.want)
				c.Check(x.check == nil || x.check(tb), qt.IsTrue)
				for _, change := range x.then {
					if change.Server != nil {
						change.Revision = change.Server.Revision
					}
					tb.Apply(x.at, []Change{change})
				}
				tb.Tick(x.at)
				if x.then == nil && x.at == 0 {
					x.later = x.want
				}
				usable(tb, x.later)
				tb.Tick(RewritePeriod - 1)
				usable(tb, x.later)
				tb.Tick(RewritePeriod)
				usable(tb, x.settled)
				tb.Apply(RewritePeriod, []Change{{Config: config(10), Revision: rev(2, 21)}})
				c.Check(tb.Config().Version, qt.Equals, ident.Version(10))
			})
		}
	}
}

// Guards against changes of another era that a host takes for its own, and against a host that follows a peer of an earlier era.
func TestErasDoNotMix(t *testing.T) {
	c := qt.New(t)
	a := server("a", 0)
	restored, behind := NewTable(), NewTable()
	restored.Replace(0, Snapshot{Revision: rev(2, 10), Config: config(1)})
	behind.Replace(0, Snapshot{Revision: rev(1, 20), Config: config(1)})
	behind.Apply(0, []Change{{Revision: rev(2, 30), Server: a.at(rev(2, 30))}})
	behind.Advance(rev(2, 30))
	c.Assert(behind.Revision(), qt.Equals, rev(1, 20))
	restored.Apply(0, []Change{{Revision: rev(1, 25), Server: a.at(rev(1, 25))}, {Revision: rev(2, 11), Server: a.at(rev(2, 11))}})
	update(restored, behind)
	c.Assert(restored.Revision(), qt.Equals, rev(2, 11))
	update(behind, restored)
	c.Assert(behind.Revision(), qt.Equals, rev(2, 11))
	c.Assert(ids(behind.Usable("s")), qt.DeepEquals, []string{"a"})

	// A second copy: what is known from era 1 still goes before it.
	drained := a.with(func(s *Server) { s.State = Draining })
	tb := NewTable()
	tb.Replace(0, Snapshot{Revision: rev(1, 15), Config: config(1), Servers: []Server{*drained.at(rev(1, 15))}})
	for era := uint64(2); era < 4; era++ {
		tb.Replace(0, Snapshot{Revision: rev(era, 10), Config: config(1), Servers: []Server{*a.at(rev(era, 10))}})
		c.Assert(ids(tb.Usable("s")), qt.HasLen, 0)
	}
}

// Guards against hosts that differ for good, from the store or from each other, after it has come back from copies while they read
// it or followed each other; against a configuration that falls, and a removal that is not remembered.
func TestHostsConvergeAfterRestoredCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &publishedLog{era: 1}
		l.putConfig()
		tables := []*Table{NewTable(), NewTable(), NewTable()}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			x := rapid.SampledFrom(tables).Draw(t, "host")
			before := ident.Version(0)
			if x.Config() != nil {
				before = x.Config().Version
			}
			switch rapid.IntRange(0, 8).Draw(t, "what") {
			case 0:
				l.putServer(rapid.SampledFrom(serverIDs).Draw(t, "id"), ServerState(rapid.IntRange(0, 1).Draw(t, "state")))
			case 1:
				l.publish(Change{Removed: rapid.SampledFrom(serverIDs).Draw(t, "id")})
			case 2:
				l.putConfig()
			case 3:
				l.publish(Change{Evacuated: rapid.SampledFrom(zoneNames).Draw(t, "zone")})
			case 4:
				l.publish(Change{TakenBack: rapid.SampledFrom(zoneNames).Draw(t, "zone")})
			case 5:
				l.restore(rapid.IntRange(1, len(l.changes)).Draw(t, "copy"))
				l.putConfig()
			case 6:
				x.Replace(now, l.read(t, l.revision()))
			case 7:
				l.follow(now, x)
			case 8:
				update(x, rapid.SampledFrom(tables).Draw(t, "peer"))
			}
			now += rapid.SampledFrom([]time.Duration{0, time.Second, RewritePeriod}).Draw(t, "time")
			x.Tick(now)
			if x.Config() != nil && x.Config().Version < before {
				t.Fatalf("configuration %d after %d", x.Config().Version, before)
			}
		}
		for _, x := range tables {
			l.follow(now, x)
			x.Tick(now + RewritePeriod)
			servers, cfg := l.at(l.revision())
			got := map[ident.BackendID]Server{}
			for _, s := range x.Snapshot().Servers {
				s.Revision = servers[s.ID].Revision // that of an earlier era stays if the entry is the same
				got[s.ID] = s
			}
			zones := map[string]bool{}
			for _, zone := range zoneNames {
				zones[zone] = x.evacuations.active(zone) == (l.evacuatedAt(zone, l.revision()).Revision != 0)
			}
			if x.Config().Version != cfg.Version || !reflect.DeepEqual(got, servers) || !zones["y"] || !zones["z"] {
				t.Fatalf("configuration %d, servers %v, evacuations %v; published are %d, %v, right zones %v",
					x.Config().Version, got, x.Evacuations(), cfg.Version, servers, zones)
			}
		}
	})
}
