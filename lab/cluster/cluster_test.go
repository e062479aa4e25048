package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/rosemaryhill/rosemaryhill/core/config"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/lab/caller"
	"github.com/rosemaryhill/rosemaryhill/node/admin"
	"github.com/rosemaryhill/rosemaryhill/node/gateway"
	"github.com/rosemaryhill/rosemaryhill/standin/engine"
	"github.com/rosemaryhill/rosemaryhill/standin/platform"
)

const traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

func smallSpec() Spec {
	return Spec{
		Region: "r", Hosts: []HostSpec{{ID: "h1", Zone: "z1"}}, Model: "m", MaxPromptTokens: 1000,
		Groups: []GroupSpec{{Name: "g", Zone: "z1", Engines: 1, Engine: engine.Config{MemoryTokens: 5000}}},
		Teams:  map[ident.Team]config.Team{"t": {RatePerS: 5, TokensPerS: 100_000}},
	}
}

func startSmallSystem(c *qt.C, modify func(*Plan), traces *syncBuffer) *Cluster {
	plan, err := NewPlan(smallSpec())
	c.Assert(err, qt.IsNil)
	modify(plan)
	return start(c, plan, Options{Traces: traces})
}

// startSmallSystemWith starts the small system with servers of services.
func startSmallSystemWith(c *qt.C, services ...ServiceSpec) *Cluster {
	spec := smallSpec()
	spec.Services = services
	plan, err := NewPlan(spec)
	c.Assert(err, qt.IsNil)
	return start(c, plan, Options{})
}

func start(c *qt.C, plan *Plan, o Options) *Cluster {
	cl, err := StartWith(plan, o)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = cl.Close() })
	return cl
}

func waitReady(c *qt.C, cl *Cluster) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	c.Cleanup(cancel)
	c.Assert(cl.Plan.WaitReady(ctx), qt.IsNil)
	return ctx
}

type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

// span holds the fields of the stdout exporter's output that the test reads.
type span struct {
	Name                string
	SpanContext, Parent struct{ TraceID, SpanID string }
}

// Guards against a hop that starts a trace of its own or has the wrong parent span.
func TestOneTraceOverAllHops(t *testing.T) {
	c := qt.New(t)
	var out syncBuffer
	cl := startSmallSystem(c, func(p *Plan) {
		s := p.Settings["h1"]
		s.Trace.Exporter, s.Trace.SampleRatio = "stdout", 0
		p.Settings["h1"] = s
	}, &out)
	ctx := waitReady(c, cl)
	req, err := http.NewRequestWithContext(ctx, "POST", cl.Plan.GatewayURL("h1")+"/v1/generate",
		bytes.NewReader([]byte(`{"model":"m","prompt":"x","max_output_tokens":2}`)))
	c.Assert(err, qt.IsNil)
	req.Header.Set("traceparent", traceparent)
	req.Header.Set(gateway.TeamHeader, "t")
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	c.Assert(resp.Body.Close(), qt.IsNil)
	time.Sleep(100 * time.Millisecond)
	c.Assert(cl.Close(), qt.IsNil)
	parentSpanID := "b7ad6b7169203331"
	spans := map[string]span{}
	for d := json.NewDecoder(&out.b); d.More(); {
		var s span
		c.Assert(d.Decode(&s), qt.IsNil)
		spans[s.Name] = s
	}
	for _, name := range []string{"generate", "dispatch", "engine"} {
		s := spans[name]
		c.Assert(s.SpanContext.TraceID, qt.Equals, "0af7651916cd43dd8448eb211c80319c", qt.Commentf("%s in %v", name, spans))
		c.Assert(s.Parent.SpanID, qt.Equals, parentSpanID, qt.Commentf("%s in %v", name, spans))
		parentSpanID = s.SpanContext.SpanID
	}
}

