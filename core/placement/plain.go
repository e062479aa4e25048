package placement

import (
	"math"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// ServerLoad is the load that a server reported with an answer.
type ServerLoad struct{ Running, Waiting, Slots int }

// ServerHealth is the observed health of a server.
type ServerHealth struct {
	Excluded    bool
	FailureRate float64       // share of its answers that failed
	AnswerTime  time.Duration // smoothed, zero when unknown
}

// LoadBalancer places requests on plain servers, which are those without a catalog.Runtime, by their load and health. It
// is not safe for concurrent use.
type LoadBalancer struct {
	inFlight map[ident.BackendID]int
	reported map[ident.BackendID]reportedLoad
}

type reportedLoad struct {
	ServerLoad
	at time.Duration
}

// NewLoadBalancer returns a load balancer without load.
func NewLoadBalancer() *LoadBalancer {
	return &LoadBalancer{inFlight: map[ident.BackendID]int{}, reported: map[ident.BackendID]reportedLoad{}}
}

const (
	// reportLife is the time for which a reported load counts, a few times the usual time to an answer.
	reportLife = 400 * time.Millisecond
	// failurePenalty is the weight of a server's failures, in requests in flight.
	failurePenalty = 12
	// slowPenalty is the weight of an answer time twice that of the fastest server, in requests in flight.
	slowPenalty = 2
)

// Choose returns the server with the least expected delay. The draw is a random number in [0, 1) that breaks ties,
// so that hosts do not all choose the same server. ok is false when none may be used.
func (p *LoadBalancer) Choose(now time.Duration, servers []catalog.Server, health func(ident.BackendID) ServerHealth, draw float64) (best catalog.Server, ok bool) {
	fastest := math.Inf(1)
	for _, s := range servers {
		if t := health(s.ID).AnswerTime; t > 0 {
			fastest = math.Min(fastest, float64(t))
		}
	}
	lowest := math.Inf(1)
	n := len(servers)
	for i := range n {
		s := servers[(i+int(draw*float64(n)))%n]
		e := health(s.ID)
		if e.Excluded {
			continue
		}
		score := p.load(now, s.ID) + failurePenalty*e.FailureRate
		if e.AnswerTime > 0 {
			score += slowPenalty * math.Max(0, float64(e.AnswerTime)/fastest-1)
		}
		if score < lowest {
			best, lowest, ok = s, score, true
		}
	}
	return best, ok
}

func (p *LoadBalancer) load(now time.Duration, id ident.BackendID) float64 {
	n := float64(p.inFlight[id])
	if r, known := p.reported[id]; known && now-r.at < reportLife {
		n = math.Max(n, float64(r.Running+r.Waiting))
	}
	return n
}

// Begin counts a request as in flight until End.
func (p *LoadBalancer) Begin(id ident.BackendID) { p.inFlight[id]++ }

// End removes a request that Begin counted.
func (p *LoadBalancer) End(id ident.BackendID) {
	if p.inFlight[id]--; p.inFlight[id] <= 0 {
		delete(p.inFlight, id)
	}
}

// Report records the load that a server reports.
func (p *LoadBalancer) Report(now time.Duration, id ident.BackendID, l ServerLoad) {
	p.reported[id] = reportedLoad{l, now}
}

// Retain drops the reports of servers that are no longer listed.
func (p *LoadBalancer) Retain(listed func(ident.BackendID) bool) {
	for id := range p.reported {
		if !listed(id) {
			delete(p.reported, id)
		}
	}
}
