package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// Request is what a placement depends on.
type Request struct {
	PromptTokens int
	OutputTokens int           // at most
	Objective    time.Duration // left for the first event to be on time; negative when overdue, zero when there is none
	MaxPause     time.Duration // objective of the pauses between events
	TimeLeft     time.Duration // until the deadline
	// Excluded tells which engines must not be used, such as those that failed this request.
	Excluded func(ident.BackendID) bool
}

// ObjectiveLeft returns the Objective of a Request that arrived with an objective: the time left of it, negative once
// it has passed, and zero for a request without one.
func ObjectiveLeft(now, arrived, objective time.Duration) time.Duration {
	if objective == 0 {
		return 0
	}
	if left := arrived + objective - now; left != 0 {
		return left
	}
	return -1
}

// Choice is a placement.
type Choice struct {
	Engine           ident.BackendID   // receives the request and writes the answer
	Helpers          []ident.BackendID // read a part of the prompt
	Reservations     []Reservation     // memory that helpers must set aside before the request is sent
	TimeToFirstEvent time.Duration     // predicted time to the first event
	Loss             float64           // expected loss of worth, the newcomer's and others'

	request Request
	readMS  float64 // of each part
	tokens  int     // memory on the engine itself
}

// Reservation is memory on a helper for a part of the prompt.
type Reservation struct {
	Engine ident.BackendID
	Tokens int
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
	// spreadShare is the share of an engine's memory from which a prompt's memory is spread over its helpers,
	// so that several long prompts fit. Reservations cost orders, so smaller prompts go without.
	spreadShare = 0.8
	// workMS is the time that an engine needs for each request beside its tokens, as measured on idle ones.
	workMS = 20
	// lastSlotsLoss prices the last free slots of an engine: views of other hosts' placements are some ms old,
	// so that the last slot may be gone already.
	lastSlotsLoss = 0.25
	// maxOverSlots is the number of requests beyond its slots that an engine is given at most.
	maxOverSlots = 8
	// tieWeight prices a ms until the first event, so that the sooner of two safe choices is taken.
	tieWeight = 1e-4
	// memoryMargin leaves room for answers that are longer than the memory accounting of peers shows.
	memoryMargin = 0.97
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
	read := PrefillMS(g.runtime, req.PromptTokens)
	g.assignRoles()
	for _, parts := range partCounts {
		if parts > len(usable) || (parts > 1 && read/float64(parts) < minPartMS) {
			break
		}
		c, fits := g.chooseParts(now, usable, req, read, parts)
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

// chooseParts places a prompt on the given number of engines.
func (g *group) chooseParts(now time.Duration, usable []*engine, req Request, read float64, parts int) (Choice, bool) {
	part := read / float64(parts)
	total := req.PromptTokens + req.OutputTokens
	onEngine, onHelper := total, 0
	if parts > 1 && float64(total) > spreadShare*float64(g.runtime.MemoryTokens) {
		onHelper = (req.PromptTokens + parts - 1) / parts
		onEngine = onHelper + req.OutputTokens
	}
	cands := make([]candidate, 0, len(usable))
	for _, e := range usable {
		if e.free() >= onHelper {
			cands = append(cands, e.candidate(now, part))
		}
	}
	if len(cands) < parts {
		return Choice{}, false
	}
	worth := Worth(req.PromptTokens, req.OutputTokens)
	weigh := func(c candidate) float64 {
		return c.loss + worth*firstEventLoss(c.firstMS, req.Objective) + c.firstMS*tieWeight
	}
	slices.SortStableFunc(cands, func(a, b candidate) int { return cmp.Compare(weigh(a), weigh(b)) })
	writer, writeLoss, slotWait := chooseDecoder(now, cands, req, onEngine, read, part, worth)
	if writer < 0 {
		return Choice{}, false
	}
	// The writer reads a part like its helpers, which are the best of the others.
	w := cands[writer]
	c := Choice{
		Engine: w.e.id, request: req, readMS: part, tokens: onEngine,
		Loss: writeLoss + w.loss + partLoss*float64(parts-1),
	}
	firstMS := w.firstMS + slotWait
	for i := 0; len(c.Helpers) < parts-1; i++ {
		if i == writer {
			continue
		}
		x := cands[i]
		c.Loss += x.loss
		firstMS = math.Max(firstMS, x.firstMS)
		c.Helpers = append(c.Helpers, x.e.id)
		if onHelper > 0 {
			c.Reservations = append(c.Reservations, Reservation{x.e.id, onHelper})
		}
	}
	c.Loss += worth * firstEventLoss(firstMS, req.Objective)
	c.TimeToFirstEvent = fromMS(firstMS)
	return c, true
}

// chooseDecoder returns the candidate that writes the answer at the least loss, or -1 when none can, with the
// loss by writing and the ms until a slot is free. What its reading costs counts as well, as it decides between
// equal writers.
func chooseDecoder(now time.Duration, cands []candidate, req Request, tokens int, read, part, worth float64) (best int, loss, slotWait float64) {
	wanted := decodeRole(read, req.MaxPause)
	best, lowest := -1, math.Inf(1)
	for i, c := range cands {
		pass := c.e.passMS(now, part, 1, tokens)
		write := c.e.decodeLoss(pass, req, tokens, worth) + worth*misplaced(wanted, c.e.role)
		wait := c.e.slotWaitMS(pass)
		total := write + c.loss + worth*firstEventLoss(c.firstMS+wait, req.Objective) + (c.firstMS+wait)*tieWeight
		if total < lowest {
			best, loss, slotWait, lowest = i, write, wait, total
		}
	}
	return best, loss, slotWait
}

// candidate prices the reading of a part on an engine.
func (e *engine) candidate(now time.Duration, part float64) candidate {
	c := candidate{e: e}
	pass := e.passMS(now, part, 1, 0)
	for _, class := range e.total.Classes {
		c.loss += class.Worth * pauseLoss(pass, class.MaxPause)
	}
	c.loss += futureLoss(e.role, pass) - futureLoss(e.role, e.passMS(now, 0, 0, 0))
	steps := stepsMS(e.runtime, e.total.streams()+1, e.total.Tokens)
	running := steps // of the pass that reads the part
	if e.total.streams() > 0 {
		running = steps / 2 // it has begun already
	}
	c.firstMS = e.backlogMS(now) + e.slowness*(part+running+steps) + workMS
	return c
}

// passMS predicts the next pass with more reading, writers and context. A pass reads the whole backlog: its
// chunks hold some 100,000 tokens.
func (e *engine) passMS(now time.Duration, readMS float64, writers, context int) float64 {
	steps := stepsMS(e.runtime, e.total.streams()+writers, e.total.Tokens+context)
	return e.slowness*(steps+readMS) + e.backlogMS(now)
}

// decodeLoss prices a stream that the engine writes in passes of that length, besides the reading. It is infinite
// where the engine cannot take the request at all.
func (e *engine) decodeLoss(passMS float64, req Request, tokens int, worth float64) float64 {
	streams := e.total.streams()
	if tokens > e.free() || streams >= e.slots+maxOverSlots {
		return math.Inf(1)
	}
	loss := worth * pauseLoss(passMS, req.MaxPause)
	loss += worth * lastSlotsLoss * ramp(float64(streams+1)/float64(e.slots), packedSlots, 1)
	return loss
}

// slotWaitMS predicts the wait for a slot on an engine whose slots are taken: the streams on it end one
// after the other, spread over the passes that a usual answer takes.
func (e *engine) slotWaitMS(passMS float64) float64 {
	waiting := e.total.streams() + 1 - e.slots
	if waiting <= 0 {
		return 0
	}
	passes := float64(e.runtime.UsualAnswer) / float64(max(1, e.runtime.StepsPerPass))
	return float64(waiting) * math.Max(1, passes) * passMS / float64(e.slots)
}
