package catalog

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

func config(version int, routes ...Route) *Config {
	return &Config{Version: ident.Version(version), Routes: routes, Services: []Service{{Name: "s"}}}
}

func server(id string, rev uint64) Server {
	return Server{ID: ident.BackendID(id), Service: "s", Address: "10.0.0.1:1", Slots: 4, Revision: rev}
}

func ids(servers []Server) []string {
	out := []string{}
	for _, s := range servers {
		out = append(out, string(s.ID))
	}
	return out
}

// Guards against a request that goes to the service of a shorter prefix or of another host.
func TestLongestPrefixWins(t *testing.T) {
	c := qt.New(t)
	tb := NewTable()
	tb.Replace(0, Snapshot{Revision: 1, Config: config(1,
		Route{Name: "root", Host: "a.example", Prefix: "/"},
		Route{Name: "x", Host: "a.example", Prefix: "/x/"},
		Route{Name: "xy", Host: "a.example", Prefix: "/x/y/"},
		Route{Name: "other", Host: "b.example", Prefix: "/x/"},
	)})
	for path, want := range map[string]string{
		"/x/y/z": "xy", "/x/y": "x", "/x/y/": "xy", "/x/yz/1": "x", "/xy/1": "root", "/": "root",
	} {
		c.Check(tb.Route("A.example", path).Name, qt.Equals, want, qt.Commentf(path))
	}
	c.Assert(tb.Route("b.example", "/y/"), qt.IsNil)
	c.Assert(tb.Route("c.example", "/x/"), qt.IsNil)
	c.Assert(tb.Route("b.example", ""), qt.IsNil)
}

// Guards against a configuration that falls back to an older version when a stale read, a late watch or
// a peer that lags brings one.
func TestConfigurationNeverFalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tb := NewTable()
		highest := ident.Version(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			v := rapid.IntRange(1, 12).Draw(t, "version")
			rev := rapid.Uint64Range(1, 20).Draw(t, "revision")
			if rapid.Bool().Draw(t, "snapshot") {
				tb.Replace(0, Snapshot{Revision: rev, Config: config(v)})
				highest = max(highest, ident.Version(v))
			} else {
				before := tb.Revision()
				tb.Apply(0, []Change{{Revision: rev, Config: config(v)}})
				if rev > before {
					highest = max(highest, ident.Version(v))
				}
			}
			if got := tb.Config(); highest > 0 && (got == nil || got.Version != highest) {
				t.Fatalf("version %v in force, highest seen %d", got, highest)
			}
		}
	})
}

// Guards against new work for a server that is draining or gone.
func TestLeavingServersGetNoWork(t *testing.T) {
	c := qt.New(t)
	tb := NewTable()
	tb.Replace(0, Snapshot{Revision: 5, Config: config(1), Servers: []Server{server("a", 1), server("b", 2), server("c", 3)}})
	c.Assert(ids(tb.Usable("s")), qt.DeepEquals, []string{"a", "b", "c"})
	draining := server("a", 6)
	draining.State = Draining
	tb.Apply(0, []Change{{Revision: 6, Server: &draining}, {Revision: 7, Removed: "b"}})
	c.Assert(ids(tb.Usable("s")), qt.DeepEquals, []string{"c"})

	// An older entry, as a peer may still hold it, does not bring the server back.
	tb.Replace(0, Snapshot{Revision: 5, Servers: []Server{server("a", 1), server("b", 2), server("c", 3)}})
	c.Assert(ids(tb.Usable("s")), qt.DeepEquals, []string{"c"})
}

// Guards against refusing all requests because the entries of servers that live lapsed while the store was
// away, and against keeping a server for good that did not come back.
func TestLapseDuringOutage(t *testing.T) {
	c := qt.New(t)
	tb := NewTable()
	tb.Replace(0, Snapshot{Revision: 5, Config: config(1), Servers: []Server{server("a", 1), server("b", 2)}})
	tb.SourceLost()
	tb.SourceBack(10 * time.Second)
	tb.Replace(10*time.Second, Snapshot{Revision: 9})
	c.Assert(ids(tb.Usable("s")), qt.DeepEquals, []string{"a", "b"})

	back := server("a", 10)
	tb.Apply(11*time.Second, []Change{{Revision: 10, Server: &back}})
	c.Assert(tb.Tick(10*time.Second+LapseHold-1), qt.IsFalse)
	c.Assert(ids(tb.Usable("s")), qt.DeepEquals, []string{"a", "b"})
	c.Assert(tb.Tick(10*time.Second+LapseHold), qt.IsTrue)
	c.Assert(ids(tb.Usable("s")), qt.DeepEquals, []string{"a"})

	// Without an outage a removal holds at once.
	tb.Apply(20*time.Second, []Change{{Revision: 12, Removed: "a"}})
	c.Assert(ids(tb.Usable("s")), qt.HasLen, 0)
}

// Guards against a revoked key that still finds its team.
func TestKeys(t *testing.T) {
	c := qt.New(t)
	tb := NewTable()
	first := config(1)
	first.Teams = []Team{{Name: "sorters", Keys: []string{"k1", "k2"}}}
	second := config(2)
	second.Teams = []Team{{Name: "sorters", Keys: []string{"k2"}}}
	tb.Apply(0, []Change{{Revision: 1, Config: first}})
	c.Assert(tb.TeamOf("k1").Name, qt.Equals, "sorters")
	tb.Apply(0, []Change{{Revision: 2, Config: second}})
	c.Assert(tb.TeamOf("k1"), qt.IsNil)
	c.Assert(tb.TeamOf("k2").Name, qt.Equals, "sorters")
	c.Assert(tb.TeamOf(""), qt.IsNil)
}

// Guards against a split that sends traffic by other shares than the configured ones.
func TestSplit(t *testing.T) {
	c := qt.New(t)
	r := Route{Split: []Share{{"a", 90}, {"b", 10}}}
	n := map[string]int{}
	for i := range 1000 {
		n[r.Pick(float64(i)/1000)]++
	}
	c.Assert(n, qt.DeepEquals, map[string]int{"a": 900, "b": 100})
}
