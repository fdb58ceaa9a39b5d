package daemon_test

import (
	"fmt"
	"testing"
	"time"

	"fescuehoist.example/fescuehoistd/daemon"
	"fescuehoist.example/platform/platformtest"
)

// end ends the daemons of hosts, for a cause or as planned if that is nil.
func end(t *testing.T, cause error, hosts ...*host) {
	t.Helper()
	for _, h := range hosts {
		h.stop(cause)
	}
	for _, h := range hosts {
		err := <-h.exited
		// The cleanup of a test that fails before the next start waits for the daemon, too.
		h.exited <- nil
		if err != nil {
			t.Fatal(err)
		}
	}
}

// restart ends the daemons of hosts and then starts them again.
func restart(t *testing.T, cause error, hosts ...*host) {
	t.Helper()
	end(t, cause, hosts...)
	for _, h := range hosts {
		h.startDaemon(t)
	}
}

// affected returns all hosts or the first one.
func affected(all bool, hosts ...*host) []*host {
	if all {
		return hosts
	}
	return hosts[:1]
}

// withdraw sends the withdrawal of the host's backend server and returns the status.
func (h *host) withdraw(t *testing.T) int {
	t.Helper()
	status, err := h.backend.Withdraw(h.announcements)
	if err != nil {
		t.Fatalf("withdrawal: %v", err)
	}
	return status
}

// checkLateReports sends status reports for the server of a, which has withdrawn, and
// checks that no request from either host reaches it.
func checkLateReports(t *testing.T, a, b *host, reports int) {
	t.Helper()
	await(t, "readiness", func() bool { return isReady(a) && isReady(b) })
	for range reports {
		a.report(t)
	}
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
}

// Guards against routing to a backend server that withdrew before its daemon, or every
// daemon, was killed, when a status report from before the withdrawal arrives late.
func TestLateReportAfterDaemonRestartDoesNotRouteToWithdrawnServer(t *testing.T) {
	for _, c := range []struct {
		name string
		// store is a fault of the store from before the withdrawal until the daemons
		// run again; allKilled means that both daemons are killed.
		store     platformtest.Fault
		allKilled bool
		// status is that of the withdrawal.
		status int
	}{
		{"daemon killed", platformtest.NoFault, false, 200},
		{"daemon killed while the store is away", platformtest.Unresponsive, false, 503},
		{"all daemons killed", platformtest.NoFault, true, 200},
		{"all daemons killed while the store is away", platformtest.Busy, true, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := platformtest.NewStore()
			defer store.Close()
			a, b := startPair(t, store, "cairo-b")
			store.SetFault(c.store)
			defer store.SetFault(platformtest.NoFault)
			if status := a.withdraw(t); status != c.status {
				t.Fatalf("withdrawal: status %d, want %d", status, c.status)
			}
			restart(t, daemon.ErrAborted, affected(c.allKilled, a, b)...)
			if c.allKilled {
				await(t, "calls of the store", func() bool { return a.daemon.State().PlatformCalls > 3 })
				store.SetFault(platformtest.NoFault)
			}
			checkLateReports(t, a, b, 1)
		})
	}
}

// Guards against a withdrawal that was confirmed while the store was away, and that
// nobody knows of once every daemon was killed before the store returned.
func TestConfirmedWithdrawalOutlivesAllDaemonsAndStoreOutage(t *testing.T) {
	for name, fault := range map[string]platformtest.Fault{"unresponsive": platformtest.Unresponsive, "busy": platformtest.Busy} {
		t.Run(name, func(t *testing.T) {
			store := platformtest.NewStore()
			defer store.Close()
			a, b := startPair(t, store, "cairo-b")
			store.SetFault(fault)
			defer store.SetFault(platformtest.NoFault)
			if status := a.withdraw(t); status != 200 {
				store.SetFault(platformtest.NoFault)
				await(t, "the confirmation", func() bool { return a.withdraw(t) == 200 })
			}
			end(t, daemon.ErrAborted, a, b)
			store.SetFault(platformtest.NoFault)
			a.startDaemon(t)
			b.startDaemon(t)
			checkLateReports(t, a, b, 3)
		})
	}
}

