package entry

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/serverlimit"
)

// Guards against hosts that send a limited server requests without knowing what another host sends it, and against telling all
// hosts of a large fleet of an engine.
func TestLimitsGoToTheHostsThatSend(t *testing.T) {
	c := qt.New(t)
	h := largeFleetHost(c)
	engine := h.state.ownEngines("models")[0].ID
	receivers := func(id ident.BackendID) (n int) {
		for _, o := range h.state.limitUpdates(h.now(), serverlimit.Update{Servers: []serverlimit.ServerUpdate{{Server: id}}}) {
			if !o.update.Empty() {
				n += len(o.to)
			}
		}
		return n
	}
	c.Check(receivers(engine), qt.Equals, 19, qt.Commentf("the other hosts of the partition"))
	c.Check(receivers("plain"), qt.Equals, 39, qt.Commentf("all other hosts send requests to a plain server"))
}

// Guards against a large fleet in which the hosts that send to a cold server do not hear that it is cold.
func TestColdServersAreToldToTheHostsThatSend(t *testing.T) {
	c := qt.New(t)
	h := largeFleetHost(c)
	engine := h.state.ownEngines("models")[0].ID
	told := 0
	for _, o := range h.state.limitUpdates(h.now(), serverlimit.Update{Published: []serverlimit.PublishedUpdate{{Server: engine}}}) {
		if len(o.update.Published) > 0 {
			told += len(o.to)
		}
	}
	c.Assert(told, qt.Equals, 19, qt.Commentf("the other hosts of the partition"))
}

// Guards against parts of prompts and orders that are not taken from the limits of helpers, and helpers beyond their limit.
func TestHelpersAreLimited(t *testing.T) {
	c := qt.New(t)
	h := largeFleetHost(c)
	st := newTestStream(h, 10*time.Second)
	st.q.call.PromptTokens = 200_000
	unlimited, e := st.choose(h.now())
	c.Assert(e == nil, qt.IsTrue)
	c.Assert(len(unlimited.choice.Helpers) > 0, qt.IsTrue)
	helper, now := unlimited.choice.Helpers[0], h.now()
	h.state.limits.Hear(now, helper, 0, serverlimit.Statement{Limited: true, PerSecond: 1})
	before := h.state.limits.FreeAt(now, helper)
	h.state.engines.End(now, h.place(now, unlimited.choice))
	c.Check(h.state.limits.FreeAt(now, helper)-before > 900*time.Millisecond, qt.IsTrue)
	before = h.state.limits.FreeAt(now, helper)
	h.countOrder(helper)
	c.Check(h.state.limits.FreeAt(now, helper)-before > 900*time.Millisecond, qt.IsTrue)
	for _, srv := range h.state.ownEngines("models") {
		h.state.limits.Hear(now, srv.ID, 0, serverlimit.Statement{Limited: srv.ID != unlimited.choice.Engine, PerSecond: 1})
	}
	alone, e := st.choose(h.now())
	c.Assert(e == nil, qt.IsTrue)
	c.Check(alone.choice.Engine, qt.Equals, unlimited.choice.Engine)
	c.Check(alone.choice.Helpers, qt.HasLen, 0, qt.Commentf("no helper has room"))
}

// Guards against a limit that ends with the answer to a request which was sent before the limit was heard, from the server or a
// peer: all hosts would send without a limit until the next answer.
func TestOlderAnswerEndsNoLimit(t *testing.T) {
	c := qt.New(t)
	limit, none := &serverlimit.Statement{Limited: true, PerSecond: 1}, &serverlimit.Statement{}
	s := testHost().state
	c.Assert(s.hearLimit(3*time.Second, 2*time.Second, "a", 0, limit), qt.IsTrue)
	c.Check(s.hearLimit(4*time.Second, time.Second, "a", 0, none), qt.IsFalse)
	c.Check(s.limits.Limited(), qt.Equals, 1)
	c.Check(s.hearLimit(5*time.Second, 4*time.Second, "a", 0, limit), qt.IsFalse)
	c.Check(s.hearLimit(5*time.Second, 4*time.Second, "a", 0, none), qt.IsTrue)
	c.Check(s.limits.Limited(), qt.Equals, 0)
}

// Guards against requests that all wait for the same room of a limited server, so that most of them are refused after a wait
// for nothing.
func TestOnlyRequestsWithRoomWait(t *testing.T) {
	c := qt.New(t)
	h, placed := hostWithFullEngine(c)
	for _, p := range placed {
		h.state.engines.End(h.now(), p)
	}
	const perSecond, wait = 20, 150 * time.Millisecond // half of the objective
	h.state.limits.Hear(h.now(), "e1", 0, serverlimit.Statement{Limited: true, PerSecond: perSecond})
	var mu sync.Mutex
	var wg sync.WaitGroup
	served, refusedAtOnce := 0, 0
	for range 40 {
		wg.Go(func() {
			began := time.Now()
			_, e := newTestStream(h, time.Second).place(context.Background())
			mu.Lock()
			defer mu.Unlock()
			switch {
			case e == nil:
				served++
			case time.Since(began) < wait/3:
				refusedAtOnce++
				c.Check(e.Step, qt.Equals, stepLimit)
				c.Check(e.RetryAfter > 0, qt.IsTrue)
			}
		})
	}
	wg.Wait()
	c.Check(served >= 1 && served <= 1+int(perSecond*wait.Seconds()), qt.IsTrue, qt.Commentf("%d served", served))
	c.Check(refusedAtOnce >= 40-2*perSecond*int(wait.Milliseconds())/1000, qt.IsTrue, qt.Commentf("%d refused at once", refusedAtOnce))
}
