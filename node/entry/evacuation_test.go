package entry

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/eligibility"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/core/serverlimit"
	"github.com/rosemaryhill/rosemaryhill/transport/control"
)

// zoneHost returns a host with servers a and b of the service s, in the zones y and z.
func zoneHost() *Host {
	h := testHost()
	var servers []catalog.Server
	for id, zone := range map[ident.BackendID]string{"a": "y", "b": "z"} {
		servers = append(servers, catalog.Server{ID: id, Service: "s", Zone: zone, Address: "127.0.0.1:1", Slots: 1, Revision: 1})
	}
	h.updateCatalog("test", func(t *catalog.Table) bool {
		return t.Replace(h.now(), catalog.Snapshot{Revision: 2, Config: &catalog.Config{Version: 1, Services: []catalog.Service{{Name: "s"}}}, Servers: servers})
	})
	return h
}

// change applies a change with the next revision.
func (h *Host) change(c catalog.Change) {
	c.Revision = h.revision() + 1
	h.updateCatalog("test", func(t *catalog.Table) bool { return t.Apply(h.now(), []catalog.Change{c}) })
}

// Guards against a request that reaches a server whose zone was evacuated while the connection was made.
func TestEvacuationWhileConnecting(t *testing.T) {
	c := qt.New(t)
	h := zoneHost()
	var arrived atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Add(1) }))
	c.Cleanup(srv.Close)
	client := newClient(0, nil)
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		h.change(catalog.Change{Evacuated: "z"})
		return new(net.Dialer).DialContext(ctx, network, address)
	}
	for id, status := range map[ident.BackendID]int{"a": http.StatusOK, "b": 0} {
		client.Transport = &http.Transport{DialContext: checkAfterDial(dial), DisableKeepAlives: true}
		chosen, _ := h.state.catalog.Status(id)
		check := func() error { return h.checkBeforeSend(context.Background(), chosen) }
		req, err := http.NewRequestWithContext(withSendCheck(context.Background(), check), http.MethodGet, srv.URL, nil)
		c.Assert(err, qt.IsNil)
		resp, err := client.Do(req)
		if status == 0 {
			c.Check(err, qt.ErrorIs, ineligibleError{eligibility.Evacuated})
			continue
		}
		c.Assert(err, qt.IsNil)
		c.Check(resp.StatusCode, qt.Equals, status)
		_ = resp.Body.Close()
	}
	c.Assert(arrived.Load(), qt.Equals, int64(1))
}

// Guards against a part of a prompt on a helper engine whose zone was evacuated after the placement.
func TestEvacuatedHelperIsNotNamed(t *testing.T) {
	c := qt.New(t)
	h := zoneHost()
	helpers := []Helper{{id: "a"}, {id: "b"}}
	c.Assert(h.checkHelpers(helpers), qt.IsNil)
	h.change(catalog.Change{Evacuated: "z"})
	err := h.checkHelpers(helpers)
	c.Assert(err, qt.ErrorIs, ineligibleError{eligibility.Evacuated})
	c.Assert(err.(*reserveError).engine, qt.Equals, ident.BackendID("b"))
}

// zoneStore answers after a time that the zone z is evacuated.
type zoneStore struct {
	Store
	delay time.Duration
	err   error
}

func (s *zoneStore) Changes(ctx context.Context, after ident.Revision, _ time.Duration) ([]catalog.Change, ident.Revision, error) {
	time.Sleep(s.delay)
	return []catalog.Change{{Revision: after + 1, Evacuated: "z"}}, after + 1, s.err
}

