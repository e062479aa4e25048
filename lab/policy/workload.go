package policy

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// phase is a phase of a run, each with its own mix of requests.
type phase uint8

const (
	phaseAlone  phase = iota // short requests only
	phaseSettle              // all requests, until batch requests are in flight
	phaseMixed               // all requests
	phaseHeavy               // all requests, and the heavy team exceeds its share
	phaseDrain               // no new requests
)

func (p *Profile) phaseEnds() [4]time.Duration {
	alone := time.Duration(p.AloneS) * time.Second
	settle := alone + time.Duration(p.SettleS)*time.Second
	mixed := settle + time.Duration(p.MixedS)*time.Second
	return [4]time.Duration{alone, settle, mixed, mixed + time.Duration(p.HeavyS)*time.Second}
}

func (p *Profile) phaseAt(t time.Duration) phase {
	for i, end := range p.phaseEnds() {
		if t < end {
			return phase(i)
		}
	}
	return phaseDrain
}

// arrival is one request of the workload.
type arrival struct {
	at       time.Duration
	phase    phase
	team     *TeamProfile
	kind     *Kind
	prompt   int
	output   int // tokens that the engine generates
	prefix   string
	cancelAt time.Duration // zero if the caller does not cancel
}

// workload draws all requests of a run. It depends only on profile, load and seed, so that all policies serve the same
// requests.
func workload(p *Profile, load int, seed int64) []arrival {
	rng := rand.New(rand.NewSource(seed*1000 + int64(load)))
	total := p.Capacity() * float64(load) / 100
	weight := 0.0
	for _, k := range p.Kinds {
		weight += k.Weight
	}
	ends := p.phaseEnds()
	var list []arrival
	for i := range p.Kinds {
		k := &p.Kinds[i]
		rate := total * k.Weight / weight
		start := time.Duration(0)
		if k.class != ident.Interactive {
			start = ends[phaseAlone]
		}
		for _, team := range p.Teams {
			list = append(list, poissonArrivals(p, k, team, rate*team.Weight, start, ends[phaseHeavy], rng)...)
			if team.Heavy {
				extra := rate * team.Weight * (p.HeavyFactor - 1)
				list = append(list, poissonArrivals(p, k, team, extra, ends[phaseMixed], ends[phaseHeavy], rng)...)
			}
		}
	}
	slices.SortStableFunc(list, func(a, b arrival) int { return int(a.at - b.at) })
	return list
}

// poissonArrivals draws the requests of a Poisson process with the given rate per second.
func poissonArrivals(p *Profile, k *Kind, team TeamProfile, rate float64, from, to time.Duration, rng *rand.Rand) []arrival {
	var list []arrival
	if rate <= 0 {
		return nil
	}
	for t := from; ; {
		t += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if t >= to {
			return list
		}
		a := arrival{
			at: t, phase: p.phaseAt(t), team: &team, kind: k,
			prompt: k.PromptMin + rng.Intn(k.PromptMax-k.PromptMin+1),
			output: k.OutputMin + rng.Intn(k.OutputMax-k.OutputMin+1),
		}
		if k.Prefixes > 0 && rng.Float64() < k.PrefixShare && a.prompt > cachedPrefixTokens {
			a.prefix = fmt.Sprintf("%s-%s-%d", team.Name, k.Class, rng.Intn(k.Prefixes))
		}
		if rng.Float64() < p.CancelShare {
			a.cancelAt = t + time.Duration(rng.Int63n(int64(10*time.Second)))
		}
		list = append(list, a)
	}
}
