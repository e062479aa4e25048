package obs

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

const traceParentKey = "traceparent"

var propagator = propagation.TraceContext{}

// FromHTTP returns ctx with the trace context from the headers of an incoming request.
func FromHTTP(ctx context.Context, h http.Header) context.Context {
	return propagator.Extract(ctx, propagation.HeaderCarrier(h))
}

// ToHTTP writes the trace context to the headers of an outgoing request.
func ToHTTP(ctx context.Context, h http.Header) {
	propagator.Inject(ctx, propagation.HeaderCarrier(h))
}

// TraceParent returns the traceparent of ctx, or "" if ctx has no trace.
func TraceParent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return carrier[traceParentKey]
}

// FromTraceParent returns ctx with the trace context from the traceparent of a link message. A malformed
// value is ignored.
func FromTraceParent(ctx context.Context, parent string) context.Context {
	return propagator.Extract(ctx, propagation.MapCarrier{traceParentKey: parent})
}

// Span starts a span.
func (o *Obs) Span(ctx context.Context, name string, kind trace.SpanKind, attrs ...attribute.KeyValue) (context.Context, trace.Span) {
	return o.Tracer.Start(ctx, name, trace.WithSpanKind(kind), trace.WithAttributes(attrs...))
}

// EndSpan ends a span. A non-empty failure sets its status to error.
func EndSpan(s trace.Span, failure string) {
	if failure != "" {
		s.SetStatus(codes.Error, failure)
	}
	s.End()
}
