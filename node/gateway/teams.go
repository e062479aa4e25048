package gateway

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/rosemaryhill/rosemaryhill/core/config"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/limits"
	"github.com/rosemaryhill/rosemaryhill/core/member"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/node/view"
)

// authenticate returns the team of a request.
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

// takeLimit charges a request of the given number of tokens to its team.
func (g *Gateway) takeLimit(team ident.Team, tokens int) *outcome.Error {
	g.limitsMu.Lock()
	d := g.limits.Take(g.view.Now(), team, tokens)
	g.limitsMu.Unlock()
	switch {
	case d.OK:
		return nil
	case !d.Known:
		return outcome.Refuse("team_limit", outcome.UnknownTeam, "the team was removed from the configuration")
	}
	e := outcome.Refuse("team_limit", outcome.TeamLimit, "the team is over its configured rate")
	e.RetryAfter = d.RetryAfter
	return e
}

// refreshLimits takes over teams and live gateways.
func (g *Gateway) refreshLimits() {
	s := g.view.Config()
	if s == nil {
		return
	}
	rates := make(map[ident.Team]limits.Rate, len(s.Teams))
	for name, t := range s.Teams {
		rates[name] = limits.Rate{RequestsPerS: t.RatePerS, TokensPerS: t.TokensPerS}
	}
	g.limitsMu.Lock()
	defer g.limitsMu.Unlock()
	g.limits.SetGateways(g.gatewayIDs())
	g.limits.Configure(g.view.Now(), rates)
}

// gatewayIDs returns the live gateways; this one counts even before membership knows it.
func (g *Gateway) gatewayIDs() []ident.HostID {
	ids := []ident.HostID{g.view.Host()}
	for _, c := range g.view.Gateways() {
		if c.Host != g.view.Host() {
			ids = append(ids, c.Host)
		}
	}
	return ids
}

// exchangeDemand reports the own demand and learns that of the others. Membership carries the sum over
// all gateways, so what is not the own part counts as the report of one other gateway; shares depend
// on the sum of the others only.
func (g *Gateway) exchangeDemand() {
	total := g.view.TeamDemand()
	others := g.gatewayIDs()[1:]
	g.limitsMu.Lock()
	own := g.limits.Publish(g.view.Now())
	if len(others) > 0 {
		g.limits.Learn(g.view.Now(), others[0], remainder(total, own))
	}
	g.limitsMu.Unlock()
	report := make([]member.TeamDemand, len(own))
	for i, d := range own {
		report[i] = member.TeamDemand{Team: d.Team, Demand: d.TokensPerS + d.RequestsPerS}
	}
	g.view.SetDemand(report)
}

func remainder(total []member.TeamDemand, own []limits.TeamDemand) []limits.TeamDemand {
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
