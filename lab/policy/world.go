package policy

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/backendapi"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/limits"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/core/sched"
	"github.com/rosemaryhill/rosemaryhill/lab/internal/virtual"
)

const (
	gatewayHost = ident.HostID("gateway")
	model       = ident.Model("model")
)

// world simulates one cell of the report in virtual time: one scheduler, its engines and one gateway with team limits.
type world struct {
	virtual.Clock
	profile     *Profile
	rng         *rand.Rand // draws the losses of cache events
	scheduler   *sched.Scheduler
	wakeAt      time.Duration // time of the last requested wake-up, which replaces earlier ones; -1 for none
	engines     map[ident.BackendID]*engine
	engineOrder []*engine
	teamLimiter *limits.TeamLimiter
	requests    []request // by attempt number
}

// request is an arrival and its outcome.
type request struct {
	arrival
	deadline     time.Duration
	sent         bool
	firstTokenAt time.Duration // first token at the gateway, zero for none
	endedAt      time.Duration
	done         bool
	late         bool // whether it ended after its deadline
	outcome      outcome.Kind
	reason       outcome.Reason
	gang         bool
}

func newWorld(p *Profile, policy sched.Policy, load int, seed int64) *world {
	w := &world{
		profile: p, rng: rand.New(rand.NewSource(seed)), wakeAt: -1,
		scheduler:   sched.New(sched.Config{Issuer: "dispatcher", Incarnation: 1, Policy: policy}),
		engines:     map[ident.BackendID]*engine{},
		teamLimiter: limits.NewTeamLimiter(limits.TeamLimiterConfig{Gateway: gatewayHost, Burst: 10 * time.Second}),
	}
	var list []sched.Engine
	for i := range p.Engines {
		e := newEngine(w, i)
		w.engines[e.id], w.engineOrder = e, append(w.engineOrder, e)
		list = append(list, sched.Engine{
			ID: e.id, Group: fmt.Sprintf("group%02d", i/p.GroupSize), Model: model, MemoryTokens: p.MemoryTokens,
		})
	}
	w.teamLimiter.Configure(0, teamRates(p, load))
	w.step(sched.EnginesChanged{Engines: list})
	for i, e := range w.engineOrder {
		w.After(time.Duration(i)*time.Millisecond, func() { w.pollReport(e) })
	}
	return w
}

// teamRates returns the rate limits of the teams. Heavy teams are limited to TeamLimitFactor times their share of the
// load in tokens, other teams are not limited.
func teamRates(p *Profile, load int) map[ident.Team]limits.Rate {
	var tokens, weight float64
	for _, k := range p.Kinds {
		tokens += k.Weight * float64(k.PromptMin+k.PromptMax+k.OutputMax*2) / 2
		weight += k.Weight
	}
	perS := p.Capacity() * float64(load) / 100 * tokens / weight
	rates := map[ident.Team]limits.Rate{}
	for _, t := range p.Teams {
		r := limits.Rate{}
		if t.Heavy {
			r.TokensPerS = perS * t.Weight * p.TeamLimitFactor
		}
		rates[ident.Team(t.Name)] = r
	}
	return rates
}

// run simulates the workload until the last requests have ended.
func (w *world) run(list []arrival) {
	w.requests = make([]request, len(list))
	for i := range list {
		w.requests[i].arrival = list[i]
		r := &w.requests[i]
		r.deadline = r.at + time.Duration(r.arrival.kind.TimeoutMS)*time.Millisecond
		w.At(r.at, func() { w.arrive(uint64(i)) })
	}
	end := w.profile.phaseEnds()[phaseHeavy]
	for _, k := range w.profile.Kinds {
		end = max(end, w.profile.phaseEnds()[phaseHeavy]+time.Duration(k.TimeoutMS)*time.Millisecond+10*time.Second)
	}
	w.Run(end)
}

func (w *world) arrive(n uint64) {
	r := &w.requests[n]
	d := w.teamLimiter.Take(w.Now(), ident.Team(r.team.Name), r.prompt+r.arrival.kind.OutputMax)
	if !d.OK {
		w.end(n, outcome.NotRun, outcome.TeamLimit)
		return
	}
	w.After(w.profile.network(), func() {
		w.step(sched.Submit{
			Attempt: attemptID(n), Team: ident.Team(r.team.Name), Model: model, Class: r.arrival.kind.class,
			PromptTokens: r.prompt, MaxOutputTokens: r.arrival.kind.OutputMax, Deadline: r.deadline, Prefix: r.prefix,
		})
	})
	if r.cancelAt > 0 {
		w.At(r.cancelAt, func() { w.step(sched.Cancelled{Attempt: attemptID(n)}) })
	}
}

func attemptID(n uint64) sched.AttemptID {
	return sched.AttemptID{Gateway: gatewayHost, Incarnation: 1, Number: n}
}

func (w *world) step(ev sched.Event) {
	for _, a := range w.scheduler.Step(w.Now(), ev) {
		w.execute(a)
	}
}

func (w *world) execute(a sched.Action) {
	switch a := a.(type) {
	case sched.Send:
		r := &w.requests[a.Attempt.Number]
		r.sent, r.gang = true, r.gang || len(a.Gang) > 0
		w.After(w.profile.network(), func() { w.engines[a.Engine].start(a) })
	case sched.CancelSession:
		w.After(w.profile.network(), func() { w.engines[a.Engine].cancel(a.Session) })
	case sched.ReleaseKV:
		w.After(w.profile.network(), func() { w.engines[a.Engine].releaseKV(a.Handle) })
	case sched.Refuse:
		w.end(a.Attempt.Number, outcome.NotRun, a.Reason)
	case sched.End:
		w.end(a.Attempt.Number, a.Kind, a.Reason)
	case sched.Wake:
		w.wakeAt = a.At
		w.At(a.At, func() {
			if w.wakeAt == a.At {
				w.step(sched.Tick{})
			}
		})
	}
}

func (w *world) end(n uint64, k outcome.Kind, reason outcome.Reason) {
	r := &w.requests[n]
	r.done, r.endedAt, r.outcome, r.reason = true, w.Now(), k, reason
	r.late = w.Now() > r.deadline
}

func (w *world) firstToken(id sched.AttemptID) {
	if r := &w.requests[id.Number]; r.firstTokenAt == 0 {
		r.firstTokenAt = w.Now() + 2*w.profile.network()
	}
}

func (w *world) outputOf(id sched.AttemptID) int { return w.requests[id.Number].output }

// deliverEngineEvent delivers an event of an engine to the dispatcher.
func (w *world) deliverEngineEvent(ev sched.Event) {
	w.After(w.profile.network(), func() { w.step(ev) })
}

func (w *world) pollReport(e *engine) {
	r := e.report()
	lag := time.Duration(w.profile.ReportLagMS) * time.Millisecond
	requested := w.Now() + lag
	w.After(lag+w.profile.network(), func() { w.step(sched.Report{Engine: e.id, Requested: requested, Report: r}) })
	w.After(time.Duration(w.profile.ReportEveryMS)*time.Millisecond, func() { w.pollReport(e) })
}

func (w *world) cacheEvent(e *engine, ev backendapi.CacheEvent) {
	if w.rng.Float64() < w.profile.CacheEventLoss {
		return
	}
	lag := time.Duration(w.profile.CacheEventLagMS) * time.Millisecond
	w.After(lag, func() { w.step(sched.CacheEvent{Engine: e.id, Event: ev}) })
}
