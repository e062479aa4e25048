package entry

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/eligibility"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/serverlimit"
)

// coldHost returns a host whose only engine is "e1". The service has limits for cold servers if perSecond is not 0.
func coldHost(c *qt.C, perSecond float64) *Host {
	h, placed := hostWithFullEngine(c)
	for _, p := range placed {
		h.state.engines.End(h.now(), p)
	}
	cfg := *h.state.catalog.Config()
	cfg.Version++
	cfg.Services = append([]catalog.Service(nil), cfg.Services...)
	for i := range cfg.Services {
		cfg.Services[i].Cold = catalog.Cold{Time: 3 * time.Second, PerSecond: perSecond}
	}
	h.state.catalog.Apply(h.now(), []catalog.Change{{Revision: h.state.catalog.Revision() + 1, Config: &cfg}})
	h.state.syncEngines(h.now())
	return h
}

// turnCold writes the entry of the engine anew.
func turnCold(h *Host, coldFor time.Duration) {
	srv, _ := h.state.catalog.Status("e1")
	srv.Revision, srv.ColdFor = h.state.catalog.Revision()+1, coldFor
	h.state.catalog.Apply(h.now(), []catalog.Change{{Revision: srv.Revision, Server: &srv}})
	h.state.syncEngines(h.now())
}

func placeNow(h *Host) string {
	_, e := newTestStream(h, time.Second).place(context.Background())
	if e == nil {
		return ""
	}
	if e.RetryAfter == 0 {
		return e.Step + " without Retry-After"
	}
	return e.Step
}

// Guards against requests to a cold engine beyond its limit, a refusal that does not say why or when to return, and an entry
// that ends the state of a server without effect.
func TestColdEngineIsLimited(t *testing.T) {
	c := qt.New(t)
	h := coldHost(c, 2)
	c.Assert(placeNow(h), qt.Equals, "")
	turnCold(h, 3*time.Second)
	c.Check(placeNow(h), qt.Equals, stepWarming)
	_, why := h.state.eligibility(h.now(), "e1", true)
	c.Check(why, qt.Equals, eligibility.Warming)
	turnCold(h, 0)
	c.Check(placeNow(h), qt.Equals, "")
}

// Guards against deployments without limits for cold servers that are served otherwise than before.
func TestServersWithoutColdLimits(t *testing.T) {
	c := qt.New(t)
	h := coldHost(c, 0)
	turnCold(h, 3*time.Second)
	h.recordNotice("e1", 0, h.now(), Notice{Cold: time.Second})
	c.Check(placeNow(h), qt.Equals, "")
	c.Check(h.state.limits.Empty(), qt.IsTrue)
}

// Guards against a host that learns late from the store that a server is cold, and does not hear it from the others.
func TestHostsTellWhichServersAreCold(t *testing.T) {
	c := qt.New(t)
	h := coldHost(c, 2)
	g := (*gossipHandler)(h)
	g.OnLimits("127.0.0.1:1", 7, serverlimit.Update{Published: []serverlimit.PublishedUpdate{
		{Server: "e1", Left: 2 * time.Second, AsOf: h.state.catalog.Revision() + 5},
	}})
	c.Check(placeNow(h), qt.Equals, stepWarming)
	c.Check(h.state.limits.TakeUpdate(h.now(), true).Published, qt.HasLen, 0) // nothing is known first-hand
}

// Guards against a limit that is lost while the server takes no new work, such as during an evacuation, and does not return
// with it.
func TestColdLimitReturnsWithTheServer(t *testing.T) {
	c := qt.New(t)
	h := coldHost(c, 2)
	turnCold(h, 3*time.Second)
	h.state.limits.Retain(func(ident.BackendID) bool { return false })
	h.state.syncEngines(h.now())
	c.Check(placeNow(h), qt.Equals, stepWarming)
}

// Guards against an answer of a cold server that has no effect, and against a limit that is lost when the catalog changes.
func TestAnswerSaysThatServerIsCold(t *testing.T) {
	c := qt.New(t)
	h := coldHost(c, 2)
	h.recordNotice("e1", 0, h.now(), Notice{Cold: 2 * time.Second})
	c.Check(placeNow(h), qt.Equals, stepWarming)
	h.state.syncEngines(h.now())
	c.Check(placeNow(h), qt.Equals, stepWarming)
	u := h.state.limits.TakeUpdate(h.now(), true)
	c.Assert(u.Published, qt.HasLen, 1)
	c.Check(u.Published[0].Server, qt.Equals, ident.BackendID("e1"))
	c.Check(u.Published[0].Left > time.Second, qt.IsTrue)
}
