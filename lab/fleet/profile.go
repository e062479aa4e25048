// Package fleet simulates entry hosts and model engines in virtual time, to compare placement policies by the service
// that callers get. Hosts run the production placement code (core/placement) and exchange their load with delay and
// loss; engines work in passes. The same profile and seed give the same result.
package fleet

import (
	"embed"
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/lab/internal/profile"
)

//go:embed profiles/*.toml
var builtinProfiles embed.FS

// Profile describes a deployment and its traffic.
type Profile struct {
	Name         string  `toml:"name"`
	Hosts        int     `toml:"hosts"`
	Engines      int     `toml:"engines"`
	Partitions   int     `toml:"partitions"`    // parts of the fleet whose hosts tell each other their load; 0 means 1
	ExchangeMS   float64 `toml:"exchange_ms"`   // from a placement until its update is sent to other hosts
	ExchangeLoss float64 `toml:"exchange_loss"` // fraction of the messages between hosts that are lost
	NetworkMS    float64 `toml:"network_ms"`    // one way
	LengthS      float64 `toml:"length_s"`      // duration of the traffic
	// LimitedEngines is the number of engines that take only LimitPerS requests a second from all hosts together.
	LimitedEngines int     `toml:"limited_engines"`
	LimitPerS      float64 `toml:"limit_per_s"`
	Engine         Engine  `toml:"engine"`
	Kinds          []Kind  `toml:"kinds"`
	Swings         []Swing `toml:"swings"`
}

// Engine holds the capacity and speed parameters that all engines share.
type Engine struct {
	Slots            int     `toml:"slots"`
	MemoryTokens     int     `toml:"memory_tokens"`
	StepsPerPass     int     `toml:"steps_per_pass"`
	StepMS           float64 `toml:"step_ms"`
	SequenceMS       float64 `toml:"sequence_ms"`
	ContextMSPerK    float64 `toml:"context_ms_per_k"`
	ReadTokensPerMS  float64 `toml:"read_tokens_per_ms"`
	PairMSPerMillion float64 `toml:"pair_ms_per_million"`
	ChunkTokens      int     `toml:"chunk_tokens"` // prompt tokens prefilled in one step at most
	OverheadMS       float64 `toml:"work_ms"`      // fixed overhead of each request, apart from its tokens
	UsualAnswer      int     `toml:"usual_answer"`
}

func (e *Engine) runtime() *catalog.Runtime {
	return &catalog.Runtime{
		Slots: e.Slots, MemoryTokens: e.MemoryTokens, StepsPerPass: e.StepsPerPass, StepMS: e.StepMS,
		SequenceMS: e.SequenceMS, ContextMSPerK: e.ContextMSPerK, ReadTokensPerMS: e.ReadTokensPerMS,
		PairMSPerMillion: e.PairMSPerMillion, UsualAnswer: e.UsualAnswer,
	}
}

// Kind is a kind of request. Prompt sizes are a fifth of the mean plus an exponentially distributed part.
type Kind struct {
	Name         string  `toml:"name"`
	PerS         float64 `toml:"per_s"`
	PromptTokens int     `toml:"prompt_tokens"` // mean
	Events       int     `toml:"events"`
	ObjectiveMS  float64 `toml:"objective_ms"` // to the first event
	MaxPauseMS   float64 `toml:"max_pause_ms"` // between two events
	DeadlineMS   float64 `toml:"deadline_ms"`
	Worth        float64 `toml:"worth"` // of a request of mean prompt size
}

// Swing multiplies the request rates of some kinds during an interval.
type Swing struct {
	FromS   float64            `toml:"from_s"`
	ToS     float64            `toml:"to_s"`
	Factors map[string]float64 `toml:"factors"` // by name of the kind
}

// minPromptRatio and maxPromptRatio are the smallest and the largest prompt, relative to the mean.
const (
	minPromptRatio = 0.2
	maxPromptRatio = 4
)

// LoadProfile loads a profile, given by the name of a built-in one or by a file path.
func LoadProfile(name string) (*Profile, error) {
	p := &Profile{}
	if err := profile.Load(builtinProfiles, name, p); err != nil {
		return nil, err
	}
	return p, p.check()
}

// BuiltinProfiles returns the names of the built-in profiles.
func BuiltinProfiles() []string { return profile.Names(builtinProfiles) }

func (p *Profile) check() error {
	if p.Hosts < 1 || p.Engines < 1 || p.LengthS <= 0 || len(p.Kinds) == 0 {
		return fmt.Errorf("profile %q: hosts, engines, length_s and kinds must be set", p.Name)
	}
	if e := p.Engine; e.Slots < 1 || e.MemoryTokens < 1 || e.StepsPerPass < 1 || e.ReadTokensPerMS <= 0 || e.ChunkTokens < 1 {
		return fmt.Errorf("profile %q: slots, memory_tokens, steps_per_pass, read_tokens_per_ms and chunk_tokens of the engine must be positive", p.Name)
	}
	for _, k := range p.Kinds {
		if k.PromptTokens < 1 || k.Events < 1 || k.DeadlineMS <= 0 {
			return fmt.Errorf("profile %q: prompt_tokens, events and deadline_ms of kind %q must be positive", p.Name, k.Name)
		}
	}
	for _, s := range p.Swings {
		for kind := range s.Factors {
			if !slices.ContainsFunc(p.Kinds, func(k Kind) bool { return k.Name == kind }) {
				return fmt.Errorf("profile %q: swings name the unknown kind %q", p.Name, kind)
			}
		}
	}
	return nil
}

// arrival is a request of the workload.
type arrival struct {
	at     time.Duration
	host   int
	kind   *Kind
	prompt int
}

// workload draws the requests of a run. It depends only on the profile and the seed, so that all policies serve the
// same requests.
func (p *Profile) workload(seed int64) []arrival {
	rng := rand.New(rand.NewSource(seed))
	var list []arrival
	for i := range p.Kinds {
		k := &p.Kinds[i]
		maxRate := k.PerS * p.maxRateFactor(k.Name)
		for t := 0.0; maxRate > 0; {
			t += rng.ExpFloat64() / maxRate
			if t >= p.LengthS {
				break
			}
			if rng.Float64() >= k.PerS*p.rateFactor(k.Name, t)/maxRate {
				continue // thinning: drops arrivals where the rate is below its maximum
			}
			share := minPromptRatio + (1-minPromptRatio)*rng.ExpFloat64()
			list = append(list, arrival{
				at: fromMS(1000 * t), host: rng.Intn(p.Hosts), kind: k,
				prompt: int(min(share, maxPromptRatio) * float64(k.PromptTokens)),
			})
		}
	}
	slices.SortStableFunc(list, func(a, b arrival) int { return int(a.at - b.at) })
	return list
}

// rateFactor returns the factor by which a kind's rate is multiplied at time t, in seconds.
func (p *Profile) rateFactor(kind string, t float64) float64 {
	for _, s := range p.Swings {
		if f, ok := s.Factors[kind]; ok && t >= s.FromS && t < s.ToS {
			return f
		}
	}
	return 1
}

func (p *Profile) maxRateFactor(kind string) float64 {
	highest := 1.0
	for _, s := range p.Swings {
		highest = max(highest, s.Factors[kind])
	}
	return highest
}

func fromMS(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
