package rollout

import (
	"testing"
	"time"

	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/revision"
)

// withControllers runs a test with a fleet in which one controller stays, and with one in
// which replace puts a new one in its place.
func withControllers(t *testing.T, test func(f *fleet, replace func())) {
	t.Run("one controller", func(t *testing.T) {
		inFleet(t, 3, func(f *fleet) { test(f, func() {}) })
	})
	t.Run("another controller", func(t *testing.T) {
		inFleet(t, 3, func(f *fleet) { test(f, func() { f.control = f.startController() }) })
	})
}

// orderAt stores an order for a release under a given number.
func (f *fleet) orderAt(number uint64, release string) {
	f.orders.mu.Lock()
	f.orders.revision.Number = number - 1
	f.orders.mu.Unlock()
	f.order(release)
}

// Guards against a bad release that is completed since its order has the number of an
// earlier one, which the store gave out again, and against an order with a lower number that
// is never taken up.
func TestOrderOfLaterEpochIsJudgedWhateverItsNumber(t *testing.T) {
	for name, difference := range map[string]int64{"lower": -5, "the same": 0, "higher": 5} {
		t.Run(name, func(t *testing.T) {
			withControllers(t, func(f *fleet, replace func()) {
				copied := f.orders.copy()
				const number = 40
				f.orderAt(number, "v1")
				f.run(timeLimit)
				f.expectStatus(Completed)
				f.orders.restore(copied)
				f.order("v1")
				replace()
				f.run(2 * time.Second)
				f.orderAt(uint64(number+difference), "v2")
				f.answer = func(release, _ string, _ time.Duration, _ float64) (time.Duration, bool) {
					return f.runTime(), release == "v2"
				}
				f.run(timeLimit)
				f.expectStatus(RolledBack)
				f.expectExposure()
			})
		})
	}
}

// Guards against a rollout that ends, or begins anew with a new allowance, when the store
// loses its order.
func TestRunningRolloutGoesOnAfterStoreCopy(t *testing.T) {
	for name, rewriteAfter := range map[string]time.Duration{"order written again at once": 0, "order written again later": 1500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			withControllers(t, func(f *fleet, replace func()) {
				f.answer = flawless
				copied := f.orders.copy()
				f.order("v2")
				f.run(3 * time.Second)
				order := f.servers[0].Current().Of("lookup").Order
				f.orders.restore(copied)
				replace()
				f.run(rewriteAfter)
				f.order("v2")
				f.run(timeLimit - 3*time.Second - rewriteAfter + time.Second)
				f.expectStatus(Completed)
				if after := f.servers[0].Current().Of("lookup").Order; after != order {
					f.t.Errorf("order %s became %s", order, after)
				}
			})
		})
	}
}

// Guards against a final state that the store lost and that nobody writes again, so that the
// operator never learns it, and against traffic to a release that was rolled back.
func TestEndOfRolloutIsWrittenAgainAfterStoreCopy(t *testing.T) {
	for name, c := range map[string]struct {
		bad bool
		// running means that the copy holds the order as running.
		running bool
		want    State
	}{
		"completed, order lost": {false, false, Completed}, "completed, order running in the copy": {false, true, Completed},
		"rolled back, order lost": {true, false, RolledBack}, "rolled back, order running in the copy": {true, true, RolledBack},
	} {
		t.Run(name, func(t *testing.T) {
			withControllers(t, func(f *fleet, replace func()) {
				f.answer = func(release, _ string, _ time.Duration, _ float64) (time.Duration, bool) {
					return 30 * time.Millisecond, c.bad && release == "v2"
				}
				copied := f.orders.copy()
				f.order("v2")
				f.run(500 * time.Millisecond)
				if c.running {
					copied = f.orders.copy()
				}
				f.run(timeLimit)
				f.expectStatus(c.want)
				before := f.exposed
				// The store comes back twice in quick succession.
				for range 2 {
					f.orders.restore(copied)
					if !c.running {
						f.order("v2")
					}
					f.run(200 * time.Millisecond)
				}
				replace()
				f.run(3 * time.Second)
				f.expectStatus(c.want)
				if c.bad && f.exposed != before {
					f.t.Errorf("%d calls went to the release after its rollback, want none", f.exposed-before)
				}
				if a := f.servers[0].Current().Of("lookup"); a.State != c.want {
					f.t.Errorf("daemons follow state %s, want %s", a.State, c.want)
				}
			})
		})
	}
}

// Guards against servers of a completed release that refuse all calls, since the store came
// back with the order before its own, which had ended.
func TestEndedOrderInStoreCopyDoesNotReplaceLaterOne(t *testing.T) {
	withControllers(t, func(f *fleet, replace func()) {
		f.answer = flawless
		f.order("v1")
		f.run(timeLimit)
		f.expectStatus(Completed)
		copied := f.orders.copy()
		f.order("v2")
		f.run(timeLimit)
		f.expectStatus(Completed)
		f.orders.restore(copied)
		replace()
		f.run(3 * time.Second)
		if a := f.servers[0].Current().Of("lookup"); a.Release != "v2" || a.State != Completed {
			f.t.Errorf("daemons follow release %s, %s; want v2, completed", a.Release, a.State)
		}
		f.order("v2")
		f.run(3 * time.Second)
		f.expectStatus(Completed)
		if f.lost > 0 {
			f.t.Errorf("%d of %d calls met a server that refuses calls, want none", f.lost, f.requests)
		}
	})
}

// Guards against a daemon that was cut off, whose order of an earlier epoch is taken for the
// one that all others follow, or for a new one for the same release.
func TestDaemonThatFollowsOrderOfEarlierEpochDecidesNothing(t *testing.T) {
	withControllers(t, func(f *fleet, replace func()) {
		f.answer = flawless
		copied := f.orders.copy()
		f.orderAt(40, "v2")
		f.run(timeLimit)
		f.expectStatus(Completed)
		late := f.servers[0]
		late.cutOff = true
		f.orders.restore(copied)
		f.order("v1")
		f.run(timeLimit)
		f.expectStatus(Completed)
		replace()
		late.cutOff = false
		f.run(3 * time.Second)
		if a := late.Current().Of("lookup"); a.Release != "v1" || a.State != Completed {
			f.t.Errorf("the daemon that was cut off follows release %s, %s; want v1, completed", a.Release, a.State)
		}
		late.cutOff = true
		late.Follower = NewFollower(f.now, func() (member.Record, bool) { return late.record, true }, func() int { return 0 })
		late.Apply([]Direction{{Share: 1}, {Service: "lookup", Release: "v2", State: Completed, Order: revision.Revision{Epoch: 1, Number: 40}}})
		late.cutOff = false
		f.answer = func(release, _ string, _ time.Duration, _ float64) (time.Duration, bool) {
			return 30 * time.Millisecond, release == "v2"
		}
		replace()
		f.exposed = 0
		f.order("v2")
		f.run(timeLimit)
		f.expectStatus(RolledBack)
		f.expectExposure()
	})
}
