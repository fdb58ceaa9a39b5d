package stop_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/stop"
)

// server records when it is suspended and resumed.
type server struct {
	start  time.Time
	events []string
}

func (s *server) record(event string) {
	s.events = append(s.events, event+" at "+time.Since(s.start).String())
}
func (s *server) Suspend() { s.record("suspended") }
func (s *server) Resume()  { s.record("resumed") }

type discard struct{}

func (discard) Infof(string, ...any) {}

func TestExecutorAppliesStopsOnTime(t *testing.T) {
	for _, c := range []struct {
		name string
		// plan returns the list known from the start and one that is received
		// after 90 minutes; the second may be nil.
		plan func(now time.Time) (*stop.List, *stop.List)
		want []string
	}{
		{"no stop", func(time.Time) (*stop.List, *stop.List) { return &stop.List{Revision: 1}, nil }, nil},
		{"one stop", func(now time.Time) (*stop.List, *stop.List) {
			return newList(1, now, newStop(now, time.Hour, 2*time.Hour, "a-1")), nil
		}, []string{"suspended at 1h0m0s", "resumed at 2h0m0s"}},
		{"stop of another server", func(now time.Time) (*stop.List, *stop.List) {
			return newList(1, now, newStop(now, time.Hour, 2*time.Hour, "a-2")), nil
		}, nil},
		{"stop of the failure domain", func(now time.Time) (*stop.List, *stop.List) {
			s := newStop(now, time.Hour, 2*time.Hour)
			s.Domain = "a"
			return newList(1, now, s), nil
		}, []string{"suspended at 1h0m0s", "resumed at 2h0m0s"}},
		{"overlapping stops", func(now time.Time) (*stop.List, *stop.List) {
			return newList(1, now, newStop(now, time.Hour, 3*time.Hour, "a-1"), newStop(now, 2*time.Hour, 4*time.Hour, "a-1")), nil
		}, []string{"suspended at 1h0m0s", "resumed at 4h0m0s"}},
		{"stop canceled while under way", func(now time.Time) (*stop.List, *stop.List) {
			return newList(1, now, newStop(now, time.Hour, 3*time.Hour, "a-1")), &stop.List{Revision: 2}
		}, []string{"suspended at 1h0m0s", "resumed at 1h30m0s"}},
		{"older list", func(now time.Time) (*stop.List, *stop.List) {
			return newList(2, now, newStop(now, time.Hour, 3*time.Hour, "a-1")), &stop.List{Revision: 1}
		}, []string{"suspended at 1h0m0s", "resumed at 3h0m0s"}},
		{"received after its start", func(now time.Time) (*stop.List, *stop.List) {
			return &stop.List{Revision: 1}, newList(2, now, newStop(now, time.Hour, 3*time.Hour, "a-1"))
		}, []string{"suspended at 1h30m0s", "resumed at 3h0m0s"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &server{start: time.Now()}
				first, second := c.plan(s.start)
				e := stop.NewExecutor("a-1", "a", s, discard{})
				e.Update(first)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Hour)
				defer cancel()
				if second != nil {
					time.AfterFunc(90*time.Minute, func() { e.Update(second) })
				}
				if err := e.Run(ctx); err != nil {
					t.Error(err)
				}
				if diff := cmp.Diff(c.want, s.events); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

func newStop(now time.Time, from, until time.Duration, servers ...member.ServerID) stop.Stop {
	return stop.Stop{ID: until.String(), Servers: servers, From: now.Add(from), Until: now.Add(until)}
}

func newList(revision uint64, now time.Time, stops ...stop.Stop) *stop.List {
	l := &stop.List{Revision: revision}
	for _, s := range stops {
		l = l.With(s, now)
	}
	return l
}
