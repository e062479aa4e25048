package engine

import (
	"cmp"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/backendapi"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/standin/internal/control"
)

// maxOutputTokens bounds one session's output, because undelivered token numbers are buffered.
const maxOutputTokens = 100_000

// endCause says why a session ended before its end line.
type endCause int

const (
	endNone endCause = iota
	endCancelled
	endDied
)

type session struct {
	req      backendapi.SessionRequest
	text     digest // of the segments imported and of the prompt
	answer   Answer
	reserved int // tokens
	prefill  int // tokens still to prefill
	next     int // number of the next token to decode
	deadline time.Time

	tokens chan int      // numbers of decoded tokens; closed after the last one
	closed bool          // tokens is closed
	handle string        // of the exported KV cache, set before tokens is closed
	ended  chan struct{} // closed on endCause
	cause  endCause      // written before ended is closed
}

// end stops a session's stream. The caller holds the engine's mutex.
func (s *session) end(c endCause) {
	if s.cause == endNone {
		s.cause = c
		close(s.ended)
	}
}

var (
	errFull      = errors.New("out of memory")
	errDuplicate = errors.New("session exists")
	errRefusing  = errors.New("refused by fault switch")
	errLeaving   = errors.New("leaving")
)

func (e *Engine) serveSession(w http.ResponseWriter, r *http.Request) {
	var req backendapi.SessionRequest
	if !control.ReadJSON(w, r, &req) {
		return
	}
	s, err := newSession(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	switch err := e.admit(s); {
	case errors.Is(err, errDuplicate):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, errHandle):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, errLeaving):
		w.Header().Set("Retry-After", "1")
		control.WriteJSON(w, http.StatusServiceUnavailable, map[string]string{"state": "leaving"})
	case err != nil:
		control.Unavailable(w, err.Error())
	default:
		e.stream(w, r, s)
	}
}

func newSession(req backendapi.SessionRequest) (*session, error) {
	tokens := ident.EstimateTokens(len(req.Prompt))
	switch {
	case req.Session == "":
		return nil, errors.New("session is missing")
	case req.PromptTokens != 0 && req.PromptTokens < tokens:
		return nil, errors.New("prompt_tokens is below the estimate of bytes / 4")
	case req.MaxOutputTokens < 0 || req.MaxOutputTokens > maxOutputTokens:
		return nil, errors.New("max_output_tokens is out of range")
	case req.ResumeFrom < 0 || req.ResumeFrom > req.MaxOutputTokens:
		return nil, errors.New("resume_from is out of range")
	}
	tokens = max(tokens, req.PromptTokens)
	s := &session{
		req: req, reserved: tokens, prefill: tokens + req.ResumeFrom, next: req.ResumeFrom + 1,
		deadline: time.Now().Add(time.Duration(req.RemainingMS) * time.Millisecond),
		tokens:   make(chan int, req.MaxOutputTokens-req.ResumeFrom),
		ended:    make(chan struct{}),
	}
	own := digest{}.add(req.Prompt)
	if req.Export {
		s.text = own
		return s, nil
	}
	s.reserved += req.MaxOutputTokens
	for _, h := range req.Import {
		_, d, err := parseHandle(h)
		if err != nil {
			return nil, err
		}
		s.text = s.text.join(d)
	}
	s.text = s.text.join(own)
	s.answer = Answer{s.text}
	return s, nil
}

// admit reserves the session's memory and queues it.
func (e *Engine) admit(s *session) error {
	f, _ := e.Faults.Get()
	if f.Leaving {
		return errLeaving
	}
	if f.Refuse {
		return errRefusing
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sessions[s.req.Session] != nil {
		return errDuplicate
	}
	for _, h := range s.req.Import {
		if owner, _, _ := parseHandle(h); owner == e.cfg.ID && e.kv[h] == 0 {
			return errHandle
		}
	}
	if e.used+s.reserved > e.cfg.MemoryTokens {
		return errFull
	}
	e.used += s.reserved
	e.sessions[s.req.Session] = s
	if e.cache.hit(s.req.Prefix) {
		s.prefill -= min(s.prefill, e.cfg.PrefixTokens)
	}
	at, _ := slices.BinarySearchFunc(e.order, s, func(have, s *session) int {
		return cmp.Or(cmp.Compare(have.req.Priority, s.req.Priority), -1) // after its equals
	})
	e.order = slices.Insert(e.order, at, s)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return nil
}

// stream writes the session's lines until its end, its cancel or the loss of its client.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, s *session) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	out := &lineWriter{w: json.NewEncoder(w), flush: http.NewResponseController(w).Flush}
	_ = out.flush()
	for delivered := 0; ; delivered++ {
		if !e.awaitDelivery(r, s, delivered) {
			e.gone(w, r, s, out)
			return
		}
		select {
		case n, more := <-s.tokens:
			if !more {
				out.line(backendapi.StreamLine{End: true, Count: s.next - 1, KV: s.handle})
				e.mu.Lock()
				e.release(s)
				e.mu.Unlock()
				return
			}
			out.line(backendapi.StreamLine{N: n, Text: s.answer.Token(n)})
		case <-s.ended:
			e.gone(w, r, s, out)
			return
		case <-r.Context().Done():
			e.gone(w, r, s, out)
			return
		}
	}
}

// awaitDelivery waits while a fault holds the stream back; false means that the stream is over.
func (e *Engine) awaitDelivery(r *http.Request, s *session, delivered int) bool {
	for {
		f, changed := e.Faults.Get()
		if !f.HangBeforeFirst && (f.HangAfter == 0 || delivered < f.HangAfter) {
			return true
		}
		select {
		case <-changed:
		case <-s.ended:
			return false
		case <-r.Context().Done():
			return false
		}
	}
}

// gone ends a stream whose session was cancelled or died, or whose client went away.
func (e *Engine) gone(w http.ResponseWriter, r *http.Request, s *session, out *lineWriter) {
	e.mu.Lock()
	cause := s.cause
	if cause == endNone && e.cfg.ReleaseOnGone {
		e.release(s)
	}
	e.mu.Unlock()
	switch {
	case r.Context().Err() != nil:
	case cause == endDied:
		control.ResetConnection(w)
	case cause == endCancelled:
		out.line(backendapi.StreamLine{Error: "cancelled"})
	}
}

type lineWriter struct {
	w     *json.Encoder
	flush func() error
}

func (l *lineWriter) line(v backendapi.StreamLine) {
	_ = l.w.Encode(v)
	_ = l.flush()
}
