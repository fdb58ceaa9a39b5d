// Package stop defines planned stops of backend servers and carries them out.
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

// MaxStops is the maximum number of stops planned at a time.
const MaxStops = 1000

// Stop is a planned stop: its backend servers accept no new calls from From to
// Until.
type Stop struct {
	ID, Author string
	// Servers names backend servers; Domain, if set, adds all servers of a
	// failure domain.
	Servers     []member.ServerID
	Domain      string
	From, Until time.Time
}

// Covers reports whether the stop includes a backend server.
func (s *Stop) Covers(server member.ServerID, domain string) bool {
	return (s.Domain != "" && s.Domain == domain) || slices.Contains(s.Servers, server)
}

// Active reports whether the stop is under way at the given time.
func (s *Stop) Active(at time.Time) bool { return !at.Before(s.From) && at.Before(s.Until) }

// Validate returns an error if the stop names no backend server or does not
// end after its start.
func (s *Stop) Validate() error {
	switch {
	case s.Domain == "" && len(s.Servers) == 0:
		return errors.New("the stop names no backend server and no failure domain")
	case !s.Until.After(s.From):
		return fmt.Errorf("the stop ends at %s, want a time after its start at %s", s.Until.Format(time.RFC3339), s.From.Format(time.RFC3339))
	}
	return nil
}

// List holds all planned stops, ordered by start.
type List struct {
	// Revision increases with each change.
	Revision uint64
	Stops    []Stop
}

// At returns the stop of a backend server that is under way at the given time,
// or nil.
func (l *List) At(server member.ServerID, domain string, at time.Time) *Stop {
	for i := range l.Stops {
		s := &l.Stops[i]
		if s.Covers(server, domain) && s.Active(at) {
			return s
		}
	}
	return nil
}

// next returns the next start or end of a stop of the server after the given
// time, or the zero time.
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

// Find returns the stop with the given ID, or nil.
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
	updated := l.withoutEnded(now)
	updated.Stops = append(updated.Stops, s)
	slices.SortStableFunc(updated.Stops, func(a, b Stop) int { return cmp.Compare(a.From.UnixNano(), b.From.UnixNano()) })
	return updated
}

// Without returns the list without the stop with the given ID and without
// those that have ended.
func (l *List) Without(id string, now time.Time) *List {
	updated := l.withoutEnded(now)
	updated.Stops = slices.DeleteFunc(updated.Stops, func(s Stop) bool { return s.ID == id })
	return updated
}

func (l *List) withoutEnded(now time.Time) *List {
	updated := &List{Revision: l.Revision}
	for _, s := range l.Stops {
		if s.Until.After(now) {
			updated.Stops = append(updated.Stops, s)
		}
	}
	return updated
}

// Store holds the list of stops.
type Store interface {
	// Stops returns the list, an empty one if none is stored.
	Stops(ctx context.Context) (*List, error)
	// SaveStops replaces the list if its revision is still that of l.
	SaveStops(ctx context.Context, l *List) error
}
