package obs

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// latencyBounds are histogram bucket bounds in seconds. They are densest around the targets of 29 ms
// between tokens and 0.92 s to the first token.
var latencyBounds = []float64{
	.001, .005, .01, .02, .029, .05, .1, .2, .3, .5, .7, .92, 1.2, 2, 5, 10, 30, 60, 300, 1200, 3600,
}

// Counter is a counter metric with one label. Label values must come from a small fixed set: 18,000 team
// names as label values would exceed the memory budget of a process.
type Counter struct {
	c     metric.Int64Counter
	label string
}

// Counter creates a counter. The Prometheus exporter appends "_total" to its name.
func (o *Obs) Counter(name, label, description string) Counter {
	c, err := o.Meter.Int64Counter(name, metric.WithDescription(description))
	if err != nil {
		o.Log.WithError(err).WithField("name", name).Error("metric not created")
	}
	return Counter{c: c, label: label}
}

// Add adds n under the label value.
func (c Counter) Add(n int64, value string) {
	c.c.Add(context.Background(), n, metric.WithAttributes(attribute.String(c.label, value)))
}

// Latency is a histogram of durations in seconds with one label.
type Latency struct {
	h     metric.Float64Histogram
	label string
}

// Latency creates a histogram of durations in seconds.
func (o *Obs) Latency(name, label, description string) Latency {
	h, err := o.Meter.Float64Histogram(name, metric.WithDescription(description), metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(latencyBounds...))
	if err != nil {
		o.Log.WithError(err).WithField("name", name).Error("metric not created")
	}
	return Latency{h: h, label: label}
}

// Record adds one duration under the label value.
func (l Latency) Record(d time.Duration, value string) {
	l.h.Record(context.Background(), d.Seconds(), metric.WithAttributes(attribute.String(l.label, value)))
}

// Gauge registers a value that is read at each scrape.
func (o *Obs) Gauge(name, description string, read func() float64) {
	_, err := o.Meter.Float64ObservableGauge(name, metric.WithDescription(description),
		metric.WithFloat64Callback(func(_ context.Context, out metric.Float64Observer) error {
			out.Observe(read())
			return nil
		}))
	if err != nil {
		o.Log.WithError(err).WithField("name", name).Error("metric not created")
	}
}

// GaugeVec registers values that are read at each scrape, each with a value for every label. read calls observe once for each
// combination of label values.
func (o *Obs) GaugeVec(name, description string, labels []string, read func(observe func(value float64, labels ...string))) {
	_, err := o.Meter.Float64ObservableGauge(name, metric.WithDescription(description),
		metric.WithFloat64Callback(func(_ context.Context, to metric.Float64Observer) error {
			read(func(value float64, values ...string) {
				attrs := make([]attribute.KeyValue, len(labels))
				for i, label := range labels {
					attrs[i] = attribute.String(label, values[i])
				}
				to.Observe(value, metric.WithAttributes(attrs...))
			})
			return nil
		}))
	if err != nil {
		o.Log.WithError(err).WithField("name", name).Error("metric not created")
	}
}
