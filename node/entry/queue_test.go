package entry

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/core/placement"
)

const engineSlots = 4

// hostWithFullEngine returns a host whose only engine has no free slot, and the placed requests that occupy the
// slots.
func hostWithFullEngine(c *qt.C) (*Host, []*placement.PlacedRequest) {
	h := testHost()
	h.reportNeeded, h.queueNonEmpty = make(chan struct{}, 1), make(chan struct{}, 1)
	ctx, cancel := context.WithCancel(context.Background())
	h.ctx = ctx
	c.Cleanup(cancel)
	h.state.catalog.Replace(0, catalog.Snapshot{
		Revision: 1,
		Config: &catalog.Config{Version: 1, Services: []catalog.Service{{Name: "models", Runtime: &catalog.Runtime{
			Slots: engineSlots, MemoryTokens: 300_000, StepsPerPass: 50, StepMS: 0.85, SequenceMS: 0.004, ContextMSPerK: 0.003,
			ReadTokensPerMS: 177, PairMSPerMillion: 0.18, UsualAnswer: 1600,
		}}}},
		Servers: []catalog.Server{{ID: "e1", Service: "models", Address: "10.0.0.9:1", Slots: engineSlots}},
	})
	h.state.syncEngines(0)
	var placed []*placement.PlacedRequest
	for range engineSlots {
		choice, ok := h.state.engines.Choose(0, "models", placement.Request{PromptTokens: 5000, OutputTokens: 1600, MaxPause: 250 * time.Millisecond})
		c.Assert(ok, qt.IsTrue)
		placed = append(placed, h.state.engines.Place(0, choice))
	}
	return h, placed
}

func newTestStream(h *Host, timeout time.Duration) *stream {
	q := &request{
		http: httptest.NewRequest("POST", "/m/", nil), service: "models", arrived: h.now(), deadline: h.now() + timeout,
		route: &catalog.Route{Kind: catalog.Streaming, Objective: 300 * time.Millisecond, MaxPause: 250 * time.Millisecond},
	}
	q.call.PromptTokens, q.call.OutputTokens = 5000, 1600
	return h.newStream(context.Background(), httptest.NewRecorder(), q)
}

// Guards against a request that stays in the queue after its caller has cancelled it, and is then sent to an
// engine.
func TestCancelledRequestLeavesQueue(t *testing.T) {
	c := qt.New(t)
	h, placedRequests := hostWithFullEngine(c)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan *outcome.Error, 1)
	go func() {
		_, e := newTestStream(h, 10*time.Second).place(ctx)
		ended <- e
	}()
	<-h.queueNonEmpty
	cancel()
	e := <-ended
	c.Assert(e, qt.IsNotNil)
	c.Assert(e.Kind, qt.Equals, outcome.NotRun)
	c.Assert(h.offerQueue(), qt.Equals, 0)
	for _, it := range placedRequests {
		h.state.engines.End(h.now(), it)
	}
	c.Assert(h.offerQueue(), qt.Equals, 0)
	c.Assert(h.state.engines.OwnLoads(), qt.HasLen, 1)
	c.Assert(h.state.engines.OwnLoads()[0].Load.Tokens, qt.Equals, 0, qt.Commentf("memory is still accounted to a cancelled request"))
}

// Guards against queueing a request that cannot start before its deadline.
func TestUnmeetableDeadlineIsRefused(t *testing.T) {
	c := qt.New(t)
	h, _ := hostWithFullEngine(c)
	_, e := newTestStream(h, 60*time.Millisecond).place(context.Background())
	c.Assert(e, qt.IsNotNil)
	c.Assert(e.Kind, qt.Equals, outcome.NotRun)
	c.Assert(e.Reason, qt.Equals, outcome.Overload)
	c.Assert(e.RetryAfter > 0, qt.IsTrue)
}

// Guards against requests that wait for a busy service blocking those of a service with free engines.
func TestServicesQueueIndependently(t *testing.T) {
	c := qt.New(t)
	h, _ := hostWithFullEngine(c)
	full := newTestStream(h, 10*time.Second)
	free := newTestStream(h, 10*time.Second)
	free.q.service = "other"
	for _, st := range []*stream{full, free} {
		h.state.queue(st.q.service).Add(&waitingStream{
			Value: queueEntry{stream: st, result: make(chan queueResult, 1)}, Arrived: h.now(), Objective: h.now() + time.Hour, WaitUntil: h.now() + time.Hour,
		})
	}
	snapshot := h.state.catalog.Snapshot()
	snapshot.Revision++
	config := *snapshot.Config
	config.Version++
	config.Services = append(config.Services, catalog.Service{Name: "other", Runtime: config.Services[0].Runtime})
	snapshot.Config = &config
	snapshot.Servers = append(snapshot.Servers, catalog.Server{ID: "e2", Service: "other", Address: "10.0.0.9:2", Slots: engineSlots})
	h.state.catalog.Replace(h.now(), snapshot)
	h.state.syncEngines(0)
	c.Assert(h.offerQueue(), qt.Equals, 1)
	c.Assert(h.state.queue("models").Len(), qt.Equals, 1)
}

// Guards against a waiting request that is not placed when a slot becomes free, or that is held until its
// deadline when none does.
func TestQueuedRequestIsPlacedInTime(t *testing.T) {
	c := qt.New(t)
	for _, slotComesFree := range []bool{true, false} {
		h, placedRequests := hostWithFullEngine(c)
		go h.serveQueue()
		const limit = time.Second
		placed := make(chan attempt, 1)
		go func() {
			a, _ := newTestStream(h, limit).place(context.Background())
			placed <- a
		}()
		began := time.Now()
		if slotComesFree {
			time.Sleep(20 * time.Millisecond)
			h.state.mu.Lock()
			h.state.engines.End(h.now(), placedRequests[0])
			h.state.mu.Unlock()
		}
		a := <-placed
		c.Assert(a.placed, qt.IsNotNil)
		c.Assert(string(a.server.ID), qt.Equals, "e1")
		c.Assert(time.Since(began) < limit/2, qt.IsTrue)
	}
}
