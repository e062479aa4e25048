package gateway

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/limits"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/core/owner"
	"github.com/rosemaryhill/rosemaryhill/core/platformapi"
	"github.com/rosemaryhill/rosemaryhill/core/retry"
	"github.com/rosemaryhill/rosemaryhill/node/servicehttp"
	"github.com/rosemaryhill/rosemaryhill/node/view"
)

const (
	// leaseGrace is the time after a call's deadline at which its permit expires.
	leaseGrace = 2 * time.Second
	// reportPeriod is the time between two reads of a service's report.
	reportPeriod = time.Second
	// firstEstimate is the expected service time before one was measured.
	firstEstimate = 20 * time.Millisecond
	// estimateWeight is the weight of a new measurement in the expected service time.
	estimateWeight = 0.1
)

// services holds the instances of plain services that the configuration names.
type services struct {
	g  *Gateway
	mu sync.Mutex
	by map[ident.BackendID]*instance
}

// instance is one server of a plain service. Its Backend never changes.
type instance struct {
	view.Backend
	client  *servicehttp.Client
	stop    context.CancelFunc
	permits *limits.Concurrency
	budget  *retry.Budget
	expect  time.Duration // expected service time
}

func newServices(g *Gateway) *services {
	return &services{g: g, by: map[ident.BackendID]*instance{}}
}

// refresh follows the configuration.
func (s *services) refresh() {
	snap := s.g.view.Config()
	if snap == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	wanted := map[ident.BackendID]bool{}
	for _, list := range snap.Services {
		for _, b := range list {
			wanted[b.ID] = true
			s.keep(b)
		}
	}
	for id, in := range s.by {
		if !wanted[id] {
			in.close()
			delete(s.by, id)
		}
	}
}

func (s *services) keep(b view.Backend) {
	old := s.by[b.ID]
	if old != nil && old.Backend == b {
		return
	}
	if old != nil {
		old.close()
	}
	ctx, cancel := context.WithCancel(s.g.ctx)
	in := &instance{
		Backend: b,
		client:  servicehttp.New(servicehttp.Config{Peer: string(b.ID), Address: b.Address}),
		stop:    cancel,
		permits: limits.NewConcurrency(limits.ConcurrencyConfig{}),
		budget:  retry.New(retry.Config{}),
		expect:  firstEstimate,
	}
	s.by[b.ID] = in
	s.g.duties.Go(func() { s.readReports(ctx, in) })
}

func (in *instance) close() {
	in.stop()
	in.client.Close()
}

func (s *services) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, in := range s.by {
		in.close()
	}
}

// readReports reads the report of a service whose reader this gateway is. One gateway reads each
// service, and gossip tells the others when it is leaving.
func (s *services) readReports(ctx context.Context, in *instance) {
	t := time.NewTicker(reportPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		group := owner.Group{Name: "service/" + string(in.ID), Zone: in.AvailabilityZone, Region: in.Region}
		if reader, ok := owner.Of(group, s.g.view.Gateways()); !ok || reader != s.g.view.Host() {
			continue
		}
		call, cancel := context.WithTimeout(ctx, reportPeriod)
		r, err := in.client.Report(call)
		cancel()
		if err == nil && r.State == platformapi.Leaving {
			s.g.view.MarkBackendLeaving(string(in.ID))
		}
	}
}

// permit is the right to make one call to an instance.
type permit struct {
	s      *services
	in     *instance
	lease  limits.Lease
	expect time.Duration // expected service time
	began  time.Duration
}

// acquire picks the instance of a service with the fewest calls in flight, own availability zone
// first, and takes a permit.
func (s *services) acquire(service string, deadline time.Duration, excluded map[ident.BackendID]bool) (*permit, *outcome.Error) {
	now := s.g.view.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	best, full := s.least(service, now, excluded)
	if best == nil {
		reason, detail := outcome.NoBackend, "no server of the service takes new calls"
		if full {
			reason, detail = outcome.Overload, "all servers of the service are at their concurrency limit"
		}
		return nil, retryLater(outcome.Refuse("choose_service", reason, detail))
	}
	lease, ok := best.permits.Acquire(now, deadline+leaseGrace)
	if !ok {
		return nil, retryLater(outcome.Refuse("choose_service", outcome.Overload, "the server is at its concurrency limit"))
	}
	return &permit{s: s, in: best, lease: lease, expect: best.expect, began: now}, nil
}

func (s *services) least(service string, now time.Duration, excluded map[ident.BackendID]bool) (best *instance, full bool) {
	snap := s.g.view.Config()
	for _, b := range snap.Services[service] {
		in := s.by[b.ID]
		if in == nil || excluded[b.ID] || s.g.view.BackendLeaving(string(b.ID)) || b.Region != s.g.cfg.Settings.Region {
			continue
		}
		if in.permits.Free(now) == 0 {
			full = true
			continue
		}
		if best == nil || s.better(in, best, now) {
			best = in
		}
	}
	return best, full
}

func (s *services) better(a, b *instance, now time.Duration) bool {
	nearA, nearB := a.AvailabilityZone == s.g.view.Zone(), b.AvailabilityZone == s.g.view.Zone()
	if nearA != nearB {
		return nearA
	}
	return a.permits.InFlight(now) < b.permits.InFlight(now)
}

// release gives the permit back with the result of its call.
func (p *permit) release(r limits.Result) {
	now := p.s.g.view.Now()
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	p.in.permits.Release(now, p.lease, r)
	if r == limits.Success {
		p.in.budget.Success(now)
		p.in.expect += time.Duration(estimateWeight * float64(now-p.began-p.in.expect))
	}
}

// retryAfter asks the budget of the failed instance for another try.
func (p *permit) retryAfter(rng *rand.Rand, tries int, left time.Duration) (wait time.Duration, ok bool) {
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	return p.in.budget.Next(p.s.g.view.Now(), rng, retry.Call{Idempotent: true, Tries: tries, Left: left, Expected: p.expect})
}
