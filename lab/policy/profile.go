package policy

import (
	"embed"
	"fmt"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/lab/internal/profile"
)

//go:embed profiles/*.toml
var shipped embed.FS

// Profile describes engines, callers and the course of one run.
type Profile struct {
	Name      string `toml:"name"`
	Engines   int    `toml:"engines"`
	GroupSize int    `toml:"group_size"`

	MemoryTokens       int     `toml:"memory_tokens"` // of one engine
	PrefillTokensPerS  float64 `toml:"prefill_tokens_per_s"`
	ChunkTokens        int     `toml:"chunk_tokens"`         // prefill in one step of an engine
	StepMS             float64 `toml:"step_ms"`              // fixed part of a step
	StepPerSequenceMS  float64 `toml:"step_per_sequence_ms"` // for each decoding sequence
	PrefixEntries      int     `toml:"prefix_entries"`       // prefix cache of an engine
	KVImportTokensPerS float64 `toml:"kv_import_tokens_per_s"`

	NetworkMS       float64 `toml:"network_ms"` // one way
	ReportEveryMS   int     `toml:"report_every_ms"`
	ReportLagMS     int     `toml:"report_lag_ms"`
	CacheEventLagMS int     `toml:"cache_event_lag_ms"`
	CacheEventLoss  float64 `toml:"cache_event_loss"` // part of the events that never arrive
	CancelShare     float64 `toml:"cancel_share"`     // part of the requests that callers give up

	AloneS          int     `toml:"alone_s"`           // short requests only
	SettleS         int     `toml:"settle_s"`          // all requests, not measured
	MixedS          int     `toml:"mixed_s"`           // all requests
	HeavyS          int     `toml:"heavy_s"`           // all requests, the heavy team asks for more
	HeavyFactor     float64 `toml:"heavy_factor"`      // its demand over its share
	TeamLimitFactor float64 `toml:"team_limit_factor"` // team limits over the team's share of the load

	Teams []TeamProfile `toml:"teams"`
	Kinds []Kind        `toml:"kinds"`
}

// TeamProfile is one team of callers.
type TeamProfile struct {
	Name   string  `toml:"name"`
	Weight float64 `toml:"weight"`
	Heavy  bool    `toml:"heavy"`
}

// Kind is a kind of request; sizes are uniform between the bounds.
type Kind struct {
	Weight    float64 `toml:"weight"`
	Class     string  `toml:"class"`
	PromptMin int     `toml:"prompt_min"`
	PromptMax int     `toml:"prompt_max"`
	OutputMin int     `toml:"output_min"`
	OutputMax int     `toml:"output_max"` // also the maximum that the request names
	TimeoutMS int     `toml:"timeout_ms"`
	Prefixes  int     `toml:"prefixes"` // number of shared prefixes of each team; 0 for none

	PrefixShare float64 `toml:"prefix_share"` // part of the requests that start with one of them

	class ident.Class
}

// LoadProfile reads a shipped profile by name, or a file.
func LoadProfile(name string) (Profile, error) {
	var p Profile
	if err := profile.Load(shipped, name, &p); err != nil {
		return p, err
	}
	return p, p.check()
}

// ShippedProfiles returns the names of the shipped profiles.
func ShippedProfiles() []string { return profile.Names(shipped) }

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
			return fmt.Errorf("profile %q: sizes of kind %d are not ordered", p.Name, i)
		}
	}
	return nil
}

// stepTime returns the time of one engine step.
func (p *Profile) stepTime(prefill, sequences int) time.Duration {
	ms := p.StepMS + float64(sequences)*p.StepPerSequenceMS + 1000*float64(prefill)/p.PrefillTokensPerS
	return time.Duration(ms * float64(time.Millisecond))
}

// idleFirstToken returns the time to first token at an idle engine, the network included.
func (p *Profile) idleFirstToken(prompt int) time.Duration {
	steps := (prompt + p.ChunkTokens - 1) / p.ChunkTokens
	compute := p.stepTime(prompt, 0) + time.Duration(steps-1)*p.stepTime(0, 0)
	return compute + 4*p.network()
}

func (p *Profile) network() time.Duration {
	return time.Duration(p.NetworkMS * float64(time.Millisecond))
}

// Capacity returns the requests per second of the whole mix that keep every engine busy: the time of
// full prefill steps and of the decode work, for the mean request, if every shared prefix were cached.
// It is an upper bound: no policy can serve more.
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
