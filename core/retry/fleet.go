package retry

import "time"

// FleetConfig configures one host's share of a retry budget that applies to all hosts together: in every window, a
// service gets at most Ratio × its requests + Slack retries. Every arrival of a request after its first counts as a
// retry.
type FleetConfig struct {
	Ratio  float64
	Window time.Duration
	Slack  float64 // retries allowed without any request, of all hosts together
}

// fleetUsableShare is the share of the budget that is used. The rest is a margin, because hosts disagree about the
// number of hosts for a while after a start or a partition.
const fleetUsableShare = 0.5

// fleetParts is the number of parts of the window. The counts cover one part more than the window, so that the
// limit holds for a window that begins at any time.
const fleetParts = 20

// FleetBudget is one host's share of the retry budget of a service. It is not safe for concurrent use.
type FleetBudget struct {
	cfg      FleetConfig
	part     int64 // index of the newest part
	requests [fleetParts + 1]int
	retries  [fleetParts + 1]int
}

// NewFleetBudget returns a budget.
func NewFleetBudget(cfg FleetConfig) *FleetBudget { return &FleetBudget{cfg: cfg} }

// RecordRequest counts the first arrival of a caller's request.
func (b *FleetBudget) RecordRequest(now time.Duration) {
	b.advance(now)
	b.requests[b.part%(fleetParts+1)]++
}

// Allow takes one retry from the budget and reports whether it may run. hosts is the number of hosts that share it.
func (b *FleetBudget) Allow(now time.Duration, hosts int) bool {
	b.advance(now)
	allowed := fleetUsableShare*b.cfg.Ratio*float64(sum(b.requests[:])) + fleetUsableShare*b.cfg.Slack/float64(max(1, hosts))
	if float64(sum(b.retries[:])+1) > allowed {
		return false
	}
	b.retries[b.part%(fleetParts+1)]++
	return true
}

func (b *FleetBudget) advance(now time.Duration) {
	part := int64(now / (b.cfg.Window / fleetParts))
	if part-b.part > fleetParts {
		b.requests, b.retries = [fleetParts + 1]int{}, [fleetParts + 1]int{}
		b.part = part
		return
	}
	for b.part < part {
		b.part++
		b.requests[b.part%(fleetParts+1)] = 0
		b.retries[b.part%(fleetParts+1)] = 0
	}
}

func sum(counts []int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}
