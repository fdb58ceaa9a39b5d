// Package telemetry records the metrics of a daemon with OpenTelemetry and serves
// them in Prometheus format.
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

// MaxClients is the maximum number of clients with their own histogram, which
// bounds the number of label values.
const MaxClients = 100

// OtherClients is the label value for all clients beyond MaxClients.
const OtherClients = "other"

// unknownRoute is the service and class label of calls without a route.
const unknownRoute = "unknown"

// latencyBoundaries are the upper bounds of the latency buckets, in seconds.
var latencyBoundaries = []float64{.001, .002, .003, .005, .008, .012, .02, .03, .05, .08, .12, .2, .3, .5, .8, 1.2, 2, 5, 10, 30}

// Telemetry holds the metric instruments of one daemon.
type Telemetry struct {
	registry       *prometheus.Registry
	provider       *sdkmetric.MeterProvider
	meter          metric.Meter
	classDuration  metric.Float64Histogram
	clientDuration metric.Float64Histogram
	attempts       metric.Int64Counter
	failures       metric.Int64Counter

	mu          sync.Mutex
	clientNames map[string]bool
}

// New creates the instruments of a daemon.
func New() (*Telemetry, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo())
	if err != nil {
		return nil, err
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	t := &Telemetry{registry: registry, provider: provider, meter: provider.Meter("fescuehoist"), clientNames: map[string]bool{}}
	return t, t.createInstruments()
}

func (t *Telemetry) createInstruments() error {
	var errs [4]error
	t.classDuration, errs[0] = t.meter.Float64Histogram("fescuehoist.call.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from the arrival of a call to its answer, by class and verdict."),
		metric.WithExplicitBucketBoundaries(latencyBoundaries...))
	t.clientDuration, errs[1] = t.meter.Float64Histogram("fescuehoist.client.call.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from the arrival of a call to its answer, by client."),
		metric.WithExplicitBucketBoundaries(latencyBoundaries...))
	t.attempts, errs[2] = t.meter.Int64Counter("fescuehoist.call.attempts",
		metric.WithDescription("Attempts made for calls, including first attempts."))
	t.failures, errs[3] = t.meter.Int64Counter("fescuehoist.call.failures",
		metric.WithDescription("Calls that failed without an answer, by reason and verdict."))
	return errors.Join(errs[:]...)
}

// ObserveCall records the outcome of one call from a caller: its duration and the
// error it ended with, or nil.
func (t *Telemetry) ObserveCall(r *call.Request, duration time.Duration, err error) {
	ctx := context.Background()
	verdict := call.Ran
	service, class := r.Service, r.ClassName
	if r.Class == nil {
		service, class = unknownRoute, unknownRoute
	}
	labels := []attribute.KeyValue{attribute.String("service", service), attribute.String("class", class)}
	var failure *call.Failure
	if errors.As(err, &failure) {
		verdict = failure.Verdict
		t.failures.Add(ctx, 1, metric.WithAttributes(labels...),
			metric.WithAttributes(attribute.String("reason", string(failure.Reason)), attribute.String("verdict", verdict.String())))
	}
	t.classDuration.Record(ctx, duration.Seconds(), metric.WithAttributes(labels...),
		metric.WithAttributes(attribute.String("verdict", verdict.String())))
	t.clientDuration.Record(ctx, duration.Seconds(), metric.WithAttributes(attribute.String("client", t.clientLabel(r.Client))))
	t.attempts.Add(ctx, int64(r.Attempt), metric.WithAttributes(labels...))
}

// clientLabel returns the label value of a client: its name, or OtherClients once
// MaxClients names are in use.
func (t *Telemetry) clientLabel(name string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.clientNames[name] {
		return name
	}
	if len(t.clientNames) >= MaxClients {
		return OtherClients
	}
	t.clientNames[name] = true
	return name
}

// Handler serves the metrics in Prometheus format.
func (t *Telemetry) Handler() http.Handler {
	return promhttp.HandlerFor(t.registry, promhttp.HandlerOpts{})
}

// Close shuts the meter provider down.
func (t *Telemetry) Close(ctx context.Context) error { return t.provider.Shutdown(ctx) }
