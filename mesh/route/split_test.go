package route

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/revision"
	"fescuehoist.example/mesh/rollout"
)

// releaseFleet is a router whose daemon knows servers of several releases of a service.
type releaseFleet struct {
	now      time.Duration
	follower *rollout.Follower
	members  *member.Table
	table    *Table
}

func newReleaseFleet() *releaseFleet {
	f := &releaseFleet{now: time.Hour, members: member.NewTable("self")}
	own := func() (member.Record, bool) { return member.Record{}, false }
	f.follower = rollout.NewFollower(func() time.Duration { return f.now }, own, func() int { return 0 })
	f.table = &Table{}
	return f
}

// add makes n servers of a release known.
func (f *releaseFleet) add(release string, n int) {
	for i := range n {
		f.members.Merge([]member.Record{{
			Server: member.ServerID(fmt.Sprint(release, "-", i)), Incarnation: 1, State: member.Ready, Service: "lookup", Release: release, Slots: 4,
		}})
	}
}

// releases returns which releases take calls, at a first attempt or a retry, and how many
// servers of v2 do.
func (f *releaseFleet) releases(tried ...member.ServerID) (found []string, servers int) {
	next := &Table{snapshot: manifest.NewStore().Snapshot(), services: map[string]*Service{}, directions: f.follower.Current()}
	next.add("lookup", f.table, f.members.View())
	f.table = next
	p, used := NewPicker("", nil), map[member.ServerID]bool{}
	for i := range 200 {
		r := p.Pick(next.Service("lookup"), Query{Draw: float64(i) / 200, Tried: tried})
		if r == nil {
			found = append(found, "none")
			continue
		}
		found = append(found, r.Release)
		if r.Release == "v2" && !used[r.Server] {
			used[r.Server] = true
			servers++
		}
		p.Done(r.Server, Outcome{})
	}
	slices.Sort(found)
	return slices.Compact(found), servers
}

func (f *releaseFleet) expect(t *testing.T, when string, want ...string) {
	t.Helper()
	if got, _ := f.releases(); !slices.Equal(got, want) {
		t.Errorf("%s: calls go to %q, want %q", when, got, want)
	}
}

// Guards against requests to a release without a direction that allows them, and against
// requests to the one that a rollout has left.
func TestReleasesFollowDirections(t *testing.T) {
	f := newReleaseFleet()
	f.add("v1", 3)
	f.expect(t, "one release", "v1")
	f.now += time.Minute
	f.add("v2", 3)
	f.expect(t, "a release that has just appeared", "v1")
	direct := func(order uint64, release string, s rollout.State, share float64, servers int) {
		f.now += time.Millisecond
		f.follower.Apply([]rollout.Direction{{}, {Service: "lookup", Release: release, State: s, Share: share, Servers: servers, Order: revision.Revision{Number: order}}})
	}
	direct(1, "v2", rollout.Running, 0.1, 1)
	f.expect(t, "canary", "v1", "v2")
	if _, servers := f.releases(); servers != 1 {
		t.Errorf("canary on %d servers, want 1", servers)
	}
	if got, _ := f.releases("v2-0", "v2-1", "v2-2"); !slices.Equal(got, []string{"v1"}) {
		t.Errorf("retries go to %q, want v1", got)
	}
	f.now += rollout.DirectionLifetime
	f.expect(t, "a direction that is out of date", "v1")
	direct(1, "v2", rollout.Running, 1, 0)
	f.expect(t, "full service", "v2")
	direct(1, "v2", rollout.RolledBack, 0, 0)
	f.now += time.Minute
	f.expect(t, "rolled back", "v1")
	direct(1, "v2", rollout.Running, 1, 0)
	f.expect(t, "a late direction of the order", "v1")
	direct(2, "v3", rollout.Running, 0.1, 0)
	f.expect(t, "an order after a rollback", "v1")
	direct(2, "v3", rollout.Completed, 0, 0)
	f.expect(t, "completed without a server", "none")
	f.add("v3", 1)
	f.now += time.Minute
	f.expect(t, "completed", "v3")
}

// Guards against releases that are left out although there is no order: servers that are
// replaced one by one, also by a release that no direction has confirmed.
func TestReplacementOfServersNeedsNoOrder(t *testing.T) {
	f := newReleaseFleet()
	f.add("v1", 2)
	f.add("v2", 1)
	f.expect(t, "a daemon that has just started", "none")
	f.now += time.Millisecond
	f.follower.Apply([]rollout.Direction{{Share: 1}})
	f.expect(t, "no order", "v1", "v2")
	f.add("v3", 1)
	f.expect(t, "a release that has just appeared", "v1", "v2")
	f.now += 2 * time.Second
	f.expect(t, "no collector", "v1", "v2", "v3")
}

// storedOrders is an Orders port that is only read.
type storedOrders []rollout.Order

func (o storedOrders) List(context.Context) ([]rollout.Order, revision.Revision, error) {
	return o, revision.Revision{Number: 1}, nil
}

func (storedOrders) Next(context.Context, revision.Revision, time.Duration) ([]rollout.Order, revision.Revision, error) {
	return nil, revision.Revision{}, rollout.ErrCompacted
}

func (storedOrders) WriteStatus(context.Context, rollout.Order, rollout.State) (revision.Revision, error) {
	return revision.Revision{}, rollout.ErrChanged
}

// Guards against requests to a release that was rolled back, from a starting daemon that
// knows servers of no other.
func TestStartingDaemonReadsOrdersBeforeItUsesOnlyRelease(t *testing.T) {
	for _, c := range []struct {
		stored     storedOrders
		alone, all []string
	}{
		{nil, []string{"v2"}, []string{"v2"}},
		{storedOrders{{Name: "lookup", Service: "lookup", Release: "v2", Status: rollout.RolledBack}}, []string{"none"}, []string{"v1"}},
		{storedOrders{{Name: "lookup", Service: "lookup", Release: "v2"}}, []string{"none"}, []string{"v1"}},
		{storedOrders{{Name: "lookup", Service: "lookup", Release: "v2", Status: rollout.Completed}}, []string{"v2"}, []string{"v2"}},
	} {
		f := newReleaseFleet()
		f.follower.Orders = c.stored
		f.add("v2", 2)
		f.expect(t, "before the orders are read", "none")
		f.now += time.Second
		f.add("v1", 2)
		f.expect(t, "another release before the orders are read", "none")
		f.members = member.NewTable("self")
		f.add("v2", 2)
		if err := f.follower.Run(t.Context()); err != nil {
			t.Fatal(err)
		}
		f.expect(t, fmt.Sprintf("one release, orders %+v", c.stored), c.alone...)
		f.add("v1", 2)
		f.expect(t, fmt.Sprintf("another release, orders %+v", c.stored), c.all...)
	}
}
