package engine

import "time"

// maxCatchUp is the longest delay that the batch loop makes up for. After a longer one it restarts its
// schedule, so that an engine doesn't run a burst of steps after a pause.
const maxCatchUp = 50 * time.Millisecond

// stepPlan is the work of one step: the prefill tokens of each session, and the sessions that decode one
// token each.
type stepPlan struct {
	prefill []prefillChunk
	decode  []*session
	tokens  int // total of the prefill tokens
}

type prefillChunk struct {
	s      *session
	tokens int
}

// batchLoop runs steps while there is work, and otherwise waits for new sessions.
func (e *Engine) batchLoop() {
	stepEnd := time.Now()
	for e.ctx.Err() == nil {
		p := e.planStep()
		if len(p.decode) == 0 && len(p.prefill) == 0 {
			select {
			case <-e.wake:
			case <-e.ctx.Done():
			}
			stepEnd = time.Now()
			continue
		}
		stepEnd = stepEnd.Add(e.stepDuration(p))
		if late := time.Since(stepEnd); late > maxCatchUp {
			stepEnd = time.Now()
		}
		e.sleep(time.Until(stepEnd))
		e.applyStep(p)
	}
}

// planStep selects the work of the next step in order of priority from at most MaxBatch sessions: one
// token for each session that decodes, and up to ChunkTokens prefill tokens in total for the others.
func (e *Engine) planStep() stepPlan {
	e.mu.Lock()
	defer e.mu.Unlock()
	var p stepPlan
	batch := 0
	for _, s := range e.queue {
		if batch == e.cfg.MaxBatch {
			break
		}
		if s.closed { // keeps its memory until its output is delivered or it is cancelled
			continue
		}
		batch++
		if s.pendingPrefill == 0 && !s.req.Export && s.nextToken <= s.req.MaxOutputTokens {
			p.decode = append(p.decode, s)
		} else if n := min(s.pendingPrefill, e.cfg.ChunkTokens-p.tokens); n > 0 || s.pendingPrefill == 0 {
			p.prefill = append(p.prefill, prefillChunk{s, n})
			p.tokens += n
		}
	}
	return p
}

func (e *Engine) stepDuration(p stepPlan) time.Duration {
	seconds := float64(p.tokens) / e.cfg.PrefillTokensPerS
	if len(p.decode) > 0 {
		seconds += 1 / e.cfg.DecodeTokensPerS
	}
	return time.Duration(seconds * float64(time.Second))
}

// applyStep records the results of a step. It skips sessions that were cancelled during the step.
func (e *Engine) applyStep(p stepPlan) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range p.decode {
		if e.sessions[s.req.Session] == s {
			s.tokens <- s.nextToken // never blocks: the channel has capacity for the whole output
			s.nextToken++
			e.finishIfDone(s)
		}
	}
	for _, chunk := range p.prefill {
		if e.sessions[chunk.s.req.Session] == chunk.s {
			chunk.s.pendingPrefill -= chunk.tokens
			if chunk.s.pendingPrefill == 0 {
				e.finishPrefill(chunk.s)
			}
		}
	}
}

// finishPrefill stores the prefix in the cache and, for an export, the KV cache of the session. The caller
// must hold e.mu.
func (e *Engine) finishPrefill(s *session) {
	e.cache.store(s.req.Prefix)
	if s.req.Export {
		s.handle = s.digest.handle(s.req.Session, e.cfg.ID)
		e.exportedKV[s.handle] = s.reservedTokens // the memory now belongs to the handle
		s.reservedTokens = 0
	}
	e.finishIfDone(s)
}

func (e *Engine) finishIfDone(s *session) {
	if !s.closed && (s.req.Export || s.nextToken > s.req.MaxOutputTokens) {
		s.closed = true
		close(s.tokens)
	}
}

func (e *Engine) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-e.ctx.Done():
	}
}
