package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// Request is what a placement depends on.
type Request struct {
	PromptTokens int
	OutputTokens int           // at most
	Objective    time.Duration // left for the first event to be on time
	MaxPause     time.Duration // objective of the pauses between events
	Left         time.Duration // until the deadline
	// Excluded tells which engines must not be used, such as those that failed this request.
	Excluded func(ident.BackendID) bool
}

// Choice is a placement.
type Choice struct {
	Engine  ident.BackendID   // receives the request and writes the answer
	Helpers []ident.BackendID // read a part of the prompt
	First   time.Duration     // predicted time to the first event
	Loss    float64           // expected loss of worth, the newcomer's and others'

	request Request
	readMS  float64 // of each part
}

// MaxHelpers is the number of helpers that an engine accepts for one request.
const MaxHelpers = 16

// partCounts are the numbers of parts that are tried for a prompt. A finer list changes the predicted
// loss by less than its error.
var partCounts = []int{1, 2, 3, 4, 6, 8, 10, 12, 14, 17}

const (
	// partLoss prices each further engine, so that equal choices use the fewer ones.
	partLoss = 0.004
	// minPartMS keeps prompts whole where splitting saves less than a typical pass.
	minPartMS = 25
	// fullLoss is the loss by a placement that waits for a slot or for memory on the engine.
	fullLoss = 1.0
	// overbooked is the number of requests beyond its slots that an engine is given at most.
	overbooked = 8
	// memoryMargin leaves room for answers that are longer than the memory accounting of peers shows.
	memoryMargin = 0.97
	// shortShare makes a request a short one: its reading takes at most this share of its pause objective.
	shortShare = 0.4
	// packed is the share of an engine's slots that short requests fill before they spread to another
	// engine, which keeps the remaining engines free for long prompts.
	packed = 0.6
	// spreadLoss prices a short request outside the engines that are set apart for short ones.
	spreadLoss = 0.25
)

// candidate is an engine with what a placement there costs.
type candidate struct {
	e       *engine
	loss    float64 // of others by a part read here
	firstMS float64 // until the part is read and a pass has ended
}

// Choose returns the placement with the least expected loss. ok is false when no engine can take the
// request.
func (t *Table) Choose(now time.Duration, service string, req Request) (best Choice, ok bool) {
	g := t.groups[service]
	if g == nil {
		return Choice{}, false
	}
	usable := g.usable(req.Excluded)
	if len(usable) == 0 {
		return Choice{}, false
	}
	read := ReadMS(g.runtime, req.PromptTokens)
	short := g.shortEngines()
	for _, parts := range partCounts {
		if parts > len(usable) || (parts > 1 && read/float64(parts) < minPartMS) {
			break
		}
		c, fits := g.chooseParts(now, usable, req, read, parts, short)
		if fits && (!ok || c.Loss < best.Loss) {
			best, ok = c, true
		}
	}
	return best, ok
}

func (g *group) usable(excluded func(ident.BackendID) bool) []*engine {
	var out []*engine
	for _, e := range g.engines {
		if excluded == nil || !excluded(e.id) {
			out = append(out, e)
		}
	}
	return out
}

// shortEngines returns how many engines, by rank, the short requests need now.
func (g *group) shortEngines() int {
	tight := 0
	for _, e := range g.engines {
		for _, c := range e.total.Classes {
			if isShort(g.runtime, c) {
				tight += c.Streams
			}
		}
	}
	slots := packed * float64(g.runtime.Slots)
	return 1 + int(math.Ceil(float64(tight+1)/slots))
}

// isShort tells by its mean worth whether a class holds short requests.
func isShort(r *catalog.Runtime, c Class) bool {
	if c.Streams == 0 {
		return false
	}
	tokens := worthTokens * math.Pow(c.Worth/float64(c.Streams), 1/0.8)
	return ReadMS(r, int(tokens)) <= shortShare*ms(c.MaxPause)
}

// chooseParts places a prompt on the given number of engines.
func (g *group) chooseParts(now time.Duration, usable []*engine, req Request, read float64, parts, short int) (Choice, bool) {
	part := read / float64(parts)
	cands := make([]candidate, len(usable))
	for i, e := range usable {
		cands[i] = e.candidate(now, part)
	}
	worth := Worth(req.PromptTokens, req.OutputTokens)
	weigh := func(c candidate) float64 { return c.loss + worth*firstLoss(c.firstMS, req.Objective) + c.firstMS*1e-4 }
	slices.SortStableFunc(cands, func(a, b candidate) int { return cmp.Compare(weigh(a), weigh(b)) })
	isShortRequest := read <= shortShare*ms(req.MaxPause)
	first, firstLossHere, found := 0, math.Inf(1), false
	// The engine that writes the answer may be any of the best ones; the others read parts.
	for i := 0; i < len(cands) && (parts == 1 || i < parts); i++ {
		loss := cands[i].e.writeLoss(now, req, part, worth)
		if isShortRequest && cands[i].e.rank >= short {
			loss += spreadLoss * worth
		}
		if parts == 1 {
			loss += weigh(cands[i])
		}
		if !math.IsInf(loss, 1) && loss < firstLossHere {
			first, firstLossHere, found = i, loss, true
		}
	}
	if !found {
		return Choice{}, false
	}
	c := Choice{Engine: cands[first].e.id, request: req, readMS: part, Loss: firstLossHere + partLoss*float64(parts-1)}
	firstMS := cands[first].firstMS
	if parts > 1 {
		for i := range parts {
			c.Loss += cands[i].loss
			firstMS = math.Max(firstMS, cands[i].firstMS)
			if i != first {
				c.Helpers = append(c.Helpers, cands[i].e.id)
			}
		}
		c.Loss += worth * firstLoss(firstMS, req.Objective)
	}
	c.First = fromMS(firstMS)
	return c, true
}

// candidate prices the reading of a part on an engine.
func (e *engine) candidate(now time.Duration, part float64) candidate {
	c := candidate{e: e}
	pass := e.passMS(now, part, 1, 0)
	for _, class := range e.total.Classes {
		c.loss += class.Worth * pauseLoss(pass, class.MaxPause)
	}
	steps := stepsMS(e.runtime, e.total.streams()+1, e.total.Tokens)
	c.firstMS = e.backlogMS(now) + e.slowness*(part+steps)
	if e.total.streams() > 0 {
		c.firstMS += e.slowness * steps / 2 // the pass that is running
	}
	return c
}

// passMS predicts the next pass with more reading, writers and context.
func (e *engine) passMS(now time.Duration, readMS float64, writers, context int) float64 {
	steps := stepsMS(e.runtime, e.total.streams()+writers, e.total.Tokens+context)
	reading := math.Min(e.backlogMS(now)+e.slowness*readMS, e.slowness*maxReadMS(e.runtime))
	return e.slowness*steps + reading
}

// writeLoss prices a stream that the engine writes, besides the reading. It is infinite where the engine
// cannot take the request at all.
func (e *engine) writeLoss(now time.Duration, req Request, part, worth float64) float64 {
	tokens := req.PromptTokens + req.OutputTokens
	streams := e.total.streams()
	if tokens > e.runtime.MemoryTokens || streams >= e.slots+overbooked {
		return math.Inf(1)
	}
	pass := e.passMS(now, part, 1, tokens)
	loss := worth * pauseLoss(pass, req.MaxPause)
	if streams >= e.slots {
		loss += fullLoss * worth
	}
	if float64(e.total.Tokens+tokens) > memoryMargin*float64(e.runtime.MemoryTokens) {
		loss += fullLoss * worth
	}
	return loss
}
