package cluster

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/node/gateway"
	"github.com/rosemaryhill/rosemaryhill/standin/service"
)

// Guards against lookups and postings that a gateway sends to a service server within the pause that the server has asked for,
// while another one is free, and against callers that are told to return before the pause of the last one is over.
func TestGatewayKeepsToPausesOfServices(t *testing.T) {
	c := qt.New(t)
	cl := startSmallSystemWith(c, ServiceSpec{ID: "l1", Name: "ledger", Zone: "z1"}, ServiceSpec{ID: "l2", Name: "ledger", Zone: "z1"})
	ctx := waitReady(c, cl)
	lookup := func() (status int, retryAfter float64) {
		req, err := http.NewRequestWithContext(ctx, "GET", cl.Plan.GatewayURL("h1")+"/v1/services/ledger/lots/1", nil)
		c.Assert(err, qt.IsNil)
		req.Header.Set(gateway.TeamHeader, "t")
		resp, err := http.DefaultClient.Do(req)
		c.Assert(err, qt.IsNil)
		defer resp.Body.Close()
		retryAfter, _ = strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // missing when served
		return resp.StatusCode, retryAfter
	}
	status, _ := lookup()
	c.Assert(status, qt.Equals, http.StatusOK)
	refuse := func(id string) { cl.Service(id).Faults.Set(service.Faults{Refuse: true}) }

	refuse("l1")
	refused := 0
	for range 4 {
		if status, _ := lookup(); status != http.StatusOK {
			refused++
		}
		time.Sleep(200 * time.Millisecond) // the team's rate
	}
	c.Check(refused <= 1, qt.IsTrue, qt.Commentf("%d of 4", refused))

	time.Sleep(1200 * time.Millisecond)
	refuse("l2")
	var last float64
	for range 3 {
		status, last = lookup()
		c.Check(status, qt.Equals, http.StatusServiceUnavailable)
	}
	c.Check(last >= 0.5, qt.IsTrue, qt.Commentf("callers return after %v s", last))
}
