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
	peers        map[member.Addr]*peer
	// unconfirmedPeers are hosts that other peers named but that have not sent a report yet. Each gets load
	// reports until the given time.
	unconfirmedPeers map[member.Addr]time.Duration
	seeds            []member.Seed // peers from the settings
	// newPeers are peers whose first report has just arrived. They are sent the addresses of the peers that
	// this host knows.
	newPeers []member.Addr
	// storeConnected is set while this host reads the store itself and the store answers.
	storeConnected bool
	zone           uint32 // hash of this host's availability zone
	self           member.Addr
}

// peer is the state of another entry host according to its last load report.
type peer struct {
	lastReport     time.Duration
	incarnation    ident.Incarnation
	ready          bool
	leaving        bool
	storeConnected bool
	zone           uint32 // hash of the availability zone
	config         ident.Version
	revision       uint64
}

func newState(set settings.Entry, rng *rand.Rand) *state {
	return &state{
		settings:         set,
		rng:              rng,
		catalog:          catalog.NewTable(),
		engines:          placement.NewTable(),
		health:           health.NewTracker(health.Config{}),
		queues:           map[string]*placement.Queue[queueEntry]{},
		loadBalancer:     placement.NewLoadBalancer(),
		budgets:          map[string]*retry.FleetBudget{},
		peers:            map[member.Addr]*peer{},
		unconfirmedPeers: map[member.Addr]time.Duration{},
	}
}

// syncEngines updates engines, health and load balancing from the catalog. Call it after each change of the
// catalog.
func (s *state) syncEngines() {
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
	s.loadBalancer.Retain(keep)
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
	return s.budget(service).Allow(now, 1+len(s.peers))
}
