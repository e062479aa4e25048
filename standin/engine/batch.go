package engine

import "time"

// maxBehind bounds how much lost time the batch loop makes up for; after a longer pause it starts anew,
// so that a paused engine doesn't burst.
const maxBehind = 50 * time.Millisecond

// plan is the work of one step: prefill tokens by session, and the sessions that decode one token.
type plan struct {
	prefill []share
	decode  []*session
	tokens  int // prefill tokens in all
}

type share struct {
	s      *session
	tokens int
}

// batchLoop runs steps while there is work.
func (e *Engine) batchLoop() {
	at := time.Now()
	for e.ctx.Err() == nil {
		p := e.plan()
		if len(p.decode) == 0 && len(p.prefill) == 0 {
			select {
			case <-e.wake:
			case <-e.ctx.Done():
			}
			at = time.Now()
			continue
		}
		at = at.Add(e.duration(p))
		if late := time.Since(at); late > maxBehind {
			at = time.Now()
		}
		e.sleep(time.Until(at))
		e.apply(p)
	}
}

// plan chooses the next step's work in order of priority: the first MaxBatch sessions, one token for
// each that decodes, and one chunk of prefill tokens shared by the others.
func (e *Engine) plan() plan {
	e.mu.Lock()
	defer e.mu.Unlock()
	var p plan
	batch := 0
	for _, s := range e.order {
		if batch == e.cfg.MaxBatch {
			break
		}
		if s.closed { // holds memory until it is delivered or cancelled
			continue
		}
		batch++
		if s.prefill == 0 && !s.req.Export && s.next <= s.req.MaxOutputTokens {
			p.decode = append(p.decode, s)
		} else if n := min(s.prefill, e.cfg.ChunkTokens-p.tokens); n > 0 || s.prefill == 0 {
			p.prefill = append(p.prefill, share{s, n})
			p.tokens += n
		}
	}
	return p
}

func (e *Engine) duration(p plan) time.Duration {
	seconds := float64(p.tokens) / e.cfg.PrefillTokensPerS
	if len(p.decode) > 0 {
		seconds += 1 / e.cfg.DecodeTokensPerS
	}
	return time.Duration(seconds * float64(time.Second))
}

// apply books a step's work. Sessions that were cancelled meanwhile are skipped.
func (e *Engine) apply(p plan) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range p.decode {
		if e.sessions[s.req.Session] == s {
			s.tokens <- s.next // never blocks, the channel holds the whole output
			s.next++
			e.finishIfDone(s)
		}
	}
	for _, w := range p.prefill {
		if e.sessions[w.s.req.Session] == w.s {
			w.s.prefill -= w.tokens
			if w.s.prefill == 0 {
				e.prefilled(w.s)
			}
		}
	}
}

// prefilled stores the prefix, and the KV cache of an export. The caller holds mu.
func (e *Engine) prefilled(s *session) {
	e.cache.store(s.req.Prefix)
	if s.req.Export {
		s.handle = s.text.handle(s.req.Session, e.cfg.ID)
		e.kv[s.handle] = s.reserved // the memory moves from the session to the handle
		s.reserved = 0
	}
	e.finishIfDone(s)
}

func (e *Engine) finishIfDone(s *session) {
	if !s.closed && (s.req.Export || s.next > s.req.MaxOutputTokens) {
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
