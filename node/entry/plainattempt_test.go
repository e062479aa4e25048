package entry

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/hedge"
)

// Guards against a server whose failure rate grows with the length of one silence, so that it gets no requests after a
// silence that it has outlasted.
func TestSilenceIsOneFailure(t *testing.T) {
	c := qt.New(t)
	h := testHost()
	h.metrics, h.decisions = newMetrics(h.obs), newDecisionLog(h.log)
	r := h.newPlainRequest(context.Background(), &request{route: &catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 2}})
	id := r.race.Open(hedge.Unknown)
	r.running[id] = &plainAttempt{id: id, server: catalog.Server{ID: "i-1"}}
	r.hedgeSilent()
	once := h.state.health.FailureRate("i-1")
	c.Assert(once > 0, qt.IsTrue)
	r.hedgeSilent()
	c.Assert(h.state.health.FailureRate("i-1"), qt.Equals, once)
}