// Guards against a process that accepts requests before it has a configuration, and against one that never
// becomes ready after the platform is available again.
func TestNotReadyWithoutConfiguration(t *testing.T) {
	c := qt.New(t)
	plan, err := NewPlan(smallSpec())
	c.Assert(err, qt.IsNil)
	cl, err := StartWith(plan, Options{Prepare: func(cl *Cluster) { cl.Platform.Faults.Set(platform.Faults{Outage: true}) }})
	c.Assert(err, qt.IsNil)
	defer cl.Close()
	time.Sleep(300 * time.Millisecond)
	r, err := admin.Probe(context.Background(), plan.Settings["h1"].Gateway.AdminAddress)
	c.Assert(err, qt.IsNil)
	c.Assert(r.Ready, qt.IsFalse)
	c.Assert(r.Reason, qt.Matches, "no configuration yet.*")
	_, err = caller.New(plan.GatewayURL("h1"), "t").Generate(context.Background(), gateway.GenerateRequest{Model: "m", Prompt: "x", MaxOutputTokens: 1}, 0, nil)
	var refused *caller.Refusal
	c.Assert(errors.As(err, &refused), qt.IsTrue)
	c.Assert(string(refused.Reason), qt.Equals, "not_ready")
	c.Assert(refused.Outcome, qt.Equals, "not-run")
	c.Assert(refused.RetryAfter, qt.Not(qt.Equals), "")
	cl.Platform.Faults.Set(platform.Faults{})
	waitReady(c, cl)
}

// Guards against an administration API without authentication, a team limit that is not enforced, and a
// patch that is checked without its base version.
func TestAdminAndTeamLimit(t *testing.T) {
	c := qt.New(t)
	cl := startSmallSystem(c, func(*Plan) {}, nil)
	ctx := waitReady(c, cl)
	address := cl.Plan.Settings["h1"].Gateway.AdminAddress
	resp, err := http.Get("http://" + address + "/v1/teams")
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Body.Close(), qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusUnauthorized)
	var teams []admin.Team
	c.Assert(AdminGet(ctx, address, "/v1/teams", &teams), qt.IsNil)
	c.Assert(teams, qt.HasLen, 1)
	for body, want := range map[string]int{
		`{"base":1,"patch":{"teams":{"n":{"rate_per_s":1,"tokens_per_s":1,"priority":1}}}}`: http.StatusOK,
		`{"base":0,"patch":{}}`: http.StatusConflict,
		`{"base":1,"patch":{"teams":{"t":{"rate_per_s":"fast"}}}}`: http.StatusConflict,
		`nonsense`: http.StatusBadRequest,
	} {
		req, err := http.NewRequestWithContext(ctx, "POST", "http://"+address+"/v1/config/check", bytes.NewReader([]byte(body)))
		c.Assert(err, qt.IsNil)
		req.Header.Set("Authorization", "Bearer "+AdminToken)
		resp, err := http.DefaultClient.Do(req)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.Body.Close(), qt.IsNil)
		c.Assert(resp.StatusCode, qt.Equals, want, qt.Commentf("%s", body))
	}
	limited := 0
	for range 20 {
		_, err := caller.New(cl.Plan.GatewayURL("h1"), "t").Generate(ctx, gateway.GenerateRequest{Model: "m", Prompt: "x", MaxOutputTokens: 1}, 0, nil)
		var r *caller.Refusal
		if errors.As(err, &r) && r.Reason == "team_limit" && r.Status == http.StatusTooManyRequests {
			limited++
		}
	}
	c.Assert(limited > 5, qt.IsTrue, qt.Commentf("%d of 20 requests limited at 5 per second", limited))
}

// Guards against systems that start at the same time and pick the same ports before either has bound them.
func TestConcurrentPlansShareNoAddress(t *testing.T) {
	c := qt.New(t)
	seen := map[string]bool{}
	for range 20 {
		ports := newPortPicker()
		for range 30 {
			addr := ports.next()
			c.Assert(seen[addr], qt.IsFalse, qt.Commentf("%s was picked before", addr))
			seen[addr] = true
		}
		c.Assert(ports.err, qt.IsNil)
	}
}

// Guards against goroutines that outlive a closed system.
func TestCloseLeavesNoGoroutines(t *testing.T) {
	c := qt.New(t)
	ignored := goleak.IgnoreCurrent()
	plan, err := NewPlan(smallSpec())
	c.Assert(err, qt.IsNil)
	cl, err := Start(plan, nil)
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	c.Assert(plan.WaitReady(ctx), qt.IsNil)
	client := caller.New(plan.GatewayURL("h1"), "t")
	_, err = client.Generate(ctx, gateway.GenerateRequest{Model: "m", Prompt: "x", MaxOutputTokens: 3}, 0, nil)
	c.Assert(err, qt.IsNil)
	client.HTTP.CloseIdleConnections()
	http.DefaultClient.CloseIdleConnections()
	c.Assert(cl.Close(), qt.IsNil)
	c.Assert(goleak.Find(ignored), qt.IsNil)
}
