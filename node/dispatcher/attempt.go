package dispatcher

import (
	"sync"
	"time"
	"unicode/utf8"

	"go.opentelemetry.io/otel/trace"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/core/sched"
	"github.com/rosemaryhill/rosemaryhill/transport/link"
	"github.com/rosemaryhill/rosemaryhill/transport/wire"
)

// attempt is one attempt to serve a request, from its Submit frame to its End frame. It is shared by the
// loop and the goroutine of its current session.
type attempt struct {
	id       sched.AttemptID
	peer     *link.Peer
	submit   *wire.Submit
	prompt   []byte
	deadline time.Duration // on the clock of View.Now
	span     trace.Span

	mu       sync.Mutex
	session  sched.SessionID // the only session whose tokens are forwarded
	lastSent int             // number of the last token sent to the gateway
	ended    bool
}

// setSession makes s the current session. Tokens of all other sessions are dropped from then on.
func (a *attempt) setSession(s sched.SessionID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.session = s
}

// tokenResult is the result of sendToken.
type tokenResult uint8

const (
	tokenSent      tokenResult = iota
	tokenStale                 // from an earlier session or after the end; ignored
	tokenGap                   // a token was lost between engine and dispatcher
	tokenNotQueued             // the link's send ring is full or the link is down
)

// sendToken sends token n of a session to the gateway.
func (a *attempt) sendToken(s sched.SessionID, n int, text string) tokenResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.ended || s != a.session || n <= a.lastSent:
		return tokenStale
	case n > a.lastSent+1:
		return tokenGap
	}
	if err := a.peer.Send(&wire.Token{Attempt: a.id.Number, N: n, Text: text}); err != nil {
		return tokenNotQueued
	}
	a.lastSent = n
	return tokenSent
}

// isComplete reports whether the token count in the end line of a session equals the number of the last token
// sent. Without this check, an answer that lost its last tokens would be reported as complete.
func (a *attempt) isComplete(s sched.SessionID, count int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return s == a.session && count == a.lastSent
}

// sendAccepted tells the gateway that the attempt is queued or was sent to an engine.
func (a *attempt) sendAccepted(engine ident.BackendID, position int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	// The error is ignored: a lost Accepted frame only delays the gateway's decision.
	_ = a.peer.Send(&wire.Accepted{Attempt: a.id.Number, Engine: string(engine), Position: position})
}

// end marks the attempt as ended and returns its End frame. The caller must either deliver the frame to the
// gateway or close the link. ok is false if the attempt had already ended.
func (a *attempt) end(k outcome.Kind, r outcome.Reason, retryAfter time.Duration, step, peer string) (frame *wire.End, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return nil, false
	}
	a.ended = true
	return &wire.End{
		Attempt:      a.id.Number,
		Count:        a.lastSent,
		Outcome:      uint8(k),
		Reason:       string(r),
		RetryAfterMS: retryAfter.Milliseconds(),
		Step:         step,
		Peer:         peer,
	}, true
}

// promptPart returns the bytes of the prompt tokens in [from, to). Both ends are moved to a character
// boundary, because a JSON string can't hold part of a character. They move by the same rule, so adjacent
// parts join without loss or overlap.
func promptPart(prompt []byte, from, to int) []byte {
	return prompt[runeBoundary(prompt, from):runeBoundary(prompt, to)]
}

func runeBoundary(prompt []byte, token int) int {
	i := token * ident.BytesPerToken
	if i >= len(prompt) {
		return len(prompt)
	}
	for i > 0 && !utf8.RuneStart(prompt[i]) {
		i--
	}
	return i
}