// Guards against a confirmed withdrawal that is overwritten in the store by an earlier
// write of its daemon, which got no response and is carried out late.
func TestConfirmedWithdrawalOutlivesDelayedWriteOfItsDaemon(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	a, b := startPair(t, store, "cairo-b")
	store.SetFault(platformtest.Delayed)
	defer store.SetFault(platformtest.NoFault)
	earlier := &platformtest.Backend{Instance: "i-earlier"}
	if _, err := earlier.Withdraw(a.announcements); err != nil {
		t.Fatal(err)
	}
	await(t, "a delayed write", func() bool { return store.DelayedWrites() > 0 })
	store.SetFault(platformtest.NoFault)
	await(t, "the confirmation", func() bool { return a.withdraw(t) == 200 })
	store.ExecuteDelayed()
	restart(t, daemon.ErrAborted, a, b)
	checkLateReports(t, a, b, 1)
}

// crashPath is the path of a request that crashes each backend server that runs it.
const crashPath = "/search/crash"

// restartBackend starts a later instance of the host's backend server.
func (h *host) restartBackend(t *testing.T) {
	t.Helper()
	await(t, "the address of the crashed server", func() bool {
		next, err := h.backend.Restart(h.backend.Instance + "+")
		if err != nil {
			return false
		}
		next.SetCrashPath(crashPath)
		h.backend = next
		t.Cleanup(next.Close)
		return true
	})
	h.report(t)
}

// Guards against running a request that crashes backend servers once more at a daemon
// that was stopped or killed and started again, or at all daemons after that.
func TestCrashingRequestStaysQuarantinedAfterDaemonRestart(t *testing.T) {
	for _, c := range []struct {
		name string
		// store is a fault of the store from before the first crash until the daemons
		// run again.
		store platformtest.Fault
		cause error
		all   bool
	}{
		{"daemon stopped as planned", platformtest.NoFault, nil, false},
		{"daemon killed while the store is away", platformtest.Unresponsive, daemon.ErrAborted, false},
		{"all daemons killed", platformtest.NoFault, daemon.ErrAborted, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := platformtest.NewStore()
			defer store.Close()
			a, b := startPair(t, store, "cairo-b")
			store.SetFault(c.store)
			defer store.SetFault(platformtest.NoFault)
			a.backend.SetCrashPath(crashPath)
			b.backend.SetCrashPath(crashPath)
			if got := sendRequest(t, b, "GET", crashPath, "first"); got.status == 200 {
				t.Fatalf("crashing request: got %+v, want a failure", got)
			}
			if n := a.backend.Executions("first") + b.backend.Executions("first"); n != 2 {
				t.Fatalf("crashing request ran at %d servers, want 2", n)
			}
			a.restartBackend(t)
			b.restartBackend(t)
			// Suspects are stored a second after the crash.
			time.Sleep(1500 * time.Millisecond)
			restart(t, c.cause, affected(c.all, a, b)...)
			for _, h := range []*host{a, b} {
				await(t, "calls at both servers", func() bool {
					a.report(t)
					b.report(t)
					before := h.backend.TotalExecutions()
					return respondsWith(t, h, "/search/x", 200)() && h.backend.TotalExecutions() > before
				})
			}
			for n := range 8 {
				h, id := []*host{a, b}[n%2], fmt.Sprint("copy-", n)
				got := sendRequest(t, h, "GET", crashPath, id)
				if runs := a.backend.Executions(id) + b.backend.Executions(id); runs != 0 || got.status != 503 {
					t.Errorf("copy %d: got %+v and %d runs, want status 503 and none", n, got, runs)
				}
			}
		})
	}
}
