package catalog

import (
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/rosemaryhill/rosemaryhill/core/eligibility"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

func config(version int, routes ...Route) *Config {
	return &Config{Version: ident.Version(version), Routes: routes, Services: []Service{{Name: "s"}}}
}

func server(id string, rev ident.Revision) Server {
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

// Guards against a request that goes to the route of a decoded path, which its server does not get, and against one that finds
// no route because its host has a port or its prefix is encoded.
func TestRouteOfPathAsSent(t *testing.T) {
	c := qt.New(t)
	tb := NewTable()
	tb.Replace(0, Snapshot{Revision: 1, Config: config(1,
		Route{Name: "outer", Host: "a.example", Prefix: "/x/"},
		Route{Name: "inner", Host: "a.example", Prefix: "/x/y/"},
		Route{Name: "space", Host: "a.example", Prefix: "/x y/ü/"},
		Route{Name: "encoded", Host: "a.example", Prefix: "/z%2Fz/"},
		Route{Name: "port", Host: "b.example:81", Prefix: "/"},
		Route{Name: "no port", Host: "b.example", Prefix: "/"},
	)})
	for path, want := range map[string]string{
		"/x/y%2F1": "outer", "/x/y%2f1": "outer", "/x/y/%2F1": "inner", "/x/%79/1": "outer", "/x//y/1": "outer", "/x/./y/1": "outer",
		"/x/y/../1": "inner", "/x/y/;/1": "inner", "/x/y;/1": "outer", "/x/Y/1": "outer", "/x y/ü/1": "space", "/x%20y/%C3%BC/1": "space",
		"/z%2Fz/1": "encoded",
	} {
		c.Check(tb.Route("a.example", path).Name, qt.Equals, want, qt.Commentf(path))
	}
	for _, path := range []string{"/x%2Fy/1", "/z/z/1", "/z%2fz/1", "//x/y/1", "x/y/1", "*"} {
		c.Check(tb.Route("a.example", path), qt.IsNil, qt.Commentf(path))
	}
	for host, want := range map[string]string{
		"a.example:80": "outer", "A.Example.": "outer", "a.example.:80": "outer", "b.example:81": "port", "b.example:82": "no port", "b.example": "no port",
	} {
		c.Check(tb.Route(host, "/x/1").Name, qt.Equals, want, qt.Commentf(host))
	}
	for _, host := range []string{"", "a.example:", "xa.example", "a.example.x", "[a.example]:80"} {
		if r := tb.Route(host, "/x/1"); r != nil && r.Name != "outer" {
			c.Errorf("host %q has route %s", host, r.Name)
		}
	}
}

// Guards against a return to an older configuration version that a stale read, a late watch event or a
// lagging peer delivers.
func TestConfigurationNeverFalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tb := NewTable()
		highest := ident.Version(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			v := rapid.IntRange(1, 12).Draw(t, "version")
			rev := drawRevision(t, 1, 20, "revision")
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
				t.Fatalf("current configuration is %v, highest version applied is %d", got, highest)
			}
		}
	})
}

// Guards against a host that does not know that its configuration is not the published one, and against one that takes that from
// an old snapshot or after a newer version.
func TestUnreadableConfiguration(t *testing.T) {
	c := qt.New(t)
	reader, follower := NewTable(), NewTable()
	reader.Replace(0, Snapshot{Revision: 1, Config: config(1)})
	follower.Replace(0, Snapshot{Revision: 1, Config: config(1)})
	reader.Apply(0, []Change{{Revision: 2, Unreadable: "odd"}})
	c.Assert(reader.Unreadable(), qt.Equals, "odd")
	c.Assert(reader.Config().Version, qt.Equals, ident.Version(1))
	update(follower, reader)
	c.Assert(follower.Unreadable(), qt.Equals, "odd")
	starting := NewTable()
	starting.Replace(0, reader.Snapshot())
	c.Assert(starting.Unreadable(), qt.Equals, "odd")
	c.Assert(starting.Config().Version, qt.Equals, ident.Version(1))

	reader.Replace(0, Snapshot{Revision: 1, Config: config(1)})
	reader.Apply(0, []Change{{Revision: 1, Config: config(1)}})
	c.Assert(reader.Unreadable(), qt.Equals, "odd")
	reader.Apply(0, []Change{{Revision: 3, Config: config(2)}})
	c.Assert(reader.Unreadable(), qt.Equals, "")
	reader.Apply(0, []Change{{Revision: 2, Unreadable: "odd"}})
	c.Assert(reader.Unreadable(), qt.Equals, "")
	update(follower, reader)
	c.Assert(follower.Unreadable(), qt.Equals, "")
	follower.Replace(0, Snapshot{Revision: 4, Unreadable: "odd again"})
	c.Assert(follower.Unreadable(), qt.Equals, "odd again")
	c.Assert(follower.Config().Version, qt.Equals, ident.Version(2))
}

