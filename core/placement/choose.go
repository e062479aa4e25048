package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// Request holds the properties of a request that its placement depends on.
type Request struct {
	PromptTokens int
	OutputTokens int           // upper bound
	Objective    time.Duration // time left until the first event is late; negative when overdue, zero without an objective
	MaxPause     time.Duration // objective of the pauses between events
	TimeLeft     time.Duration // until the deadline
	Returned     bool          // the caller was refused before, so another refusal is likely to be final
	// Excluded reports which engines must not be used, such as those that failed this request.
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

// Choice is a possible placement of a request on one or more engines.
type Choice struct {
	Engine           ident.BackendID   // receives the request and decodes the answer
	Helpers          []ident.BackendID // prefill a part of the prompt each
	Reservations     []Reservation     // memory that helpers must set aside before the request is sent
	TimeToFirstEvent time.Duration     // predicted time to the first event
	TimeToLastEvent  time.Duration     // predicted time to the end of the longest answer, without requests that follow
	Loss             float64           // expected loss of worth, of this request and of others

	request   Request
	prefillMS float64 // prefill time of each part
	tokens    int     // KV cache memory on Engine, in tokens
}

// Reservation is KV cache memory on a helper for a part of the prompt.
type Reservation struct {
	Engine ident.BackendID
	Tokens int
}

// MaxHelpers is the number of helpers that an engine accepts for one request.
const MaxHelpers = 16

// partCounts are the numbers of parts into which a prompt may be split. A finer list changes the predicted
// loss by less than the error of the prediction.
var partCounts = []int{1, 2, 3, 4, 6, 8, 10, 12, 14, 17}

const (
	// partLoss is the loss added for each further engine, so that the choice with fewer engines is preferred among
	// equal ones.
	partLoss = 0.004
	// minPartMS is the shortest prefill of a part in ms: below it, splitting saves less than a typical pass takes.
	minPartMS = 25
	// spreadShare is the share of an engine's memory from which a prompt's memory is spread over its helpers,
	// so that several long prompts fit. Each reservation costs a message to the helper, so smaller prompts use none.
	spreadShare = 0.8
	// perRequestMS is the fixed time in ms that an engine, even an idle one, needs for each request in addition to its
	// passes.
	perRequestMS = 20
	// lastSlotsLoss is the loss, as a share of the request's worth, for taking the last free slots of an engine: the
	// loads that other hosts report are some ms old, so the last slot may already be taken.
	lastSlotsLoss = 0.25
	// maxOverSlots is the maximum number of requests that are placed on an engine beyond its slots.
	maxOverSlots = 8
	// lossPerMS is the loss for each ms until the first event, so that the sooner of two safe choices is taken.
	lossPerMS = 1e-4
	// usableMemoryShare is the share of an engine's memory that requests may take. The rest covers answers that grow
	// longer than the loads reported by peers account for.
	usableMemoryShare = 0.97
)

// candidate is an engine with the cost of prefilling a part there.
type candidate struct {
	e       *engine
	loss    float64 // worth that other streams lose because of the prefill
	firstMS float64 // time until the part is prefilled and a pass has ended
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
	prefillMS := PrefillMS(g.runtime, req.PromptTokens)
	g.assignRoles()
	for _, parts := range partCounts {
		if parts > len(usable) || (parts > 1 && prefillMS/float64(parts) < minPartMS) {
			break
		}
		c, fits := g.chooseParts(now, usable, req, prefillMS, parts)
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
func (g *group) chooseParts(now time.Duration, usable []*engine, req Request, prefillMS float64, parts int) (Choice, bool) {
	part := prefillMS / float64(parts)
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
	cost := func(c candidate) float64 {
		return c.loss + worth*firstEventLoss(c.firstMS, req.Objective) + c.firstMS*lossPerMS
	}
	slices.SortStableFunc(cands, func(a, b candidate) int { return cmp.Compare(cost(a), cost(b)) })
	decoder, decodeLoss, slotWait := chooseDecoder(now, cands, req, onEngine, prefillMS, part, worth)
	if decoder < 0 {
		return Choice{}, false
	}
	// The decoding engine prefills a part as well; the helpers are the best of the other candidates.
	w := cands[decoder]
	c := Choice{
		Engine: w.e.id, request: req, prefillMS: part, tokens: onEngine,
		Loss: decodeLoss + w.loss + partLoss*float64(parts-1),
	}
	firstMS := w.firstMS + slotWait
	for i := 0; len(c.Helpers) < parts-1; i++ {
		if i == decoder {
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
	c.TimeToLastEvent = fromMS(firstMS + w.e.decodeMS(req.OutputTokens, onEngine))
	return c, true
}

// chooseDecoder returns the index of the candidate that decodes the answer at the least loss, or -1 when none can,
// with the loss that decoding causes and the ms until a slot is free. The cost of its prefill counts as well, as it decides
// between candidates that are otherwise equal.
func chooseDecoder(now time.Duration, cands []candidate, req Request, tokens int, prefillMS, part, worth float64) (best int, loss, slotWait float64) {
	wanted := decodeRole(prefillMS, req.MaxPause)
	best, lowest := -1, math.Inf(1)
	for i, c := range cands {
		pass := c.e.passMS(now, part, 1, tokens)
		decodeLoss := c.e.decodeLoss(pass, req, tokens, worth) + worth*misplacementLoss(wanted, c.e.role)
		wait := c.e.slotWaitMS(pass)
		total := decodeLoss + c.loss + worth*firstEventLoss(c.firstMS+wait, req.Objective) + (c.firstMS+wait)*lossPerMS
		if total < lowest {
			best, loss, slotWait, lowest = i, decodeLoss, wait, total
		}
	}
	return best, loss, slotWait
}

// candidate computes the cost of prefilling a part on an engine.
func (e *engine) candidate(now time.Duration, part float64) candidate {
	c := candidate{e: e}
	pass := e.passMS(now, part, 1, 0)
	for _, class := range e.total.Classes {
		c.loss += class.Worth * pauseLoss(pass, class.MaxPause)
	}
	c.loss += futureLoss(e.role, pass) - futureLoss(e.role, e.passMS(now, 0, 0, 0))
	steps := stepsMS(e.runtime, e.total.streams()+1, e.total.Tokens)
	running := steps // ms of the token steps of the pass that prefills the part
	if e.total.streams() > 0 {
		running = steps / 2 // that pass is already running; on average half of it is left
	}
	c.firstMS = e.backlogMS(now) + e.slowness*(part+running+steps) + perRequestMS
	return c
}

// passMS predicts the length of the next pass with additional prefill, decoding streams and context. A pass
// prefills the whole backlog: its chunks hold some 100,000 tokens.
func (e *engine) passMS(now time.Duration, prefillMS float64, decoding, context int) float64 {
	steps := stepsMS(e.runtime, e.total.streams()+decoding, e.total.Tokens+context)
	return e.slowness*(steps+prefillMS) + e.backlogMS(now)
}

// decodeMS predicts the time from the first event of a further stream to its last one, for an answer of the given length
// and a stream that takes the given memory. The first event has the tokens of one pass.
func (e *engine) decodeMS(outputTokens, memory int) float64 {
	perPass := max(1, e.runtime.StepsPerPass)
	passes := (outputTokens+perPass-1)/perPass - 1
	return float64(max(0, passes)) * e.slowness * stepsMS(e.runtime, e.total.streams()+1, e.total.Tokens+memory)
}

// decodeLoss returns the expected loss of a stream that the engine decodes in passes of the given length, without the
// loss that its prefill causes. It is infinite if the engine cannot take the request.
func (e *engine) decodeLoss(passMS float64, req Request, tokens int, worth float64) float64 {
	streams := e.total.streams()
	if tokens > e.free() || streams >= e.slots+maxOverSlots {
		return math.Inf(1)
	}
	loss := worth * pauseLoss(passMS, req.MaxPause)
	loss += worth * lastSlotsLoss * ramp(float64(streams+1)/float64(e.slots), packedSlots, 1)
	return loss
}

// slotWaitMS predicts the wait for a slot on an engine whose slots are taken: the streams on it are
// assumed to end one after the other, spread evenly over the passes that a usual answer takes.
func (e *engine) slotWaitMS(passMS float64) float64 {
	waiting := e.total.streams() + 1 - e.slots
	if waiting <= 0 {
		return 0
	}
	passes := float64(e.runtime.UsualAnswer) / float64(max(1, e.runtime.StepsPerPass))
	return float64(waiting) * math.Max(1, passes) * passMS / float64(e.slots)
}
