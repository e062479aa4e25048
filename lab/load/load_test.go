package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/standin/engine"
	"github.com/rosemaryhill/rosemaryhill/standin/service"
)

// fakeGateway implements the caller interface without a system behind it. fault is applied to every tenth
// generation.
type fakeGateway struct {
	url     string
	ledger  *service.Server
	fault   string
	delay   time.Duration
	calls   atomic.Int64
	tickets atomic.Int64
}

func newFakeGateway(c *qt.C, fault string) *fakeGateway {
	g := &fakeGateway{ledger: service.New(service.Config{}), fault: fault}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/addresses", func(w http.ResponseWriter, r *http.Request) {
		tickets := []string{}
		for range 16 {
			tickets = append(tickets, fmt.Sprint("rh1.t", g.tickets.Add(1)))
		}
		json.NewEncoder(w).Encode(map[string]any{"addresses": []map[string]any{{"url": g.url}}, "keep_ms": 30000, "tickets": tickets})
	})
	mux.HandleFunc("POST /v1/generate", g.generate)
	mux.HandleFunc("/v1/services/ledger/", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Rosemaryhill-Outcome", "answered")
		r.Header.Set("Idempotency-Key", r.Header.Get(ticketHeader))
		http.StripPrefix("/v1/services/ledger", g.ledger).ServeHTTP(w, r)
	})
	mux.Handle("/", g.ledger)
	srv := httptest.NewServer(mux)
	c.Cleanup(srv.Close)
	g.url = srv.URL
	return g
}

