package dispatcher

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/rosemaryhill/rosemaryhill/core/backendapi"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/core/sched"
	"github.com/rosemaryhill/rosemaryhill/node/enginehttp"
	"github.com/rosemaryhill/rosemaryhill/node/obs"
)

const (
	// progressPeriod is the minimum time between two TokenProgress events of a session. The scheduler needs
	// at least one per second.
	progressPeriod = 200 * time.Millisecond
	// sessionGrace is how long the HTTP stream may outlive the deadline, so that the scheduler can cancel
	// the session before the stream is closed.
	sessionGrace = time.Second
)

// session is one POST /v1/sessions request and its response stream. One goroutine runs it.
type session struct {
	d      *Dispatcher
	a      *attempt
	send   sched.Send
	client *enginehttp.Client
	ctx    context.Context
	cancel context.CancelFunc
}

// send starts a session on an engine for a Send action.
func (l *loop) send(act sched.Send) {
	a := l.attempts[act.Attempt]
	client, known := l.engines.client(act.Engine)
	if a == nil || !known {
		l.d.pushResult(engineEvent{sched.EngineFailed{Session: act.Session, Kind: sched.NotSent}})
		return
	}
	a.setSession(act.Session)
	// Sent before the engine responds, so that the gateway doesn't mistake a slow engine for a lost
	// dispatcher.
	a.sendAccepted(act.Engine, 0)
	ctx := trace.ContextWithSpan(l.d.ctx, a.span)
	ctx, cancel := context.WithTimeout(ctx, act.Deadline-l.d.view.Now()+sessionGrace)
	s := &session{d: l.d, a: a, send: act, client: client, ctx: ctx, cancel: cancel}
	l.sessions[act.Session] = s
	l.d.sessions.Go(s.run)
}

// cancelSession closes the stream of a session and cancels the session at the engine.
func (l *loop) cancelSession(act sched.CancelSession) {
	if s := l.sessions[act.Session]; s != nil {
		s.cancel()
	}
	client, known := l.engines.client(act.Engine)
	if !known {
		l.d.pushResult(engineEvent{sched.CancelFailed{Session: act.Session}})
		return
	}
	l.d.calls.Go(func() {
		_, err := client.Cancel(l.d.callCtx, string(act.Session))
		if err != nil {
			l.d.log.WithFields(fields{"step": "engine_cancel", "peer": act.Engine, "error": err.Error()}).Warn("cancel failed")
			l.d.pushResult(engineEvent{sched.CancelFailed{Session: act.Session}})
			return
		}
		l.d.pushResult(engineEvent{sched.CancelAcked{Session: act.Session}})
	})
}

func (l *loop) releaseKV(act sched.ReleaseKV) {
	client, known := l.engines.client(act.Engine)
	if !known {
		l.d.pushResult(engineEvent{sched.KVReleaseFailed(act)})
		return
	}
	l.d.calls.Go(func() {
		if err := client.DeleteKV(l.d.callCtx, act.Handle); err != nil {
			l.d.pushResult(engineEvent{sched.KVReleaseFailed(act)})
			return
		}
		l.d.pushResult(engineEvent{sched.KVReleased(act)})
	})
}

// run runs the session and passes exactly one closing event to the scheduler.
func (s *session) run() {
	defer s.cancel()
	ctx, span := s.d.obs.Span(s.ctx, "engine", trace.SpanKindClient,
		attribute.String("engine", string(s.send.Engine)), attribute.String("session", string(s.send.Session)))
	ev, failure := s.stream(ctx)
	obs.EndSpan(span, failure)
	s.d.pushResult(loopCall{func(l *loop) {
		delete(l.sessions, s.send.Session)
		l.step(ev)
	}})
}

