package rollout

import (
	"testing"
	"testing/synctest"
	"time"

	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/revision"
)

// newStartingFollower returns a follower of the daemon beside a server of v2.
func newStartingFollower(stored *orders) *Follower {
	start := time.Now()
	own := func() (member.Record, bool) {
		return member.Record{Server: "a", Service: "lookup", Release: "v2"}, true
	}
	f := NewFollower(func() time.Duration { return time.Hour + time.Since(start) }, own, func() int { return 0 })
	f.Orders = stored
	return f
}

// Guards against a starting daemon that uses a release which was rolled back, or is not
// proven, until the first directions arrive; and against one that takes what the store had
// for a later word than that of a controller.
func TestStartingDaemonFollowsStoredOrdersUntilDirectionsCome(t *testing.T) {
	for stored, next := range map[State]Direction{
		0:          {Service: "lookup", Release: "v2", State: Running, Share: 0.1, Order: revision.Revision{Number: 1}},
		Running:    {Service: "lookup", Release: "v2", State: RolledBack, Order: revision.Revision{Number: 1}},
		RolledBack: {Service: "lookup", Release: "v3", State: Running, Share: 0.1, Order: revision.Revision{Number: 3}},
		Completed:  {Service: "lookup", Release: "v2", State: Running, Share: 0.2, Order: revision.Revision{Number: 3}},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := newOrders()
			_, _ = s.put(Order{Name: "earlier", Service: "lookup", Release: "v1", Status: Completed})
			_, _ = s.put(Order{Name: "lookup", Service: "lookup", Release: "v2", Status: stored})
			f := newStartingFollower(s)
			if f.Current().Started() {
				t.Error("the daemon takes itself as started before it has read the orders")
			}
			if err := f.Run(t.Context()); err != nil {
				t.Fatal(err)
			}
			a, want := f.Current().Of("lookup"), max(stored, Running)
			if a == nil || a.Release != "v2" || a.State != want || (want != Completed && a.CurrentShare() > 0) {
				t.Fatalf("stored as %s: got %+v, want v2, %s", stored, a, want)
			}
			if counts := f.Counts(); !f.Current().Started() || len(counts) > 0 {
				t.Errorf("stored as %s: started %t, counts %+v; want true and none", stored, f.Current().Started(), counts)
			}
			f.Apply([]Direction{{}, next})
			if a := f.Current().Of("lookup"); a.Order != next.Order || a.State != next.State || a.Avoid != "" {
				t.Errorf("stored as %s: got %+v, want the direction %+v", stored, a, next)
			}
		})
	}
}

// Guards against a stored order that a controller does not follow and daemons do for ever,
// against one that is read late and replaces directions, and against a store that is away
// and keeps the daemon from its servers.
func TestStoredOrdersGiveWayToCompleteDirections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOrders()
		_, _ = s.put(Order{Name: "lookup", Service: "lookup", Release: "v2"})
		f := newStartingFollower(s)
		_ = f.Run(t.Context())
		time.Sleep(tick)
		f.Apply([]Direction{{}})
		if f.Current().Of("lookup") == nil {
			t.Error("a list that confirms nothing took the stored order back")
		}
		time.Sleep(tick)
		f.Apply([]Direction{{Share: 1}})
		if a := f.Current().Of("lookup"); a != nil {
			t.Errorf("after a complete list without the service: got %+v, want none", a)
		}
		late := newStartingFollower(s)
		late.Apply([]Direction{{Share: 1}})
		_ = late.Run(t.Context())
		if a := late.Current().Of("lookup"); a != nil {
			t.Errorf("an order read after a complete list: got %+v, want none", a)
		}
		s.setDown(true)
		away := newStartingFollower(s)
		start := time.Now()
		_ = away.Run(t.Context())
		if took := time.Since(start); took != settleTime || !away.Current().Started() {
			t.Errorf("without the store: started %t after %s, want true after %s", away.Current().Started(), took, settleTime)
		}
	})
}
