package gateway

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/config"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/limits"
	"github.com/rosemaryhill/rosemaryhill/core/member"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/node/view"
)

// authenticate returns the team that a request names, after checking its key if it has one.
func authenticate(s *view.Snapshot, h http.Header) (ident.Team, config.Team, *outcome.Error) {
	name := ident.Team(h.Get(TeamHeader))
	team, ok := s.Teams[name]
	if !ok {
		return name, team, outcome.Refuse("authenticate", outcome.UnknownTeam, "the header "+TeamHeader+" names no configured team")
	}
	if team.KeySHA256 == "" {
		return name, team, nil
	}
	key, bearer := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(key))
	digest := hex.EncodeToString(sum[:])
	if !bearer || subtle.ConstantTimeCompare([]byte(digest), []byte(team.KeySHA256)) != 1 {
		return name, team, outcome.Refuse("authenticate", outcome.UnknownTeam, "the team needs its key as bearer token")
	}
	return name, team, nil
}

// chargeTeam counts a request of the given number of tokens against the rate limit of its team. The rate comes
// from the active configuration and not from the last refresh of the limits, which lack a new team right after
// a start or a configuration change: its requests would be refused as those of an unknown team.
func (g *Gateway) chargeTeam(name ident.Team, tokens int) *outcome.Error {
	s := g.view.Config()
	if s == nil {
		return outcome.Refuse("team_limit", outcome.NotReady, "no configuration is held")
	}
	team, ok := s.Teams[name]
	if !ok {
		return outcome.Refuse("team_limit", outcome.UnknownTeam, "the team was removed from the configuration")
	}
	g.limitsMu.Lock()
	defer g.limitsMu.Unlock()
	return charge(g.limits, g.view.Now(), name, team, tokens)
}

func charge(l *limits.TeamLimiter, now time.Duration, name ident.Team, team config.Team, tokens int) *outcome.Error {
	l.ConfigureTeam(now, name, rateOf(team))
	d := l.Take(now, name, tokens)
	if d.OK {
		return nil
	}
	e := outcome.Refuse("team_limit", outcome.TeamLimit, "the team is over its configured rate")
	e.RetryAfter = d.RetryAfter
	return e
}

func rateOf(t config.Team) limits.Rate {
	return limits.Rate{RequestsPerS: t.RatePerS, TokensPerS: t.TokensPerS}
}

// refreshLimits configures the limiter with the teams of the configuration and the live gateways.
func (g *Gateway) refreshLimits() {
	s := g.view.Config()
	if s == nil {
		return
	}
	rates := make(map[ident.Team]limits.Rate, len(s.Teams))
	for name, t := range s.Teams {
		rates[name] = rateOf(t)
	}
	g.limitsMu.Lock()
	defer g.limitsMu.Unlock()
	g.limits.SetGateways(g.gatewayIDs())
	g.limits.Configure(g.view.Now(), rates)
}

// gatewayIDs returns the live gateways. This one comes first, even if membership does not list it yet.
func (g *Gateway) gatewayIDs() []ident.HostID {
	ids := []ident.HostID{g.view.Host()}
	for _, c := range g.view.Gateways() {
		if c.Host != g.view.Host() {
			ids = append(ids, c.Host)
		}
	}
	return ids
}

// exchangeDemand publishes this gateway's team demand and updates the limiter with the demand at the other
// gateways.
func (g *Gateway) exchangeDemand() {
	total := g.view.TeamDemand()
	others := g.gatewayIDs()[1:]
	g.limitsMu.Lock()
	own := exchange(g.limits, g.view.Now(), others, total)
	g.limitsMu.Unlock()
	report := make([]member.TeamDemand, len(own))
	for i, d := range own {
		report[i] = member.TeamDemand{Team: d.Team, Demand: d.TokensPerS + d.RequestsPerS}
	}
	g.view.SetDemand(report)
}

// exchange returns this gateway's demand and reports the demand at the other gateways to l. Membership provides
// only the sum over all gateways, so the demand of the others is attributed to one of them and the rest get an
// empty report; shares depend only on the sum over the others. Every gateway needs a report, because the
// limiter keeps equal shares until each has one.
func exchange(l *limits.TeamLimiter, now time.Duration, others []ident.HostID, total []member.TeamDemand) []limits.TeamDemand {
	own := l.Publish(now)
	rest := demandOfOthers(total, own)
	for _, id := range others {
		l.AddPeerReport(now, id, rest)
		rest = nil
	}
	return own
}

func demandOfOthers(total []member.TeamDemand, own []limits.TeamDemand) []limits.TeamDemand {
	var out []limits.TeamDemand
	for _, t := range total {
		rest := t.Demand
		for _, o := range own {
			if o.Team == t.Team {
				rest -= o.TokensPerS + o.RequestsPerS
			}
		}
		if rest > 0 {
			out = append(out, limits.TeamDemand{Team: t.Team, RequestsPerS: rest})
		}
	}
	return out
}
