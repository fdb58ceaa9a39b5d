package main

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"fescuehoist.example/mesh/forecast"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/stop"
)

type forecastCommand struct {
	platformFlag
	whatFlags
	Horizon time.Duration `default:"24h" help:"How far to look ahead."`
	Start   string        `default:"now" help:"Start of the stop asked about: a time such as 2026-03-02T22:00:00Z, or a duration from now such as 2h."`
	Length  time.Duration `default:"1h" help:"Length of the stop asked about."`
	JSON    bool          `help:"Print as JSON."`
}

// Run prints which targets will be missed, with a stop that is not planned yet
// if one is given.
func (c *forecastCommand) Run(ctx context.Context, out *output) error {
	return c.with(ctx, func(ctx context.Context, s *session) error {
		v, err := s.view(ctx)
		if err != nil {
			return err
		}
		list := v.stops
		horizon := c.Horizon
		if c.given() {
			from, err := startTime(c.Start, v.at)
			if err != nil {
				return err
			}
			one := c.stop("asked-about", "", from, c.Length)
			if err := v.checkStop(&one); err != nil {
				return err
			}
			list = list.With(one, v.at)
			horizon = max(horizon, one.Until.Sub(v.at))
		}
		f := forecast.Run(v.input(list, horizon))
		if c.JSON {
			return out.json(newForecastReport(f))
		}
		newForecastReport(f).print(out)
		return nil
	})
}

// input returns what a forecast with a list of planned stops rests on.
func (v *view) input(l *stop.List, horizon time.Duration) *forecast.Input {
	return &forecast.Input{Now: v.at, Horizon: horizon, Services: v.services, Status: v.overview, Stops: l.Stops}
}

// whatFlags say what a stop is of.
type whatFlags struct {
	Server []string `placeholder:"NAME" help:"Backend servers that stop."`
	Domain string   `placeholder:"NAME" help:"Failure domain of which all backend servers stop."`
}

func (f *whatFlags) given() bool { return len(f.Server) > 0 || f.Domain != "" }

func (f *whatFlags) stop(id, author string, from time.Time, length time.Duration) stop.Stop {
	s := stop.Stop{ID: id, Author: author, Domain: f.Domain, From: from, Until: from.Add(length)}
	for _, name := range f.Server {
		s.Servers = append(s.Servers, member.ServerID(name))
	}
	return s
}

// startTime reads a time, or a duration from now.
func startTime(text string, now time.Time) (time.Time, error) {
	if text == "now" {
		return now, nil
	}
	if d, err := time.ParseDuration(text); err == nil {
		return now.Add(d), nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return t, fmt.Errorf("%w: start %q; write a time such as 2026-03-02T22:00:00Z or a duration from now such as 2h", errInput, text)
	}
	return t, nil
}

// forecastReport is a forecast as it is printed.
type forecastReport struct {
	From    time.Time             `json:"from"`
	Until   time.Time             `json:"until"`
	Classes []classForecastReport `json:"classes"`
	Misses  []missReport          `json:"misses"`
	Notices []noticeReport        `json:"clients_to_tell"`
}

type classForecastReport struct {
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

type missReport struct {
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

type noticeReport struct {
	Client string        `json:"client"`
	Class  string        `json:"class"`
	Rate   float64       `json:"calls_per_second"`
	From   time.Time     `json:"from"`
	Until  time.Time     `json:"until"`
	CallBy time.Time     `json:"call_by"`
	Left   time.Duration `json:"notice_left_ns"`
}

func newForecastReport(f *forecast.Forecast) *forecastReport {
	r := &forecastReport{From: f.From, Until: f.Until, Misses: missReports(f.Misses)}
	for i := range f.Classes {
		c := &f.Classes[i]
		r.Classes = append(r.Classes, classForecastReport{
			Class: c.Class.String(), Target: c.Target.Target(), At: c.At, Demand: c.Demand, Slots: c.Slots, Load: c.Load,
			Served: c.Served, Good: c.Good, P99MS: millis(c.P99), Met: c.Good >= c.Target.Success, Confidence: string(c.Confidence),
		})
	}
	r.Notices = noticeReports(f.Notices)
	return r
}

func noticeReports(notices []forecast.Notice) []noticeReport {
	reports := []noticeReport{}
	for _, n := range notices {
		reports = append(reports, noticeReport{
			Client: n.Client, Class: n.Class.String(), Rate: n.Rate, From: n.From, Until: n.Until, CallBy: n.CallBy, Left: n.Left,
		})
	}
	return reports
}

func missReports(misses []forecast.Miss) []missReport {
	reports := []missReport{}
	for i := range misses {
		m := &misses[i]
		reports = append(reports, missReport{
			Class: m.Class.String(), Target: m.Target.Target(), From: m.From, Until: m.Until, Good: m.Worst.Good,
			Shortfall: m.Shortfall(), P99MS: millis(m.Worst.P99), Stops: m.Stops, DueToStops: m.DueToStops, Confidence: string(m.Confidence),
		})
	}
	return reports
}

func (r *forecastReport) print(out *output) {
	out.printf("forecast from %s until %s; each class at its worst moment:", stamp(r.From), stamp(r.Until))
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "class\ttarget\tcalls/s\tslots\tload\tserved\tgood\tp99 ms\tmet\tconfidence")
	for _, c := range r.Classes {
		fmt.Fprintf(t, "%s\t%s\t%.1f\t%d\t%.0f%%\t%.1f%%\t%.1f%%\t%.1f\t%s\t%s\n", c.Class, c.Target, c.Demand, c.Slots,
			100*c.Load, 100*c.Served, 100*c.Good, c.P99MS, yesNo(c.Met), c.Confidence)
	}
	_ = t.Flush()
	if len(r.Misses) == 0 {
		out.printf("no target will be missed")
	}
	for i := range r.Misses {
		out.printf("%s", &r.Misses[i])
	}
	printNotices(out, r.Notices)
}

// String formats the miss as one line.
func (m *missReport) String() string {
	line := fmt.Sprintf("%s will miss its target (%s) from %s until %s: %.1f%% good, %.1f points short; confidence %s",
		m.Class, m.Target, stamp(m.From), stamp(m.Until), 100*m.Good, 100*m.Shortfall, m.Confidence)
	if m.DueToStops {
		line += fmt.Sprintf("; due to stop %v", m.Stops)
	}
	return line
}

// printNotices lists the clients to tell, the most urgent first.
func printNotices(out *output, notices []noticeReport) {
	if len(notices) == 0 {
		return
	}
	out.printf("clients to tell, the most urgent first:")
	for _, n := range notices {
		left := fmt.Sprintf("call by %s, %s left", stamp(n.CallBy), n.Left.Round(time.Second))
		if n.Left < 0 {
			left = fmt.Sprintf("TOO LATE for the promised notice by %s, call now", (-n.Left).Round(time.Second))
		}
		out.printf("  %s, %s, %.1f calls/s: slow from %s until %s; %s", n.Client, n.Class, n.Rate, stamp(n.From), stamp(n.Until), left)
	}
}
