package dispatcher

import (
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/core/sched"
	"github.com/rosemaryhill/rosemaryhill/node/obs"
	"github.com/rosemaryhill/rosemaryhill/transport/link"
	"github.com/rosemaryhill/rosemaryhill/transport/wire"
)

const (
	// MaxPromptBytes is the largest prompt that the public API accepts.
	MaxPromptBytes = 4_000_000
	// maxPartialPrompts bounds the incompletely received prompts per link.
	maxPartialPrompts = 1024
)

// intake handles link messages: it assembles prompts from chunks and queues complete attempts for the loop.
type intake struct {
	d         *Dispatcher
	heldBytes atomic.Int64 // prompt bytes of attempts that have not ended

	mu    sync.Mutex
	links map[*link.Peer]*partialPrompts
}

// partialPrompts holds the incompletely received prompts of one link. Only that link's goroutine uses it.
type partialPrompts struct{ byNumber map[uint64]*partialPrompt }

type partialPrompt struct {
	submit   *wire.Submit
	received time.Duration // earliest possible arrival of submit, on the clock of View.Now
	prompt   []byte
	next     int // index of the next expected chunk
}

// OnUp implements link.Handler.
func (in *intake) OnUp(p *link.Peer) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.links[p] = &partialPrompts{byNumber: map[uint64]*partialPrompt{}}
	in.d.log.WithFields(fields{"peer": p.String(), "incarnation": p.Incarnation().String()}).Info("link up")
}

// OnDown implements link.Handler. It cancels all attempts of the gateway, because nothing can receive their
// answers.
func (in *intake) OnDown(p *link.Peer, err error) {
	in.mu.Lock()
	lost := in.links[p]
	delete(in.links, p)
	in.mu.Unlock()
	if lost != nil {
		for _, part := range lost.byNumber {
			in.releaseBytes(len(part.prompt))
		}
	}
	in.d.log.WithFields(fields{"peer": p.String(), "error": err.Error()}).Info("link down")
	in.d.pushResult(linkLost{peer: p})
}

// OnMessage implements link.Handler.
func (in *intake) OnMessage(p *link.Peer, m wire.Message) {
	in.mu.Lock()
	parts := in.links[p]
	in.mu.Unlock()
	if parts == nil {
		return
	}
	switch m := m.(type) {
	case *wire.Submit:
		in.submit(p, parts, m)
	case *wire.Chunk:
		in.chunk(p, parts, m)
	case *wire.Cancel:
		in.cancel(p, parts, m)
	}
}

func (in *intake) submit(p *link.Peer, parts *partialPrompts, m *wire.Submit) {
	refuse := func(r outcome.Reason) { in.refuse(p, m.Attempt, r) }
	switch {
	case m.Chunks < 1 || m.Chunks > MaxPromptBytes/wire.MaxChunk+1 || m.MaxOutputTokens < 1 || m.ResumeFrom < 0:
		refuse(outcome.BadRequest)
	case len(parts.byNumber) >= maxPartialPrompts:
		refuse(outcome.Overload)
	default:
		parts.byNumber[m.Attempt] = &partialPrompt{submit: m, received: in.d.view.ReceivedAt()}
	}
}

func (in *intake) chunk(p *link.Peer, parts *partialPrompts, m *wire.Chunk) {
	part := parts.byNumber[m.Attempt]
	if part == nil {
		return // already refused or cancelled
	}
	drop := func(r outcome.Reason) {
		delete(parts.byNumber, m.Attempt)
		in.releaseBytes(len(part.prompt))
		in.refuse(p, m.Attempt, r)
	}
	switch {
	case m.Index != part.next || len(part.prompt)+len(m.Data) > MaxPromptBytes:
		drop(outcome.BadRequest)
		return
	case !in.reserveBytes(len(m.Data)):
		drop(outcome.Overload)
		return
	}
	part.prompt = append(part.prompt, m.Data...)
	part.next++
	if part.next < part.submit.Chunks {
		return
	}
	delete(parts.byNumber, m.Attempt)
	in.enqueue(p, part)
}

// enqueue queues a completely received attempt for the loop.
func (in *intake) enqueue(p *link.Peer, part *partialPrompt) {
	m := part.submit
	id := sched.AttemptID{Gateway: p.Host(), Incarnation: p.Incarnation(), Number: m.Attempt}
	ctx := obs.FromTraceParent(in.d.ctx, m.TraceParent)
	_, span := in.d.obs.Span(ctx, "dispatch", trace.SpanKindServer,
		attribute.String("request", m.Request), attribute.String("peer", p.String()))
	a := &attempt{
		id:       id,
		peer:     p,
		submit:   m,
		prompt:   part.prompt,
		deadline: part.received + time.Duration(m.RemainingMS)*time.Millisecond,
		span:     span,
		lastSent: m.ResumeFrom,
	}
	if !in.d.requests.Push(a) {
		obs.EndSpan(span, "request ring full")
		in.releaseBytes(len(part.prompt))
		in.refuse(p, m.Attempt, outcome.Overload)
	}
}

func (in *intake) cancel(p *link.Peer, parts *partialPrompts, m *wire.Cancel) {
	if part := parts.byNumber[m.Attempt]; part != nil {
		delete(parts.byNumber, m.Attempt)
		in.releaseBytes(len(part.prompt))
		return
	}
	in.d.pushResult(cancelled{sched.AttemptID{Gateway: p.Host(), Incarnation: p.Incarnation(), Number: m.Attempt}})
}

// refuse queues the End frame of an attempt that was not passed to the loop.
func (in *intake) refuse(p *link.Peer, number uint64, r outcome.Reason) {
	in.d.attemptsRefused.Add(1, string(r))
	in.d.pushResult(pendingEnd{p, &wire.End{
		Attempt:      number,
		Outcome:      uint8(outcome.NotRun),
		Reason:       string(r),
		RetryAfterMS: refusalRetry.Milliseconds(),
		Step:         "dispatcher_intake",
		Peer:         string(in.d.host()),
	}})
}

// refusalRetry is the retry-after of refusals due to the load or the state of this process.
const refusalRetry = time.Second

// reserveBytes adds n to the prompt bytes held, or returns false if that would exceed the limit.
func (in *intake) reserveBytes(n int) bool {
	if in.heldBytes.Add(int64(n)) > in.d.cfg.Settings.Dispatcher.MaxPromptBytesHeld {
		in.heldBytes.Add(-int64(n))
		return false
	}
	return true
}

func (in *intake) releaseBytes(n int) { in.heldBytes.Add(-int64(n)) }

// submitEvent returns the scheduler event for a completely received attempt.
func (a *attempt) submitEvent() sched.Submit {
	return sched.Submit{
		Attempt:         a.id,
		Team:            ident.Team(a.submit.Team),
		Model:           ident.Model(a.submit.Model),
		Class:           ident.Class(a.submit.Class),
		PromptTokens:    ident.EstimateTokens(len(a.prompt)),
		MaxOutputTokens: a.submit.MaxOutputTokens,
		Deadline:        a.deadline,
		ResumeFrom:      a.submit.ResumeFrom,
		Prefix:          sched.PrefixKey(a.prompt),
	}
}
