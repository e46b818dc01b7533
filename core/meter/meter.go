// Package meter records metrics with OpenTelemetry and exposes them to Prometheus.
package meter

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"

	"flamingodrift.example/core/reason"
)

// maxScrapes bounds the memory of responses that clients do not read.
const maxScrapes = 32

// Meter holds the metrics of one program.
type Meter struct {
	registry *prometheus.Registry
	meter    metric.Meter
	refusals metric.Int64Counter
	retries  metric.Int64Counter
	outcomes metric.Int64Counter
	calls    metric.Float64Histogram
	starts   metric.Float64Histogram
	jobs     metric.Float64Histogram
	runs     metric.Int64Counter
	runTimes metric.Float64Histogram
	// clientRefusals counts clients that exceeded a limit of the process.
	clientRefusals metric.Int64Counter
}

// New returns a Meter for the named program.
func New(program string) (*Meter, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry))
	if err != nil {
		return nil, fmt.Errorf("create metrics exporter: %w", err)
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	m := &Meter{registry: registry, meter: provider.Meter("flamingodrift/" + program)}
	counters := []struct {
		counter *metric.Int64Counter
		name    string
		text    string
	}{
		{&m.refusals, "flamingodrift_refusals", "Refused requests and changes by reason."},
		{&m.retries, "flamingodrift_retries", "Retried requests by reason."},
		{&m.outcomes, "flamingodrift_outcomes", "Callers' requests by outcome."},
		{&m.runs, "flamingodrift_runs", "Runs of submitted jobs by how they ended."},
		{&m.clientRefusals, "flamingodrift_client_refusals", "Requests and connections refused at a limit of the process."},
	}
	for _, c := range counters {
		if *c.counter, err = m.meter.Int64Counter(c.name, metric.WithDescription(c.text)); err != nil {
			return nil, fmt.Errorf("create counter %s: %w", c.name, err)
		}
	}
	histograms := []struct {
		histogram *metric.Float64Histogram
		name      string
		text      string
	}{
		{&m.calls, "flamingodrift_call", "How long calls about queues took, by method and status."},
		{&m.starts, "flamingodrift_job_start", "From the acceptance of a submitted job to its first run, by queue."},
		{&m.jobs, "flamingodrift_job", "From the acceptance of a submitted job to its end, by queue and how it ended."},
	}
	for _, h := range histograms {
		*h.histogram, err = m.meter.Float64Histogram(h.name, metric.WithDescription(h.text), metric.WithUnit("s"),
			metric.WithExplicitBucketBoundaries(latencyBoundsSeconds...))
		if err != nil {
			return nil, fmt.Errorf("create histogram %s: %w", h.name, err)
		}
	}
	const runTimes = "flamingodrift_run_time_ratio"
	m.runTimes, err = m.meter.Float64Histogram(runTimes,
		metric.WithDescription("Run times divided by what was expected, by queue and what that is based on."),
		metric.WithExplicitBucketBoundaries(ratioBounds...))
	if err != nil {
		return nil, fmt.Errorf("create histogram %s: %w", runTimes, err)
	}
	return m, nil
}

// latencyBoundsSeconds holds the upper bounds of the histogram buckets.
var latencyBoundsSeconds = []float64{0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60}

// ratioBounds holds the upper bounds of the buckets of ratios.
var ratioBounds = []float64{0.1, 0.25, 0.5, 0.7, 0.85, 1, 1.2, 1.4, 2, 4, 10}

// QueueCallEnded records the duration of a call about queues.
func (m *Meter) QueueCallEnded(method string, status int, took time.Duration) {
	m.calls.Record(context.Background(), took.Seconds(), metric.WithAttributes(
		attribute.String("method", method), attribute.Int("status", status)))
}

// JobStarted records the time from the acceptance of a submitted job to its first run.
func (m *Meter) JobStarted(queue string, waited time.Duration) {
	m.starts.Record(context.Background(), waited.Seconds(), metric.WithAttributes(attribute.String("queue", queue)))
}

// JobEnded records the time from the acceptance of a submitted job to its end, and its final phase.
func (m *Meter) JobEnded(queue, phase string, took time.Duration) {
	m.jobs.Record(context.Background(), took.Seconds(), metric.WithAttributes(
		attribute.String("queue", queue), attribute.String("phase", phase)))
}

// RunEnded counts an ended run by the reason for its end.
func (m *Meter) RunEnded(endReason string) {
	m.runs.Add(context.Background(), 1, metric.WithAttributes(attribute.String("why", endReason)))
}

// RunTimeCompared records the length of a successful run divided by what it was expected to take, and what that is based
// on.
func (m *Meter) RunTimeCompared(queue, basis string, ratio float64) {
	m.runTimes.Record(context.Background(), ratio, metric.WithAttributes(
		attribute.String("queue", queue), attribute.String("basis", basis)))
}

// ClientRefused counts a request or connection that was refused at a limit of the process.
func (m *Meter) ClientRefused(why, listener string) {
	m.clientRefusals.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("why", why), attribute.String("listener", listener)))
}

// Refused counts a refused request or change by reason.
func (m *Meter) Refused(r reason.Reason) {
	m.refusals.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", r.String())))
}

// Retried counts a retried request by reason.
func (m *Meter) Retried(r reason.Reason) {
	m.retries.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", r.String())))
}

// Outcome counts a caller's request by service and outcome.
func (m *Meter) Outcome(service, outcome string) {
	m.outcomes.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", service), attribute.String("outcome", outcome)))
}

// Gauge registers a gauge whose value is read at each scrape.
func (m *Meter) Gauge(name, text string, read func() int64) error {
	_, err := m.meter.Int64ObservableGauge(name, metric.WithDescription(text),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
	if err != nil {
		return fmt.Errorf("create gauge %s: %w", name, err)
	}
	return nil
}

// Handler serves the metrics in the Prometheus text format.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes})
}
