package sched

import (
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

// segmentEnded sends the next segment of a gang. If the engine exported no KV cache, or the next engine
// is no longer available, it releases the gang and requeues the attempt.
func (s *Scheduler) segmentEnded(h *hold, e EngineEnded) {
	a := h.att
	if e.KV == "" {
		s.close(h)
		s.releaseHolds(a, neutralResult)
		s.requeue(a, h.eng, outcome.BackendFailed)
		return
	}
	h.kvHandle = e.KV
	s.setState(h, exported)
	h.eng.learnSegment(s, h)
	a.currentSegment++
	if next := a.holds[a.currentSegment].eng; !next.owned || next.leaving {
		s.releaseHolds(a, neutralResult)
		s.requeue(a, next, outcome.BackendFailed)
		return
	}
	s.sendSegment(a)
}

// sendSegment sends the current segment of the attempt.
func (s *Scheduler) sendSegment(a *attempt) {
	h := a.holds[a.currentSegment]
	e := h.eng
	lastSegment := a.currentSegment == len(a.holds)-1
	s.nextSession++
	h.session = NewSessionID(s.cfg.Issuer, s.cfg.Incarnation, s.nextSession)
	s.holds[h.session] = h
	s.setState(h, open)
	h.sentAt = s.now
	h.deadline = a.Deadline
	h.priority = int(a.Class)
	h.isLong = h.to-h.from >= s.cfg.LongPromptTokens
	prefill := h.to - h.from
	if a.currentSegment == 0 {
		prefill = e.uncached(prefill, a.Prefix)
	}
	h.predicted = e.baseLatency + seconds(float64(e.prefillAhead(h.priority)+prefill)/e.rate(s))
	h.workAtSend = e.prefillAhead(h.priority) + prefill
	if lease, ok := e.limit.Acquire(s.now, a.Deadline+s.cfg.Grace); ok {
		h.lease, h.leased = lease, true
	}
	s.startPrefill(h, prefill)
	send := Send{
		Attempt: a.Attempt, Session: h.session, Engine: e.id,
		PromptFrom: h.from, PromptTo: h.to,
		Priority: h.priority, Prefix: a.Prefix, Deadline: a.Deadline,
		Export: !lastSegment,
	}
	if lastSegment {
		send.MaxOutputTokens, send.ResumeFrom = a.MaxOutputTokens, a.count
		e.prefixes.add(a.Prefix)
	}
	if len(a.holds) > 1 {
		for _, o := range a.holds {
			send.Gang = append(send.Gang, o.eng.id)
		}
		for _, o := range a.holds[:a.currentSegment] {
			send.Import = append(send.Import, o.kvHandle)
		}
	}
	a.uncertainSends++
	a.lastEngine = e.id
	s.counters.Sent++
	s.emit(send)
	s.schedule(h)
}

func (s *Scheduler) startPrefill(h *hold, tokens int) {
	e := h.eng
	h.prefill = tokens
	e.ownPrefill[h.priority] += h.prefill
	if h.isLong {
		e.longPrefill += h.prefill
		e.longPrompts++
	}
	// Prefill overtakes only work of lower priority: equal priorities run in order of arrival.
	for p := h.priority + 1; p < classCount; p++ {
		e.overtakingPrefill[p] += int64(h.prefill)
	}
	h.overtakingAtSend = e.overtakingPrefill[h.priority]
}

// start reserves memory for all segments in one step and sends the first. A gang never holds some of
// its engines while it waits for others, so two gangs cannot deadlock.
func (s *Scheduler) start(a *attempt, parts []promptPart) {
	s.queues[a.Class].remove(a)
	if a.tries > 0 {
		s.counters.Resumed++
	}
	a.tries++
	a.state = running
	s.running++
	from := 0
	for i, p := range parts {
		h := &hold{eng: p.eng, att: a, batch: a.Class == ident.Batch, from: from, to: from + p.prompt, tokens: p.prompt}
		if i == len(parts)-1 {
			h.tokens += a.MaxOutputTokens
		}
		from = h.to
		s.reserve(h)
		a.holds = append(a.holds, h)
	}
	a.currentSegment = 0
	s.sendSegment(a)
	s.schedule(a)
}
