package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"

	"fescuehoist.example/adapters/platformhttp"
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
		return s.changeStops(ctx, func(v *view) (*stop.List, error) {
			if v.stops.Find(id) != nil {
				return nil, nil
			}
			from, err := startTime(c.Start, v.at)
			if err != nil {
				return nil, err
			}
			one := c.stop(id, c.author(), from, c.Length)
			if err := v.checkStop(&one); err != nil {
				return nil, err
			}
			list := v.stops.With(one, v.at)
			return list, c.foresee(out, v, list, &one)
		}, func() {
			out.printf("planned stop %s; the daemons take no new calls from its start on and come back after its end", id)
		})
	})
}

// foresee prints what the stop does to the targets, and refuses it if it breaks
// one and that was not accepted.
func (c *planCommand) foresee(out *output, v *view, list *stop.List, one *stop.Stop) error {
	if len(v.overview.Classes) == 0 {
		out.printf("no status has been reported yet, so nothing can be foreseen")
		return c.accept()
	}
	horizon := one.Until.Sub(v.at)
	in := v.input(list, horizon)
	added := forecast.Compare(forecast.Run(v.input(v.stops, horizon)), forecast.Run(in))
	if len(added) == 0 {
		out.printf("the stop breaks no target")
		return nil
	}
	for _, m := range missReports(added) {
		out.printf("%s", &m)
	}
	printNotices(out, noticeReports(forecast.Notices(in, added)))
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
func (v *view) checkStop(s *stop.Stop) error {
	if err := s.Validate(); err != nil {
		return fmt.Errorf("%w: %w", errInput, err)
	}
	if !s.Until.After(v.at) {
		return fmt.Errorf("%w: the stop would end at %s, in the past", errInput, stamp(s.Until))
	}
	if len(v.stops.Stops) >= stop.MaxStops {
		return fmt.Errorf("%w: %d stops are planned already; cancel one first", errInput, stop.MaxStops)
	}
	known, domain := map[member.ServerID]bool{}, false
	for i := range v.overview.Servers {
		known[v.overview.Servers[i].Server] = true
		domain = domain || v.overview.Servers[i].Domain == s.Domain
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
func (s *session) changeStops(ctx context.Context, decide func(*view) (*stop.List, error), done func()) error {
	store := &platformhttp.StatusStore{Client: s.client}
	var written error
	for {
		v, err := s.view(ctx)
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
		case errors.Is(err, manifest.ErrUnknown):
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
		reports := stopReports(list, time.Now())
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
		return s.changeStops(ctx, func(v *view) (*stop.List, error) {
			switch {
			case v.stops.Find(c.ID) != nil:
				found = true
				return v.stops.Without(c.ID, v.at), nil
			case found:
				return nil, nil
			}
			return nil, fmt.Errorf("%w: no stop %q is planned", errInput, c.ID)
		}, func() { out.printf("cancelled stop %s", c.ID) })
	})
}

// stopReport is a planned stop as it is printed.
type stopReport struct {
	ID      string            `json:"id"`
	Author  string            `json:"author"`
	Servers []member.ServerID `json:"servers,omitempty"`
	Domain  string            `json:"domain,omitempty"`
	From    time.Time         `json:"from"`
	Until   time.Time         `json:"until"`
	State   string            `json:"state"`
}

func stopReports(l *stop.List, at time.Time) []stopReport {
	reports := []stopReport{}
	for i := range l.Stops {
		reports = append(reports, newStopReport(&l.Stops[i], at))
	}
	return reports
}

func newStopReport(s *stop.Stop, at time.Time) stopReport {
	state := "planned"
	switch {
	case s.Active(at):
		state = "under way"
	case !s.Until.After(at):
		state = "ended"
	}
	return stopReport{ID: s.ID, Author: s.Author, Servers: s.Servers, Domain: s.Domain, From: s.From, Until: s.Until, State: state}
}

// String formats the stop as one line.
func (r *stopReport) String() string {
	return fmt.Sprintf("stop %s of %s by %s: from %s until %s, %s", r.ID, r.subject(), r.Author,
		stamp(r.From), stamp(r.Until), r.State)
}

func (r *stopReport) subject() string {
	var parts []string
	for _, s := range r.Servers {
		parts = append(parts, string(s))
	}
	if r.Domain != "" {
		parts = append(parts, "failure domain "+r.Domain)
	}
	return strings.Join(parts, ", ")
}
