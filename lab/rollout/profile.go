package rollout

import (
	"embed"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"time"

	"github.com/rosemaryhill/rosemaryhill/lab/internal/profile"
	"github.com/rosemaryhill/rosemaryhill/platform/standin"
)

//go:embed profiles/*.toml
var builtinProfiles embed.FS

// Profile describes a site and its traffic.
type Profile struct {
	Name       string  `toml:"name"`
	LengthS    float64 `toml:"length_s"`    // of the traffic
	ShutdownMS int64   `toml:"shutdown_ms"` // after SIGTERM, a process is killed
	DrainMS    int64   `toml:"drain_ms"`    // a server that is taken away serves for so long after its entry says so
	Callers    int     `toml:"callers"`     // each sends one request at a time
	// Connections is the number of connections that a caller keeps open at most.
	Connections int `toml:"connections"`
	// BusyCallerShare is the fraction of callers that use an open connection until its host ends it. The others leave
	// hosts that address lists no longer name.
	BusyCallerShare float64 `toml:"busy_caller_share"`
	// SlowListShare is the fraction of callers that use an address list for three times its validity.
	SlowListShare float64 `toml:"slow_list_share"`
	// SlowBodyShare is the fraction of requests whose body arrives up to maxBodyTime after the header.
	SlowBodyShare    float64 `toml:"slow_body_share"`
	ReadTokensPerMS  float64 `toml:"read_tokens_per_ms"`
	PairMSPerMillion float64 `toml:"pair_ms_per_million"`
	Parts            float64 `toml:"parts"`    // by which several engines shorten the reading of pairs
	EventMS          float64 `toml:"event_ms"` // between two events of a stream
	TokensPerEvent   int     `toml:"tokens_per_event"`
	Zones            []Zone  `toml:"zones"`
	Kinds            []Kind  `toml:"kinds"`
	Swings           []Swing `toml:"swings"`
}

// Swing multiplies the rates of some kinds during an interval.
type Swing struct {
	FromS   float64            `toml:"from_s"`
	ToS     float64            `toml:"to_s"`
	Factors map[string]float64 `toml:"factors"` // by name of the kind
}

// Zone is an availability zone.
type Zone struct {
	Name    string `toml:"name"`
	Hosts   int    `toml:"hosts"`
	Engines int    `toml:"engines"`
	Servers int    `toml:"servers"` // of the plain service
}

// Kind is a kind of request. Sizes and times are exponentially distributed around their means, up to maxRatio of them.
type Kind struct {
	Name         string  `toml:"name"`
	Route        string  `toml:"route"` // stream, safe or unsafe
	PerS         float64 `toml:"per_s"`
	PromptTokens int     `toml:"prompt_tokens"`
	Events       int     `toml:"events"`
	ServiceMS    float64 `toml:"service_ms"`
	TimeoutMS    int64   `toml:"timeout_ms"`
}

// maxRatio is the largest size or time of a request, relative to the mean of its kind.
const maxRatio = 4.5

// maxBodyTime is the longest time that a slow body takes; most of a shutdown time of 8 s.
const maxBodyTime = 6 * time.Second

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
	if p.LengthS <= 0 || p.ShutdownMS <= 0 || p.Callers < 1 || p.Connections < 1 || p.hosts() < 2 || len(p.Kinds) == 0 {
		return fmt.Errorf("profile %q: length_s, shutdown_ms, callers, connections and kinds must be set, and there must be two hosts", p.Name)
	}
	if p.ReadTokensPerMS <= 0 || p.Parts < 1 || p.EventMS <= 0 || p.TokensPerEvent < 1 {
		return fmt.Errorf("profile %q: read_tokens_per_ms, event_ms and tokens_per_event must be positive, and parts at least 1", p.Name)
	}
	for _, k := range p.Kinds {
		if !slices.Contains([]string{"stream", "safe", "unsafe"}, k.Route) || k.PerS <= 0 || k.TimeoutMS <= 0 {
			return fmt.Errorf("profile %q: kind %q needs the route stream, safe or unsafe, and positive per_s and timeout_ms", p.Name, k.Name)
		}
	}
	return nil
}

func (p *Profile) hosts() (n int) {
	for _, z := range p.Zones {
		n += z.Hosts
	}
	return n
}

// draw returns a kind of request by the rates at a time.
func (p *Profile) draw(rng *rand.Rand, at time.Duration) *Kind {
	rates := make([]float64, len(p.Kinds))
	total := 0.0
	for i, k := range p.Kinds {
		rates[i] = k.PerS * p.factor(k.Name, at.Seconds())
		total += rates[i]
	}
	x := rng.Float64() * total
	for i := range rates {
		if x -= rates[i]; x < 0 {
			return &p.Kinds[i]
		}
	}
	return &p.Kinds[len(p.Kinds)-1]
}

// factor returns the factor on the rate of a kind at a time in seconds.
func (p *Profile) factor(kind string, at float64) float64 {
	for _, s := range p.Swings {
		if f, ok := s.Factors[kind]; ok && at >= s.FromS && at < s.ToS {
			return f
		}
	}
	return 1
}

// ratio draws a size relative to the mean.
func ratio(rng *rand.Rand) float64 { return min(maxRatio, 0.2+0.8*rng.ExpFloat64()) }

// request returns a request of a kind.
func (p *Profile) request(k *Kind, id string, rng *rand.Rand) standin.KeptRequest {
	q := standin.KeptRequest{ID: id, Path: "/" + k.Route + "/x", Timeout: time.Duration(k.TimeoutMS) * time.Millisecond}
	if k.Route == "stream" {
		q.PromptTokens = int(float64(k.PromptTokens) * ratio(rng))
		q.OutputTokens = max(1, int(float64(k.Events)*ratio(rng))) * p.TokensPerEvent
	}
	body := rand.New(rand.NewSource(int64(hash(id)))) // leaves the other draws of a seed as they are
	if body.Float64() < p.SlowBodyShare && k.Route != "safe" {
		q.BodyTime = min(time.Duration(body.Int63n(int64(maxBodyTime))), q.Timeout/2)
	}
	return q
}

// streamTime returns when an engine sends the events of a stream.
func (p *Profile) streamTime(promptTokens, outputTokens int) standin.StreamTime {
	n := float64(promptTokens)
	first := n/p.ReadTokensPerMS + p.PairMSPerMillion*n*n/2e6/p.Parts
	return standin.StreamTime{
		First: ms(first + p.EventMS), Interval: ms(p.EventMS),
		Events: int(math.Ceil(float64(outputTokens) / float64(p.TokensPerEvent))),
	}
}

// body returns the body that a server answers a request with.
func (p *Profile) body(q *standin.KeptRequest) string {
	if q.OutputTokens == 0 {
		return standin.Body(q.ID)
	}
	return standin.StreamBody(p.streamTime(q.PromptTokens, q.OutputTokens).Events)
}

// serviceTime returns the time that a plain server takes for a request.
func (p *Profile) serviceTime(id string) time.Duration {
	for _, k := range p.Kinds {
		if k.ServiceMS > 0 {
			return ms(k.ServiceMS * ratio(rand.New(rand.NewSource(int64(hash(id))))))
		}
	}
	return 0
}

func ms(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }
