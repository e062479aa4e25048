package retry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against more repeats than the fleet's budget in some window, however requests and repeats fall
// over hosts and time.
func TestFleetBudgetHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := FleetConfig{Ratio: 0.2, Window: 10 * time.Second, Slack: 30}
		hosts := rapid.IntRange(1, 6).Draw(t, "hosts")
		budgets := make([]*FleetBudget, hosts)
		for i := range budgets {
			budgets[i] = NewFleetBudget(cfg)
		}
		var requests, repeats []time.Duration
		now := time.Duration(0)
		for range 400 {
			now += time.Duration(rapid.IntRange(0, 120).Draw(t, "gap")) * time.Millisecond
			b := budgets[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				b.RecordRequest(now)
				requests = append(requests, now)
			} else if b.Allow(now, hosts) {
				repeats = append(repeats, now)
			}
		}
		for _, end := range repeats {
			n, asked := 0, 0
			for _, at := range repeats {
				if at <= end && at > end-cfg.Window {
					n++
				}
			}
			// Requests of the window itself or of the one before it count, whichever are more.
			earlier := 0
			for _, at := range requests {
				switch {
				case at <= end && at > end-cfg.Window:
					asked++
				case at <= end-cfg.Window && at > end-2*cfg.Window:
					earlier++
				}
			}
			if limit := cfg.Ratio*float64(max(asked, earlier)) + cfg.Slack; float64(n) > limit {
				t.Fatalf("%d repeats in the window that ends at %v, at most %.1f allowed", n, end, limit)
			}
		}
	})
}

// Guards against a budget that a pause of the host fills again before its window has passed.
func TestFleetBudgetAfterPause(t *testing.T) {
	c := qt.New(t)
	b := NewFleetBudget(FleetConfig{Ratio: 0, Window: 10 * time.Second, Slack: 4})
	c.Assert(b.Allow(0, 1), qt.IsTrue)
	c.Assert(b.Allow(0, 1), qt.IsTrue)
	c.Assert(b.Allow(9*time.Second, 1), qt.IsFalse)
	c.Assert(b.Allow(10*time.Second, 1), qt.IsFalse)
	c.Assert(b.Allow(30*time.Second, 1), qt.IsTrue)
}
