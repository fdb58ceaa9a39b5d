package spreading

import "fmt"

// Figure is one measured value with its bound.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Bound is the greatest value allowed; nil means that there is none.
	Bound *float64 `json:"bound"`
	OK    bool     `json:"ok"`
}

// String returns the figure's line.
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

// Report collects the figures of a run and hands each on as it comes.
type Report struct {
	Figures []*Figure
	Print   func(*Figure)
}

// Holds reports whether every figure keeps its bound.
func (r *Report) Holds() bool {
	for _, f := range r.Figures {
		if !f.OK {
			return false
		}
	}
	return true
}

func (r *Report) add(f *Figure) {
	r.Figures = append(r.Figures, f)
	r.Print(f)
}

// shown adds a figure without a bound.
func (r *Report) shown(name string, value float64, unit string) {
	r.add(&Figure{Name: name, Value: value, Unit: unit, OK: true})
}

func (r *Report) atMost(name string, value float64, unit string, bound float64) {
	r.add(&Figure{Name: name, Value: value, Unit: unit, Bound: &bound, OK: value <= bound})
}
