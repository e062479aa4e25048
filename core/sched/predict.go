package sched

import "time"

const (
	// chunkTokens is the prefill, in tokens, that an engine runs between two checks of its queue: work
	// of lower priority delays a prompt by at most this much.
	chunkTokens = 512
	// minRateSampleTokens is the smallest amount of work from which a prefill rate is learnt; below it
	// the fixed part of the time to first token dominates.
	minRateSampleTokens = 4096
	// learnWeight is the weight of a new sample in the learnt estimates, from 0 to 1.
	learnWeight = 0.1
	// stallThreshold is the time per token from which an engine counts as stalled. Such samples say
	// nothing about its decoding speed and are not learnt.
	stallThreshold = time.Second
	// prefixTokens is the number of tokens that a prefix hit saves: the part of the prompt that
	// PrefixKey covers.
	prefixTokens = 1024
)

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// rate returns the engine's prefill rate in tokens per second: learnt, else reported, else assumed.
func (e *engine) rate(s *Scheduler) float64 {
	switch {
	case e.learnt:
		return e.learntRate
	case e.reportedRate > 0:
		return e.reportedRate
	}
	return s.cfg.PrefillTokensPerS
}

func (e *engine) prefillTotal() int {
	n := 0
	for _, v := range e.ownPrefill {
		n += v
	}
	return n
}

// prefillAhead returns the prefill tokens that run before a new prompt of the priority.
func (e *engine) prefillAhead(priority int) int {
	n, lower := e.foreignPrefill, 0
	for p, v := range e.ownPrefill {
		if p <= priority {
			n += v
		} else {
			lower += v
		}
	}
	return n + min(lower, chunkTokens)
}

// predictFirstToken returns the predicted time to first token of a prompt sent now.
func (e *engine) predictFirstToken(s *Scheduler, priority, prompt int, prefix string) time.Duration {
	return e.baseLatency + seconds(float64(e.prefillAhead(priority)+e.uncached(prompt, prefix))/e.rate(s))
}

// uncached returns the tokens of a prompt that the engine probably has to prefill.
func (e *engine) uncached(prompt int, prefix string) int {
	if e.prefixes.has(prefix) {
		return max(1, prompt-prefixTokens)
	}
	return prompt
}

// learnFirstToken updates the estimates from the time to first token of a session.
func (e *engine) learnFirstToken(s *Scheduler, h *hold) {
	e.learn(s, h, s.now-h.sentAt)
}

// learnSegment updates the estimates from a prefill-only session.
func (e *engine) learnSegment(s *Scheduler, h *hold) { e.learn(s, h, s.now-h.sentAt) }

func (e *engine) learn(s *Scheduler, h *hold, took time.Duration) {
	if took <= 0 {
		return
	}
	work := float64(h.workAtSend) + float64(e.overtakingPrefill[h.priority]-h.overtakingAtSend)
	if work >= minRateSampleTokens {
		sample := work / took.Seconds()
		if !e.learnt {
			e.learnt, e.learntRate = true, e.rate(s)
		}
		// An outlier comes from a wrong view of the engine's queue, not from the engine's speed.
		sample = min(max(sample, e.learntRate/4), e.learntRate*4)
		e.learntRate += learnWeight * (sample - e.learntRate)
		return
	}
	rest := max(0, took-seconds(work/e.rate(s)))
	e.baseLatency += time.Duration(learnWeight * float64(min(rest, time.Second)-e.baseLatency))
}

// learnToken learns the time per output token from n tokens that took d.
func (e *engine) learnToken(d time.Duration, n int) {
	sample := d / time.Duration(n)
	if sample >= stallThreshold {
		return
	}
	e.tokenTime += time.Duration(learnWeight / 2 * float64(sample-e.tokenTime))
}

