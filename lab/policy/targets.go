package policy

import (
	"fmt"

	"github.com/rosemaryhill/rosemaryhill/core/sched"
)

// Target is a target of section 1.7 of the design page with its measured value.
type Target struct {
	Profile  string       `json:"profile"`
	Policy   sched.Policy `json:"policy"`
	Name     string       `json:"name"`
	Limit    string       `json:"limit"`
	Measured float64      `json:"measured"`
	Met      bool         `json:"met"`
}

// Loads in percent of capacity, and limits of the targets of section 1.7 as ratios.
const (
	targetLoad              = 85
	fullLoad                = 100
	overload                = 120
	maxSlowdown             = 1.2
	maxOverIdle             = 1.5
	minOverloadGoodputRatio = 0.95
	maxHeavyTeamRaise       = 0.2
)

// evaluateTargets compares the cells with the targets, for each profile and policy that was run.
func evaluateTargets(cells []Cell) []Target {
	var out []Target
	for i := range cells {
		c := &cells[i]
		if c.LoadPercent == targetLoad {
			out = append(out, evaluateTargetLoad(c)...)
		}
		if c.LoadPercent == overload {
			if full := findCell(cells, c.Profile, c.Policy, fullLoad); full != nil {
				out = append(out, evaluateOverload(c, full)...)
			}
		}
		out = append(out, evaluateInvariants(c)...)
	}
	return out
}

func atMost(c *Cell, name string, limit, v float64) Target {
	return Target{c.Profile, c.Policy, name, fmt.Sprintf("<= %g", limit), v, v <= limit}
}

func atLeast(c *Cell, name string, limit, v float64) Target {
	return Target{c.Profile, c.Policy, name, fmt.Sprintf(">= %g", limit), v, v >= limit}
}

func evaluateTargetLoad(c *Cell) []Target {
	return []Target{
		atMost(c, "short slowdown", maxSlowdown, c.Slowdown),
		atMost(c, "short p95 over idle", maxOverIdle, c.OverIdle),
		atMost(c, "heavy team raises others' p95", maxHeavyTeamRaise, c.HeavyRaise),
		atMost(c, "admitted archives not answered", 0, float64(c.ArchivesFailed)),
		atLeast(c, "prompts of 2.5 engines answered", 1, float64(c.GangsAnswered)),
		atMost(c, "prompts of 2.5 engines failed", 0, float64(c.GangsFailed)),
	}
}

func evaluateOverload(over, full *Cell) []Target {
	return []Target{
		atLeast(over, "goodput 120 over 100, requests", minOverloadGoodputRatio, ratio(over.GoodputRequestsPS, full.GoodputRequestsPS)),
		atLeast(over, "goodput 120 over 100, tokens", minOverloadGoodputRatio, ratio(over.GoodputTokensPS, full.GoodputTokensPS)),
	}
}

func evaluateInvariants(c *Cell) []Target {
	at := fmt.Sprintf(" at %d %%", c.LoadPercent)
	return []Target{
		atMost(c, "ends past the deadline"+at, 0, float64(c.PastDeadline+c.Unended)),
		atMost(c, "memory left"+at, 0, float64(c.MemoryLeft)),
	}
}
