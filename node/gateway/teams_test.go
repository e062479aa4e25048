package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/core/config"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/limits"
	"github.com/rosemaryhill/rosemaryhill/core/member"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

// Guards against refusing a team that is in the configuration but not yet in the limiter, which happened right
// after a start or a configuration change.
func TestChargeKnowsTeamBeforeRefresh(t *testing.T) {
	c := qt.New(t)
	l := limits.NewTeamLimiter(limits.TeamLimiterConfig{Gateway: "a"})
	team := config.Team{RatePerS: 1}
	c.Assert(charge(l, 0, "sorters", team, 0) == nil, qt.IsTrue)
	err := charge(l, 0, "sorters", team, 0)
	c.Assert(err.Reason, qt.Equals, outcome.TeamLimit)
	c.Assert(err.RetryAfter > 0, qt.IsTrue)
}

// Guards against shares that stay equal forever with three or more gateways, which happened when only one of
// the other gateways got a report.
func TestExchangeMovesShareToGatewayWithDemand(t *testing.T) {
	c := qt.New(t)
	const rate = 30.0
	all := []ident.HostID{"a", "b", "c"}
	l := limits.NewTeamLimiter(limits.TeamLimiterConfig{Gateway: "a"})
	l.SetGateways(all)
	admitted := 0
	var total []member.TeamDemand
	for now := time.Duration(0); now < 60*time.Second; now += 20 * time.Millisecond { // 50 requests/s
		if charge(l, now, "audits", config.Team{RatePerS: rate}, 0) == nil && now >= 30*time.Second {
			admitted++
		}
		if now%(2*time.Second) == 0 {
			total = total[:0]
			for _, d := range exchange(l, now, all[1:], total) {
				total = append(total, member.TeamDemand{Team: d.Team, Demand: d.RequestsPerS + d.TokensPerS})
			}
		}
	}
	c.Assert(admitted > int(0.8*rate*30), qt.IsTrue, qt.Commentf("%d of %v admitted in 30 s", admitted, rate*30))
}
