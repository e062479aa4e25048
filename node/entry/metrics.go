package entry

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/node/obs"
)

// metrics holds the counters and latency histograms of a host.
type metrics struct {
	requests   obs.Counter
	rejected   obs.Counter
	duration   obs.Latency
	firstEvent obs.Latency
}

func newMetrics(o *obs.Obs) metrics {
	return metrics{
		requests:   o.Counter("rosemaryhill_entry_requests", "end", "requests by kind of end and reason"),
		rejected:   o.Counter("rosemaryhill_entry_rejections", "service", "requests that a backend server refused before running"),
		duration:   o.Latency("rosemaryhill_entry_request_seconds", "kind", "time to the end of a request"),
		firstEvent: o.Latency("rosemaryhill_entry_first_event_seconds", "kind", "time to the first event of a stream"),
	}
}

func (m *metrics) recordRequest(q *request, kind, reason string, took time.Duration) {
	if reason != "" {
		kind += "/" + reason
	}
	m.requests.Add(1, kind)
	m.duration.Record(took, routeKind(q.route))
}

func (m *metrics) recordFirstEvent(q *request, took time.Duration) {
	m.firstEvent.Record(took, routeKind(q.route))
}

func routeKind(r *catalog.Route) string {
	switch {
	case r == nil:
		return "none"
	case r.Kind == catalog.Streaming:
		return "stream"
	case r.Kind == catalog.Idempotent:
		return "idempotent"
	default:
		return "non-idempotent"
	}
}
