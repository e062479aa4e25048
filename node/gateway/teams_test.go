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

// Guards against the refusal of a team that the limits have not been configured with yet.
func TestTakeKnowsTeamBeforeRefresh(t *testing.T) {
	c := qt.New(t)
	l := limits.NewTeamLimiter(limits.TeamLimiterConfig{Gateway: "a"})
	team := config.Team{RatePerS: 1}
	c.Assert(take(l, 0, "sorters", team, 0) == nil, qt.IsTrue)
	err := take(l, 0, "sorters", team, 0)
	c.Assert(err.Reason, qt.Equals, outcome.TeamLimit)
	c.Assert(err.RetryAfter > 0, qt.IsTrue)
}

// Guards against equal shares for ever with three or more gateways, because only one of the others
// ever counted as having reported.
func TestExchangeMovesShareToGatewayWithDemand(t *testing.T) {
	c := qt.New(t)
	const rate = 30.0
	all := []ident.HostID{"a", "b", "c"}
	l := limits.NewTeamLimiter(limits.TeamLimiterConfig{Gateway: "a"})
	l.SetGateways(all)
	admitted := 0
	var total []member.TeamDemand
	for now := time.Duration(0); now < 60*time.Second; now += 20 * time.Millisecond { // 50 requests/s
		if take(l, now, "audits", config.Team{RatePerS: rate}, 0) == nil && now >= 30*time.Second {
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
