package entry

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/eligibility"
	"github.com/rosemaryhill/rosemaryhill/node/obs"
)

// metrics holds the counters and latency histograms of a host.
type metrics struct {
	requests   obs.Counter
	rejected   obs.Counter
	sent       obs.Counter
	duration   obs.Latency
	firstEvent obs.Latency
	// attemptsFailed counts attempts at servers that gave no complete answer.
	attemptsFailed obs.Counter
	// silences counts servers that were silent for too long, by what the host did about it.
	silences obs.Counter
	// notices counts what servers have said about themselves, by kind.
	notices obs.Counter
	// quarantines counts the changes of quarantined prompt parts, by kind.
	quarantines obs.Counter
	// storeFailures counts reads of the store that failed, by cause.
	storeFailures obs.Counter
	// handovers counts the requests that were handed on to other hosts, by result.
	handovers obs.Counter
}

func newMetrics(o *obs.Obs) metrics {
	return metrics{
		requests:       o.Counter("rosemaryhill_entry_requests", "end", "requests by kind of end and reason"),
		rejected:       o.Counter("rosemaryhill_entry_rejections", "service", "requests that a backend server refused before running"),
		sent:           o.Counter("rosemaryhill_entry_sent", "zone", "requests sent to backend servers, by whether the server is in the zone of this host"),
		duration:       o.Latency("rosemaryhill_entry_request_seconds", "kind", "time to the end of a request"),
		firstEvent:     o.Latency("rosemaryhill_entry_first_event_seconds", "kind", "time to the first event of a stream"),
		attemptsFailed: o.Counter("rosemaryhill_entry_attempts_failed", "cause", "attempts at backend servers that gave no complete answer"),
		silences:       o.Counter("rosemaryhill_entry_silent_servers", "action", "times that a backend server was silent for longer than its load explains, by what the host did"),
		notices:        o.Counter("rosemaryhill_entry_server_notices", "notice", "times that a backend server said that it leaves or wants no requests for a time, or named another limit"),
		storeFailures:  o.Counter("rosemaryhill_entry_store_failures", "cause", "reads of the store that failed, by timeout or otherwise"),
		handovers:      o.Counter("rosemaryhill_entry_handovers", "result", "requests that were handed on to other hosts, by result"),
		quarantines:    o.Counter("rosemaryhill_entry_prompt_parts", "change", "changes of the quarantine of prompt parts that crash servers"),
	}
}

// Notices of servers, as named in metrics.
const (
	noticeLeaving = "leaving"
	noticePause   = "pause"
	noticeLimit   = "limit"
)

// registerGauges registers the gauges of the peers and of the traffic to them.
func (h *Host) registerGauges() {
	locked := func(value func(s *state) int) func() float64 {
		return func() float64 {
			h.state.mu.Lock()
			defer h.state.mu.Unlock()
			return float64(value(h.state))
		}
	}
	h.obs.Gauge("rosemaryhill_entry_peers", "entry hosts that are alive, without this one",
		locked(func(s *state) int { return len(s.peers.Live(h.now())) }))
	h.obs.Gauge("rosemaryhill_entry_partitions", "partitions of the engines among the entry hosts",
		locked(func(s *state) int { return s.peers.Partitions() }))
	h.obs.Gauge("rosemaryhill_entry_partition", "partition of this host, from 0",
		locked(func(s *state) int { return s.peers.Partition() }))
	h.obs.Gauge("rosemaryhill_entry_limited_servers", "backend servers that name a request limit",
		locked(func(s *state) int { return s.limits.Limited() }))
	h.obs.Gauge("rosemaryhill_entry_unreachable_services", "services whose backend servers this host can't reach",
		locked(func(s *state) int { return len(s.isolation.All()) }))
	h.obs.Gauge("rosemaryhill_entry_handovers_taken", "requests of other hosts in progress here",
		func() float64 { return float64(h.handoversTaken.Load()) })
	h.obs.Gauge("rosemaryhill_entry_evacuated_zones", "availability zones that are evacuated",
		locked(func(s *state) int { return len(s.catalog.Evacuations()) }))
	h.obs.Gauge("rosemaryhill_entry_store_era", "era of the store, which rises when the store comes back from an older copy",
		locked(func(s *state) int { return int(s.catalog.Revision().Era()) }))
	h.obs.Gauge("rosemaryhill_entry_config_unreadable", "1 while the published configuration can't be read, so that an older one is in force",
		locked(func(s *state) int {
			if s.catalog.Unreadable() != "" {
				return 1
			}
			return 0
		}))
	h.obs.GaugeVec("rosemaryhill_entry_servers", "listed backend servers by service and eligibility for new work",
		[]string{"service", "eligibility"}, h.observeServers)
	h.obs.Gauge("rosemaryhill_entry_gossip_bytes_out", "bytes of membership and load reports sent since the start",
		func() float64 { return float64(h.gossip.Stats().BytesOut) })
	h.obs.Gauge("rosemaryhill_entry_gossip_bytes_in", "bytes of membership and load reports received since the start",
		func() float64 { return float64(h.gossip.Stats().BytesIn) })
}

// observeServers reports the servers of each service by eligibility.
func (h *Host) observeServers(observe func(value float64, labels ...string)) {
	s := h.state
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.catalog.Config()
	if c == nil {
		return
	}
	for i := range c.Services {
		n := s.countServers(h.now(), c.Services[i].Name)
		for why := range eligibility.All {
			observe(float64(n[why]), c.Services[i].Name, why.String())
		}
	}
}

// recordSent counts a request that is sent to a backend server.
func (m *metrics) recordSent(sameZone bool) {
	if sameZone {
		m.sent.Add(1, "same")
		return
	}
	m.sent.Add(1, "other")
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
