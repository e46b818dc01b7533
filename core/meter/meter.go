// Package meter counts refusals, retries and events with OpenTelemetry and exposes them to Prometheus.
package meter

import (
	"context"
	"fmt"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"

	"flamingodrift.example/core/reason"
)

// Meter holds the counters of one program.
type Meter struct {
	registry *prometheus.Registry
	meter    metric.Meter
	refusals metric.Int64Counter
	retries  metric.Int64Counter
	outcomes metric.Int64Counter
}

// New returns a Meter for a program.
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
	}
	for _, c := range counters {
		if *c.counter, err = m.meter.Int64Counter(c.name, metric.WithDescription(c.text)); err != nil {
			return nil, fmt.Errorf("create counter %s: %w", c.name, err)
		}
	}
	return m, nil
}

// Refused counts a refusal.
func (m *Meter) Refused(r reason.Reason) {
	m.refusals.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", r.String())))
}

// Retried counts a retry.
func (m *Meter) Retried(r reason.Reason) {
	m.retries.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", r.String())))
}

// Outcome counts a caller's request by service and outcome.
func (m *Meter) Outcome(service, outcome string) {
	m.outcomes.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", service), attribute.String("outcome", outcome)))
}

// Gauge registers a value that is read at each scrape.
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
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
