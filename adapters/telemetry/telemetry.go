// Package telemetry measures calls by OpenTelemetry and serves the figures in
// the format of Prometheus.
package telemetry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"

	"fescuehoist.example/mesh/call"
)

// MaxClients is the number of clients with histograms of their own; the rest
// are counted together.
const MaxClients = 100

// OtherClients stands for clients beyond MaxClients.
const OtherClients = "other"

// boundaries are the upper bounds of latency buckets, in seconds.
var boundaries = []float64{.001, .002, .003, .005, .008, .012, .02, .03, .05, .08, .12, .2, .3, .5, .8, 1.2, 2, 5, 10, 30}

// Telemetry holds the instruments of one daemon.
type Telemetry struct {
	registry *prometheus.Registry
	provider *sdkmetric.MeterProvider
	duration metric.Float64Histogram
	attempts metric.Int64Counter

	mu      sync.Mutex
	clients map[string]bool
}

// New returns the instruments.
func New() (*Telemetry, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, err
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	meter := provider.Meter("fescuehoist")
	duration, err := meter.Float64Histogram("fescuehoist.call.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from a call's arrival to its answer."),
		metric.WithExplicitBucketBoundaries(boundaries...))
	if err != nil {
		return nil, err
	}
	attempts, err := meter.Int64Counter("fescuehoist.call.attempts",
		metric.WithDescription("Attempts made for calls."))
	if err != nil {
		return nil, err
	}
	return &Telemetry{registry: registry, provider: provider, duration: duration, attempts: attempts, clients: map[string]bool{}}, nil
}

// Called records one call that the daemon took from a caller.
func (t *Telemetry) Called(r *call.Request, took time.Duration, err error) {
	verdict := call.Ran
	var f *call.Failure
	if errors.As(err, &f) {
		verdict = f.Verdict
	}
	service, class := r.Service, r.ClassName
	if class == "" {
		service, class = "unknown", "unknown"
	}
	attrs := metric.WithAttributes(
		attribute.String("service", service), attribute.String("class", class),
		attribute.String("client", t.client(r.Client)), attribute.String("verdict", verdict.String()))
	t.duration.Record(context.Background(), took.Seconds(), attrs)
	t.attempts.Add(context.Background(), int64(r.Attempt), attrs)
}

// client bounds the number of names under which calls are counted.
func (t *Telemetry) client(name string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.clients[name] {
		return name
	}
	if len(t.clients) >= MaxClients {
		return OtherClients
	}
	t.clients[name] = true
	return name
}

// Handler serves the figures.
func (t *Telemetry) Handler() http.Handler {
	return promhttp.HandlerFor(t.registry, promhttp.HandlerOpts{})
}

// Close stops measuring.
func (t *Telemetry) Close(ctx context.Context) error { return t.provider.Shutdown(ctx) }
