package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Metric is an asynchronous instrument whose values are read whenever the metrics
// are served.
type Metric struct {
	// Name has dots between its parts. Unit may be empty.
	Name, Unit, Description string
	// Monotonic makes the metric a counter, whose value only grows, instead of
	// a gauge.
	Monotonic bool
	// Label is the name of the label that distinguishes the points. It is empty
	// if there is a single point.
	Label string
	// Read returns the current points.
	Read func() []Point
}

// Point is one value of a metric.
type Point struct {
	// Label is the value of the metric's label.
	Label string
	Value uint64
}

// SinglePoint returns the points of a metric without a label.
func SinglePoint(value uint64) []Point { return []Point{{Value: value}} }

// Register adds metrics. It returns the first error of an instrument.
func (t *Telemetry) Register(metrics ...Metric) error {
	for _, m := range metrics {
		if err := t.register(m); err != nil {
			return err
		}
	}
	return nil
}

func (t *Telemetry) register(m Metric) error {
	callback := metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
		for _, p := range m.Read() {
			if m.Label == "" {
				o.Observe(int64(p.Value))
				continue
			}
			o.Observe(int64(p.Value), metric.WithAttributes(attribute.String(m.Label, p.Label)))
		}
		return nil
	})
	unit, description := metric.WithUnit(m.Unit), metric.WithDescription(m.Description)
	var err error
	if m.Monotonic {
		_, err = t.meter.Int64ObservableCounter(m.Name, unit, description, callback)
	} else {
		_, err = t.meter.Int64ObservableGauge(m.Name, unit, description, callback)
	}
	return err
}
