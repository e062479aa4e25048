package entry

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/node/obs"
)

// metrics are the counters and histograms of a host.
type metrics struct {
	ends     obs.Counter
	rejected obs.Counter
	took     obs.Latency
	firstAt  obs.Latency
}

func newMetrics(o *obs.Obs) metrics {
	return metrics{
		ends:     o.Counter("rosemaryhill_entry_requests", "end", "requests by kind of end and reason"),
		rejected: o.Counter("rosemaryhill_entry_rejections", "service", "requests that a backend server refused before running"),
		took:     o.Latency("rosemaryhill_entry_request_seconds", "kind", "time to the end of a request"),
		firstAt:  o.Latency("rosemaryhill_entry_first_event_seconds", "kind", "time to the first event of a stream"),
	}
}

func (m *metrics) end(q *request, kind, reason string, took time.Duration) {
	if reason != "" {
		kind += "/" + reason
	}
	m.ends.Add(1, kind)
	m.took.Record(took, routeKind(q.route))
}

func (m *metrics) first(q *request, took time.Duration) { m.firstAt.Record(took, routeKind(q.route)) }

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
