package fleet

import (
	"slices"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/placement"
)

// engine simulates a model engine. It works in passes: each pass runs the decode steps of all decoding requests and
// prefills waiting prompts, parts for other engines first. Prompts that arrive during a pass are prefilled in it and
// make it longer. A request whose prompt is prefilled decodes from the next pass on and emits an event at the end of
// each.
type engine struct {
	w           *world
	index       int
	queued      []*job // waiting for a slot
	running     []*job // holding a slot
	helperParts []*part
	usedTokens  int // memory in use

	// State of the current pass.
	inPass        bool
	passEnd       time.Duration
	prefillBudget float64 // tokens that it can still prefill
	decoding      []*job
	prefilled     []*part // parts whose prefill ends in this pass
}

// job is a request that an engine serves.
type job struct {
	parts        []*part // the part of the serving engine comes first
	pendingParts int     // parts that are not prefilled yet
	prompt       int
	tokens       int // memory on the serving engine
	events       int // still to emit
	onEvent      func(now time.Duration)
	onEnd        func(now time.Duration)
	canceled     bool
}

// part is a part of a prompt that one engine prefills.
type part struct {
	job        *job
	engine     *engine
	tokens     float64 // left to prefill
	msPerToken float64 // prefill time of a token, including its share of the attention cost
}

// start queues a job at its engine and gives each helper its part of the prompt.
func (e *engine) start(j *job, helpers []*engine) {
	engines := append([]*engine{e}, helpers...)
	tokens := float64(j.prompt) / float64(len(engines))
	msPerToken := placement.PrefillMS(e.w.runtime, j.prompt) / float64(j.prompt)
	for _, x := range engines {
		j.parts = append(j.parts, &part{job: j, engine: x, tokens: tokens, msPerToken: msPerToken})
	}
	j.pendingParts = len(j.parts)
	e.usedTokens += j.tokens
	e.queued = append(e.queued, j)
	for _, p := range j.parts[1:] {
		p.engine.helperParts = append(p.engine.helperParts, p)
		p.engine.schedule()
	}
	e.schedule()
}

// cancel removes a job from its engine and helpers. The current pass is not shortened.
func (e *engine) cancel(j *job) {
	if len(j.parts) == 0 {
		return // not started at the engine yet
	}
	j.canceled = true
	e.remove(j)
	for _, p := range j.parts[1:] {
		p.engine.helperParts = slices.DeleteFunc(p.engine.helperParts, func(x *part) bool { return x == p })
	}
}

func (e *engine) remove(j *job) {
	is := func(x *job) bool { return x == j }
	e.queued = slices.DeleteFunc(e.queued, is)
	e.running = slices.DeleteFunc(e.running, is)
	e.usedTokens -= j.tokens
}

// schedule gives free slots to waiting jobs. It starts a pass, or adds the pending prefills to the current one.
func (e *engine) schedule() {
	for len(e.queued) > 0 && len(e.running) < e.w.runtime.Slots {
		e.running = append(e.running, e.queued[0])
		e.queued = e.queued[1:]
	}
	pending := e.pendingPrefills()
	if !e.inPass {
		e.decoding = nil
		context := 0
		for _, j := range e.running {
			if j.pendingParts == 0 {
				e.decoding = append(e.decoding, j)
				context += j.tokens
			}
		}
		if len(pending) == 0 && len(e.decoding) == 0 {
			return
		}
		r := e.w.runtime
		step := r.StepMS + float64(len(e.decoding))*r.SequenceMS + float64(context)/1000*r.ContextMSPerK
		e.inPass, e.passEnd = true, e.w.Now()+fromMS(float64(r.StepsPerPass)*step)
		e.prefillBudget = float64(r.StepsPerPass * e.w.profile.Engine.ChunkTokens)
		e.w.At(e.passEnd, e.finishPass)
	}
	for _, p := range pending {
		n := min(p.tokens, e.prefillBudget)
		p.tokens -= n
		e.prefillBudget -= n
		e.passEnd += fromMS(n * p.msPerToken)
		if p.tokens <= 0 {
			e.prefilled = append(e.prefilled, p)
		}
	}
}

// pendingPrefills returns the parts that this engine has to prefill, in order.
func (e *engine) pendingPrefills() []*part {
	var list []*part
	for _, p := range e.helperParts {
		if p.tokens > 0 {
			list = append(list, p)
		}
	}
	for _, j := range e.running {
		if p := j.parts[0]; p.tokens > 0 {
			list = append(list, p)
		}
	}
	return list
}

// finishPass ends the pass, or reschedules itself if prefill has made the pass longer.
func (e *engine) finishPass() {
	if e.w.Now() < e.passEnd {
		e.w.At(e.passEnd, e.finishPass)
		return
	}
	decoding, prefilled := e.decoding, e.prefilled
	e.inPass, e.decoding, e.prefilled = false, nil, nil
	for _, p := range prefilled {
		p.job.pendingParts--
		e.helperParts = slices.DeleteFunc(e.helperParts, func(x *part) bool { return x == p })
		if owner := p.job.parts[0].engine; owner != e && p.job.pendingParts == 0 {
			owner.schedule() // the owner may have been waiting for this part only
		}
	}
	for _, j := range decoding {
		if j.canceled {
			continue
		}
		j.events--
		j.onEvent(e.w.Now())
		if j.events == 0 {
			e.remove(j)
			j.onEnd(e.w.Now())
		}
	}
	e.schedule()
}
