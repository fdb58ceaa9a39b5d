package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Metric is a value that is read whenever the figures are served.
type Metric struct {
	// Name has dots between its parts; Unit may be empty.
	Name, Unit, Description string
	// Monotonic says that the value only grows.
	Monotonic bool
	// Label names what distinguishes the points; empty if there is one alone.
	Label string
	Read  func() []Point
}

// Point is one value of a figure.
type Point struct {
	// Label is the value of the figure's label.
	Label string
	Value uint64
}

// SinglePoint returns a single point.
func SinglePoint(value uint64) []Point { return []Point{{Value: value}} }

// Register adds figures.
func (t *Telemetry) Register(figures ...Metric) error {
	for _, f := range figures {
		if err := t.watch(f); err != nil {
			return err
		}
	}
	return nil
}

func (t *Telemetry) watch(f Metric) error {
	read := metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
		for _, p := range f.Read() {
			if f.Label == "" {
				o.Observe(int64(p.Value))
				continue
			}
			o.Observe(int64(p.Value), metric.WithAttributes(attribute.String(f.Label, p.Label)))
		}
		return nil
	})
	unit, text := metric.WithUnit(f.Unit), metric.WithDescription(f.Description)
	var err error
	if f.Monotonic {
		_, err = t.meter.Int64ObservableCounter(f.Name, unit, text, read)
	} else {
		_, err = t.meter.Int64ObservableGauge(f.Name, unit, text, read)
	}
	return err
}