// Guards against a request that is sent by a state from before a long pause of the process, and against one that is held for
// good, or after a short pause, or that waits for a call from before the pause.
func TestSendWaitsForTheStoreAfterPause(t *testing.T) {
	const delay = 100 * time.Millisecond
	const within, maxPause = 5 * time.Second, 2 * time.Second
	for _, test := range []struct {
		name   string
		within time.Duration
		pause  time.Duration
		err    error
		want   eligibility.Reason
		waits  time.Duration
	}{
		{"long", within, maxPause + time.Second, nil, eligibility.Evacuated, delay},
		{"short", within, maxPause / 2, nil, eligibility.Eligible, 0},
		{"long, without the store", within, maxPause + time.Second, context.DeadlineExceeded, eligibility.Eligible, confirmWait},
		{"long, without evacuations", 0, maxPause + time.Second, nil, eligibility.Eligible, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			h := zoneHost()
			h.ctx = context.Background()
			h.state.freshness = newFreshness(test.within)
			h.store = &zoneStore{delay: delay, err: test.err}
			chosen, _ := h.state.catalog.Status("b")
			h.mayBeStale()
			h.start = h.start.Add(-test.pause) // its clock goes on while the process does not
			began := time.Now()
			if h.mayBeStale() {
				h.confirmCatalog(h.now() - test.pause)
				go h.catchUp()
			}
			err := h.checkBeforeSend(h.ctx, chosen)
			if test.want == eligibility.Eligible {
				c.Check(err, qt.IsNil)
			} else {
				c.Check(err, qt.ErrorIs, ineligibleError{test.want})
			}
			c.Check(time.Since(began) >= test.waits, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
			c.Check(h.mayBeStale(), qt.IsFalse)
		})
	}
}

// Guards against a request that waits for the end of a pause or for room in a limit, although the zone of its servers is
// evacuated.
func TestWaitingRequestHearsOfEvacuation(t *testing.T) {
	c := qt.New(t)
	h := zoneHost()
	h.state.pauses.Begin(h.now(), "a", time.Minute)
	h.state.pauses.Begin(h.now(), "b", time.Minute)
	q := &request{service: "s", route: &catalog.Route{Objective: time.Hour}, arrived: h.now(), deadline: h.now() + time.Hour}
	refused := make(chan *outcome.Error, 1) // the sender holds the state, which the changes below need
	go func() {
		e := h.whenOpen(context.Background(), q, func(time.Duration) {})
		h.state.mu.Lock()
		defer h.state.mu.Unlock()
		if e == nil {
			e = h.state.refuseEvacuated("s")
		}
		refused <- e
	}()
	waits := func() bool {
		h.state.mu.Lock()
		defer h.state.mu.Unlock()
		return len(h.state.wake) > 0
	}
	for !waits() {
		time.Sleep(time.Millisecond)
	}
	h.change(catalog.Change{Evacuated: "y"})
	h.change(catalog.Change{Evacuated: "z"})
	select {
	case e := <-refused:
		c.Assert(e, qt.IsNotNil)
		c.Assert(e.Kind, qt.Equals, outcome.NotRun)
		c.Assert(e.RetryAfter, qt.Equals, noBackendRetry)
	case <-time.After(20 * time.Second):
		c.Fatal("the request waits")
	}
}

// Guards against servers that come back without what the host knows of them, such as a limit that it would then exceed.
func TestLimitsOutlastEvacuation(t *testing.T) {
	c := qt.New(t)
	h := zoneHost()
	h.state.limits.Hear(h.now(), "b", 0, serverlimit.Statement{Limited: true, PerSecond: 3})
	h.change(catalog.Change{Evacuated: "z"})
	h.change(catalog.Change{TakenBack: "z"})
	_, limited := h.state.limits.Limit("b")
	c.Assert(limited, qt.IsTrue)
}

// Guards against a zone that is used again because a host of a build that does not know evacuations sends its state.
func TestStateOfOldBuildEndsNoEvacuation(t *testing.T) {
	c := qt.New(t)
	h := zoneHost()
	h.change(catalog.Change{Evacuated: "z"})
	h.applyReply("old", h.stateHeld(), &control.StateReply{Revision: 10, State: &catalog.Snapshot{Revision: 10}})
	c.Assert(h.state.catalog.Evacuations(), qt.HasLen, 1)
	h.applyReply("new", h.stateHeld(), &control.StateReply{Revision: 20, State: &catalog.Snapshot{Revision: 20, Evacuations: []catalog.Evacuation{}}})
	c.Assert(h.state.catalog.Evacuations(), qt.HasLen, 0)
}
