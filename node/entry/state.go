package entry

import (
	"math/rand"
	"sync"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/health"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/member"
	"github.com/rosemaryhill/rosemaryhill/core/placement"
	"github.com/rosemaryhill/rosemaryhill/core/retry"
	"github.com/rosemaryhill/rosemaryhill/node/settings"
)

// state holds the decisions of a host behind one lock.
type state struct {
	mu      sync.Mutex
	set     settings.Entry
	rng     *rand.Rand
	catalog *catalog.Table
	engines *placement.Table
	queues  map[string]*placement.Queue[queued] // by service
	health  *health.Tracker
	plain   *placement.LoadBalancer
	budgets map[string]*retry.FleetBudget
	peers   map[member.Addr]*peer
	// contacts are hosts that others named and that were not heard yet, with the time until which they get
	// reports.
	contacts map[member.Addr]time.Duration
	seeds    []member.Seed // hosts of the settings
	// newcomers are peers that were just heard for the first time; they are told whom this host knows.
	newcomers []member.Addr
	// connected is set while this host follows the store itself.
	connected bool
	zone      uint32 // hash of the own availability zone
	self      member.Addr
}

// peer is another entry host as heard from its load reports.
type peer struct {
	heard       time.Duration
	incarnation ident.Incarnation
	ready       bool
	leaving     bool
	connected   bool
	zone        uint32 // hash of the availability zone
	config      ident.Version
	revision    uint64
}

func newState(set settings.Entry, rng *rand.Rand) *state {
	return &state{
		set:      set,
		rng:      rng,
		catalog:  catalog.NewTable(),
		engines:  placement.NewTable(),
		health:   health.NewTracker(health.Config{}),
		queues:   map[string]*placement.Queue[queued]{},
		plain:    placement.NewLoadBalancer(),
		budgets:  map[string]*retry.FleetBudget{},
		peers:    map[member.Addr]*peer{},
		contacts: map[member.Addr]time.Duration{},
	}
}

// published brings the engines in line with the catalog. Call it after each change of the catalog.
func (s *state) published() {
	c := s.catalog.Config()
	if c == nil {
		return
	}
	listed := map[ident.BackendID]bool{}
	for i := range c.Services {
		svc := &c.Services[i]
		usable := s.catalog.Usable(svc.Name)
		for _, srv := range usable {
			listed[srv.ID] = true
		}
		if svc.Runtime != nil {
			s.engines.SetEngines(svc.Name, svc.Runtime, usable)
		}
	}
	keep := func(id ident.BackendID) bool { return listed[id] }
	s.health.Retain(keep)
	s.plain.Retain(keep)
}

// queue returns the queue of a service.
func (s *state) queue(service string) *placement.Queue[queued] {
	q := s.queues[service]
	if q == nil {
		q = &placement.Queue[queued]{}
		s.queues[service] = q
	}
	return q
}

func (s *state) budget(service string) *retry.FleetBudget {
	b := s.budgets[service]
	if b == nil {
		b = retry.NewFleetBudget(retry.FleetConfig{
			Ratio: s.set.RetryRatio, Window: settings.MS(s.set.RetryWindowMS), Slack: s.set.RetrySlack,
		})
		s.budgets[service] = b
	}
	return b
}

// allowRepeat takes one repeat to a service out of the budget. Peers that fell silent still count, since
// they may only be cut off from here and spend their share.
func (s *state) allowRepeat(now time.Duration, service string) bool {
	return s.budget(service).Allow(now, 1+len(s.peers))
}
