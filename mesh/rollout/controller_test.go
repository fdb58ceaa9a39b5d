package rollout

import (
	"slices"
	"testing"
	"time"
)

// coldFor is the time for which servers take twice as long after their start.
const coldFor = 3 * time.Second

// Guards against good releases that are taken back because their servers have just started
// or because a fault hits both releases alike, and against completion while old servers run
// calls or after the time limit.
func TestGoodReleaseIsCompleted(t *testing.T) {
	inFleet(t, 30, func(f *fleet) {
		ordered := f.now() + time.Second
		f.answer = func(release, _ string, at time.Duration, _ float64) (time.Duration, bool) {
			d, fails := f.healthy("", "", at, 0)
			if release == "v2" && at < ordered+coldFor {
				d *= 2
			}
			// A service behind this one fails for a while.
			in := at - ordered
			return d, fails || (in > 5*time.Second && in < 8*time.Second && f.rand.Float64() < 0.3)
		}
		f.run(time.Second)
		f.order("v2")
		f.run(timeLimit - 500*time.Millisecond)
		f.expectStatus(Completed)
		if f.lost > 0 {
			f.t.Errorf("%d of %d calls met a server that refuses calls, want none", f.lost, f.requests)
		}
		before := f.exposed
		f.run(time.Second)
		if f.exposed-before < int(0.9*f.rate) {
			f.t.Errorf("%d calls went to the release in the second after its completion, want all", f.exposed-before)
		}
	})
}

// answer is how the bad release answers a call of a class at a time after the order; load
// is that of its server relative to full service.
type answer func(f *fleet, class string, in time.Duration, load float64) (time.Duration, bool)

func failing(f *fleet) bool { return f.rand.Float64() < 0.3 }

func failsFrom(from time.Duration) answer {
	return func(f *fleet, _ string, in time.Duration, _ float64) (time.Duration, bool) {
		return f.runTime(), in > from && failing(f)
	}
}

func slowIf(condition func(class string, in time.Duration, load float64) bool) answer {
	return func(f *fleet, class string, in time.Duration, load float64) (time.Duration, bool) {
		if condition(class, in, load) {
			return 4 * f.runTime(), false
		}
		return f.runTime(), false
	}
}

// runBad orders a bad release and lets calls arrive beyond the time limit.
func (f *fleet) runBad(bad answer) {
	f.run(time.Second)
	f.order("v2")
	ordered := f.now()
	f.answer = func(release, class string, at time.Duration, load float64) (time.Duration, bool) {
		if release == "v1" {
			return f.healthy("", "", at, 0)
		}
		return bad(f, class, at-ordered, load)
	}
	f.run(timeLimit + time.Second)
}

// Guards against bad releases that get more than their share of the requests or that are
// completed, whatever is wrong with them and whenever it begins.
func TestBadReleaseIsRolledBack(t *testing.T) {
	for name, bad := range map[string]answer{
		"fails from the start":     failsFrom(0),
		"fails from the canary on": failsFrom(4 * time.Second),
		"fails from the probe on":  failsFrom(8 * time.Second),
		"fails in full service":    failsFrom(9700 * time.Millisecond),
		"fails under load": func(f *fleet, _ string, _ time.Duration, load float64) (time.Duration, bool) {
			return f.runTime(), load > 0.7 && failing(f)
		},
		"slow from the start": slowIf(func(string, time.Duration, float64) bool { return true }),
		"slow later":          slowIf(func(_ string, in time.Duration, _ float64) bool { return in > 6*time.Second }),
	} {
		t.Run(name, func(t *testing.T) {
			inFleet(t, 10, func(f *fleet) {
				f.runBad(bad)
				f.expectStatus(RolledBack)
				f.expectExposure()
			})
		})
	}
}

// Guards against a judgement that looks at all classes together only. Some releases get by:
// within the allowance a class with a fifth of the traffic has about 25 answers.
func TestReleaseWithOneBadClassIsMostlyRolledBack(t *testing.T) {
	for name, bad := range map[string]answer{
		"fails": func(f *fleet, class string, _ time.Duration, _ float64) (time.Duration, bool) {
			return f.runTime(), class == "c1" && failing(f)
		},
		"slow under load": slowIf(func(class string, _ time.Duration, load float64) bool { return load > 0.7 && class == "c2" }),
	} {
		t.Run(name, func(t *testing.T) {
			missed := 0
			inFleet(t, 40, func(f *fleet) {
				f.runBad(bad)
				if f.orders.status() != RolledBack {
					missed++
				}
			})
			if missed > 4 {
				t.Errorf("%d of 40 releases were completed, want at most 4", missed)
			}
		})
	}
}

// Guards against a version that gets requests while nobody judges it, and against an order
// that ends with the controller which began it.
func TestRolloutGoesOnAfterControllerDies(t *testing.T) {
	// One that dies in the probe costs the time for which nothing was tried.
	for at, overtime := range map[time.Duration]time.Duration{4 * time.Second: 0, 9 * time.Second: 1500 * time.Millisecond} {
		t.Run(at.String(), func(t *testing.T) {
			inFleet(t, 5, func(f *fleet) { f.replaceController(at, overtime) })
		})
	}
}

