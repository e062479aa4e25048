package load

import (
	"embed"
	"fmt"
	"math"
	"os"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/zeebo/errs"
)

// Error is the class of errors in an experiment file.
var Error = errs.Class("experiment")

// Experiment is the content of an experiment file.
type Experiment struct {
	Name      string  `toml:"name"`
	Seed      uint64  `toml:"seed"`
	Model     string  `toml:"model"`
	DurationS float64 `toml:"duration_s"` // length of the period in which requests arrive
	RatePerS  float64 `toml:"rate_per_s"` // mean rate of the Poisson process that all kinds of requests arrive by

	Callers             int     `toml:"callers"`               // each with its own address cache; default 8
	MaxInFlight         int     `toml:"max_in_flight"`         // arrivals above it are counted but not sent; default 10,000
	DeadlineToleranceMS int     `toml:"deadline_tolerance_ms"` // a request that ends later than this after its deadline is late; default 250
	SettleS             float64 `toml:"settle_s"`              // time that engines have to release memory after the last request; default 10
	SharedPrefixBytes   int     `toml:"shared_prefix_bytes"`   // length of the text that all prompts of a team begin with
	LongFromS           float64 `toml:"long_from_s"`           // no long prompt arrives before this time, so that short ones run alone
	LongUntilS          float64 `toml:"long_until_s"`          // no long prompt arrives from this time on; 0 means no limit

	Prompts  []Prompt     `toml:"prompts"`
	Teams    []Team       `toml:"teams"`
	Lookups  ServiceCalls `toml:"lookups"`
	Postings ServiceCalls `toml:"postings"`
	Faults   []Fault      `toml:"faults"`
	Targets  Targets      `toml:"targets"`
	System   System       `toml:"system"` // what StartSystem starts; not used with a system that already runs
}

// Prompt is one entry of the prompt mix. Shares are relative to each other.
type Prompt struct {
	Label        string  `toml:"label"`
	Tokens       int     `toml:"tokens"`
	OutputTokens int     `toml:"output_tokens"`
	Share        float64 `toml:"share"`
	DeadlineMS   int     `toml:"deadline_ms"`
	Class        string  `toml:"class"` // empty lets the gateway choose
}

// Team is one team of callers. Shares are relative to each other.
type Team struct {
	Name  string  `toml:"name"`
	Key   string  `toml:"key"`
	Share float64 `toml:"share"`
}

// ServiceCalls describes the calls of one kind to a plain service.
type ServiceCalls struct {
	Service     string  `toml:"service"`
	Path        string  `toml:"path"`         // the arrival number is appended
	Share       float64 `toml:"share"`        // of all arrivals
	DeadlineMS  int     `toml:"deadline_ms"`  // default 5,000
	RepeatShare float64 `toml:"repeat_share"` // share of the postings that a second caller repeats with the same ticket
}

// Fault is one request to a stand-in's fault endpoint at a given time of the run.
type Fault struct {
	AtS    float64 `toml:"at_s"`
	Target string  `toml:"target"` // name of an engine, a service or another target
	Body   string  `toml:"body"`   // JSON
}

// Targets are the addresses of the running system, each host:port or a URL. Engines, services and other
// targets are keyed by name.
type Targets struct {
	Gateways []string          `toml:"gateways"`
	Engines  map[string]string `toml:"engines"`
	Services map[string]string `toml:"services"`
	Others   map[string]string `toml:"others"` // such as the platform; used for faults only
}

func (t *Targets) find(name string) (address string, ok bool) {
	for _, m := range []map[string]string{t.Engines, t.Services, t.Others} {
		if a, ok := m[name]; ok {
			return a, true
		}
	}
	return "", false
}

// longTokens is the size above which a prompt counts as long: an archive has more than 100,000 tokens.
const longTokens = 100_000

// shortTokens is the size up to which a prompt counts as short. It is also the limit of the default class
// interactive.
const shortTokens = 8_192

func (p Prompt) long() bool  { return p.Tokens > longTokens }
func (p Prompt) short() bool { return p.Tokens <= shortTokens }

//go:embed profiles/*.toml
var builtinProfiles embed.FS

// Read reads the built-in profile of that name or, if there is none, the experiment file at that path.
// Unknown keys are errors.
func Read(path string) (*Experiment, error) {
	text, err := builtinProfiles.ReadFile("profiles/" + path + ".toml")
	if err != nil {
		text, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, Error.New("%s is not a built-in profile and can't be read as a file: %w", path, err)
	}
	exp := &Experiment{}
	meta, err := toml.Decode(string(text), exp)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, Error.New("%s: unknown key %s", path, unknown[0])
	}
	return exp, nil
}

// check sets defaults and returns an error for an experiment that can't be run.
func (e *Experiment) check() error {
	setDefault(&e.Callers, 8)
	setDefault(&e.MaxInFlight, 10_000)
	setDefault(&e.DeadlineToleranceMS, 250)
	setDefault(&e.SettleS, 10)
	setDefault(&e.Lookups.DeadlineMS, 5000)
	setDefault(&e.Postings.DeadlineMS, 5000)
	switch {
	case e.DurationS <= 0 || e.RatePerS <= 0:
		return Error.New("duration_s and rate_per_s must be above 0")
	case len(e.Targets.Gateways) == 0:
		return Error.New("targets.gateways is empty; name at least one gateway")
	case len(e.Teams) == 0:
		return Error.New("teams is empty; name at least one team")
	case e.Lookups.Share < 0 || e.Postings.Share < 0 || e.Lookups.Share+e.Postings.Share > 1:
		return Error.New("lookups.share and postings.share must each be at least 0 and together at most 1")
	case e.Lookups.Share+e.Postings.Share < 1 && len(e.Prompts) == 0:
		return Error.New("prompts is empty; name at least one prompt size")
	}
	for i := range e.Prompts {
		if err := e.Prompts[i].check(); err != nil {
			return err
		}
	}
	for _, f := range e.Faults {
		if _, ok := e.Targets.find(f.Target); !ok {
			return Error.New("fault at %gs: unknown target %q", f.AtS, f.Target)
		}
	}
	return nil
}

func (p *Prompt) check() error {
	setDefault(&p.DeadlineMS, 30_000)
	setDefault(&p.Label, fmt.Sprint(p.Tokens))
	if p.Tokens < minPromptTokens || p.OutputTokens < 1 || p.Share < 0 || math.IsNaN(p.Share) {
		return Error.New("prompt %s: needs at least %d tokens, 1 output token and a share of at least 0", p.Label, minPromptTokens)
	}
	return nil
}

func setDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}

func (e *Experiment) longestPrompt() (tokens int) {
	for _, p := range e.Prompts {
		tokens = max(tokens, p.Tokens)
	}
	return tokens
}

func (e *Experiment) tolerance() time.Duration {
	return time.Duration(e.DeadlineToleranceMS) * time.Millisecond
}
