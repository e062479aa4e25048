// Package limits enforces team limits at each gateway and concurrency limits for each backend server.
//
// # Overshoot of a team limit
//
// Every gateway admits a team at share × rate. The share is 1/n for n live gateways, until all of
// them have reported their demand. For a team in the reports, gateway g's share is then
//
//	(1 − Floor) × own / (own + Σ others) + Floor / n
//
// where own is the smallest demand that g published within the last MaxPropagation, and each of
// the others counts with the largest demand that g received within the last MaxPropagation (a report
// counts until MaxPropagation after the arrival of the next one). Let c(g) be the newest report of g that is at
// least MaxPropagation old. If reports reach all gateways within MaxPropagation, then every gateway's
// window for g holds c(g). So own ≤ c(g) and others ≥ c(others):
// no gateway uses more than its share under c, and those sum to one. A new report that only some gateways have
// received can therefore lower the sum, never raise it.
//
// Over any time t with m shifts of demand between gateways, the amount admitted is at most
//
//	rate × t + rate × Burst × (1 + m)
//
// because each bucket holds Burst seconds of its gateway's share, and a shift lets another gateway
// start with a full bucket; plus one request for each gateway, since a request larger than the bucket is
// admitted when the bucket is full and leaves a negative level afterwards.
//
// When a gateway joins or leaves, the others learn of it by gossip. Until they do, shares of 1/n and of
// 1/(n+1) are in use together: the sum exceeds one by at most the shares of the gateways that are new,
// one extra share for each. A partition into k parts that no longer count each other as live has
// the same effect until it heals: each part admits at most rate, the whole system at most k × rate.
package limits

