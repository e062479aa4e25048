package sched

import (
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

// segmentEnded goes on with the next segment of a gang, or gives everything back if the engine
// exported nothing.
func (s *Scheduler) segmentEnded(h *hold, e EngineEnded) {
	a := h.att
	if e.KV == "" {
		s.close(h)
		s.giveBack(a, neutralResult)
		s.tryAgain(a, h.eng, outcome.BackendFailed)
		return
	}
	h.handle = e.KV
	s.setState(h, exported)
	h.eng.learnSegment(s, h)
	a.stage++
	if next := a.holds[a.stage].eng; !next.owned || next.leaving {
		s.giveBack(a, neutralResult)
		s.tryAgain(a, next, outcome.BackendFailed)
		return
	}
	s.sendStage(a)
}

// sendStage sends the segment of the attempt whose turn it is.
func (s *Scheduler) sendStage(a *attempt) {
	h := a.holds[a.stage]
	e := h.eng
	lastSegment := a.stage == len(a.holds)-1
	s.nextSession++
	h.session = NewSessionID(s.cfg.Issuer, s.cfg.Incarnation, s.nextSession)
	s.holds[h.session] = h
	s.setState(h, open)
	h.sentAt = s.now
	h.deadline = a.Deadline
	h.priority = int(a.Class)
	h.long = h.to-h.from >= s.cfg.LongPromptTokens
	prefill := h.to - h.from
	if a.stage == 0 {
		prefill = e.uncached(prefill, a.Prefix)
	}
	h.predicted = e.base + seconds(float64(e.ahead(h.priority)+prefill)/e.rate(s))
	h.work = e.ahead(h.priority) + prefill
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
		for _, o := range a.holds[:a.stage] {
			send.Import = append(send.Import, o.handle)
		}
	}
	a.unsure++
	a.last = e.id
	s.counters.Sent++
	s.emit(send)
	s.schedule(h)
}

func (s *Scheduler) startPrefill(h *hold, tokens int) {
	e := h.eng
	h.prefill = tokens
	e.prefill[h.priority] += h.prefill
	if h.long {
		e.longPrefill += h.prefill
		e.longs++
	}
	// Only work of lower priority is passed: equal priority goes in order of arrival.
	for p := h.priority + 1; p < classes; p++ {
		e.passing[p] += int64(h.prefill)
	}
	h.passedBy = e.passing[h.priority]
}

// start reserves all segments in this one step and sends the first. There is no step in which a
// gang holds some of its engines and waits for others, so two gangs cannot wait for each other.
func (s *Scheduler) start(a *attempt, parts []part) {
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
	a.stage = 0
	s.sendStage(a)
	s.schedule(a)
}
