package obs

import (
	"bytes"
	"context"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.opentelemetry.io/otel/trace"
)

const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

// Guards against a span that starts a new trace instead of joining its parent's, and against a log event
// that spans several lines.
func TestTraceAndLog(t *testing.T) {
	c := qt.New(t)
	var log, traces bytes.Buffer
	o, err := New(Config{HostID: "a", Role: "gateway", LogLevel: "info", LogTo: &log, Exporter: "stdout", TraceTo: &traces})
	c.Assert(err, qt.IsNil)
	ctx, span := o.Span(FromTraceParent(context.Background(), parent), "hop", trace.SpanKindServer)
	c.Assert(TraceParent(ctx), qt.Matches, "00-0af7651916cd43dd8448eb211c80319c-[0-9a-f]{16}-01")
	c.Assert(TraceParent(ctx), qt.Not(qt.Equals), parent)
	EndSpan(span, "")
	o.Log.WithField("text", "two\nlines").Info("event")
	c.Assert(bytes.Count(log.Bytes(), []byte("\n")), qt.Equals, 1)
	c.Assert(o.Shutdown(context.Background()), qt.IsNil)
	c.Assert(traces.String(), qt.Contains, "0af7651916cd43dd8448eb211c80319c")
}

// Guards against a registry shared by two roles in one process, and against a missing instrument.
func TestMetricsScrape(t *testing.T) {
	c := qt.New(t)
	for range 2 {
		o, err := New(Config{LogLevel: "info"})
		c.Assert(err, qt.IsNil)
		o.Counter("requests", "outcome", "x").Add(3, "answered")
		o.Latency("first_token", "class", "x").Record(time.Second, "batch")
		o.Gauge("held", "x", func() float64 { return 7 })
		w := httptest.NewRecorder()
		o.MetricsHandler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
		c.Assert(w.Body.String(), qt.Contains, `requests_total{outcome="answered"} 3`)
		c.Assert(w.Body.String(), qt.Contains, `first_token_seconds_count{class="batch"} 1`)
		c.Assert(w.Body.String(), qt.Contains, `held 7`)
	}
}
