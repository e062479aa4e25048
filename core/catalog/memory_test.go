package catalog

import (
	"runtime"
	"testing"
	"weak"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// countHeld returns how many of the values are still in memory.
func countHeld[T any](values []weak.Pointer[T]) (n int) {
	runtime.GC()
	for _, v := range values {
		if v.Value() != nil {
			n++
		}
	}
	return n
}

// Guards against a host that runs out of memory after some hundred versions of a large configuration, since the changes
// that it keeps for peers hold all of them.
func TestSupersededConfigurationsAreReleased(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	table.Replace(0, Snapshot{Revision: 1, Config: config(1)})
	var published []weak.Pointer[Config]
	for n := range 300 {
		cfg := config(n + 2)
		published = append(published, weak.Make(cfg))
		added, revision := server("a", ident.Revision(2*n+3)), ident.Revision(2*n+2)
		table.Apply(0, []Change{{Revision: revision, Config: cfg}, {Revision: revision + 1, Server: &added}})
	}
	c.Check(countHeld(published), qt.Equals, 1)

	// Peers at any revision still get the last version and all other changes.
	for _, revision := range []ident.Revision{1, 2, 300, 599} {
		changes, ok := table.Since(revision)
		c.Assert(ok, qt.IsTrue)
		c.Assert(changes, qt.HasLen, int(601-revision))
		last := ident.Version(0)
		for _, x := range changes {
			if x.Config != nil {
				c.Assert(last, qt.Equals, ident.Version(0))
				last = x.Config.Version
			}
		}
		c.Assert(last, qt.Equals, ident.Version(301))
	}
	runtime.KeepAlive(table)
}

// Guards against requests that each keep the routes of the configuration by which they were admitted: during a series of
// changes there are as many versions in memory as requests in progress.
func TestRequestsDoNotHoldConfigurations(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	var published []weak.Pointer[Route]
	var inProgress []*Route
	for n := range 100 {
		cfg := config(n+1, Route{Name: "r", Host: "a.example", Prefix: "/"}, Route{Name: "s", Host: "b.example", Prefix: "/"})
		published = append(published, weak.Make(&cfg.Routes[0]))
		table.Replace(0, Snapshot{Revision: ident.Revision(n + 1), Config: cfg})
		inProgress = append(inProgress, table.Route("b.example", "/x"))
	}
	c.Check(countHeld(published), qt.Equals, 1)
	c.Assert(inProgress[0].Name, qt.Equals, "s")
	runtime.KeepAlive(inProgress)
	runtime.KeepAlive(table)
}
