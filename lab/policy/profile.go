package policy

import (
	"embed"
	"fmt"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/lab/internal/profile"
)

//go:embed profiles/*.toml
var builtinProfiles embed.FS

// Profile describes the engines, the callers and the phases of a run.
type Profile struct {
	Name      string `toml:"name"`
	Engines   int    `toml:"engines"`
	GroupSize int    `toml:"group_size"`

	MemoryTokens       int     `toml:"memory_tokens"` // of one engine
	PrefillTokensPerS  float64 `toml:"prefill_tokens_per_s"`
	ChunkTokens        int     `toml:"chunk_tokens"`         // prefilled in one engine step at most
	StepMS             float64 `toml:"step_ms"`              // fixed part of a step
	StepPerSequenceMS  float64 `toml:"step_per_sequence_ms"` // for each decoding sequence
	PrefixEntries      int     `toml:"prefix_entries"`       // capacity of an engine's prefix cache
	KVImportTokensPerS float64 `toml:"kv_import_tokens_per_s"`

	NetworkMS       float64 `toml:"network_ms"` // one way
	ReportEveryMS   int     `toml:"report_every_ms"`
	ReportLagMS     int     `toml:"report_lag_ms"`
	CacheEventLagMS int     `toml:"cache_event_lag_ms"`
	CacheEventLoss  float64 `toml:"cache_event_loss"` // fraction of the events that are lost
	CancelShare     float64 `toml:"cancel_share"`     // fraction of the requests that callers may cancel

	AloneS          int     `toml:"alone_s"`           // short requests only
	SettleS         int     `toml:"settle_s"`          // all requests, excluded from the measurements
	MixedS          int     `toml:"mixed_s"`           // all requests
	HeavyS          int     `toml:"heavy_s"`           // all requests, with a higher rate of the heavy team
	HeavyFactor     float64 `toml:"heavy_factor"`      // rate of a heavy team in the heavy phase, divided by its usual rate
	TeamLimitFactor float64 `toml:"team_limit_factor"` // rate limit of a heavy team, divided by its share of the load

	Teams []TeamProfile `toml:"teams"`
	Kinds []Kind        `toml:"kinds"`
}

// TeamProfile describes a team of callers.
type TeamProfile struct {
	Name   string  `toml:"name"`
	Weight float64 `toml:"weight"`
	Heavy  bool    `toml:"heavy"`
}

// Kind is a kind of request. Sizes are uniformly distributed between the bounds.
type Kind struct {
	Weight    float64 `toml:"weight"`
	Class     string  `toml:"class"`
	PromptMin int     `toml:"prompt_min"`
	PromptMax int     `toml:"prompt_max"`
	OutputMin int     `toml:"output_min"`
	OutputMax int     `toml:"output_max"` // also the max_output_tokens of the requests
	TimeoutMS int     `toml:"timeout_ms"`
	Prefixes  int     `toml:"prefixes"` // number of shared prefixes per team; 0 for none

	PrefixShare float64 `toml:"prefix_share"` // fraction of the requests that start with a shared prefix

	class ident.Class
}

// LoadProfile loads a profile, given by the name of a built-in one or by a file path.
func LoadProfile(name string) (Profile, error) {
	var p Profile
	if err := profile.Load(builtinProfiles, name, &p); err != nil {
		return p, err
	}
	return p, p.check()
}

// BuiltinProfiles returns the names of the built-in profiles.
func BuiltinProfiles() []string { return profile.Names(builtinProfiles) }

func (p *Profile) check() error {
	if p.Engines < 1 || p.GroupSize < 1 || p.MemoryTokens < 1 || p.ChunkTokens < 1 || p.PrefillTokensPerS <= 0 {
		return fmt.Errorf("profile %q: engines, group_size, memory_tokens, chunk_tokens and prefill_tokens_per_s must be positive", p.Name)
	}
	if len(p.Teams) == 0 || len(p.Kinds) == 0 || p.ReportEveryMS < 1 {
		return fmt.Errorf("profile %q: teams, kinds and report_every_ms must be set", p.Name)
	}
	for i := range p.Kinds {
		k := &p.Kinds[i]
		var ok bool
		if k.class, ok = ident.ParseClass(k.Class); !ok {
			return fmt.Errorf("profile %q: class %q of kind %d is unknown", p.Name, k.Class, i)
		}
		if k.PromptMin < 1 || k.PromptMax < k.PromptMin || k.OutputMin < 1 || k.OutputMax < k.OutputMin {
			return fmt.Errorf("profile %q: sizes of kind %d must be at least 1, with each minimum at most its maximum", p.Name, i)
		}
	}
	return nil
}

// stepTime returns the duration of an engine step that prefills some tokens and decodes some sequences.
func (p *Profile) stepTime(prefill, sequences int) time.Duration {
	ms := p.StepMS + float64(sequences)*p.StepPerSequenceMS + 1000*float64(prefill)/p.PrefillTokensPerS
	return time.Duration(ms * float64(time.Millisecond))
}

// idleFirstToken returns the time to first token at an idle engine, including network delays.
func (p *Profile) idleFirstToken(prompt int) time.Duration {
	steps := (prompt + p.ChunkTokens - 1) / p.ChunkTokens
	compute := p.stepTime(prompt, 0) + time.Duration(steps-1)*p.stepTime(0, 0)
	return compute + 4*p.network()
}

func (p *Profile) network() time.Duration {
	return time.Duration(p.NetworkMS * float64(time.Millisecond))
}

// Capacity returns the rate of the whole mix, in requests per second, that keeps all engines busy. It is computed from
// the time of full prefill steps and of decoding for the mean request, with all shared prefixes cached. It is an upper
// bound: no policy can serve more.
func (p *Profile) Capacity() float64 {
	perToken := 1/p.PrefillTokensPerS + p.StepMS/1000/float64(p.ChunkTokens)
	var weight, busy float64
	for _, k := range p.Kinds {
		prompt, output := float64(k.PromptMin+k.PromptMax)/2, float64(k.OutputMin+k.OutputMax)/2
		if k.Prefixes > 0 {
			prompt -= k.PrefixShare * min(cachedPrefixTokens, prompt)
		}
		busy += k.Weight * (prompt*perToken + output*p.StepPerSequenceMS/1000)
		weight += k.Weight
	}
	return float64(p.Engines) * weight / busy
}