// decayEstimates moves the estimates of an idle engine towards their initial values. Slow estimates
// keep work away, and without work nothing else would correct them.
func (e *engine) decayEstimates(s *Scheduler) {
	if e.limit.InFlight(s.now) > 0 {
		return
	}
	e.tokenTime += time.Duration(learnWeight * float64(s.cfg.DecodeTokenTime-e.tokenTime))
	e.baseLatency -= time.Duration(learnWeight * float64(e.baseLatency))
	if e.reportedRate > 0 {
		e.learntRate += learnWeight * (e.reportedRate - e.learntRate)
	}
}

// serviceTime returns the predicted time from sending to the last token on this engine.
func (e *engine) serviceTime(s *Scheduler, a *attempt) time.Duration {
	left := max(1, a.MaxOutputTokens-a.count)
	return e.predictFirstToken(s, int(a.Class), a.PromptTokens, a.Prefix) + time.Duration(left)*e.tokenTime
}

// bestServiceTime returns the shortest possible time from sending to the last token on an idle engine.
func (s *Scheduler) bestServiceTime(a *attempt) time.Duration {
	best := never
	for _, e := range s.enginesByID {
		if e.owned && e.model == a.Model {
			left := max(1, a.MaxOutputTokens-a.count)
			t := seconds(float64(a.PromptTokens)/e.rate(s)) + time.Duration(left)*e.tokenTime
			best = min(best, t)
		}
	}
	if best == never {
		return 0
	}
	return best
}

// queueWait predicts the wait of an attempt in its queue as the larger of two bounds. Memory: the
// reserved token-seconds of everything that runs or waits before it, divided by the tokens that its
// class may reserve. Prefill: the tokens before it, divided by the sum of the prefill rates.
func (s *Scheduler) queueWait(a *attempt) time.Duration {
	var engines, memory, rate, work, prompts float64
	pl := s.planFor(a)
	for _, e := range s.enginesByID {
		if !s.eligible(e, a, pl) {
			continue
		}
		engines++
		memory += float64(e.memory - e.othersTokens)
		rate += e.rate(s)
		prompts += float64(e.prefillAhead(int(a.Class)))
		for _, h := range e.holds {
			if h.att != nil && !h.freed {
				work += float64(h.tokens) * s.remainingTime(h).Seconds()
			}
		}
	}
	if memory <= 0 || rate <= 0 {
		return 0
	}
	for c := 0; c <= int(a.Class); c++ {
		for _, o := range s.queues[c] {
			if o.Model != a.Model || (c == int(a.Class) && compareAttempts(o, a) >= 0) {
				continue
			}
			service := seconds(float64(o.PromptTokens)/(rate/engines)) +
				time.Duration(o.MaxOutputTokens)*s.cfg.DecodeTokenTime
			work += float64(o.neededTokens) * service.Seconds()
			prompts += float64(o.PromptTokens)
		}
	}
	return max(seconds(work/memory), seconds(prompts/rate))
}

// remainingTime predicts how long a hold of a live attempt remains: the rest of the current segment,
// the segments after it, and the output.
func (s *Scheduler) remainingTime(h *hold) time.Duration {
	a := h.att
	last := a.holds[len(a.holds)-1]
	left := time.Duration(max(1, a.MaxOutputTokens-a.count)) * last.eng.tokenTime
	if cur := a.holds[a.currentSegment]; !cur.firstTokenArrived {
		left += max(0, cur.sentAt+cur.predicted-s.now)
	}
	for _, o := range a.holds[a.currentSegment+1:] {
		left += seconds(float64(o.to-o.from) / o.eng.rate(s))
	}
	return left
}

// gangServiceTime predicts the time from sending the first segment to the last token.
func (s *Scheduler) gangServiceTime(a *attempt, parts []promptPart) time.Duration {
	var t time.Duration
	for _, p := range parts {
		t += p.eng.predictFirstToken(s, int(a.Class), p.prompt, "")
	}
	last := parts[len(parts)-1].eng
	return t + time.Duration(max(1, a.MaxOutputTokens-a.count))*last.tokenTime
}
