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

// world runs one cell: one scheduler, its engines, one gateway with team limits, virtual time.
type world struct {
	virtual.Clock
	p        *Profile
	rng      *rand.Rand // faults of the platform, such as lost cache events
	s        *sched.Scheduler
	wakeAt   time.Duration
	engines  map[ident.BackendID]*engine
	order    []*engine
	teams    *limits.TeamLimiter
	requests []request // by attempt number
}

// request is what became of one arrival.
type request struct {
	arrival
	deadline time.Duration
	sent     bool
	first    time.Duration // first token at the gateway, zero for none
	ended    time.Duration
	done     bool
	late     bool // ended after its deadline
	kind     outcome.Kind
	reason   outcome.Reason
	gang     bool
}

func newWorld(p *Profile, policy sched.Policy, load int, seed int64) *world {
	w := &world{
		p: p, rng: rand.New(rand.NewSource(seed)), wakeAt: -1,
		s:       sched.New(sched.Config{Issuer: "dispatcher", Incarnation: 1, Policy: policy}),
		engines: map[ident.BackendID]*engine{},
		teams:   limits.NewTeamLimiter(limits.TeamLimiterConfig{Gateway: gatewayHost, Burst: 10 * time.Second}),
	}
	var list []sched.Engine
	for i := range p.Engines {
		e := newEngine(w, i)
		w.engines[e.id], w.order = e, append(w.order, e)
		list = append(list, sched.Engine{
			ID: e.id, Group: fmt.Sprintf("group%02d", i/p.GroupSize), Model: model, MemoryTokens: p.MemoryTokens,
		})
	}
	w.teams.Configure(0, teamRates(p, load))
	w.step(sched.EnginesChanged{Engines: list})
	for i, e := range w.order {
		w.After(time.Duration(i)*time.Millisecond, func() { w.pollReport(e) })
	}
	return w
}

// teamRates gives each team TeamLimitFactor times its share of the load, in tokens.
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

// run serves the workload and lets the last requests end.
func (w *world) run(list []arrival) {
	w.requests = make([]request, len(list))
	for i := range list {
		w.requests[i].arrival = list[i]
		r := &w.requests[i]
		r.deadline = r.at + time.Duration(r.arrival.kind.TimeoutMS)*time.Millisecond
		w.At(r.at, func() { w.arrive(uint64(i)) })
	}
	end := w.p.ends()[phaseHeavy]
	for _, k := range w.p.Kinds {
		end = max(end, w.p.ends()[phaseHeavy]+time.Duration(k.TimeoutMS)*time.Millisecond+10*time.Second)
	}
	w.Run(end)
}

func (w *world) arrive(n uint64) {
	r := &w.requests[n]
	d := w.teams.Take(w.Now(), ident.Team(r.team.Name), r.prompt+r.arrival.kind.OutputMax)
	if !d.OK {
		w.end(n, outcome.NotRun, outcome.TeamLimit)
		return
	}
	w.After(w.p.network(), func() {
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
	for _, a := range w.s.Step(w.Now(), ev) {
		w.act(a)
	}
}

func (w *world) act(a sched.Action) {
	switch a := a.(type) {
	case sched.Send:
		r := &w.requests[a.Attempt.Number]
		r.sent, r.gang = true, r.gang || len(a.Gang) > 0
		w.After(w.p.network(), func() { w.engines[a.Engine].start(a) })
	case sched.CancelSession:
		w.After(w.p.network(), func() { w.engines[a.Engine].cancel(a.Session) })
	case sched.ReleaseKV:
		w.After(w.p.network(), func() { w.engines[a.Engine].releaseKV(a.Handle) })
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
	r.done, r.ended, r.kind, r.reason = true, w.Now(), k, reason
	r.late = w.Now() > r.deadline
}

func (w *world) firstToken(id sched.AttemptID) {
	if r := &w.requests[id.Number]; r.first == 0 {
		r.first = w.Now() + 2*w.p.network()
	}
}

func (w *world) outputOf(id sched.AttemptID) int { return w.requests[id.Number].output }

// fromEngine delivers an event of an engine to the dispatcher.
func (w *world) fromEngine(ev sched.Event) {
	w.After(w.p.network(), func() { w.step(ev) })
}

func (w *world) pollReport(e *engine) {
	r := e.report()
	lag := time.Duration(w.p.ReportLagMS) * time.Millisecond
	requested := w.Now() + lag
	w.After(lag+w.p.network(), func() { w.step(sched.Report{Engine: e.id, Requested: requested, Report: r}) })
	w.After(time.Duration(w.p.ReportEveryMS)*time.Millisecond, func() { w.pollReport(e) })
}

func (w *world) cacheEvent(e *engine, ev backendapi.CacheEvent) {
	if w.rng.Float64() < w.p.CacheEventLoss {
		return
	}
	lag := time.Duration(w.p.CacheEventLagMS) * time.Millisecond
	w.After(lag, func() { w.step(sched.CacheEvent{Engine: e.id, Event: ev}) })
}
