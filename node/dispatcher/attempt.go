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

// attempt is one try of one request, from its Submit to its End. The loop and the goroutine of its
// current session share it.
type attempt struct {
	id       sched.AttemptID
	peer     *link.Peer
	submit   *wire.Submit
	prompt   []byte
	deadline time.Duration
	span     trace.Span

	mu      sync.Mutex
	session sched.SessionID // the only session whose tokens pass
	last    int             // number of the last token sent to the gateway
	ended   bool
}

// use makes the session the current one. Tokens of all other sessions are dropped from now on.
func (a *attempt) use(s sched.SessionID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.session = s
}

// tokenResult says what became of a token.
type tokenResult uint8

const (
	tokenSent   tokenResult = iota
	tokenStale              // of an old session or after the end: drop
	tokenGap                // a token was lost between engine and dispatcher
	tokenNoRoom             // the outbound ring is full or the link is down
)

// token passes token n of a session to the gateway.
func (a *attempt) token(s sched.SessionID, n int, text string) tokenResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.ended || s != a.session || n <= a.last:
		return tokenStale
	case n > a.last+1:
		return tokenGap
	}
	if err := a.peer.Send(&wire.Token{Attempt: a.id.Number, N: n, Text: text}); err != nil {
		return tokenNoRoom
	}
	a.last = n
	return tokenSent
}

// whole tells whether the end line of a session names the last token that was passed on. Without this
// an answer whose last tokens were lost would pass for whole.
func (a *attempt) whole(s sched.SessionID, count int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return s == a.session && count == a.last
}

// accepted tells the gateway that the attempt waits or was sent.
func (a *attempt) accepted(engine ident.BackendID, position int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	// A lost Accepted only delays the gateway's decision, so an error needs no handling.
	_ = a.peer.Send(&wire.Accepted{Attempt: a.id.Number, Engine: string(engine), Position: position})
}

// end closes the attempt. The returned frame must reach the gateway, or the link must go down; ok is
// false when the attempt had ended before.
func (a *attempt) end(k outcome.Kind, r outcome.Reason, retryAfter time.Duration, step, peer string) (frame *wire.End, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return nil, false
	}
	a.ended = true
	return &wire.End{
		Attempt:      a.id.Number,
		Count:        a.last,
		Outcome:      uint8(k),
		Reason:       string(r),
		RetryAfterMS: retryAfter.Milliseconds(),
		Step:         step,
		Peer:         peer,
	}, true
}

// promptPart returns the bytes of prompt tokens from up to to. It cuts between characters, because a
// JSON string can't carry half of one; both ends move in the same way, so parts join without loss.
func promptPart(prompt []byte, from, to int) []byte {
	return prompt[cutAt(prompt, from):cutAt(prompt, to)]
}

func cutAt(prompt []byte, token int) int {
	i := token * ident.BytesPerToken
	if i >= len(prompt) {
		return len(prompt)
	}
	for i > 0 && !utf8.RuneStart(prompt[i]) {
		i--
	}
	return i
}