// replaceController lets the controller die at a time after the order, and another one
// begin 1.7 s later, and expects the completion within the time limit and some overtime.
func (f *fleet) replaceController(at, overtime time.Duration) {
	f.answer = flawless
	f.order("v2")
	f.run(at)
	order := f.servers[0].Current().Of("lookup").Order
	for _, s := range f.servers {
		s.cutOff = true
	}
	f.run(1200 * time.Millisecond)
	before := f.exposed
	f.run(500 * time.Millisecond)
	for _, s := range f.control.Status() {
		if s.Phase == full.String() {
			f.t.Error("full service began without counts")
		}
	}
	if f.exposed != before {
		f.t.Errorf("%d calls went to the release without recent directions, want none", f.exposed-before)
	}
	for _, s := range f.servers {
		s.cutOff = false
	}
	f.control = f.startController()
	f.run(timeLimit + overtime - at - 1700*time.Millisecond)
	f.expectStatus(Completed)
	if after := f.servers[0].Current().Of("lookup").Order; order.After(after) {
		f.t.Errorf("order %s became %s", order, after)
	}
}

// Guards against daemons that are out of touch and use a release that others found bad,
// also after a controller without knowledge of the rollback took over.
func TestRollbackWithoutStoreHoldsAndIsWrittenLater(t *testing.T) {
	inFleet(t, 5, func(f *fleet) {
		f.order("v2")
		f.run(3 * time.Second)
		f.servers[1].cutOff = true
		f.orders.setDown(true)
		f.answer = func(release, _ string, _ time.Duration, _ float64) (time.Duration, bool) {
			return f.runTime(), release == "v2" && f.rand.Float64() < 0.9
		}
		f.run(6 * time.Second)
		if a := f.servers[0].Current().Of("lookup"); a.State != RolledBack {
			f.t.Fatalf("state %s while the store is away, want rolled back", a.State)
		}
		before := f.exposed
		f.expectStatus(Running)
		f.control = f.startController()
		f.run(time.Second)
		f.orders.setDown(false)
		f.run(4 * time.Second)
		f.expectStatus(RolledBack)
		if f.exposed != before {
			f.t.Errorf("%d calls went to the release after its rollback, want none", f.exposed-before)
		}
	})
}

// Guards against a completion that the store does not have, after which the platform would
// keep the old servers while no daemon uses them.
func TestGoodReleaseWaitsForStore(t *testing.T) {
	inFleet(t, 5, func(f *fleet) {
		f.answer = flawless
		f.order("v2")
		f.run(5 * time.Second)
		f.orders.setDown(true)
		f.run(timeLimit - 4*time.Second)
		if a := f.servers[0].Current().Of("lookup"); a.State != Running {
			f.t.Fatalf("state %s while the store is away, want running", a.State)
		}
		f.expectExposure()
		f.orders.setDown(false)
		f.run(4 * time.Second)
		f.expectStatus(Completed)
	})
}

// Guards against two controllers that contradict each other for good, and against a later
// order that is taken for the one before.
func TestLaterOrderReplacesRunningOneUnderTwoControllers(t *testing.T) {
	inFleet(t, 5, func(f *fleet) {
		f.answer = flawless
		second := f.startController()
		f.order("v2")
		step := func(d time.Duration) {
			for range d / (2 * tick) {
				f.run(tick)
				f.exchange(second)
				f.run(tick)
			}
		}
		step(4 * time.Second)
		if f.exposed == 0 {
			f.t.Error("the release got no calls")
		}
		f.order("v1")
		step(time.Second)
		before := f.exposed
		step(timeLimit - time.Second)
		f.expectStatus(Completed)
		if f.exposed != before {
			f.t.Errorf("%d calls went to v2 after the order to use v1, want none", f.exposed-before)
		}
		f.order("v2")
		step(2 * time.Second)
		f.expectStatus(Running)
	})
}

// Guards against a bad object that ends a running order or is not shown.
func TestInvalidOrderChangesNothing(t *testing.T) {
	inFleet(t, 1, func(f *fleet) {
		f.order("v2")
		f.run(time.Second)
		_, _ = f.orders.put(Order{Name: "lookup", Err: errDown})
		_, _ = f.orders.put(Order{Name: "other", Service: "other", Release: "v2", Duration: timeLimit})
		f.run(time.Second)
		var states []string
		for _, s := range f.control.Status() {
			states = append(states, s.Service+" "+s.State)
		}
		if want := []string{"lookup refused", "lookup running", "other refused"}; !slices.Equal(states, want) {
			f.t.Errorf("states %q, want %q", states, want)
		}
	})
}

// Guards against an order that is not seen for half a minute, in which its release is used
// like any other, because the watch is lost on its way.
func TestOrderIsFoundWhenItsServersAppearThoughWatchIsLost(t *testing.T) {
	inFleet(t, 1, func(f *fleet) {
		f.run(time.Second)
		f.orders.deaf = true
		f.order("v2")
		f.run(time.Second)
		appeared := f.now()
		f.mixed = true
		f.control.Observe(nil, 1)
		if list := f.control.Directions(); len(list) != 1 || list[0].Share != 0 {
			f.t.Errorf("directions %+v before the orders were read, want a list that confirms nothing", list)
		}
		f.run((2*lag + 2) * tick)
		if !f.servers[0].Current().Settled(appeared) || f.servers[0].Current().Of("lookup") == nil {
			f.t.Error("no direction after the servers appeared")
		}
	})
}