// Guards against new requests for a server that is draining or removed.
func TestLeavingServersGetNoWork(t *testing.T) {
	c := qt.New(t)
	tb := NewTable()
	tb.Replace(0, Snapshot{Revision: 5, Config: config(1), Servers: []Server{server("a", 1), server("b", 2), server("c", 3)}})
	c.Assert(ids(tb.Usable("s")), qt.DeepEquals, []string{"a", "b", "c"})
	draining := server("a", 6)
	draining.State = Draining
	tb.Apply(0, []Change{{Revision: 6, Server: &draining}, {Revision: 7, Removed: "b"}})
	c.Assert(ids(tb.Usable("s")), qt.DeepEquals, []string{"c"})

	// An older entry, which a peer may still hold, does not add the server again.
	tb.Replace(0, Snapshot{Revision: 5, Servers: []Server{server("a", 1), server("b", 2), server("c", 3)}})
	c.Assert(ids(tb.Usable("s")), qt.DeepEquals, []string{"c"})
}

// Guards against work for a server that has said itself that it leaves, whatever its entry says, and against a new lifetime
// of it, or another server, that gets none.
func TestLeavingIsOfOneLifetime(t *testing.T) {
	c := qt.New(t)
	tb := NewTable()
	started := func(id string, rev ident.Revision, at int64) Server {
		s := server(id, rev)
		s.Started = at
		return s
	}
	tb.Replace(0, Snapshot{Revision: 5, Config: config(1), Servers: []Server{started("a", 1, 100), started("b", 2, 100), server("c", 3)}})
	c.Assert(tb.MarkLeaving("a", 100), qt.IsTrue)
	c.Assert(tb.MarkLeaving("a", 100), qt.IsFalse, qt.Commentf("no news"))
	c.Assert(tb.MarkLeaving("b", 50), qt.IsFalse, qt.Commentf("said by an earlier lifetime"))
	c.Assert(tb.MarkLeaving("d", 100), qt.IsFalse)
	c.Assert(tb.MarkLeaving("c", 0), qt.IsTrue)
	c.Assert(ids(tb.Usable("s")), qt.DeepEquals, []string{"b"})
	_, why := tb.Status("a")
	c.Assert(why, qt.Equals, eligibility.Leaving)
	c.Assert(tb.Snapshot().Servers, qt.HasLen, 3, qt.Commentf("other hosts learn it from the server"))

	again := started("a", 6, 100)
	tb.Apply(0, []Change{{Revision: 6, Server: &again}})
	tb.Replace(0, Snapshot{Revision: 7, Servers: []Server{again, started("b", 2, 100), server("c", 3)}})
	c.Assert(ids(tb.Usable("s")), qt.DeepEquals, []string{"b"})
	tb.Apply(0, []Change{{Revision: 8, Removed: "a"}, {Revision: 9, Removed: "c"}})
	back, new, unknown := started("a", 10, 100), started("a", 12, 200), server("c", 11)
	tb.Apply(0, []Change{{Revision: 10, Server: &back}, {Revision: 11, Server: &unknown}})
	c.Assert(ids(tb.Usable("s")), qt.DeepEquals, []string{"b", "c"}, qt.Commentf("the lifetimes of c can't be told apart"))
	tb.Apply(0, []Change{{Revision: 12, Server: &new}})
	c.Assert(ids(tb.Usable("s")), qt.DeepEquals, []string{"a", "b", "c"})
}

