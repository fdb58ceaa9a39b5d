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
		v, err := view.Load(ctx, s.client)
		if err != nil {
			return err
		}
		list := v.Stops
		horizon := c.Horizon
		if c.given() {
			from, err := startTime(c.Start, v.At)
			if err != nil {
				return err
			}
			one := c.stop("asked-about", "", from, c.Length)
			if err := checkStop(v, &one); err != nil {
				return err
			}
			list = list.With(one, v.At)
			horizon = max(horizon, one.Until.Sub(v.At))
		}
		f := forecast.Run(v.Input(list, horizon))
		if c.JSON {
			return out.json(view.NewForecast(f))
		}
		view.NewForecast(f).Print(out)
		return nil
	})
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
