package cluster

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/node/gateway"
	"github.com/rosemaryhill/rosemaryhill/standin/service"
)

// Guards against a call that a gateway cuts without a response at the end of its shutdown time.
func TestShutdownTimeEndsCallsWithAResponse(t *testing.T) {
	c := qt.New(t)
	spec := smallSpec()
	spec.Services = []ServiceSpec{{ID: "l1", Name: "ledger", Zone: "z1", Service: service.Config{Delay: 8 * time.Second}}}
	spec.KeepMS, spec.ShutdownMS = 100, 400
	plan, err := NewPlan(spec)
	c.Assert(err, qt.IsNil)
	cl := start(c, plan, Options{})
	ctx := waitReady(c, cl)
	type result struct {
		status int
		err    error
	}
	results := make(chan result, 1)
	go func() {
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, plan.GatewayURL("h1")+"/v1/services/ledger/lots/1", nil) // the URL is valid
		req.Header.Set(gateway.TeamHeader, "t")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			results <- result{0, err}
			return
		}
		_, err = io.ReadAll(resp.Body)
		results <- result{resp.StatusCode, err}
	}()
	time.Sleep(200 * time.Millisecond) // the call is at its server
	p, running := cl.Role("h1/gateway")
	c.Assert(running, qt.IsTrue)
	c.Assert(p.Gateway.Tickets().Active, qt.Equals, 1)
	began := time.Now()
	c.Check(cl.Shutdown(ctx, "h1/gateway"), qt.IsNotNil) // its time is over
	c.Check(time.Since(began) < 2*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
	e := <-results
	c.Check(e.err, qt.IsNil)
	c.Check(e.status, qt.Equals, http.StatusBadGateway, qt.Commentf(fmt.Sprint(e)))
}
