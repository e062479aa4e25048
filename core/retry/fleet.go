package retry

import "time"

// FleetConfig sets up the share of one host in a retry budget that all hosts keep together: in every
// window, a service gets at most Ratio × the requests for it + Slack arrivals beyond the first of each.
type FleetConfig struct {
	Ratio  float64
	Window time.Duration
	Slack  float64 // of all hosts together
}

// fleetReserve is the share of the slack that stays unused. Views of the number of hosts differ for a
// while after a start or a partition.
const fleetReserve = 0.5

// fleetParts is the number of parts of the window. The count covers one part more than the window, so that
// it bounds every window, wherever it begins.
const fleetParts = 20

// FleetBudget is the budget of one service at one host. It is not safe for concurrent use.
type FleetBudget struct {
	cfg      FleetConfig
	part     int64
	requests [fleetParts + 1]int
	repeats  [fleetParts + 1]int
}

// NewFleetBudget returns a budget.
func NewFleetBudget(cfg FleetConfig) *FleetBudget { return &FleetBudget{cfg: cfg} }

// RecordRequest counts a request of a caller.
func (b *FleetBudget) RecordRequest(now time.Duration) {
	b.advance(now)
	b.requests[b.part%(fleetParts+1)]++
}

// Allow takes one repeat out of the budget. hosts is the number of hosts that share it.
func (b *FleetBudget) Allow(now time.Duration, hosts int) bool {
	b.advance(now)
	allowed := fleetReserve*b.cfg.Ratio*float64(sum(b.requests[:])) + fleetReserve*b.cfg.Slack/float64(max(1, hosts))
	if float64(sum(b.repeats[:])+1) > allowed {
		return false
	}
	b.repeats[b.part%(fleetParts+1)]++
	return true
}

func (b *FleetBudget) advance(now time.Duration) {
	part := int64(now / (b.cfg.Window / fleetParts))
	if part-b.part > fleetParts {
		b.requests, b.repeats = [fleetParts + 1]int{}, [fleetParts + 1]int{}
		b.part = part
		return
	}
	for b.part < part {
		b.part++
		b.requests[b.part%(fleetParts+1)] = 0
		b.repeats[b.part%(fleetParts+1)] = 0
	}
}

func sum(counts []int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}
