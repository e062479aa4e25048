// Package limits enforces team limits at each gateway and concurrency limits for each backend server.
//
// # Overshoot of a team limit
//
// Every gateway admits a team at share × rate. Without demand reports the share is 1/n for n live
// gateways. For a team in the heavy lists, gateway g's share is
//
//	(1 − Floor) × demand(g) / Σ demand + Floor / n
//
// computed from the reports of all gateways, its own included. Gateways with the same reports compute
// shares that sum to one. While a new report spreads, some gateways still use the old shares and some
// the new ones. The sum in use is then at most Σ max(old, new) ≤ Σ old + Σ new = 2, that is one extra
// share for each gateway. If reports take at most D to spread after a change, the admitted amount over
// any interval t that contains one change is at most
//
//	rate × (t + D) + rate × 2 × Burst
//
// The last term is what the buckets may hold: each holds Burst seconds of the gateway's share, and the
// sum of the shares is at most two. A gateway uses the report about itself that it last published, not
// its newest counts, so a report that nobody else has yet changes no share.
//
// A partition into k parts that each see only themselves counts as a change that never spreads: each
// part admits at most rate, the whole at most k × rate, and the excess ends once gossip is heard again.
package limits

import (
	"slices"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// HeavyTeams is the number of teams whose demand gossip carries.
const HeavyTeams = 16

// TeamsConfig sets up team limits. A zero field takes the default in brackets.
type TeamsConfig struct {
	Gateway ident.HostID
	// Burst is the time of unused rate that a bucket holds. More admits larger bursts after a pause
	// [1 s].
	Burst time.Duration
	// Window is the half-life of measured demand. Longer is steadier, shorter follows faster [5 s].
	Window time.Duration
	// DemandExpiry is the age at which a gateway's demand report no longer counts [15 s].
	DemandExpiry time.Duration
	// Floor is the part of a heavy team's rate that is split evenly, so that a gateway with new demand
	// admits some of it before its first report has spread [0.1].
	Floor float64
}

// Rate is a team's configured limit over the whole system. Zero means no limit.
type Rate struct {
	RequestsPerS float64
	TokensPerS   float64
}

// TeamDemand is one line of a demand report: what callers asked for, admitted or not.
type TeamDemand struct {
	Team         ident.Team
	RequestsPerS float64
	TokensPerS   float64
}

// Decision is the answer to Take.
type Decision struct {
	OK         bool
	Known      bool          // the team is configured
	RetryAfter time.Duration // when the bucket will hold enough, if not OK
}

// Teams enforces team limits at one gateway. It is not safe for concurrent use.
type Teams struct {
	cfg      TeamsConfig
	gateways []ident.HostID
	teams    map[ident.Team]*team
	sketch   sketch
	reports  map[ident.HostID]report
}

type team struct {
	rate     Rate
	requests bucket
	tokens   bucket
}

type report struct {
	at      time.Duration
	demands []TeamDemand
}

// NewTeams returns limits without teams, for a single gateway.
func NewTeams(cfg TeamsConfig) *Teams {
	if cfg.Burst == 0 {
		cfg.Burst = time.Second
	}
	if cfg.Window == 0 {
		cfg.Window = 5 * time.Second
	}
	if cfg.DemandExpiry == 0 {
		cfg.DemandExpiry = 15 * time.Second
	}
	if cfg.Floor == 0 {
		cfg.Floor = 0.1
	}
	return &Teams{
		cfg:      cfg,
		gateways: []ident.HostID{cfg.Gateway},
		teams:    map[ident.Team]*team{},
		sketch:   sketch{halfLife: cfg.Window},
		reports:  map[ident.HostID]report{},
	}
}

// Configure replaces the configured teams. A team that stays keeps what its buckets hold.
func (t *Teams) Configure(now time.Duration, rates map[ident.Team]Rate) {
	for name := range t.teams {
		if _, ok := rates[name]; !ok {
			delete(t.teams, name)
		}
	}
	for name, r := range rates {
		if old, ok := t.teams[name]; ok {
			old.rate = r
			continue
		}
		n := &team{rate: r}
		share := t.share(now, name)
		n.requests.fill(now, r.RequestsPerS*share, t.cfg.Burst, 1)
		n.tokens.fill(now, r.TokensPerS*share, t.cfg.Burst, 0)
		t.teams[name] = n
	}
}

// SetGateways sets the live gateways, this one included.
func (t *Teams) SetGateways(ids []ident.HostID) {
	t.gateways = slices.Clone(ids)
	for id := range t.reports {
		if !slices.Contains(ids, id) {
			delete(t.reports, id)
		}
	}
}

// Take admits one request of the given number of tokens, or says when to try again. A request larger
// than the bucket is admitted once the bucket is full; it then owes the rest, so the average holds.
func (t *Teams) Take(now time.Duration, name ident.Team, tokens int) Decision {
	tm, ok := t.teams[name]
	if !ok {
		return Decision{}
	}
	t.sketch.add(now, name, tokens)
	share := t.share(now, name)
	waitR := tm.requests.wait(now, tm.rate.RequestsPerS*share, t.cfg.Burst, 1)
	waitT := tm.tokens.wait(now, tm.rate.TokensPerS*share, t.cfg.Burst, float64(tokens))
	if wait := max(waitR, waitT); wait > 0 {
		return Decision{Known: true, RetryAfter: wait}
	}
	tm.requests.take(tm.rate.RequestsPerS, 1)
	tm.tokens.take(tm.rate.TokensPerS, float64(tokens))
	return Decision{OK: true, Known: true}
}

// Publish returns the demand report to gossip, at most HeavyTeams lines, and makes it the report that
// this gateway's own shares use. Call it when a digest is built.
func (t *Teams) Publish(now time.Duration) []TeamDemand {
	d := t.sketch.top(now)
	t.reports[t.cfg.Gateway] = report{at: now, demands: d}
	return d
}

// Learn takes in the demand report of another gateway.
func (t *Teams) Learn(now time.Duration, gateway ident.HostID, demands []TeamDemand) {
	if gateway == t.cfg.Gateway || !slices.Contains(t.gateways, gateway) {
		return
	}
	t.reports[gateway] = report{at: now, demands: demands}
}

// Share returns the part of a team's rate that this gateway may admit now.
func (t *Teams) Share(now time.Duration, name ident.Team) float64 { return t.share(now, name) }

func (t *Teams) share(now time.Duration, name ident.Team) float64 {
	n := float64(max(1, len(t.gateways)))
	own, sum := 0.0, 0.0
	for _, id := range t.gateways {
		r, ok := t.reports[id]
		if !ok || now-r.at > t.cfg.DemandExpiry {
			continue
		}
		d := demandOf(r.demands, name)
		sum += d
		if id == t.cfg.Gateway {
			own = d
		}
	}
	if sum <= 0 {
		return 1 / n
	}
	return (1-t.cfg.Floor)*own/sum + t.cfg.Floor/n
}

// demandOf weighs by tokens, the scarcer resource, and by requests where no tokens are counted.
func demandOf(ds []TeamDemand, name ident.Team) float64 {
	for i := range ds {
		if ds[i].Team == name {
			return ds[i].TokensPerS + ds[i].RequestsPerS
		}
	}
	return 0
}
