package daemon_test

import (
	"slices"
	"testing"
	"time"

	"fescuehoist.example/fescuehoistd/daemon"
	"fescuehoist.example/platform/platformtest"
)

// fillStore writes objects of another system until the store has a revision.
func fillStore(store *platformtest.Store, revision uint64) {
	for store.Revision() < revision {
		store.Put("other", "object", store.Revision())
	}
}

// controller returns the host whose daemon controls the rollouts.
func (f *rolloutFleet) controller(t *testing.T) *host {
	t.Helper()
	var found *host
	await(t, "a controller of rollouts", func() bool {
		for _, h := range append(f.old, f.new...) {
			if h.daemon.State().Rollouts != nil && len(h.daemon.State().Rollouts.Orders) > 0 {
				found = h
				return true
			}
		}
		return false
	})
	return found
}

// awaitDirections waits until all daemons follow a direction of a state.
func (f *rolloutFleet) awaitDirections(t *testing.T, state string) {
	t.Helper()
	for _, h := range append(f.old, f.new...) {
		await(t, "a direction "+state, func() bool {
			followed := h.daemon.State().Rollouts.Directions
			return len(followed) == 1 && followed[0].State == state
		})
	}
}

// Guards against an order for a bad release that is taken for an earlier order, or never
// taken up, since the store came back from an older copy and gave that order's revision out
// again.
func TestOrderWithRepeatedRevisionAfterStoreCopyIsJudged(t *testing.T) {
	for _, c := range []struct {
		name string
		// restarted means that the controller starts again after the store came back.
		restarted bool
	}{{"controller restarted", true}, {"controller runs on", false}} {
		t.Run(c.name, func(t *testing.T) {
			f := startRolloutFleet(t)
			copied := f.store.Copy()
			fillStore(f.store, copied.Revision()+40)
			number := f.store.OrderRollout("lookup", "v2", rolloutLimit)
			control := f.controller(t)
			others := slices.DeleteFunc(append(slices.Clone(f.old), f.new...), func(h *host) bool { return h == control })
			// A call that the killed daemon passed on ends with 502.
			f.callThrough(t, others, 200, 500, 502, 503)
			await(t, "the completion of the good release", func() bool { return f.status(t) == "completed" })
			f.awaitDirections(t, "completed")
			f.store.Restore(copied)
			if c.restarted {
				restart(t, daemon.ErrAborted, control)
				control.report(t)
			}
			for _, h := range f.old {
				h.backend.SetVersion("v3")
				h.backend.SetFail(true)
				h.report(t)
			}
			f.controller(t)
			fillStore(f.store, number-1)
			ordered, before, already := time.Now(), f.requests.Load(), executions(f.old)
			if again := f.store.OrderRollout("lookup", "v3", rolloutLimit); again != number {
				t.Fatalf("the order for the bad release has revision %d, want %d", again, number)
			}
			await(t, "the end of the bad release", func() bool {
				state, err := f.store.RolloutState("lookup", "v3")
				return (err == nil && state != "" && state != "running") || time.Since(ordered) > rolloutLimit
			})
			time.Sleep(time.Second)
			f.stopCalls()
			requests, exposed := f.requests.Load()-before, executions(f.old)-already
			if float64(exposed) > 0.1*float64(requests)+50 {
				t.Errorf("the bad release got %d of %d requests", exposed, requests)
			}
			if state, err := f.store.RolloutState("lookup", "v3"); err != nil || state != "rolled_back" {
				t.Errorf("state of the bad release %q, error %v; want rolled_back", state, err)
			}
		})
	}
}

// Guards against a configuration that is never read, since the store came back from an
// older copy and gave it a revision that daemons had seen before: keys that it takes away
// would go on being accepted.
func TestVersionWithRepeatedRevisionAfterStoreCopyIsRead(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	store.PutConfiguration(configuration(4))
	h := startHost(t, store, "host-a", "cairo-a", "lookup")
	await(t, "the first route", respondsWith(t, h, "/search/x", 200))
	copied := store.Copy()
	fillStore(store, copied.Revision()+40)
	seen := store.PutConfiguration(configuration(7, "/export/"))
	await(t, "the added route", func() bool { return respondsWith(t, h, "/export/x", 200)() || respondsWith(t, h, "/export/x", 503)() })
	read := make(chan struct{})
	store.OnNextList("config", func() {
		fillStore(store, seen-1)
		if again := store.PutConfiguration(configuration(9)); again != seen {
			t.Errorf("the version has revision %d, want %d", again, seen)
		}
		close(read)
	})
	store.Restore(copied)
	<-read
	await(t, "the removal of the route", respondsWith(t, h, "/export/x", 404))
}

// Guards against routing to a backend server whose confirmed withdrawal the store lost, when
// all daemons are killed as it comes back and a status report arrives late.
func TestConfirmedWithdrawalOutlivesStoreCopyAndAllDaemons(t *testing.T) {
	for _, c := range []struct {
		name string
		// restored means that the daemons live until the store has their entries again.
		restored bool
	}{{"killed at once", false}, {"killed later", true}} {
		t.Run(c.name, func(t *testing.T) {
			store := platformtest.NewStore()
			defer store.Close()
			a, b := startPair(t, store, "cairo-b")
			awaitEntries(t, store, 1, a, b)
			copied := store.Copy()
			if status := a.withdraw(t); status != 200 {
				t.Fatalf("withdrawal: status %d, want 200", status)
			}
			store.Restore(copied)
			if c.restored {
				awaitEntries(t, store, 2, a, b)
			}
			restart(t, daemon.ErrAborted, a, b)
			checkLateReports(t, a, b, 1)
		})
	}
}

// awaitEntries waits until the entries of hosts have an epoch.
func awaitEntries(t *testing.T, store *platformtest.Store, epoch uint64, hosts ...*host) {
	t.Helper()
	for _, h := range hosts {
		await(t, "the entry of "+h.settings.Server, func() bool { return store.DaemonEpoch(h.settings.Server) == epoch })
	}
}

// Guards against a daemon that finds no other after the store came back without their
// entries, and so decides on allowances alone and reaches no server of others.
func TestDaemonsFindEachOtherAfterStoreCopy(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	copied := store.Copy()
	a, b := startPair(t, store, "cairo-b")
	store.Restore(copied)
	for _, h := range []*host{a, b} {
		await(t, "the entry of "+h.settings.Server, func() bool { return slices.Contains(store.ObjectNames(platformtest.DaemonKind), h.settings.Server) })
	}
	restart(t, nil, b)
	b.report(t)
	await(t, "the daemons to know each other", func() bool { return len(a.daemon.State().Members) == 2 && len(b.daemon.State().Members) == 2 })
	b.backend.SetRefuse(true)
	await(t, "a request of the restarted daemon at the other server", respondsWith(t, b, "/search/x", 200))
}
