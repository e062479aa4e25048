package fleet

import (
	"slices"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/placement"
)

// engine emulates a model engine. It works in passes: each takes the token steps of all writing requests and
// reads from the prompts that wait, parts for other engines first. What arrives during a pass is read in it and
// makes it longer. A request whose prompt has been read writes from the next pass on and has an event at the end
// of each.
type engine struct {
	w       *world
	index   int
	queued  []*job // wait for a slot
	running []*job // have a slot
	helping []*part
	memory  int // tokens

	// The pass under way.
	busy    bool
	end     time.Duration
	budget  float64 // tokens that it can still read
	writers []*job
	read    []*part // read to their end in it
}

// job is a request at an engine.
type job struct {
	parts    []*part // this engine's first
	unread   int     // parts that are not read yet
	prompt   int
	tokens   int // memory on this engine
	events   int // still to write
	onEvent  func(now time.Duration)
	onEnd    func(now time.Duration)
	canceled bool
}

// part is a piece of a prompt that one engine reads.
type part struct {
	job    *job
	at     *engine
	tokens float64 // left to read
	msPer  float64 // reading time of a token, with its share of the attention
}

// start hands a job to its engine, and its parts to the helpers.
func (e *engine) start(j *job, helpers []*engine) {
	readers := append([]*engine{e}, helpers...)
	tokens := float64(j.prompt) / float64(len(readers))
	msPer := placement.PrefillMS(e.w.runtime, j.prompt) / float64(j.prompt)
	for _, x := range readers {
		j.parts = append(j.parts, &part{job: j, at: x, tokens: tokens, msPer: msPer})
	}
	j.unread = len(j.parts)
	e.memory += j.tokens
	e.queued = append(e.queued, j)
	for _, p := range j.parts[1:] {
		p.at.helping = append(p.at.helping, p)
		p.at.work()
	}
	e.work()
}

// cancel takes a job off its engine. The pass that runs is not shortened.
func (e *engine) cancel(j *job) {
	if len(j.parts) == 0 {
		return // it has not reached the engine yet
	}
	j.canceled = true
	e.leave(j)
	for _, p := range j.parts[1:] {
		p.at.helping = slices.DeleteFunc(p.at.helping, func(x *part) bool { return x == p })
	}
}

func (e *engine) leave(j *job) {
	is := func(x *job) bool { return x == j }
	e.queued = slices.DeleteFunc(e.queued, is)
	e.running = slices.DeleteFunc(e.running, is)
	e.memory -= j.tokens
}

// work gives free slots to waiting jobs and starts a pass, or lets the one under way read what has come.
func (e *engine) work() {
	for len(e.queued) > 0 && len(e.running) < e.w.runtime.Slots {
		e.running = append(e.running, e.queued[0])
		e.queued = e.queued[1:]
	}
	reads := e.reads()
	if !e.busy {
		e.writers = nil
		context := 0
		for _, j := range e.running {
			if j.unread == 0 {
				e.writers = append(e.writers, j)
				context += j.tokens
			}
		}
		if len(reads) == 0 && len(e.writers) == 0 {
			return
		}
		r := e.w.runtime
		step := r.StepMS + float64(len(e.writers))*r.SequenceMS + float64(context)/1000*r.ContextMSPerK
		e.busy, e.end = true, e.w.Now()+fromMS(float64(r.StepsPerPass)*step)
		e.budget = float64(r.StepsPerPass * e.w.profile.Engine.ChunkTokens)
		e.w.At(e.end, e.passed)
	}
	for _, p := range reads {
		n := min(p.tokens, e.budget)
		p.tokens -= n
		e.budget -= n
		e.end += fromMS(n * p.msPer)
		if p.tokens <= 0 {
			e.read = append(e.read, p)
		}
	}
}

// reads returns the parts that wait to be read here, in order.
func (e *engine) reads() []*part {
	var list []*part
	for _, p := range e.helping {
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

// passed ends the pass, unless reading has made it longer.
func (e *engine) passed() {
	if e.w.Now() < e.end {
		e.w.At(e.end, e.passed)
		return
	}
	writers, read := e.writers, e.read
	e.busy, e.writers, e.read = false, nil, nil
	for _, p := range read {
		p.job.unread--
		e.helping = slices.DeleteFunc(e.helping, func(x *part) bool { return x == p })
		if owner := p.job.parts[0].at; owner != e && p.job.unread == 0 {
			owner.work() // it may have waited for this part alone
		}
	}
	for _, j := range writers {
		if j.canceled {
			continue
		}
		j.events--
		j.onEvent(e.w.Now())
		if j.events == 0 {
			e.leave(j)
			j.onEnd(e.w.Now())
		}
	}
	e.work()
}