// Guards against refusing all requests because the entries of running servers lapsed during an outage of the
// store, and against keeping a server forever whose entry does not return.
func TestLapseDuringOutage(t *testing.T) {
	c := qt.New(t)
	tb := NewTable()
	tb.Replace(0, Snapshot{Revision: 5, Config: config(1), Servers: []Server{server("a", 1), server("b", 2)}})
	tb.SourceLost()
	tb.SourceRestored(10 * time.Second)
	tb.Replace(10*time.Second, Snapshot{Revision: 9})
	c.Assert(ids(tb.Usable("s")), qt.DeepEquals, []string{"a", "b"})

	back := server("a", 10)
	tb.Apply(11*time.Second, []Change{{Revision: 10, Server: &back}})
	c.Assert(tb.NextExpiry(), qt.Equals, 10*time.Second+LapseGracePeriod)
	c.Assert(tb.Tick(10*time.Second+LapseGracePeriod-1), qt.IsFalse)
	c.Assert(ids(tb.Usable("s")), qt.DeepEquals, []string{"a", "b"})
	c.Assert(tb.Tick(10*time.Second+LapseGracePeriod), qt.IsTrue)
	c.Assert(ids(tb.Usable("s")), qt.DeepEquals, []string{"a"})

	// Without an outage a removal takes effect at once.
	tb.Apply(20*time.Second, []Change{{Revision: 12, Removed: "a"}})
	c.Assert(ids(tb.Usable("s")), qt.HasLen, 0)
}

// Guards against a revoked key that is still accepted for its team.
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

// Guards against a split of traffic that differs from the configured weights.
func TestSplit(t *testing.T) {
	c := qt.New(t)
	r := Route{Split: []Share{{"a", 90}, {"b", 10}}}
	n := map[string]int{}
	for i := range 1000 {
		n[r.Pick(float64(i)/1000)]++
	}
	c.Assert(n, qt.DeepEquals, map[string]int{"a": 900, "b": 100})
}

// Guards against a host that follows a peer and ends up with different servers or a different configuration
// than one that reads the store itself.
func TestFollowingAPeerGivesTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reader, follower := NewTable(), NewTable()
		revision, version := ident.Revision(1), 1
		reader.Replace(0, Snapshot{Revision: 1, Config: config(1), Servers: []Server{server("a", 1)}})
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "gap")) * time.Millisecond
			reader.Tick(now)
			follower.Tick(now)
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				revision++
				s := server(id, revision)
				s.State = ServerState(rapid.IntRange(0, 1).Draw(t, "state"))
				reader.Apply(now, []Change{{Revision: revision, Server: &s}})
			case 2:
				revision++
				reader.Apply(now, []Change{{Revision: revision, Removed: ident.BackendID(id)}})
			case 3:
				revision++
				version++
				reader.Apply(now, []Change{{Revision: revision, Config: config(version)}})
			case 4:
				reader.SourceLost()
				reader.SourceRestored(now)
				revision++
				reader.Replace(now, Snapshot{Revision: revision, Config: reader.Config(), Servers: []Server{server("c", revision)}})
			case 5:
				follow(now, follower, reader)
			}
		}
		follow(now, follower, reader)
		now += LapseGracePeriod + time.Millisecond
		reader.Tick(now)
		follower.Tick(now)
		a, b := reader.Snapshot(), follower.Snapshot()
		if a.Config.Version != b.Config.Version || !reflect.DeepEqual(ids(a.Servers), ids(b.Servers)) ||
			!reflect.DeepEqual(ids(reader.Usable("s")), ids(follower.Usable("s"))) {
			t.Fatalf("the reader has %v %v, the follower %v %v", a.Config.Version, ids(a.Servers), b.Config.Version, ids(b.Servers))
		}
	})
}

// follow updates a follower as a host does: with the changes since its revision, or with a snapshot.
func follow(now time.Duration, follower, reader *Table) {
	changes, ok := reader.Since(follower.Revision())
	if follower.Config() == nil || !ok {
		follower.Replace(now, reader.Snapshot())
		return
	}
	follower.Apply(now, changes)
	follower.Advance(reader.Revision())
}

// Guards against a journal that grows without bound, or that omits a change without reporting it.
func TestJournalIsBounded(t *testing.T) {
	c := qt.New(t)
	tb := NewTable()
	tb.Replace(0, Snapshot{Revision: 1, Config: config(1)})
	for i := range 3 * maxJournal {
		s := server("a", ident.Revision(i+2))
		tb.Apply(0, []Change{{Revision: s.Revision, Server: &s}})
	}
	c.Assert(len(tb.journal.changes) <= maxJournal, qt.IsTrue)
	_, ok := tb.Since(5)
	c.Assert(ok, qt.IsFalse)
	changes, ok := tb.Since(tb.Revision() - 10)
	c.Assert(ok, qt.IsTrue)
	c.Assert(changes, qt.HasLen, 10)
}
