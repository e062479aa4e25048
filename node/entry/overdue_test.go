package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

// stuckTransport never returns, whatever becomes of the request.
type stuckTransport struct{ release chan struct{} }

func (s stuckTransport) RoundTrip(*http.Request) (*http.Response, error) {
	<-s.release
	return nil, http.ErrServerClosed
}

// bareDialect sends requests without further headers.
type bareDialect struct{ Dialect }

func (bareDialect) Forward(http.Header, Forward) {}

// Guards against a request that gets no answer because a call to its server does not end with the time of the request.
func TestStuckAttemptDoesNotHoldItsRequest(t *testing.T) {
	c := qt.New(t)
	for _, kind := range []catalog.RouteKind{catalog.Idempotent, catalog.NonIdempotent, catalog.Streaming} {
		h := testHost()
		h.metrics, h.decisions, h.bodies = newMetrics(h.obs), newDecisionLog(h.log), newBodyMemory(0)
		h.cfg.Dialect = bareDialect{}
		stuck := stuckTransport{make(chan struct{})}
		h.client = &http.Client{Transport: stuck}
		config := &catalog.Config{Version: 1, Services: []catalog.Service{{Name: "s"}}}
		if kind == catalog.Streaming {
			config.Services[0].Runtime = &catalog.Runtime{
				Slots: 16, MemoryTokens: 300_000, StepsPerPass: 50, StepMS: 1, ReadTokensPerMS: 177, UsualAnswer: 100,
			}
		}
		h.state.catalog.Replace(0, catalog.Snapshot{Revision: 1, Config: config, Servers: []catalog.Server{
			{ID: "i-1", Service: "s", Address: "127.0.0.1:1", Slots: 16},
		}})
		h.state.syncEngines(h.now())
		q := &request{
			http: httptest.NewRequest("POST", "/p/", nil), service: "s", route: &catalog.Route{Kind: kind, MaxAttempts: 2},
			call: Call{PromptTokens: 100, OutputTokens: 10}, arrived: h.now(), memory: share{memory: h.bodies},
		}
		const timeout = 200 * time.Millisecond
		q.deadline = q.arrived + timeout
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		serve := h.servePlain
		if kind == catalog.Streaming {
			serve = h.serveStream
		}
		e := serve(ctx, httptest.NewRecorder(), q)
		c.Assert(e, qt.IsNotNil)
		c.Check([]any{e.Kind, e.Reason}, qt.DeepEquals, []any{outcome.MayHaveRun, outcome.Deadline}, qt.Commentf("%v", e))
		c.Check(h.now()-q.arrived < timeout+5*attemptEndTime, qt.IsTrue)
		cancel()
		close(stuck.release)
	}
}
