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

// server notes when it was suspended and resumed.
type server struct {
	start  time.Time
	events []string
}

func (s *server) note(what string) {
	s.events = append(s.events, what+" at "+time.Since(s.start).String())
}
func (s *server) Suspend() { s.note("suspended") }
func (s *server) Resume()  { s.note("resumed") }

type discard struct{}

func (discard) Infof(string, ...any) {}

func TestExecutorKeepsTheTimes(t *testing.T) {
	for _, c := range []struct {
		name string
		// plan returns the list that is known from the start, and one that
		// comes after 90 minutes; the second may be nil.
		plan func(now time.Time) (*stop.List, *stop.List)
		want []string
	}{
		{"nothing", func(time.Time) (*stop.List, *stop.List) { return &stop.List{Revision: 1}, nil }, nil},
		{"one stop", func(now time.Time) (*stop.List, *stop.List) {
			return list(1, now, of(now, time.Hour, 2*time.Hour, "a-1")), nil
		}, []string{"suspended at 1h0m0s", "resumed at 2h0m0s"}},
		{"of another server", func(now time.Time) (*stop.List, *stop.List) {
			return list(1, now, of(now, time.Hour, 2*time.Hour, "a-2")), nil
		}, nil},
		{"of the failure domain", func(now time.Time) (*stop.List, *stop.List) {
			s := of(now, time.Hour, 2*time.Hour)
			s.Domain = "a"
			return list(1, now, s), nil
		}, []string{"suspended at 1h0m0s", "resumed at 2h0m0s"}},
		{"two that overlap", func(now time.Time) (*stop.List, *stop.List) {
			return list(1, now, of(now, time.Hour, 3*time.Hour, "a-1"), of(now, 2*time.Hour, 4*time.Hour, "a-1")), nil
		}, []string{"suspended at 1h0m0s", "resumed at 4h0m0s"}},
		{"cancelled while under way", func(now time.Time) (*stop.List, *stop.List) {
			return list(1, now, of(now, time.Hour, 3*time.Hour, "a-1")), &stop.List{Revision: 2}
		}, []string{"suspended at 1h0m0s", "resumed at 1h30m0s"}},
		{"an older list is ignored", func(now time.Time) (*stop.List, *stop.List) {
			return list(2, now, of(now, time.Hour, 3*time.Hour, "a-1")), &stop.List{Revision: 1}
		}, []string{"suspended at 1h0m0s", "resumed at 3h0m0s"}},
		{"learned of late", func(now time.Time) (*stop.List, *stop.List) {
			return &stop.List{Revision: 1}, list(2, now, of(now, time.Hour, 3*time.Hour, "a-1"))
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

func of(now time.Time, from, until time.Duration, servers ...member.ServerID) stop.Stop {
	return stop.Stop{ID: until.String(), Servers: servers, From: now.Add(from), Until: now.Add(until)}
}

func list(revision uint64, now time.Time, stops ...stop.Stop) *stop.List {
	l := &stop.List{Revision: revision}
	for _, s := range stops {
		l = l.With(s, now)
	}
	return l
}
