// Package telemetry measures a daemon by OpenTelemetry and serves the figures
// in the format of Prometheus.
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

// unknown stands for the service and class of calls without a route.
const unknown = "unknown"

// boundaries are the upper bounds of latency buckets, in seconds.
var boundaries = []float64{.001, .002, .003, .005, .008, .012, .02, .03, .05, .08, .12, .2, .3, .5, .8, 1.2, 2, 5, 10, 30}

// Telemetry holds the instruments of one daemon.
type Telemetry struct {
	registry *prometheus.Registry
	provider *sdkmetric.MeterProvider
	meter    metric.Meter
	classes  metric.Float64Histogram
	clients  metric.Float64Histogram
	attempts metric.Int64Counter
	failures metric.Int64Counter

	mu    sync.Mutex
	names map[string]bool
}

// New returns the instruments.
func New() (*Telemetry, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo())
	if err != nil {
		return nil, err
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	t := &Telemetry{registry: registry, provider: provider, meter: provider.Meter("fescuehoist"), names: map[string]bool{}}
	return t, t.instruments()
}

func (t *Telemetry) instruments() error {
	var errs [4]error
	t.classes, errs[0] = t.meter.Float64Histogram("fescuehoist.call.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from a call's arrival to its answer, by class and verdict."),
		metric.WithExplicitBucketBoundaries(boundaries...))
	t.clients, errs[1] = t.meter.Float64Histogram("fescuehoist.client.call.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from a call's arrival to its answer, by client."),
		metric.WithExplicitBucketBoundaries(boundaries...))
	t.attempts, errs[2] = t.meter.Int64Counter("fescuehoist.call.attempts",
		metric.WithDescription("Attempts made for calls, the first ones included."))
	t.failures, errs[3] = t.meter.Int64Counter("fescuehoist.call.failures",
		metric.WithDescription("Calls without an answer, by reason and verdict."))
	return errors.Join(errs[:]...)
}

// ObserveCall records one call that the daemon took from a caller.
func (t *Telemetry) ObserveCall(r *call.Request, took time.Duration, err error) {
	ctx := context.Background()
	verdict := call.Ran
	service, class := r.Service, r.ClassName
	if r.Class == nil {
		service, class = unknown, unknown
	}
	names := []attribute.KeyValue{attribute.String("service", service), attribute.String("class", class)}
	var f *call.Failure
	if errors.As(err, &f) {
		verdict = f.Verdict
		t.failures.Add(ctx, 1, metric.WithAttributes(names...),
			metric.WithAttributes(attribute.String("reason", string(f.Reason)), attribute.String("verdict", verdict.String())))
	}
	t.classes.Record(ctx, took.Seconds(), metric.WithAttributes(names...),
		metric.WithAttributes(attribute.String("verdict", verdict.String())))
	t.clients.Record(ctx, took.Seconds(), metric.WithAttributes(attribute.String("client", t.client(r.Client))))
	t.attempts.Add(ctx, int64(r.Attempt), metric.WithAttributes(names...))
}

// client bounds the number of names under which calls are counted.
func (t *Telemetry) client(name string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.names[name] {
		return name
	}
	if len(t.names) >= MaxClients {
		return OtherClients
	}
	t.names[name] = true
	return name
}

// Handler serves the figures.
func (t *Telemetry) Handler() http.Handler {
	return promhttp.HandlerFor(t.registry, promhttp.HandlerOpts{})
}

// Close stops measuring.
func (t *Telemetry) Close(ctx context.Context) error { return t.provider.Shutdown(ctx) }
