package entry

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
)

// Guards against work that goes on for a caller that has left, for streams that may not be resumed too, and against a payment
// that is broken off because its caller has closed its side of the connection.
func TestWorkForCallerThatHasLeft(t *testing.T) {
	for _, x := range []struct {
		name      string
		route     catalog.Route
		reads     bool // writes after the close succeed
		cancelled bool
	}{
		{"idempotent", catalog.Route{Kind: catalog.Idempotent}, false, true},
		{"not idempotent", catalog.Route{Kind: catalog.NonIdempotent}, false, false},
		{"stream", catalog.Route{Kind: catalog.Streaming}, false, true},
		{"stream that may be resumed", catalog.Route{Kind: catalog.Streaming, Resumable: true}, false, true},
		{"stream whose caller reads", catalog.Route{Kind: catalog.Streaming}, true, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			h := testHost()
			ctx, close := context.WithCancel(context.Background())
			q := &request{http: httptest.NewRequest("POST", "/p/", nil).WithContext(ctx), route: &x.route}
			work, cancel := context.WithCancel(context.Background())
			defer h.watchCaller(q, cancel)()
			q.caller.wrote(h.now()) // before the close
			close()
			time.Sleep(closedGrace / 10)
			if x.reads {
				q.caller.wrote(h.now())
				time.Sleep(2 * minReadTime)
				q.caller.wrote(h.now())
			}
			c.Assert(work.Err(), qt.IsNil)
			time.Sleep(closedGrace + closedGrace/2)
			c.Check(work.Err() != nil, qt.Equals, x.cancelled)
			c.Check(h.mayRetry(context.Background(), q, nil) && !x.reads, qt.IsFalse, qt.Commentf("nothing is sent again"))
		})
	}
}
