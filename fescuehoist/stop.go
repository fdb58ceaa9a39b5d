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
	Plan   planCommand   `cmd:"" help:"Plan a stop of backend servers; refused if it would break a target."`
	List   listCommand   `cmd:"" help:"List the planned stops."`
	Cancel cancelCommand `cmd:"" help:"Cancel a planned stop, or end one that has begun."`
}

type planCommand struct {
	platformFlag
	authorFlag
	subjectFlags
	Start          string        `required:"" help:"Start: a time such as 2026-03-02T22:00:00Z, or a duration from now such as 48h."`
	Length         time.Duration `default:"1h" help:"Length of the stop."`
	AcceptSlowdown bool          `help:"Plan the stop even if the forecast shows a broken target."`
}

// Run plans a stop if the forecast shows that it breaks no target, or if the
// operator accepts the slowdown.
func (c *planCommand) Run(ctx context.Context, out *output) error {
	id := uuid.NewString()[:8]
	return c.withSession(ctx, func(ctx context.Context, s *session) error {
		return s.updateStops(ctx, func(v *view.View) (*stop.List, error) {
			if v.Stops.Find(id) != nil {
				return nil, nil
			}
			from, err := parseStart(c.Start, v.At)
			if err != nil {
				return nil, err
			}
			proposed := c.newStop(id, c.author(), from, c.Length)
			if err := validateStop(v, &proposed); err != nil {
				return nil, err
			}
			list := v.Stops.With(proposed, v.At)
			return list, c.checkForecast(out, v, list, &proposed)
		}, func() {
			out.printf("planned stop %s; the daemons take no new calls from its start until its end", id)
		})
	})
}

// checkForecast prints the targets that the stop would break and the clients to
// notify. It returns errSlowdown if it breaks one, or if there is no status to
// forecast from, unless the operator accepts a slowdown.
func (c *planCommand) checkForecast(out *output, v *view.View, list *stop.List, proposed *stop.Stop) error {
	if len(v.Overview.Classes) == 0 {
		out.printf("no status has been reported yet, so no forecast is possible")
		return c.confirmSlowdown()
	}
	horizon := proposed.Until.Sub(v.At)
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
	return c.confirmSlowdown()
}

// confirmSlowdown returns errSlowdown unless the operator accepts a slowdown.
func (c *planCommand) confirmSlowdown() error {
	if !c.AcceptSlowdown {
		return errSlowdown
	}
	return nil
}

// validateStop checks that a stop is well-formed, ends in the future, is within
// the maximum number of stops, and names reported backend servers and failure
// domains. Its errors wrap errInput.
func validateStop(v *view.View, s *stop.Stop) error {
	if err := s.Validate(); err != nil {
		return fmt.Errorf("%w: %w", errInput, err)
	}
	if !s.Until.After(v.At) {
		return fmt.Errorf("%w: the stop ends at %s, which is in the past", errInput, view.Time(s.Until))
	}
	if len(v.Stops.Stops) >= stop.MaxStops {
		return fmt.Errorf("%w: %d stops are planned, which is the maximum; cancel one first", errInput, stop.MaxStops)
	}
	knownServers, domainFound := map[member.ServerID]bool{}, false
	for i := range v.Overview.Servers {
		knownServers[v.Overview.Servers[i].Server] = true
		domainFound = domainFound || v.Overview.Servers[i].Domain == s.Domain
	}
	for _, name := range s.Servers {
		if !knownServers[name] {
			return fmt.Errorf("%w: no backend server %q has been reported", errInput, name)
		}
	}
	if s.Domain != "" && !domainFound {
		return fmt.Errorf("%w: no failure domain %q has been reported", errInput, s.Domain)
	}
	return nil
}

// updateStops saves the list of planned stops that plan returns, if the stored
// list has not changed since it was read. It calls plan again after a conflict
// and after a write of unknown outcome; a nil list from plan means that the
// change is already stored. It calls onSaved once the change is stored. If the
// list cannot be read after a write of unknown outcome, it returns both errors.
func (s *session) updateStops(ctx context.Context, plan func(*view.View) (*stop.List, error), onSaved func()) error {
	store := &platformhttp.StatusStore{Client: s.client}
	var unknownErr error
	for {
		v, err := view.Load(ctx, s.client)
		if err != nil {
			return errors.Join(unknownErr, err)
		}
		list, err := plan(v)
		if err != nil {
			return err
		}
		if list == nil {
			onSaved()
			return nil
		}
		err = store.SaveStops(ctx, list)
		switch {
		case err == nil:
			onSaved()
			return nil
		case errors.Is(err, manifest.ErrOutcomeUnknown):
			unknownErr = err
		case !errors.Is(err, manifest.ErrConflict):
			return err
		}
		if wait.For(ctx, retryDelay) != nil {
			return err
		}
	}
}

// retryDelay is the time between attempts to save the planned stops.
const retryDelay = 200 * time.Millisecond

type listCommand struct {
	platformFlag
	JSON bool `help:"Print as JSON."`
}

// Run lists the planned stops.
func (c *listCommand) Run(ctx context.Context, out *output) error {
	return c.withSession(ctx, func(ctx context.Context, s *session) error {
		list, err := (&platformhttp.StatusStore{Client: s.client}).Stops(ctx)
		if err != nil {
			return err
		}
		reports := view.Stops(list, time.Now())
		if c.JSON {
			return out.printJSON(reports)
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
	return c.withSession(ctx, func(ctx context.Context, s *session) error {
		return s.updateStops(ctx, func(v *view.View) (*stop.List, error) {
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
