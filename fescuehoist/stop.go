package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"fescuehoist.example/adapters/platformhttp"
	"fescuehoist.example/fescuehoist/view"
	"fescuehoist.example/mesh/forecast"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/stop"
	"fescuehoist.example/mesh/wait"
)

type stopCommand struct {
	Plan   planCommand   `cmd:"" help:"Plan a stop of backend servers, unless it breaks a target."`
	List   listCommand   `cmd:"" help:"List the planned stops."`
	Cancel cancelCommand `cmd:"" help:"Cancel a planned stop, or end one under way."`
}

type planCommand struct {
	platformFlag
	authorFlag
	whatFlags
	Start          string        `required:"" help:"When it starts: a time such as 2026-03-02T22:00:00Z, or a duration from now such as 48h."`
	Length         time.Duration `default:"1h" help:"How long it lasts."`
	AcceptSlowdown bool          `help:"Plan it although the forecast says that it breaks a target."`
}

// Run plans a stop after a forecast.
func (c *planCommand) Run(ctx context.Context, out *output) error {
	id := uuid.NewString()[:8]
	return c.with(ctx, func(ctx context.Context, s *session) error {
		return s.changeStops(ctx, func(v *view.View) (*stop.List, error) {
			if v.Stops.Find(id) != nil {
				return nil, nil
			}
			from, err := startTime(c.Start, v.At)
			if err != nil {
				return nil, err
			}
			one := c.stop(id, c.author(), from, c.Length)
			if err := checkStop(v, &one); err != nil {
				return nil, err
			}
			list := v.Stops.With(one, v.At)
			return list, c.foresee(out, v, list, &one)
		}, func() {
			out.printf("planned stop %s; the daemons take no new calls from its start on and come back after its end", id)
		})
	})
}

// foresee prints what the stop does to the targets, and refuses it if it breaks
// one and that was not accepted.
func (c *planCommand) foresee(out *output, v *view.View, list *stop.List, one *stop.Stop) error {
	if len(v.Overview.Classes) == 0 {
		out.printf("no status has been reported yet, so nothing can be foreseen")
		return c.accept()
	}
	horizon := one.Until.Sub(v.At)
	in := v.Input(list, horizon)
	added := forecast.AddedMisses(forecast.Run(v.Input(v.Stops, horizon)), forecast.Run(in))
	if len(added) == 0 {
		out.printf("the stop breaks no target")
		return nil
	}
	for _, m := range view.Misses(added) {
		out.printf("%s", &m)
	}
	view.PrintNotices(out, view.Notices(forecast.Notices(in, added)))
	return c.accept()
}

// accept returns nil if the operator accepts a slowdown.
func (c *planCommand) accept() error {
	if !c.AcceptSlowdown {
		return errSlowdown
	}
	return nil
}

// checkStop reports what is wrong with a stop as it stands.
func checkStop(v *view.View, s *stop.Stop) error {
	if err := s.Validate(); err != nil {
		return fmt.Errorf("%w: %w", errInput, err)
	}
	if !s.Until.After(v.At) {
		return fmt.Errorf("%w: the stop would end at %s, in the past", errInput, view.Time(s.Until))
	}
	if len(v.Stops.Stops) >= stop.MaxStops {
		return fmt.Errorf("%w: %d stops are planned already; cancel one first", errInput, stop.MaxStops)
	}
	known, domain := map[member.ServerID]bool{}, false
	for i := range v.Overview.Servers {
		known[v.Overview.Servers[i].Server] = true
		domain = domain || v.Overview.Servers[i].Domain == s.Domain
	}
	for _, name := range s.Servers {
		if !known[name] {
			return fmt.Errorf("%w: no backend server %q has been reported", errInput, name)
		}
	}
	if s.Domain != "" && !domain {
		return fmt.Errorf("%w: no failure domain %q has been reported", errInput, s.Domain)
	}
	return nil
}

// changeStops makes a conditional change of the planned stops. It decides again
// after a conflict, and after a write of unknown outcome. A nil list from
// decide says that the change is there already.
func (s *session) changeStops(ctx context.Context, decide func(*view.View) (*stop.List, error), done func()) error {
	store := &platformhttp.StatusStore{Client: s.client}
	var written error
	for {
		v, err := view.Load(ctx, s.client)
		if err != nil {
			return errors.Join(written, err)
		}
		list, err := decide(v)
		if err != nil {
			return err
		}
		if list == nil {
			done()
			return nil
		}
		err = store.SaveStops(ctx, list)
		switch {
		case err == nil:
			done()
			return nil
		case errors.Is(err, manifest.ErrOutcomeUnknown):
			written = err
		case !errors.Is(err, manifest.ErrConflict):
			return err
		}
		if wait.For(ctx, retryDelay) != nil {
			return err
		}
	}
}

// retryDelay is the pause before a change of the planned stops is tried again.
const retryDelay = 200 * time.Millisecond

type listCommand struct {
	platformFlag
	JSON bool `help:"Print as JSON."`
}

// Run lists the planned stops.
func (c *listCommand) Run(ctx context.Context, out *output) error {
	return c.with(ctx, func(ctx context.Context, s *session) error {
		list, err := (&platformhttp.StatusStore{Client: s.client}).Stops(ctx)
		if err != nil {
			return err
		}
		reports := view.Stops(list, time.Now())
		if c.JSON {
			return out.json(reports)
		}
		for i := range reports {
			out.printf("%s", &reports[i])
		}
		if len(reports) == 0 {
			out.printf("no stop is planned")
		}
		return nil
	})
}

type cancelCommand struct {
	platformFlag
	ID string `arg:"" help:"Id of the stop."`
}

// Run cancels a stop.
func (c *cancelCommand) Run(ctx context.Context, out *output) error {
	found := false
	return c.with(ctx, func(ctx context.Context, s *session) error {
		return s.changeStops(ctx, func(v *view.View) (*stop.List, error) {
			switch {
			case v.Stops.Find(c.ID) != nil:
				found = true
				return v.Stops.Without(c.ID, v.At), nil
			case found:
				return nil, nil
			}
			return nil, fmt.Errorf("%w: no stop %q is planned", errInput, c.ID)
		}, func() { out.printf("cancelled stop %s", c.ID) })
	})
}
