package gateway

import (
	"context"
	"iter"
	"math/rand"
	"net/http"
	"sync"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/limits"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/core/owner"
	"github.com/rosemaryhill/rosemaryhill/core/platformapi"
	"github.com/rosemaryhill/rosemaryhill/core/retry"
	"github.com/rosemaryhill/rosemaryhill/node/internal/httpcall"
	"github.com/rosemaryhill/rosemaryhill/node/servicehttp"
	"github.com/rosemaryhill/rosemaryhill/node/view"
)

const (
	// permitGrace is the time after a call's deadline at which its permit expires.
	permitGrace = 2 * time.Second
	// reportInterval is the time between two requests for the report of a service instance.
	reportInterval = time.Second
	// initialServiceTime is the expected service time before the first measurement.
	initialServiceTime = 20 * time.Millisecond
	// serviceTimeWeight is the weight of a new measurement in the moving average of the service time.
	serviceTimeWeight = 0.1
)

// services holds the configured instances of plain services.
type services struct {
	g    *Gateway
	mu   sync.Mutex
	byID map[ident.BackendID]*instance
	// pauses are those that instances have asked for.
	pauses retry.Pauses
}

// instance is one server of a plain service. Its Backend never changes.
type instance struct {
	view.Backend
	client      *servicehttp.Client
	stop        context.CancelFunc
	permits     *limits.Concurrency
	budget      *retry.Budget
	serviceTime time.Duration // expected; moving average of the measured times
}

func newServices(g *Gateway) *services {
	return &services{g: g, byID: map[ident.BackendID]*instance{}}
}

// refresh adds, replaces and closes instances to match the configuration.
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
			s.ensureInstance(b)
		}
	}
	for id, in := range s.byID {
		if !wanted[id] {
			in.stop()
			delete(s.byID, id)
		}
	}
}

func (s *services) ensureInstance(b view.Backend) {
	old := s.byID[b.ID]
	if old != nil && old.Backend == b {
		return
	}
	if old != nil {
		old.stop()
	}
	ctx, cancel := context.WithCancel(s.g.ctx)
	in := &instance{
		Backend:     b,
		client:      servicehttp.New(servicehttp.Config{Peer: string(b.ID), Address: b.Address}),
		stop:        cancel,
		permits:     limits.NewConcurrency(limits.ConcurrencyConfig{}),
		budget:      retry.New(retry.Config{}),
		serviceTime: initialServiceTime,
	}
	s.byID[b.ID] = in
	s.g.background.Go(func() { s.readReports(ctx, in) })
}

func (s *services) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, in := range s.byID {
		in.stop()
	}
}

// readReports polls the report of an instance while this gateway is the one assigned to it. Each instance is
// polled by one gateway; gossip tells the others when the instance is leaving.
func (s *services) readReports(ctx context.Context, in *instance) {
	t := time.NewTicker(reportInterval)
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
		call, cancel := context.WithTimeout(ctx, reportInterval)
		r, err := in.client.Report(call)
		cancel()
		if err == nil && r.State == platformapi.Leaving {
			s.g.view.MarkBackendLeaving(string(in.ID))
		}
	}
}

// permit is the right to make one call to an instance.
type permit struct {
	s           *services
	in          *instance
	lease       limits.Lease
	serviceTime time.Duration // expected service time of the instance when the call started
	start       time.Duration
}

// acquire takes a permit from the instance of a service with the fewest calls in flight. Instances in the
// gateway's own availability zone come first.
func (s *services) acquire(service string, deadline time.Duration, excluded map[ident.BackendID]bool) (*permit, *outcome.Error) {
	now := s.g.view.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	best, full := s.leastLoaded(service, now, excluded)
	if best == nil && len(excluded) == 0 {
		if end, all := s.pauses.FirstEnd(now, s.usable(service)); all {
			e := outcome.Refuse("choose_service", outcome.Overload, "all servers of the service have asked for a pause")
			e.RetryAfter = retry.ReturnAfter(end-now, s.g.rng().Float64())
			return nil, e
		}
	}
	if best == nil {
		reason, detail := outcome.NoBackend, "no server of the service takes new calls"
		if full {
			reason, detail = outcome.Overload, "all servers of the service are at their concurrency limit"
		}
		return nil, retryLater(outcome.Refuse("choose_service", reason, detail))
	}
	lease, ok := best.permits.Acquire(now, deadline+permitGrace)
	if !ok {
		return nil, retryLater(outcome.Refuse("choose_service", outcome.Overload, "the server is at its concurrency limit"))
	}
	return &permit{s: s, in: best, lease: lease, serviceTime: best.serviceTime, start: now}, nil
}

// usable returns the instances of a service that take new calls, paused ones included.
func (s *services) usable(service string) iter.Seq[ident.BackendID] {
	return func(yield func(ident.BackendID) bool) {
		for _, b := range s.g.view.Config().Services[service] {
			in := s.byID[b.ID]
			if in == nil || s.g.view.BackendLeaving(string(b.ID)) || b.Region != s.g.cfg.Settings.Region {
				continue
			}
			if !yield(b.ID) {
				return
			}
		}
	}
}

func (s *services) leastLoaded(service string, now time.Duration, excluded map[ident.BackendID]bool) (best *instance, full bool) {
	for id := range s.usable(service) {
		in := s.byID[id]
		if excluded[id] || s.pauses.Active(now, id) {
			continue
		}
		if in.permits.Free(now) == 0 {
			full = true
			continue
		}
		if best == nil || s.preferred(in, best, now) {
			best = in
		}
	}
	return best, full
}

func (s *services) preferred(a, b *instance, now time.Duration) bool {
	nearA, nearB := a.AvailabilityZone == s.g.view.Zone(), b.AvailabilityZone == s.g.view.Zone()
	if nearA != nearB {
		return nearA
	}
	return a.permits.InFlight(now) < b.permits.InFlight(now)
}

// release returns the permit and reports the result of its call to the concurrency limit and retry budget.
func (p *permit) release(r limits.Result) {
	now := p.s.g.view.Now()
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	p.in.permits.Release(now, p.lease, r)
	if r == limits.Success {
		p.in.budget.Success(now)
		p.in.serviceTime += time.Duration(serviceTimeWeight * float64(now-p.start-p.in.serviceTime))
	}
}

// answered returns the permit of a call that the instance has answered. One that refuses the call may ask for a pause, which
// is no failure.
func (p *permit) answered(r *servicehttp.Response) {
	if r.Status == http.StatusServiceUnavailable {
		p.s.mu.Lock()
		p.s.pauses.Begin(p.s.g.view.Now(), p.in.ID, httpcall.RetryAfter(r.Header))
		p.s.mu.Unlock()
	}
	p.release(limits.Success)
}

// nextRetry asks the retry budget of the failed instance for another attempt.
func (p *permit) nextRetry(rng *rand.Rand, tries int, left time.Duration) (wait time.Duration, ok bool) {
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	return p.in.budget.Next(p.s.g.view.Now(), rng, retry.Call{Idempotent: true, Tries: tries, Left: left, Expected: p.serviceTime})
}