func (s *session) stream(ctx context.Context) (closing sched.Event, failure string) {
	remaining := s.send.Deadline - s.d.view.Now()
	if remaining <= 0 {
		return sched.EngineFailed{Session: s.send.Session, Kind: sched.NotSent}, "deadline passed before send"
	}
	st, err := s.client.Start(ctx, s.request(remaining))
	if err != nil {
		return s.failureEvent(err)
	}
	defer st.Close()
	s.d.pushResult(engineEvent{sched.EngineAccepted{Session: s.send.Session}})
	return s.forwardTokens(st)
}

// forwardTokens sends tokens to the gateway until the end line or a failure. It returns the closing event.
func (s *session) forwardTokens(st *enginehttp.Stream) (closing sched.Event, failure string) {
	var lastProgress time.Duration
	first := true
	for {
		line, err := st.Next()
		switch {
		case err != nil:
			return s.failureEvent(err)
		case line.End && !s.send.Export && !s.a.isComplete(s.send.Session, line.Count):
			return sched.EngineFailed{Session: s.send.Session, Kind: sched.Broken}, "token count in end line does not match tokens sent"
		case line.End:
			return sched.EngineEnded{Session: s.send.Session, Count: line.Count, KV: line.KV}, ""
		}
		switch s.a.sendToken(s.send.Session, line.N, line.Text) {
		case tokenGap:
			return sched.EngineFailed{Session: s.send.Session, Kind: sched.Broken}, "gap in token numbers"
		case tokenNotQueued:
			s.d.pushResult(tokenUnsent{s.a})
			<-s.ctx.Done()
			return sched.EngineFailed{Session: s.send.Session, Kind: sched.Broken}, "token not queued: link send ring full or link down"
		}
		now := s.d.view.Now()
		if first {
			s.d.pushResult(engineEvent{sched.FirstToken{Session: s.send.Session, Count: line.N}})
		} else if now-lastProgress >= progressPeriod {
			s.d.pushResult(engineEvent{sched.TokenProgress{Session: s.send.Session, Count: line.N}})
		} else {
			continue
		}
		first, lastProgress = false, now
	}
}

func (s *session) request(remaining time.Duration) backendapi.SessionRequest {
	prompt := promptPart(s.a.prompt, s.send.PromptFrom, s.send.PromptTo)
	return backendapi.SessionRequest{
		Session:         string(s.send.Session),
		Issuer:          string(s.d.host()),
		Incarnation:     s.d.view.Incarnation().String(),
		RemainingMS:     remaining.Milliseconds(),
		Prompt:          string(prompt),
		PromptTokens:    max(s.send.PromptTo-s.send.PromptFrom, ident.EstimateTokens(len(prompt))),
		MaxOutputTokens: s.send.MaxOutputTokens,
		Priority:        s.send.Priority,
		Prefix:          s.send.Prefix,
		ResumeFrom:      s.send.ResumeFrom,
		Import:          s.send.Import,
		Export:          s.send.Export,
	}
}

func (s *session) failureEvent(err error) (sched.Event, string) {
	e := outcome.From(err, "engine_stream", string(s.send.Engine))
	ev := sched.EngineFailed{Session: s.send.Session, Kind: failureKind(e), RetryAfter: e.RetryAfter}
	if ev.Kind == sched.RefusedLeaving {
		s.d.view.MarkBackendLeaving(string(s.send.Engine))
	}
	if !errors.Is(err, context.Canceled) {
		s.d.log.WithFields(fields{
			"step": e.Step, "peer": e.Peer, "reason": string(e.Reason), "session": string(s.send.Session), "error": err.Error(),
		}).Warn("engine session failed")
	}
	return ev, string(e.Reason)
}

// failureKind maps an error of the engine client to a kind of failure. NotRun is a refusal if the engine
// responded and otherwise means that no connection was established. With any other outcome the request
// may have reached the engine.
func failureKind(e *outcome.Error) sched.FailureKind {
	switch {
	case e.Kind != outcome.NotRun:
		return sched.Broken
	case e.Reason == outcome.Draining:
		return sched.RefusedLeaving
	case e.Reason == outcome.Overload || e.Reason == outcome.BadRequest:
		return sched.Refused
	default:
		return sched.NotSent
	}
}
