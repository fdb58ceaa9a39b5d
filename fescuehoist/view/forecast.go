package view

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"fescuehoist.example/mesh/forecast"
)

// Forecast is a forecast in the form that is printed.
type Forecast struct {
	From    time.Time       `json:"from"`
	Until   time.Time       `json:"until"`
	Classes []ClassForecast `json:"classes"`
	Misses  []Miss          `json:"misses"`
	Notices []Notice        `json:"clients_to_tell"`
}

// ClassForecast is the service that a class gets at the worst time of the
// forecast.
type ClassForecast struct {
	Class      string    `json:"class"`
	Target     string    `json:"target"`
	At         time.Time `json:"worst_at"`
	Demand     float64   `json:"calls_per_second"`
	Slots      int       `json:"slots"`
	Load       float64   `json:"service_load"`
	Served     float64   `json:"served_share"`
	Good       float64   `json:"good_share"`
	P99MS      float64   `json:"p99_ms"`
	Met        bool      `json:"met"`
	Confidence string    `json:"confidence"`
}

// Miss is a target that is forecast to be missed.
type Miss struct {
	Class      string    `json:"class"`
	Target     string    `json:"target"`
	From       time.Time `json:"from"`
	Until      time.Time `json:"until"`
	Good       float64   `json:"good_share"`
	Shortfall  float64   `json:"shortfall"`
	P99MS      float64   `json:"p99_ms"`
	Stops      []string  `json:"stops,omitempty"`
	DueToStops bool      `json:"due_to_stops"`
	Confidence string    `json:"confidence"`
}

// Notice is a client to notify of a missed target, and the time by which to do so.
type Notice struct {
	Client string        `json:"client"`
	Class  string        `json:"class"`
	Rate   float64       `json:"calls_per_second"`
	From   time.Time     `json:"from"`
	Until  time.Time     `json:"until"`
	CallBy time.Time     `json:"call_by"`
	Left   time.Duration `json:"notice_left_ns"`
}

// NewForecast converts a forecast for printing.
func NewForecast(f *forecast.Forecast) *Forecast {
	r := &Forecast{From: f.From, Until: f.Until, Misses: Misses(f.Misses)}
	for i := range f.Classes {
		c := &f.Classes[i]
		r.Classes = append(r.Classes, ClassForecast{
			Class: c.Class.String(), Target: c.Target.Target(), At: c.At, Demand: c.Demand, Slots: c.Slots, Load: c.Load,
			Served: c.Served, Good: c.Good, P99MS: millis(c.P99), Met: c.Good >= c.Target.Success, Confidence: string(c.Confidence),
		})
	}
	r.Notices = Notices(f.Notices)
	return r
}

// Notices converts notices for printing.
func Notices(notices []forecast.Notice) []Notice {
	reports := []Notice{}
	for _, n := range notices {
		reports = append(reports, Notice{
			Client: n.Client, Class: n.Class.String(), Rate: n.Rate, From: n.From, Until: n.Until, CallBy: n.CallBy, Left: n.Left,
		})
	}
	return reports
}

// Misses converts missed targets for printing.
func Misses(misses []forecast.Miss) []Miss {
	reports := []Miss{}
	for i := range misses {
		m := &misses[i]
		reports = append(reports, Miss{
			Class: m.Class.String(), Target: m.Target.Target(), From: m.From, Until: m.Until, Good: m.Worst.Good,
			Shortfall: m.Shortfall(), P99MS: millis(m.Worst.P99), Stops: m.Stops, DueToStops: m.DueToStops, Confidence: string(m.Confidence),
		})
	}
	return reports
}

// Print writes the forecast as text.
func (r *Forecast) Print(out io.Writer) {
	printf(out, "forecast from %s until %s; each class at its worst time:", Time(r.From), Time(r.Until))
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "class\ttarget\tcalls/s\tslots\tload\tserved\tgood\tp99 ms\tmet\tconfidence")
	for _, c := range r.Classes {
		fmt.Fprintf(t, "%s\t%s\t%.1f\t%d\t%.0f%%\t%.1f%%\t%.1f%%\t%.1f\t%s\t%s\n", c.Class, c.Target, c.Demand, c.Slots,
			100*c.Load, 100*c.Served, 100*c.Good, c.P99MS, yesNo(c.Met), c.Confidence)
	}
	_ = t.Flush()
	if len(r.Misses) == 0 {
		printf(out, "no target will be missed")
	}
	for i := range r.Misses {
		printf(out, "%s", &r.Misses[i])
	}
	PrintNotices(out, r.Notices)
}

// String formats the miss as one line.
func (m *Miss) String() string {
	line := fmt.Sprintf("%s will miss its target (%s) from %s until %s: %.1f%% good, %.1f points short; confidence %s",
		m.Class, m.Target, Time(m.From), Time(m.Until), 100*m.Good, 100*m.Shortfall, m.Confidence)
	if m.DueToStops {
		line += fmt.Sprintf("; due to stop %v", m.Stops)
	}
	return line
}

// PrintNotices lists the clients to notify, in the given order, most urgent first.
func PrintNotices(out io.Writer, notices []Notice) {
	if len(notices) == 0 {
		return
	}
	printf(out, "clients to notify, most urgent first:")
	for _, n := range notices {
		left := fmt.Sprintf("call by %s, %s left", Time(n.CallBy), n.Left.Round(time.Second))
		if n.Left < 0 {
			left = fmt.Sprintf("TOO LATE for the agreed notice by %s, call now", (-n.Left).Round(time.Second))
		}
		printf(out, "  %s, %s, %.1f calls/s: slow from %s until %s; %s", n.Client, n.Class, n.Rate, Time(n.From), Time(n.Until), left)
	}
}
