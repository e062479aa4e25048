package retry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against more retries within some window than the budget of all hosts allows, for any distribution of
// requests and retries over hosts and time.
func TestFleetBudgetHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := FleetConfig{Ratio: 0.2, Window: 10 * time.Second, Slack: 30}
		hosts := rapid.IntRange(1, 6).Draw(t, "hosts")
		budgets := make([]*FleetBudget, hosts)
		for i := range budgets {
			budgets[i] = NewFleetBudget(cfg)
		}
		var requests, retries []time.Duration
		now := time.Duration(0)
		for range 400 {
			now += time.Duration(rapid.IntRange(0, 120).Draw(t, "gap")) * time.Millisecond
			b := budgets[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				b.RecordRequest(now)
				requests = append(requests, now)
			} else if b.Allow(now, hosts) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			n, current := 0, 0
			for _, at := range retries {
				if at <= end && at > end-cfg.Window {
					n++
				}
			}
			// The limit follows the requests of the window or of the one before it, whichever are more.
			earlier := 0
			for _, at := range requests {
				switch {
				case at <= end && at > end-cfg.Window:
					current++
				case at <= end-cfg.Window && at > end-2*cfg.Window:
					earlier++
				}
			}
			if limit := cfg.Ratio*float64(max(current, earlier)) + cfg.Slack; float64(n) > limit {
				t.Fatalf("%d retries in the window that ends at %v, at most %.1f allowed", n, end, limit)
			}
		}
	})
}

// Guards against a pause of the host that resets the budget before its window has passed.
func TestFleetBudgetAfterPause(t *testing.T) {
	c := qt.New(t)
	b := NewFleetBudget(FleetConfig{Ratio: 0, Window: 10 * time.Second, Slack: 4})
	c.Assert(b.Allow(0, 1), qt.IsTrue)
	c.Assert(b.Allow(0, 1), qt.IsTrue)
	c.Assert(b.Allow(9*time.Second, 1), qt.IsFalse)
	c.Assert(b.Allow(10*time.Second, 1), qt.IsFalse)
	c.Assert(b.Allow(30*time.Second, 1), qt.IsTrue)
}
