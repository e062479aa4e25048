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
	// MaxPromptBytes is the largest prompt of the caller interface.
	MaxPromptBytes = 4_000_000
	// maxPartials bounds the prompts in transit on one link.
	maxPartials = 1024
)

// intake is the link handler: it puts prompts together and feeds the loop.
type intake struct {
	d    *Dispatcher
	held atomic.Int64 // prompt bytes of attempts that have not ended

	mu    sync.Mutex
	links map[*link.Peer]*partials
}

// partials are the prompts in transit on one link, used by that link's goroutine only.
type partials struct{ byNumber map[uint64]*partial }

type partial struct {
	submit   *wire.Submit
	received time.Duration
	prompt   []byte
	next     int
}

// OnUp implements link.Handler.
func (in *intake) OnUp(p *link.Peer) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.links[p] = &partials{byNumber: map[uint64]*partial{}}
	in.d.log.WithFields(fields{"peer": p.String(), "incarnation": p.Incarnation().String()}).Info("link up")
}

// OnDown implements link.Handler. All work of the gateway is cancelled, because nobody reads it.
func (in *intake) OnDown(p *link.Peer, err error) {
	in.mu.Lock()
	lost := in.links[p]
	delete(in.links, p)
	in.mu.Unlock()
	if lost != nil {
		for _, part := range lost.byNumber {
			in.release(len(part.prompt))
		}
	}
	in.d.log.WithFields(fields{"peer": p.String(), "error": err.Error()}).Info("link down")
	in.d.put(linkLost{peer: p})
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

func (in *intake) submit(p *link.Peer, parts *partials, m *wire.Submit) {
	refuse := func(r outcome.Reason) { in.refuse(p, m.Attempt, r) }
	switch {
	case m.Chunks < 1 || m.Chunks > MaxPromptBytes/wire.MaxChunk+1 || m.MaxOutputTokens < 1 || m.ResumeFrom < 0:
		refuse(outcome.BadRequest)
	case len(parts.byNumber) >= maxPartials:
		refuse(outcome.Overload)
	default:
		parts.byNumber[m.Attempt] = &partial{submit: m, received: in.d.view.ReceivedAt()}
	}
}

func (in *intake) chunk(p *link.Peer, parts *partials, m *wire.Chunk) {
	part := parts.byNumber[m.Attempt]
	if part == nil {
		return // refused or cancelled before
	}
	drop := func(r outcome.Reason) {
		delete(parts.byNumber, m.Attempt)
		in.release(len(part.prompt))
		in.refuse(p, m.Attempt, r)
	}
	switch {
	case m.Index != part.next || len(part.prompt)+len(m.Data) > MaxPromptBytes:
		drop(outcome.BadRequest)
		return
	case !in.hold(len(m.Data)):
		drop(outcome.Overload)
		return
	}
	part.prompt = append(part.prompt, m.Data...)
	part.next++
	if part.next < part.submit.Chunks {
		return
	}
	delete(parts.byNumber, m.Attempt)
	in.complete(p, part)
}

// complete hands a whole prompt to the loop.
func (in *intake) complete(p *link.Peer, part *partial) {
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
		last:     m.ResumeFrom,
	}
	if !in.d.requests.Push(a) {
		obs.EndSpan(span, "ring full")
		in.release(len(part.prompt))
		in.refuse(p, m.Attempt, outcome.Overload)
	}
}

func (in *intake) cancel(p *link.Peer, parts *partials, m *wire.Cancel) {
	if part := parts.byNumber[m.Attempt]; part != nil {
		delete(parts.byNumber, m.Attempt)
		in.release(len(part.prompt))
		return
	}
	in.d.put(cancelled{sched.AttemptID{Gateway: p.Host(), Incarnation: p.Incarnation(), Number: m.Attempt}})
}

// refuse ends an attempt that never reached the loop.
func (in *intake) refuse(p *link.Peer, number uint64, r outcome.Reason) {
	in.d.refused.Add(1, string(r))
	in.d.put(pendingEnd{p, &wire.End{
		Attempt:      number,
		Outcome:      uint8(outcome.NotRun),
		Reason:       string(r),
		RetryAfterMS: refusalRetry.Milliseconds(),
		Step:         "dispatcher_intake",
		Peer:         string(in.d.host()),
	}})
}

// refusalRetry is the retry-after of refusals that depend on load of this process.
const refusalRetry = time.Second

func (in *intake) hold(n int) bool {
	if in.held.Add(int64(n)) > in.d.cfg.Settings.Dispatcher.MaxPromptBytesHeld {
		in.held.Add(-int64(n))
		return false
	}
	return true
}

func (in *intake) release(n int) { in.held.Add(-int64(n)) }

// event turns a complete attempt into the scheduler's event.
func (a *attempt) event() sched.Submit {
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
