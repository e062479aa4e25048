package entry

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/node/obs"
)

// spanRequest is the name of the span of a caller's request. Each step has a child span named after it. The
// trace context is not rewritten for backend servers, which get the caller's header unchanged.
const spanRequest = "request"

// startRequestSpan starts the span of a caller's request, as part of the caller's trace if the header names one. The returned
// context does not end when the caller closes its side of the connection, see watchCaller.
func (h *Host) startRequestSpan(q *request) (context.Context, trace.Span) {
	ctx := obs.FromHTTP(context.WithoutCancel(q.http.Context()), q.http.Header)
	return h.obs.Span(ctx, spanRequest, trace.SpanKindServer, attribute.String("request", q.call.ID))
}

// startStepSpan starts the span of a step. If server is empty, the step is internal to this host.
func (h *Host) startStepSpan(ctx context.Context, step string, server ident.BackendID) (context.Context, trace.Span) {
	if server == "" {
		return h.obs.Span(ctx, step, trace.SpanKindInternal)
	}
	return h.obs.Span(ctx, step, trace.SpanKindClient, attribute.String("server", string(server)))
}

// endSpan ends a span with the error of its step, or as successful if e is nil.
func endSpan(s trace.Span, e *outcome.Error) {
	if e == nil {
		obs.EndSpan(s, "")
		return
	}
	obs.EndSpan(s, string(e.Reason))
}

// endAttemptSpan ends the span of an attempt: with an error if the server gave no answer or refused the request.
func endAttemptSpan(s trace.Span, received *backendResponse, err error) {
	switch {
	case err != nil:
		obs.EndSpan(s, string(outcome.BackendLost))
	case received.reply.NotRun:
		obs.EndSpan(s, string(outcome.Overload))
	default:
		obs.EndSpan(s, "")
	}
}
