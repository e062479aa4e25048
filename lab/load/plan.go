package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

type kind string

const (
	kindGenerate kind = "generate"
	kindLookup   kind = "lookup"
	kindPosting  kind = "posting"
)

// arrival is one planned request.
type arrival struct {
	id     int
	at     time.Duration
	kind   kind
	team   Team
	prompt Prompt // for kindGenerate
	repeat bool   // for kindPosting
}

// plan draws all arrivals before the run. They depend on the experiment alone, so the same seed gives the
// same arrivals whatever the system does.
func (e *Experiment) plan() []arrival {
	r := rand.New(rand.NewPCG(e.Seed, 0))
	var plan []arrival
	for at := 0.0; ; {
		at += r.ExpFloat64() / e.RatePerS
		if at >= e.DurationS {
			return plan
		}
		if a, ok := e.draw(r, len(plan), at); ok {
			plan = append(plan, a)
		}
	}
}

// draw chooses kind, team and prompt of one arrival. ok is false for a long prompt outside the period from
// LongFromS to LongUntilS.
func (e *Experiment) draw(r *rand.Rand, id int, at float64) (a arrival, ok bool) {
	a = arrival{id: id, at: time.Duration(at * float64(time.Second)), kind: kindGenerate}
	a.team = pickWeighted(r, e.Teams, func(t Team) float64 { return t.Share })
	switch x := r.Float64(); {
	case x < e.Lookups.Share:
		a.kind = kindLookup
	case x < e.Lookups.Share+e.Postings.Share:
		a.kind = kindPosting
		a.repeat = r.Float64() < e.Postings.RepeatShare
	default:
		a.prompt = pickWeighted(r, e.Prompts, func(p Prompt) float64 { return p.Share })
		inWindow := at >= e.LongFromS && (e.LongUntilS == 0 || at < e.LongUntilS)
		return a, inWindow || !a.prompt.long()
	}
	return a, true
}

// pickWeighted returns a random item with a probability proportional to its weight.
func pickWeighted[T any](r *rand.Rand, items []T, weight func(T) float64) T {
	sum := 0.0
	for _, it := range items {
		sum += weight(it)
	}
	x := r.Float64() * sum
	for _, it := range items {
		if x -= weight(it); x < 0 {
			return it
		}
	}
	return items[len(items)-1]
}

// minPromptTokens leaves room for the text that makes each prompt unique.
const minPromptTokens = 32

func filler(tokens int) string {
	const text = "lot weight in, kernels by grade, husk out; initials, thread, cloth. "
	return strings.Repeat(text, tokens*ident.BytesPerToken/len(text)+1)
}

// promptText returns a prompt that is unique to the arrival, so that the answer to another request is
// never accepted for this one.
func (r *run) promptText(a arrival) string {
	size := a.prompt.Tokens * ident.BytesPerToken
	id := fmt.Sprintf(" request %d of run %d. ", a.id, r.exp.Seed)
	prefix := ""
	if n := r.exp.SharedPrefixBytes; n > 0 {
		prefix = a.team.Name + ": " + r.filler[:min(n, len(r.filler))]
		prefix = prefix[:min(len(prefix), size-len(id))]
	}
	return prefix + id + r.filler[:size-len(prefix)-len(id)]
}