import (
	"math"
	"slices"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// MaxReportedTeams is the maximum number of teams in a demand report.
const MaxReportedTeams = 16

// TeamLimiterConfig configures a TeamLimiter. A zero field takes the default in brackets.
type TeamLimiterConfig struct {
	Gateway ident.HostID
	// Burst is the time for which a bucket accumulates unused rate. A larger value admits larger bursts after
	// a pause [1 s].
	Burst time.Duration
	// Window is the half-life of the demand estimate. A longer one is steadier, a shorter one reacts faster [5 s].
	Window time.Duration
	// DemandExpiry is the age at which a gateway's demand report no longer counts, and shares return
	// to 1/n [15 s].
	DemandExpiry time.Duration
	// MaxPropagation is the longest time that a report takes to reach every gateway. A larger value makes
	// shares follow demand later; a value below the actual time breaks the bound on overshoot [6 s: digests
	// every 2 s over two hops, and ShareRefresh].
	MaxPropagation time.Duration
	// Floor is the part of a reported team's rate that is split evenly, so that a gateway with new demand
	// admits some of it before its first report has reached the others [0.1].
	Floor float64
}

// ShareRefresh is the age at which a cached share is computed again. The computation reads the reports
// of all gateways, which is too slow for every request in a system of full size.
const ShareRefresh = 500 * time.Millisecond

// Rate is a team's configured limit over the whole system. Zero means no limit.
type Rate struct {
	RequestsPerS float64
	TokensPerS   float64
}

// TeamDemand is one entry of a demand report: the demand of a team's callers, admitted or not.
type TeamDemand struct {
	Team         ident.Team
	RequestsPerS float64
	TokensPerS   float64
}

// Decision is the result of Take.
type Decision struct {
	OK         bool
	Known      bool          // the team is configured
	RetryAfter time.Duration // when the bucket will hold enough, if not OK
}

// TeamLimiter enforces team limits at one gateway. It is not safe for concurrent use.
type TeamLimiter struct {
	cfg           TeamLimiterConfig
	gateways      []ident.HostID
	teams         map[ident.Team]*team
	sketch        sketch
	reports       map[ident.HostID][]report // oldest first
	reportedTeams map[ident.Team]bool       // teams in any report
	epoch         uint64                    // incremented when the set of gateways changes
}

type team struct {
	rate     Rate
	share    float64
	shareAt  time.Duration
	epoch    uint64 // epoch of the limiter when share was computed; zero if it was not
	requests bucket
	tokens   bucket
}

type report struct {
	at      time.Duration
	demands []TeamDemand
}

// NewTeamLimiter returns a limiter without teams, for a single gateway.
func NewTeamLimiter(cfg TeamLimiterConfig) *TeamLimiter {
	if cfg.Burst == 0 {
		cfg.Burst = time.Second
	}
	if cfg.Window == 0 {
		cfg.Window = 5 * time.Second
	}
	if cfg.DemandExpiry == 0 {
		cfg.DemandExpiry = 15 * time.Second
	}
	if cfg.MaxPropagation == 0 {
		cfg.MaxPropagation = 6 * time.Second
	}
	if cfg.Floor == 0 {
		cfg.Floor = 0.1
	}
	return &TeamLimiter{
		cfg:           cfg,
		gateways:      []ident.HostID{cfg.Gateway},
		teams:         map[ident.Team]*team{},
		sketch:        sketch{halfLife: cfg.Window},
		reports:       map[ident.HostID][]report{},
		reportedTeams: map[ident.Team]bool{},
		epoch:         1,
	}
}

// Configure replaces the configured teams. A team that stays keeps the level of its buckets.
func (t *TeamLimiter) Configure(now time.Duration, rates map[ident.Team]Rate) {
	for name := range t.teams {
		if _, ok := rates[name]; !ok {
			delete(t.teams, name)
		}
	}
	for name, r := range rates {
		t.ConfigureTeam(now, name, r)
	}
}

// ConfigureTeam sets the rate of one team. It is used when a request depends on a newer configuration than the last
// call of Configure had, because its team must not be refused as unknown.
func (t *TeamLimiter) ConfigureTeam(now time.Duration, name ident.Team, r Rate) {
	if old, ok := t.teams[name]; ok {
		old.rate = r
		return
	}
	n := &team{rate: r}
	share := t.share(now, name, n)
	n.requests.fill(now, r.RequestsPerS*share, t.cfg.Burst, 1)
	n.tokens.fill(now, r.TokensPerS*share, t.cfg.Burst, 0)
	t.teams[name] = n
}

// SetGateways sets the live gateways, this one included.
func (t *TeamLimiter) SetGateways(ids []ident.HostID) {
	t.gateways = slices.Clone(ids)
	t.epoch++
	for id := range t.reports {
		if !slices.Contains(ids, id) {
			delete(t.reports, id)
		}
	}
}

// Take admits one request of the given number of tokens, or returns the time to retry after. A request
// larger than the bucket is admitted once the bucket is full; the level then becomes negative, so the average
// rate holds.
func (t *TeamLimiter) Take(now time.Duration, name ident.Team, tokens int) Decision {
	tm, ok := t.teams[name]
	if !ok {
		return Decision{}
	}
	t.sketch.add(now, name, tokens)
	share := t.share(now, name, tm)
	waitR := tm.requests.wait(now, tm.rate.RequestsPerS*share, t.cfg.Burst, 1)
	waitT := tm.tokens.wait(now, tm.rate.TokensPerS*share, t.cfg.Burst, float64(tokens))
	if wait := max(waitR, waitT); wait > 0 {
		return Decision{Known: true, RetryAfter: wait}
	}
	tm.requests.take(tm.rate.RequestsPerS, 1)
	tm.tokens.take(tm.rate.TokensPerS, float64(tokens))
	return Decision{OK: true, Known: true}
}

// Publish returns the demand report to gossip, at most MaxReportedTeams entries, and stores it as this
// gateway's own. Call it when a digest is built. An empty report has to be gossiped too: a gateway that
// has not reported keeps all gateways at equal shares.
func (t *TeamLimiter) Publish(now time.Duration) []TeamDemand {
	d := t.sketch.top(now)
	t.storeReport(now, t.cfg.Gateway, d)
	return d
}

// AddPeerReport stores the demand report of another gateway.
func (t *TeamLimiter) AddPeerReport(now time.Duration, gateway ident.HostID, demands []TeamDemand) {
	if gateway != t.cfg.Gateway && slices.Contains(t.gateways, gateway) {
		t.storeReport(now, gateway, demands)
	}
}

// storeReport adds a report of a gateway and drops those that no longer count.
func (t *TeamLimiter) storeReport(now time.Duration, gateway ident.HostID, demands []TeamDemand) {
	list := append(t.reports[gateway], report{at: now, demands: demands})
	// A report counts until MaxPropagation after the arrival of the next one.
	for len(list) > 1 && now-list[1].at > t.cfg.MaxPropagation {
		list = list[1:]
	}
	t.reports[gateway] = list
	for i := range demands {
		t.reportedTeams[demands[i].Team] = true
	}
	if len(t.reportedTeams) > 2*MaxReportedTeams*len(t.gateways) {
		t.rebuildReportedTeams()
	}
}

// rebuildReportedTeams removes teams that no report lists any more.
func (t *TeamLimiter) rebuildReportedTeams() {
	t.reportedTeams = map[ident.Team]bool{}
	for _, list := range t.reports {
		for _, r := range list {
			for i := range r.demands {
				t.reportedTeams[r.demands[i].Team] = true
			}
		}
	}
}

// Share returns the part of a team's rate that this gateway may admit now.
func (t *TeamLimiter) Share(now time.Duration, name ident.Team) float64 {
	return t.computeShare(now, name)
}

// share returns the cached share of a team, and computes it again after ShareRefresh or a change of the gateways.
func (t *TeamLimiter) share(now time.Duration, name ident.Team, tm *team) float64 {
	if !t.reportedTeams[name] {
		return 1 / float64(max(1, len(t.gateways)))
	}
	if tm.epoch != t.epoch || now-tm.shareAt >= ShareRefresh {
		tm.share, tm.shareAt, tm.epoch = t.computeShare(now, name), now, t.epoch
	}
	return tm.share
}

func (t *TeamLimiter) computeShare(now time.Duration, name ident.Team) float64 {
	n := float64(max(1, len(t.gateways)))
	own, others, reported := 0.0, 0.0, 0
	for _, id := range t.gateways {
		low, high, ok := t.window(now, id, name)
		if !ok {
			continue
		}
		reported++
		if id == t.cfg.Gateway {
			own = low
		} else {
			others += high
		}
	}
	if reported < len(t.gateways) || own+others <= 0 {
		return 1 / n
	}
	return (1-t.cfg.Floor)*own/(own+others) + t.cfg.Floor/n
}

// window returns the smallest and the largest demand that the gateway reported within MaxPropagation.
func (t *TeamLimiter) window(now time.Duration, id ident.HostID, name ident.Team) (low, high float64, ok bool) {
	list := t.reports[id]
	if len(list) == 0 || now-list[len(list)-1].at > t.cfg.DemandExpiry {
		return 0, 0, false
	}
	low = math.Inf(1)
	for i := range list {
		if i+1 < len(list) && now-list[i+1].at > t.cfg.MaxPropagation {
			continue
		}
		d := demandOf(list[i].demands, name)
		low, high = min(low, d), max(high, d)
	}
	return low, high, true
}

// demandOf returns the weight of a team's demand: mainly its tokens, the scarcer resource, and its requests
// where no tokens are counted.
func demandOf(ds []TeamDemand, name ident.Team) float64 {
	for i := range ds {
		if ds[i].Team == name {
			return ds[i].TokensPerS + ds[i].RequestsPerS
		}
	}
	return 0
}
