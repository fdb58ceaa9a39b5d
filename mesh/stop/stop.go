// Package stop holds planned stops of backend servers and carries them out.
package stop

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"fescuehoist.example/mesh/member"
)

// MaxStops bounds the stops that are planned at one time.
const MaxStops = 1000

// Stop is a planned stop: its backend servers take no new calls from From to
// Until.
type Stop struct {
	ID, Author string
	// Servers names backend servers; Domain, if set, adds all of a failure
	// domain.
	Servers     []member.ServerID
	Domain      string
	From, Until time.Time
}

// Covers reports whether the stop is one of a backend server.
func (s *Stop) Covers(server member.ServerID, domain string) bool {
	return (s.Domain != "" && s.Domain == domain) || slices.Contains(s.Servers, server)
}

// Active reports whether the stop is under way at a time.
func (s *Stop) Active(at time.Time) bool { return !at.Before(s.From) && at.Before(s.Until) }

// Validate returns what is wrong with the stop, or nil.
func (s *Stop) Validate() error {
	switch {
	case s.Domain == "" && len(s.Servers) == 0:
		return errors.New("the stop names no backend server and no failure domain")
	case !s.Until.After(s.From):
		return fmt.Errorf("the stop ends at %s, not after its start at %s", s.Until.Format(time.RFC3339), s.From.Format(time.RFC3339))
	}
	return nil
}

// List is all planned stops, the earliest first.
type List struct {
	// Revision grows with each change.
	Revision uint64
	Stops    []Stop
}

// At returns the stop under way for a backend server, or nil.
func (l *List) At(server member.ServerID, domain string, at time.Time) *Stop {
	for i := range l.Stops {
		s := &l.Stops[i]
		if s.Covers(server, domain) && s.Active(at) {
			return s
		}
	}
	return nil
}

// next returns the first time after at when a stop of the server starts or
// ends, or the zero time.
func (l *List) next(server member.ServerID, domain string, at time.Time) time.Time {
	var next time.Time
	for i := range l.Stops {
		s := &l.Stops[i]
		if !s.Covers(server, domain) {
			continue
		}
		for _, t := range []time.Time{s.From, s.Until} {
			if t.After(at) && (next.IsZero() || t.Before(next)) {
				next = t
			}
		}
	}
	return next
}

// Find returns the stop with an id, or nil.
func (l *List) Find(id string) *Stop {
	for i := range l.Stops {
		if l.Stops[i].ID == id {
			return &l.Stops[i]
		}
	}
	return nil
}

// With returns the list with one more stop and without those that have ended.
func (l *List) With(s Stop, now time.Time) *List {
	next := l.current(now)
	next.Stops = append(next.Stops, s)
	slices.SortStableFunc(next.Stops, func(a, b Stop) int { return cmp.Compare(a.From.UnixNano(), b.From.UnixNano()) })
	return next
}

// Without returns the list without the stop with an id.
func (l *List) Without(id string, now time.Time) *List {
	next := l.current(now)
	next.Stops = slices.DeleteFunc(next.Stops, func(s Stop) bool { return s.ID == id })
	return next
}

func (l *List) current(now time.Time) *List {
	next := &List{Revision: l.Revision}
	for _, s := range l.Stops {
		if s.Until.After(now) {
			next.Stops = append(next.Stops, s)
		}
	}
	return next
}

// Store keeps the list of stops.
type Store interface {
	// Stops returns the list; an absent one is empty.
	Stops(ctx context.Context) (*List, error)
	// SaveStops replaces the list if its revision is still that of l.
	SaveStops(ctx context.Context, l *List) error
}
