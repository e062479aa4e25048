package entry

import (
	"context"
	"maps"
	"math/rand"
	"sync"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/coldstart"
	"github.com/rosemaryhill/rosemaryhill/core/eligibility"
	"github.com/rosemaryhill/rosemaryhill/core/health"
	"github.com/rosemaryhill/rosemaryhill/core/hedge"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/isolation"
	"github.com/rosemaryhill/rosemaryhill/core/member"
	"github.com/rosemaryhill/rosemaryhill/core/partition"
	"github.com/rosemaryhill/rosemaryhill/core/peers"
	"github.com/rosemaryhill/rosemaryhill/core/placement"
	"github.com/rosemaryhill/rosemaryhill/core/quarantine"
	"github.com/rosemaryhill/rosemaryhill/core/retry"
	"github.com/rosemaryhill/rosemaryhill/core/serverlimit"
	"github.com/rosemaryhill/rosemaryhill/node/settings"
)

// state holds everything that a host bases its decisions on, guarded by one lock.
type state struct {
	mu           sync.Mutex
	settings     settings.Entry
	rng          *rand.Rand
	catalog      *catalog.Table
	engines      *placement.Table
	queues       map[string]*placement.Queue[queueEntry] // by service name
	health       *health.Tracker
	loadBalancer *placement.LoadBalancer
	budgets      map[string]*retry.FleetBudget
	pauses       retry.Pauses                      // that servers have asked for
	limits       *serverlimit.Table                // that servers have named
	limitHeard   map[ident.BackendID]time.Duration // when the limit of a limited server was heard first, or changed
	sharingHosts int                               // live hosts that share the limits, this one included
	hostsCounted time.Duration                     // when these were counted
	cold         *coldstart.Table                  // servers that may be cold
	coldNews     []coldNews                        // that are not logged yet
	openWaiters  map[string][]*request             // requests that wait for a server, in order, by service name
	wake         map[*request]context.CancelFunc   // wakes the ones that sleep until a server takes requests
	numberings   hedge.Numberings                  // of the streams' events
	peers        *peers.Table
	quarantine   *quarantine.Table
	isolation    *isolation.Tracker             // of the services that this host can't reach
	handovers    map[member.Addr]int            // requests that peers answer for this host, by peer
	partNames    map[quarantine.Part]PromptPart // IDs of parts that were suspects, for the log
	// fullReportNeeded is set when the next load report has to carry the full load.
	fullReportNeeded bool
	// storeConnected is set while this host reads the store itself and the store answers.
	storeConnected bool
	freshness      freshness
	peerCalls      peerCalls
	// unreadable is the cause of the last log line on an unreadable configuration, unreadableLogAt the time of the next one.
	unreadable      string
	unreadableLogAt time.Duration
}

func newState(set settings.Entry, rng *rand.Rand) *state {
	return &state{
		settings:     set,
		rng:          rng,
		catalog:      catalog.NewTable(),
		engines:      placement.NewTable(),
		health:       health.NewTracker(health.Config{}),
		queues:       map[string]*placement.Queue[queueEntry]{},
		loadBalancer: placement.NewLoadBalancer(),
		budgets:      map[string]*retry.FleetBudget{},
		limits:       serverlimit.NewTable(serverlimit.Config{Seed: rng.Uint64(), PublishedFrom: meetTime}),
		cold:         coldstart.NewTable(0),
		limitHeard:   map[ident.BackendID]time.Duration{},
		sharingHosts: 1,
		openWaiters:  map[string][]*request{},
		wake:         map[*request]context.CancelFunc{},
		freshness:    newFreshness(settings.MS(set.EvacuateMS)),
		peers:        peers.NewTable(),
		isolation:    isolation.NewTracker(),
		handovers:    map[member.Addr]int{},
		quarantine:   quarantine.NewTable(0, quarantine.Config{}),
		partNames:    map[quarantine.Part]PromptPart{},
	}
}

// syncEngines updates partitions, engines, health and load balancing from the catalog. Call it after each change of
// the catalog.
func (s *state) syncEngines(now time.Duration) {
	c := s.catalog.Config()
	if c == nil {
		return
	}
	listed := map[ident.BackendID]bool{}
	engines := map[string][]partition.Node{}
	for i := range c.Services {
		svc := &c.Services[i]
		for _, srv := range s.catalog.Usable(svc.Name) {
			listed[srv.ID] = true
			if svc.Runtime != nil {
				engines[svc.Name] = append(engines[svc.Name], partition.Node{ID: string(srv.ID), Zone: zoneHash(srv.Zone)})
			}
		}
	}
	s.peers.SetServices(engines)
	s.replan(now)
	s.setOwnEngines(c)
	keep := func(id ident.BackendID) bool {
		if listed[id] {
			return true
		}
		// What is known of a server counts again once its zone is taken back.
		_, why := s.catalog.Status(id)
		return why == eligibility.Evacuated
	}
	s.health.Retain(keep)
	s.loadBalancer.Retain(keep)
	s.limits.Retain(keep)
	s.isolation.Retain(func(name string) bool { return len(s.catalog.Usable(name)) > 0 })
	s.numberings.Retain(keep)
	s.syncCold(now)
	s.holdAllCold(now, keep)
	maps.DeleteFunc(s.limitHeard, func(id ident.BackendID, _ time.Duration) bool { return !keep(id) })
}

// setOwnEngines makes the engines of this host's partition those that it places requests on.
func (s *state) setOwnEngines(c *catalog.Config) {
	for i := range c.Services {
		if svc := &c.Services[i]; svc.Runtime != nil {
			s.engines.SetEngines(svc.Name, svc.Runtime, s.ownEngines(svc.Name))
		}
	}
}

// replan recomputes the partitions and reports whether they have changed.
func (s *state) replan(now time.Duration) (changed bool) {
	changed = s.peers.Replan(now)
	if changed {
		// Hosts that have got other engines do not know the load of this one on them.
		s.fullReportNeeded = true
	}
	return changed
}

// ownEngines returns the engines of a service that this host places requests on.
func (s *state) ownEngines(service string) []catalog.Server {
	usable := s.catalog.Usable(service)
	if s.peers.Partitions() == 1 {
		return usable
	}
	var own []catalog.Server
	for _, srv := range usable {
		if s.peers.OwnsPartition(s.peers.PartitionOf(srv.ID)) {
			own = append(own, srv)
		}
	}
	return own
}

// queue returns the queue of a service and creates it on first use.
func (s *state) queue(service string) *placement.Queue[queueEntry] {
	q := s.queues[service]
	if q == nil {
		q = &placement.Queue[queueEntry]{}
		s.queues[service] = q
	}
	return q
}

func (s *state) budget(service string) *retry.FleetBudget {
	b := s.budgets[service]
	if b == nil {
		b = retry.NewFleetBudget(retry.FleetConfig{
			Ratio: s.settings.RetryRatio, Window: settings.MS(s.settings.RetryWindowMS), Slack: s.settings.RetrySlack,
		})
		s.budgets[service] = b
	}
	return b
}

// allowRetry takes one retry to a service from the retry budget. Peers that have stopped reporting still count
// as budget holders: they may only be partitioned from this host and still spend their share.
func (s *state) allowRetry(now time.Duration, service string) bool {
	return s.budget(service).Allow(now, 1+s.peers.Len())
}