func (g *fakeGateway) generate(w http.ResponseWriter, r *http.Request) {
	var req generateBody
	json.NewDecoder(r.Body).Decode(&req)
	time.Sleep(g.delay)
	fault := ""
	if g.calls.Add(1)%10 == 0 {
		fault = g.fault
	}
	if fault != "no header" {
		w.Header().Set("Rosemaryhill-Outcome", "answered")
	}
	if fault == "refusal without retry" {
		w.Header().Set("Rosemaryhill-Outcome", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
		io.WriteString(w, `{"outcome":"not-run","reason":"overload"}`)
		return
	}
	if fault == "crossed" {
		req.Prompt += "x"
	}
	answer, count := engine.AnswerTo(req.Prompt), req.MaxOutputTokens
	for n := 1; n <= count; n++ {
		if fault == "gap" && n == 2 {
			continue
		}
		fmt.Fprintf(w, "id: %d\nevent: token\ndata: {\"text\":%q}\n\n", n, answer.Token(n))
	}
	if fault == "no end" {
		return
	}
	fmt.Fprintf(w, "event: end\ndata: {\"outcome\":\"answered\",\"count\":%d}\n\n", count)
}

func experiment(g *fakeGateway) *Experiment {
	return &Experiment{
		Name: "test", Seed: 3, Model: "m", DurationS: 0.5, RatePerS: 200, SettleS: 0.1, LongFromS: 0.2,
		Prompts: []Prompt{
			{Label: "1 k", Tokens: 1000, OutputTokens: 4, Share: 0.98},
			{Label: "200 k", Tokens: 200_000, OutputTokens: 4, Share: 0.02},
		},
		Teams:    []Team{{Name: "a", Share: 1}, {Name: "heavy", Share: 3}},
		Lookups:  ServiceCalls{Service: "ledger", Path: "/tickets/", Share: 0.1},
		Postings: ServiceCalls{Service: "ledger", Path: "/payments/", Share: 0.1},
		Targets:  Targets{Gateways: []string{g.url}, Services: map[string]string{"ledger": g.url}},
	}
}

// Guards against checks that accept an answer with wrong tokens, without its end event, without its outcome
// header, or a refusal without Retry-After.
func TestInvalidAnswersAreReported(t *testing.T) {
	for fault, class := range map[string]string{
		"": "", "crossed": "broken rule", "gap": "broken rule", "no end": "no outcome",
		"no header": "broken rule", "refusal without retry": "broken rule",
	} {
		t.Run(fault, func(t *testing.T) {
			c := qt.New(t)
			res, err := Run(context.Background(), experiment(newFakeGateway(c, fault)))
			c.Assert(err, qt.IsNil)
			c.Assert(res.Answered["generate"] > 30, qt.IsTrue)
			c.Assert(res.Answered["posting"], qt.Equals, res.Sent["posting"])
			if class == "" {
				c.Assert(res.Failures, qt.HasLen, 0)
				c.Assert(res.Violations(), qt.HasLen, 0)
			} else {
				c.Assert(res.Failures[class] > 0, qt.IsTrue, qt.Commentf("%v", res.Failures))
			}
		})
	}
}

// Guards against a repeated execution that is not reported, and against scheduled faults that are not set.
func TestRepeatedExecutionAndFaultTimes(t *testing.T) {
	c := qt.New(t)
	g := newFakeGateway(c, "")
	exp := experiment(g)
	exp.Postings.RepeatShare = 1
	exp.Targets.Others = map[string]string{"ledger-faults": g.url}
	exp.Faults = []Fault{{AtS: 0.3, Target: "ledger-faults", Body: `{"slow_ms":1}`}}
	res, err := Run(context.Background(), exp)
	c.Assert(err, qt.IsNil)
	c.Assert(len(res.RepeatedExecutions) > 0, qt.IsTrue)
	c.Assert(len(res.Violations()) > 0, qt.IsTrue)
	f, _ := g.ledger.Faults.Get()
	c.Assert(f.SlowMS, qt.Equals, 1)
}

// Guards against a closed loop: a slow system must get all planned requests, and late ends must be counted.
func TestSlowSystemGetsAllArrivals(t *testing.T) {
	c := qt.New(t)
	g := newFakeGateway(c, "")
	g.delay = 700 * time.Millisecond
	exp := experiment(g)
	exp.Prompts = exp.Prompts[:1]
	exp.Prompts[0].DeadlineMS = 200
	planned := 0
	for _, a := range exp.plan() {
		if a.kind == kindGenerate {
			planned++
		}
	}
	res, err := Run(context.Background(), exp)
	c.Assert(err, qt.IsNil)
	c.Assert(res.Sent["generate"], qt.Equals, planned)
	c.Assert(res.PastDeadline, qt.Equals, planned)
}

// Guards against a plan that differs for the same seed or deviates from the configured rate and mix.
func TestPlanFollowsSeedRateAndMix(t *testing.T) {
	c := qt.New(t)
	exp := &Experiment{
		Seed: 1, DurationS: 100, RatePerS: 100, LongFromS: 50, Teams: []Team{{Name: "a", Share: 1}, {Name: "b", Share: 3}},
		Prompts: []Prompt{{Label: "s", Tokens: 1000, Share: 0.98}, {Label: "l", Tokens: 200_000, Share: 0.02}},
		Lookups: ServiceCalls{Share: 0.2},
	}
	plan := exp.plan()
	c.Assert(slices.Equal(plan, exp.plan()), qt.IsTrue)
	c.Assert(len(plan) > 9500 && len(plan) < 10_400, qt.IsTrue)
	lookups, long, teamB := 0, 0, 0
	for _, a := range plan {
		switch {
		case a.kind == kindLookup:
			lookups++
		case a.prompt.long():
			long++
			c.Assert(a.at >= 50*time.Second, qt.IsTrue)
		}
		if a.team.Name == "b" {
			teamB++
		}
	}
	c.Assert(lookups > 1800 && lookups < 2200, qt.IsTrue)
	c.Assert(long > 50 && long < 110, qt.IsTrue)
	c.Assert(teamB > 7200 && teamB < 7800, qt.IsTrue)
}

// Guards against built-in profiles that can't be read, and against results that can't be written.
func TestProfilesAndOutputs(t *testing.T) {
	c := qt.New(t)
	for _, name := range []string{"kernhof", "kernhof-faults", "linen-lantern"} {
		exp, err := Read(name)
		c.Assert(err, qt.IsNil)
		c.Assert(exp.check(), qt.IsNil)
		c.Assert(exp.DurationS <= 60, qt.IsTrue)
	}
	dir := t.TempDir()
	res := &Result{Name: "x", FirstToken: []Latency{{"1 k", Quantiles{Count: 1, P50: 1, P95: 1, P99: 1}}}}
	c.Assert(res.WriteJSON(filepath.Join(dir, "r.json")), qt.IsNil)
	c.Assert(res.WritePlot(filepath.Join(dir, "r.svg")), qt.IsNil)
	svg, err := os.ReadFile(filepath.Join(dir, "r.svg"))
	c.Assert(err, qt.IsNil)
	c.Assert(strings.Contains(string(svg), "<svg"), qt.IsTrue)
	var table strings.Builder
	c.Assert(res.WriteTable(&table), qt.IsNil)
	c.Assert(table.String(), qt.Contains, "1 k")
}
