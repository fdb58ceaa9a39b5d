package main

import (
	"context"
	"fmt"
	"time"

	"fescuehoist.example/fescuehoist/view"
	"fescuehoist.example/mesh/forecast"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/stop"
)

type forecastCommand struct {
	platformFlag
	subjectFlags
	Horizon time.Duration `default:"24h" help:"Time ahead that the forecast covers."`
	Start   string        `default:"now" help:"Start of the proposed stop: a time such as 2026-03-02T22:00:00Z, or a duration from now such as 2h."`
	Length  time.Duration `default:"1h" help:"Length of the proposed stop."`
	JSON    bool          `help:"Print as JSON."`
}

// Run prints the forecast of the targets that will be missed. If a stop is given
// by flags, the forecast includes it although it is not planned.
func (c *forecastCommand) Run(ctx context.Context, out *output) error {
	return c.withSession(ctx, func(ctx context.Context, s *session) error {
		v, err := view.Load(ctx, s.client)
		if err != nil {
			return err
		}
		list := v.Stops
		horizon := c.Horizon
		if c.isSet() {
			from, err := parseStart(c.Start, v.At)
			if err != nil {
				return err
			}
			proposed := c.newStop("asked-about", "", from, c.Length)
			if err := validateStop(v, &proposed); err != nil {
				return err
			}
			list = list.With(proposed, v.At)
			horizon = max(horizon, proposed.Until.Sub(v.At))
		}
		f := forecast.Run(v.Input(list, horizon))
		if c.JSON {
			return out.printJSON(view.NewForecast(f))
		}
		view.NewForecast(f).Print(out)
		return nil
	})
}

// subjectFlags name the backend servers that a stop covers.
type subjectFlags struct {
	Server []string `placeholder:"NAME" help:"Backend servers to stop."`
	Domain string   `placeholder:"NAME" help:"Failure domain whose backend servers all stop."`
}

// isSet reports whether the flags name any backend server.
func (f *subjectFlags) isSet() bool { return len(f.Server) > 0 || f.Domain != "" }

// newStop returns a stop of the named backend servers.
func (f *subjectFlags) newStop(id, author string, from time.Time, length time.Duration) stop.Stop {
	s := stop.Stop{ID: id, Author: author, Domain: f.Domain, From: from, Until: from.Add(length)}
	for _, name := range f.Server {
		s.Servers = append(s.Servers, member.ServerID(name))
	}
	return s
}

// parseStart parses a start: "now", a duration from now, or a time in RFC 3339.
func parseStart(text string, now time.Time) (time.Time, error) {
	if text == "now" {
		return now, nil
	}
	if d, err := time.ParseDuration(text); err == nil {
		return now.Add(d), nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return t, fmt.Errorf("%w: start %q: want a time such as 2026-03-02T22:00:00Z or a duration from now such as 2h", errInput, text)
	}
	return t, nil
}
