// Package figure records measured values with their bounds, and runs the benchmarks
// that measure them.
package figure

import (
	"fmt"
	"io"
)

// Figure is one measured value with its bound.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Bound is nil if no target sets one.
	Bound *float64 `json:"bound"`
	// AtLeast is set if Bound is a lower bound; otherwise it is an upper bound.
	AtLeast bool `json:"at_least,omitempty"`
	// OK is set if Value is within Bound, or if Bound is nil.
	OK bool `json:"ok"`
}

// String returns the figure as a line: bench: NAME VALUE UNIT bound BOUND ok|over.
func (f *Figure) String() string {
	bound, state := "none", "over"
	if f.Bound != nil {
		bound = fmt.Sprintf("%.3f", *f.Bound)
	}
	if f.OK {
		state = "ok"
	}
	return fmt.Sprintf("bench: %s %.3f %s bound %s %s", f.Name, f.Value, f.Unit, bound, state)
}

// Report collects the figures of a run.
type Report struct {
	Figures []*Figure `json:"figures"`
	// Out receives the line of each figure when it is added; nil prints nothing.
	Out io.Writer `json:"-"`
}

// AddUnbounded adds a figure that has no bound.
func (r *Report) AddUnbounded(name string, value float64, unit string) {
	r.add(&Figure{Name: name, Value: value, Unit: unit, OK: true})
}

// AddAtMost adds a figure with an upper bound.
func (r *Report) AddAtMost(name string, value float64, unit string, bound float64) {
	r.add(&Figure{Name: name, Value: value, Unit: unit, Bound: &bound, OK: value <= bound})
}

// AddAtLeast adds a figure with a lower bound.
func (r *Report) AddAtLeast(name string, value float64, unit string, bound float64) {
	r.add(&Figure{Name: name, Value: value, Unit: unit, Bound: &bound, AtLeast: true, OK: value >= bound})
}

func (r *Report) add(f *Figure) {
	r.Figures = append(r.Figures, f)
	if r.Out != nil {
		fmt.Fprintln(r.Out, f)
	}
}

// WithinBounds reports whether every figure is within its bound.
func (r *Report) WithinBounds() bool {
	for _, f := range r.Figures {
		if !f.OK {
			return false
		}
	}
	return true
}
