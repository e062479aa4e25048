package enginehttp

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/core/backendapi"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

func newClient(c *qt.C, h http.HandlerFunc) *Client {
	srv := httptest.NewServer(h)
	c.Cleanup(srv.Close)
	return New(Config{Peer: "engine-1", Address: srv.URL, RequestTimeout: 200 * time.Millisecond})
}

// Guards against reporting an interrupted stream as complete and against losing the kind or reason of a
// refusal.
func TestStreamEnds(t *testing.T) {
	const token = `{"n":1,"text":"a"}` + "\n"
	for name, test := range map[string]struct {
		status int
		body   string
		lines  int
		kind   outcome.Kind
		reason outcome.Reason
	}{
		"whole":       {200, token + `{"end":true,"count":1}`, 2, outcome.Answered, ""},
		"no end line": {200, token, 1, outcome.MayHaveRun, outcome.BackendLost},
		"error line":  {200, token + `{"error":"fault"}`, 1, outcome.MayHaveRun, outcome.BackendFailed},
		"not JSON":    {200, token + "<html>", 1, outcome.MayHaveRun, outcome.BackendFailed},
		"long line":   {200, token + strings.Repeat("x", 70<<10), 1, outcome.MayHaveRun, outcome.BackendLost},
		"full":        {503, "", 0, outcome.NotRun, outcome.Overload},
		"leaving":     {503, `{"state":"leaving"}`, 0, outcome.NotRun, outcome.Draining},
		"failed":      {500, "", 0, outcome.MayHaveRun, outcome.BackendFailed},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			client := newClient(c, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Retry-After", "2")
				w.WriteHeader(test.status)
				io.WriteString(w, test.body)
			})
			s, err := client.Start(context.Background(), backendapi.SessionRequest{Session: "s"})
			lines := 0
			for err == nil {
				if _, err = s.Next(); err == nil {
					lines++
				}
			}
			c.Assert(lines, qt.Equals, test.lines)
			if test.kind == outcome.Answered {
				c.Assert(err, qt.Equals, io.EOF)
				return
			}
			e := outcome.From(err, "", "")
			c.Assert(e.Kind, qt.Equals, test.kind)
			c.Assert(e.Reason, qt.Equals, test.reason)
			c.Assert(e.Peer, qt.Equals, "engine-1")
			if test.status == 503 {
				c.Assert(e.RetryAfter, qt.Equals, 2*time.Second)
			}
		})
	}
}

// Guards against an order refusal that doesn't return the fence that the next owner has to exceed.
func TestOrderReturnsHighestFence(t *testing.T) {
	c := qt.New(t)
	client := newClient(c, func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusConflict)
		io.WriteString(w, `{"highest":{"config":7,"term":3}}`)
	})
	r, err := client.Order(context.Background(), backendapi.Order{Kind: "load"})
	c.Assert(r.Highest, qt.Equals, backendapi.Fence{Config: 7, Term: 3})
	c.Assert(outcome.From(err, "", "").Kind, qt.Equals, outcome.NotRun)
	c.Assert(err, qt.ErrorAs, new(*StaleFenceError))
}

// Guards against a release that is repeated although an earlier one, whose answer was lost, has taken effect.
func TestDeletingTwiceSucceeds(t *testing.T) {
	c := qt.New(t)
	client := newClient(c, func(w http.ResponseWriter, r *http.Request) { http.NotFound(w, r) })
	c.Assert(client.DeleteKV(context.Background(), "kv-1"), qt.IsNil)
	_, err := client.Cancel(context.Background(), "session-1")
	c.Assert(err, qt.IsNil)
	_, err = client.Report(context.Background())
	c.Assert(err, qt.IsNotNil)
}

// Guards against a report call that waits indefinitely for a hung engine.
func TestUnaryTimesOut(t *testing.T) {
	c := qt.New(t)
	client := newClient(c, func(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	_, err := client.Report(context.Background())
	c.Assert(outcome.From(err, "", "").Reason, qt.Equals, outcome.Deadline)
}

// BenchmarkReport measures one read of an engine's report, including the server side in the same process,
// and the size of the report.
func BenchmarkReport(b *testing.B) {
	for _, n := range []int{10, 50, 200} {
		b.Run(fmt.Sprintf("sessions=%d", n), func(b *testing.B) {
			c := qt.New(b)
			r := backendapi.Report{Report: 81_233, MemoryTokens: 2_000_000, Model: "ticket-large", Version: "7", State: "live"}
			for i := range n {
				r.Sessions = append(r.Sessions, backendapi.Session{Session: fmt.Sprintf("be-host-0001-1f3a5c7e9b2d4f60-%07d", i),
					Issuer: "be-host-0001", Incarnation: "1f3a5c7e9b2d4f60", ReservedTokens: 4_100, RemainingMS: 27_133})
			}
			body, err := json.Marshal(r)
			c.Assert(err, qt.IsNil)
			client := newClient(c, func(w http.ResponseWriter, _ *http.Request) { w.Write(body) })
			for b.Loop() {
				if _, err := client.Report(context.Background()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(body)), "B/report")
		})
	}
}
