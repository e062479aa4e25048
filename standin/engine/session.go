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

// maxOutputTokens limits the output of one session, because undelivered token numbers are buffered.
const maxOutputTokens = 100_000

// abortCause is the reason why a session ended before its end line.
type abortCause int

const (
	abortNone abortCause = iota
	abortCancelled
	abortCrashed
)

type session struct {
	req            backendapi.SessionRequest
	digest         digest // of the imported segments and the prompt
	answer         Answer
	reservedTokens int
	pendingPrefill int // tokens left to prefill
	nextToken      int // number of the next token to decode, starting at 1
	deadline       time.Time

	tokens  chan int      // numbers of decoded tokens; closed after the last one
	closed  bool          // tokens is closed
	handle  string        // of the exported KV cache, set before tokens is closed
	aborted chan struct{} // closed when the session is aborted
	cause   abortCause    // set before aborted is closed
}

// abort stops the stream of the session. The caller must hold the engine's mutex.
func (s *session) abort(c abortCause) {
	if s.cause == abortNone {
		s.cause = c
		close(s.aborted)
	}
}

var (
	errOutOfMemory = errors.New("out of memory")
	errDuplicate   = errors.New("session exists")
	errRefused     = errors.New("refused by fault switch")
	errLeaving     = errors.New("leaving")
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
	case errors.Is(err, errInvalidHandle):
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
		req: req, reservedTokens: tokens, pendingPrefill: tokens + req.ResumeFrom, nextToken: req.ResumeFrom + 1,
		deadline: time.Now().Add(time.Duration(req.RemainingMS) * time.Millisecond),
		tokens:   make(chan int, req.MaxOutputTokens-req.ResumeFrom),
		aborted:  make(chan struct{}),
	}
	promptDigest := digest{}.add(req.Prompt)
	if req.Export {
		s.digest = promptDigest
		return s, nil
	}
	s.reservedTokens += req.MaxOutputTokens
	for _, h := range req.Import {
		_, d, err := parseHandle(h)
		if err != nil {
			return nil, err
		}
		s.digest = s.digest.concat(d)
	}
	s.digest = s.digest.concat(promptDigest)
	s.answer = Answer{s.digest}
	return s, nil
}

// admit reserves memory for the session and queues it.
func (e *Engine) admit(s *session) error {
	f, _ := e.Faults.Get()
	if f.Leaving {
		return errLeaving
	}
	if f.Refuse {
		return errRefused
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sessions[s.req.Session] != nil {
		return errDuplicate
	}
	for _, h := range s.req.Import {
		if owner, _, _ := parseHandle(h); owner == e.cfg.ID && e.exportedKV[h] == 0 {
			return errInvalidHandle
		}
	}
	if e.usedTokens+s.reservedTokens > e.cfg.MemoryTokens {
		return errOutOfMemory
	}
	e.usedTokens += s.reservedTokens
	e.sessions[s.req.Session] = s
	if e.cache.hit(s.req.Prefix) {
		s.pendingPrefill -= min(s.pendingPrefill, e.cfg.PrefixTokens)
	}
	at, _ := slices.BinarySearchFunc(e.queue, s, func(have, s *session) int {
		return cmp.Or(cmp.Compare(have.req.Priority, s.req.Priority), -1) // behind sessions of equal priority
	})
	e.queue = slices.Insert(e.queue, at, s)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return nil
}

// stream writes the lines of the session until it ends or is aborted, or its client disconnects.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, s *session) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	out := &lineWriter{w: json.NewEncoder(w), flush: http.NewResponseController(w).Flush}
	_ = out.flush()
	for delivered := 0; ; delivered++ {
		if !e.awaitDelivery(r, s, delivered) {
			e.endStream(w, r, s, out)
			return
		}
		select {
		case n, more := <-s.tokens:
			if !more {
				end := backendapi.StreamLine{End: true, Count: s.nextToken - 1, KV: s.handle}
				// Released before the end is written, so that a client that has read it finds the memory free.
				e.mu.Lock()
				e.release(s)
				e.mu.Unlock()
				out.write(end)
				return
			}
			out.write(backendapi.StreamLine{N: n, Text: s.answer.Token(n)})
		case <-s.aborted:
			e.endStream(w, r, s, out)
			return
		case <-r.Context().Done():
			e.endStream(w, r, s, out)
			return
		}
	}
}

// awaitDelivery waits while an injected fault blocks the stream. It returns false if the session was
// aborted or the client disconnected.
func (e *Engine) awaitDelivery(r *http.Request, s *session, delivered int) bool {
	for {
		f, changed := e.Faults.Get()
		if !f.HangBeforeFirst && (f.HangAfter == 0 || delivered < f.HangAfter) {
			return true
		}
		select {
		case <-changed:
		case <-s.aborted:
			return false
		case <-r.Context().Done():
			return false
		}
	}
}

// endStream ends a stream whose session was aborted or whose client disconnected.
func (e *Engine) endStream(w http.ResponseWriter, r *http.Request, s *session, out *lineWriter) {
	e.mu.Lock()
	cause := s.cause
	if cause == abortNone && e.cfg.ReleaseOnGone {
		e.release(s)
	}
	e.mu.Unlock()
	switch {
	case r.Context().Err() != nil:
	case cause == abortCrashed:
		control.ResetConnection(w)
	case cause == abortCancelled:
		out.write(backendapi.StreamLine{Error: "cancelled"})
	}
}

type lineWriter struct {
	w     *json.Encoder
	flush func() error
}

func (l *lineWriter) write(v backendapi.StreamLine) {
	_ = l.w.Encode(v)
	_ = l.flush()
}
