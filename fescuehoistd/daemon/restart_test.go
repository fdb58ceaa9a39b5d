package daemon_test

import (
	"fmt"
	"testing"

	"fescuehoist.example/platform/platformtest"
)

// Guards against routing to a backend server that withdrew before its daemon, or every
// daemon, was killed, when a status report from before the withdrawal arrives late.
func TestLateReportAfterDaemonRestartDoesNotRouteToWithdrawnServer(t *testing.T) {
	for _, c := range []struct {
		name string
		// store is a fault of the store from before the withdrawal until the daemons
		// run again; allKilled means that both daemons are killed.
		store     platformtest.Fault
		allKilled bool
	}{
		{"daemon killed", platformtest.NoFault, false},
		{"daemon killed while the store is away", platformtest.Unresponsive, false},
		{"all daemons killed", platformtest.NoFault, true},
		{"all daemons killed while the store is away", platformtest.Busy, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := platformtest.NewStore()
			defer store.Close()
			a, b := startPair(t, store, "cairo-b")
			store.SetFault(c.store)
			defer store.SetFault(platformtest.NoFault)
			if status, err := a.backend.Withdraw(a.announcements); err != nil || status != 200 {
				t.Fatalf("withdrawal: status %d, error %v; want status 200", status, err)
			}
			killed := []*host{a}
			if c.allKilled {
				killed = append(killed, b)
			}
			for _, h := range killed {
				h.kill(t)
			}
			for _, h := range killed {
				h.startDaemon(t)
			}
			if c.allKilled {
				await(t, "calls of the store", func() bool { return a.daemon.State().PlatformCalls > 3 })
				store.SetFault(platformtest.NoFault)
			}
			await(t, "readiness", func() bool { return isReady(a) && isReady(b) })
			a.report(t)
			await(t, "the other server", func() bool {
				b.report(t)
				return respondsWith(t, b, "/search/x", 200)() && respondsWith(t, a, "/search/x", 200)()
			})
			before := a.backend.TotalExecutions()
			for n := range 40 {
				h := []*host{a, b}[n%2]
				if got := sendRequest(t, h, "GET", "/search/x", fmt.Sprint("late-", n)); got.status != 200 {
					t.Errorf("request %d after the late report: got %+v, want status 200", n, got)
				}
			}
			if after := a.backend.TotalExecutions(); after != before {
				t.Errorf("%d requests reached the server that withdrew, want 0", after-before)
			}
		})
	}
}
