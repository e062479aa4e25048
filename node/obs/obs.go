// Package obs provides the logs, metrics and traces of a process. Each log event is one line of key=value
// pairs. Metrics are OpenTelemetry instruments exported in the Prometheus format. Traces have one span per
// hop; links propagate the trace context as a W3C traceparent.
package obs

import (
	"context"
	"io"
	"log"
	"net/http"
	"net/url"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	promexporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// Error is the class of all errors returned by this package.
var Error = errs.Class("obs")

// Config holds the resource attributes and the outputs of the logs, metrics and traces.
type Config struct {
	HostID   string
	Role     string
	Zone     string
	LogLevel string    // "debug", "info", "warn" or "error"
	LogTo    io.Writer // nil discards the log
	// LogAside writes the log in a goroutine of its own and drops lines that its reader is too slow for. Without it, each line
	// is written before the call that logs it returns.
	LogAside bool
	// Exporter is the trace exporter: "none", "stdout" or "otlp". An empty string means "none".
	Exporter    string
	OTLPURL     string
	TraceTo     io.Writer // for exporter "stdout"
	SampleRatio float64
}

// Obs holds the logger, meter and tracer of one role. It uses no global state, so several roles can run in
// one process.
type Obs struct {
	Log    *logrus.Entry
	Meter  metric.Meter
	Tracer trace.Tracer

	logs     *logWriter // nil if lines are written at once
	registry *prometheus.Registry
	meters   *sdkmetric.MeterProvider
	traces   *sdktrace.TracerProvider
}

// New creates the logger, meter and tracer. Call Shutdown to flush traces.
func New(cfg Config) (*Obs, error) {
	entry, logs, err := newLog(cfg)
	if err != nil {
		return nil, err
	}
	res := resource.NewSchemaless(
		attribute.String("service.name", "rosemaryhill-"+cfg.Role),
		attribute.String("service.instance.id", cfg.HostID+"/"+cfg.Role),
		attribute.String("availability_zone", cfg.Zone),
	)
	registry := prometheus.NewRegistry()
	reader, err := promexporter.New(promexporter.WithRegisterer(registry), promexporter.WithoutScopeInfo())
	if err != nil {
		return nil, Error.New("prometheus exporter: %w", err)
	}
	meters := sdkmetric.NewMeterProvider(sdkmetric.WithReader(reader), sdkmetric.WithResource(res))
	traces, err := newTraces(cfg, res)
	if err != nil {
		return nil, err
	}
	const scope = "github.com/rosemaryhill/rosemaryhill/node"
	o := &Obs{
		Log:      entry,
		logs:     logs,
		Meter:    meters.Meter(scope),
		Tracer:   traces.Tracer(scope),
		registry: registry,
		meters:   meters,
		traces:   traces,
	}
	if logs != nil {
		o.Gauge("rosemaryhill_log_lines_dropped", "log lines that found no room since the start, as the reader of the log was too slow",
			func() float64 { return float64(logs.Dropped()) })
	}
	return o, nil
}

// StdLog returns a standard library logger that writes to Log, for libraries that require one.
func (o *Obs) StdLog() *log.Logger { return log.New(lineWriter{o.Log}, "", 0) }

type lineWriter struct{ log *logrus.Entry }

// Write implements io.Writer. The standard logger calls it once per line.
func (w lineWriter) Write(p []byte) (int, error) {
	w.log.WithField("error", strings.TrimSpace(string(p))).Warn("library")
	return len(p), nil
}

// MetricsHandler returns the handler of the Prometheus metrics endpoint.
func (o *Obs) MetricsHandler() http.Handler {
	return promhttp.HandlerFor(o.registry, promhttp.HandlerOpts{})
}

// FlushLog waits until the lines of the log are written or the context ends.
func (o *Obs) FlushLog(ctx context.Context) {
	if o.logs != nil {
		o.logs.flush(ctx)
	}
}

// Shutdown writes the lines of the log that wait, flushes traces and stops the trace and meter providers.
func (o *Obs) Shutdown(ctx context.Context) error {
	o.FlushLog(ctx)
	return errs.Combine(o.traces.Shutdown(ctx), o.meters.Shutdown(ctx))
}

func newLog(cfg Config) (*logrus.Entry, *logWriter, error) {
	level, err := logrus.ParseLevel(cfg.LogLevel)
	if err != nil {
		return nil, nil, Error.New("log level: %w", err)
	}
	l := logrus.New()
	l.SetLevel(level)
	text := &logrus.TextFormatter{
		DisableColors:   true,
		FullTimestamp:   true,
		TimestampFormat: "2006-01-02T15:04:05.000Z07:00",
	}
	l.SetFormatter(text)
	l.SetOutput(io.Discard)
	var aside *logWriter
	switch {
	case cfg.LogTo != nil && cfg.LogAside:
		aside = newLogWriter(cfg.LogTo, text)
		l.SetFormatter(aside)
	case cfg.LogTo != nil:
		l.SetOutput(cfg.LogTo)
	}
	return l.WithFields(logrus.Fields{"host": cfg.HostID, "role": cfg.Role}), aside, nil
}

func newTraces(cfg Config, res *resource.Resource) (*sdktrace.TracerProvider, error) {
	options := []sdktrace.TracerProviderOption{
		sdktrace.WithResource(res),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(cfg.SampleRatio))),
	}
	switch cfg.Exporter {
	case "", "none":
		// Spans are created even without an exporter, so that the caller's trace ID is propagated.
	case "stdout":
		e, err := stdouttrace.New(stdouttrace.WithWriter(cfg.TraceTo))
		if err != nil {
			return nil, Error.New("stdout trace exporter: %w", err)
		}
		options = append(options, sdktrace.WithBatcher(e))
	case "otlp":
		e, err := otlpExporter(cfg.OTLPURL)
		if err != nil {
			return nil, err
		}
		options = append(options, sdktrace.WithBatcher(e))
	default:
		return nil, Error.New("trace exporter %q; valid: none, stdout, otlp", cfg.Exporter)
	}
	return sdktrace.NewTracerProvider(options...), nil
}

func otlpExporter(collector string) (sdktrace.SpanExporter, error) {
	full, err := url.JoinPath(collector, "/v1/traces")
	if err != nil {
		return nil, Error.New("otlp url %q: %w", collector, err)
	}
	e, err := otlptracehttp.New(context.Background(), otlptracehttp.WithEndpointURL(full))
	if err != nil {
		return nil, Error.New("otlp exporter to %s: %w", full, err)
	}
	return e, nil
}
