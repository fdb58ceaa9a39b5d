package daemon_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fescuehoist.example/adapters/settings"
	"fescuehoist.example/fescuehoistd/daemon"
	"fescuehoist.example/platform/platformtest"
)

const rolloutLimit = 9 * time.Second

// rolloutFleet is two hosts with version v1 of a service and two with v2.
type rolloutFleet struct {
	store    *platformtest.Store
	old, new []*host
	requests atomic.Int64
	stop     chan struct{}
	callers  sync.WaitGroup
}

func startRolloutFleet(t *testing.T) *rolloutFleet {
	f := &rolloutFleet{store: platformtest.NewStore(), stop: make(chan struct{})}
	t.Cleanup(f.store.Close)
	f.store.PutConfiguration(configuration(4))
	rollouts := func(s *settings.Settings) {
		s.Rollouts = settings.Rollouts{ExposureShare: 0.1, ExposureSlack: 50, RollbackWithin: 5 * time.Second}
	}
	for i := range 4 {
		h := startHost(t, f.store, fmt.Sprint("host-", i), fmt.Sprint("cairo-", i%2), "lookup", rollouts)
		h.backend.SetServiceTime(10 * time.Millisecond)
		if i < 2 {
			f.old = append(f.old, h)
			continue
		}
		h.backend.SetVersion("v2")
		h.report(t)
		f.new = append(f.new, h)
	}
	for _, h := range append(f.old, f.new...) {
		await(t, "the daemons to know each other", func() bool { return len(h.daemon.State().Members) == 4 })
	}
	for _, h := range append(f.old, f.new...) {
		await(t, "the first route", respondsWith(t, h, "/search/x", 200))
	}
	return f
}

// order writes an order for v2.
func (f *rolloutFleet) order() {
	f.store.OrderRollout("lookup", "v2", rolloutLimit)
}

// status returns the state that the store has for v2.
func (f *rolloutFleet) status(t *testing.T) string {
	t.Helper()
	state, err := f.store.RolloutState("lookup", "v2")
	if err != nil {
		t.Fatal(err)
	}
	return state
}

// call sends about 80 requests a second through all daemons until stopCalls. Each must get
// status 200, or 500 if some versions are bad.
func (f *rolloutFleet) call(t *testing.T, bad bool) {
	allowed := []int{200}
	if bad {
		allowed = append(allowed, 500)
	}
	f.callThrough(t, append(f.old, f.new...), allowed...)
}

// callThrough is call through the daemons of some hosts; each request must get one of the
// allowed statuses.
func (f *rolloutFleet) callThrough(t *testing.T, hosts []*host, allowed ...int) {
	for n, h := range hosts {
		f.callers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-f.stop:
					return
				case <-time.After(40 * time.Millisecond):
				}
				f.requests.Add(1)
				method, path := "GET", "/search/x"
				if i%4 == 0 {
					method, path = "POST", "/submit/x"
				}
				got := sendRequest(t, h, method, path, fmt.Sprintf("rollout-%d-%d", n, i))
				if !slices.Contains(allowed, got.status) {
					t.Errorf("%s %s: got %+v at %s, want a status of %v", method, path, got, time.Now().Format("05.000"), allowed)
				}
			}
		})
	}
}

func (f *rolloutFleet) stopCalls() {
	close(f.stop)
	f.callers.Wait()
}

func executions(hosts []*host) int {
	n := 0
	for _, h := range hosts {
		n += h.backend.TotalExecutions()
	}
	return n
}

// Guards against a rollout that is not completed in time, that loses requests on its way,
// or that is stored as completed while old servers still get requests.
func TestRolloutOfGoodVersionIsCompleted(t *testing.T) {
	f := startRolloutFleet(t)
	f.call(t, false)
	defer f.stopCalls()
	f.order()
	ordered := time.Now()
	await(t, "the state running", func() bool { return f.status(t) == "running" })
	await(t, "the state completed", func() bool { return f.status(t) == "completed" })
	took, before := time.Since(ordered), executions(f.old)
	if took > rolloutLimit {
		t.Errorf("completed %s after the order, want at most %s", took, rolloutLimit)
	}
	time.Sleep(time.Second)
	if after := executions(f.old); after != before {
		t.Errorf("%d requests reached old servers after the completion, want 0", after-before)
	}
	for _, h := range append(f.old, f.new...) {
		t.Log(strings.Join(h.log.lines("rollout:"), ""))
	}
	if s := f.old[0].daemon.State().Rollouts; len(s.Directions) != 1 || s.Directions[0].State != "completed" {
		t.Errorf("directions %+v, want one that is completed", s.Directions)
	}
}

// Guards against a bad version that gets more requests than allowed, or any after its
// rollback, also when the daemons are started again.
func TestRolloutOfBadVersionIsRolledBack(t *testing.T) {
	f := startRolloutFleet(t)
	f.call(t, true)
	f.order()
	ordered, before, already := time.Now(), f.requests.Load(), executions(f.new)
	await(t, "the canary", func() bool { return executions(f.new) > already+1 })
	for _, h := range f.new {
		h.backend.SetFail(true)
	}
	await(t, "the state rolled back", func() bool { return f.status(t) == "rolled_back" })
	time.Sleep(time.Until(ordered.Add(rolloutLimit)))
	f.stopCalls()
	requests, exposed := f.requests.Load()-before, executions(f.new)-already
	if float64(exposed) > 0.1*float64(requests)+50 {
		t.Errorf("the bad version got %d of %d requests", exposed, requests)
	}
	h := f.old[0]
	h.stop(nil)
	<-h.exited
	h.startDaemon(t)
	h.report(t)
	await(t, "the first route after a restart", respondsWith(t, h, "/search/x", 200))
	exposed = executions(f.new)
	for n := range 50 {
		sendRequest(t, h, "GET", "/search/x", fmt.Sprint("after-", n))
	}
	if more := executions(f.new) - exposed; more > 0 {
		t.Errorf("%d requests reached the bad version after its rollback and a restart, want 0", more)
	}
	for _, h := range append(f.old, f.new...) {
		if lines := h.log.lines("rolled back", "lookup"); len(lines) > 0 {
			t.Log(strings.Join(lines, ""))
		}
	}
}

// Guards against requests to a release that was rolled back, through daemons that were all
// killed and know servers of no other release when they start again.
func TestRolledBackVersionGetsNoRequestsOfStartingDaemons(t *testing.T) {
	f := startRolloutFleet(t)
	f.call(t, true)
	f.order()
	already := executions(f.new)
	await(t, "the canary", func() bool { return executions(f.new) > already+1 })
	for _, h := range f.new {
		h.backend.SetFail(true)
	}
	await(t, "the state rolled back", func() bool { return f.status(t) == "rolled_back" })
	f.stopCalls()
	end(t, daemon.ErrAborted, append(f.old, f.new...)...)
	exposed := executions(f.new)
	for _, h := range f.new {
		h.startDaemon(t)
		h.report(t)
	}
	for n := range 200 {
		sendRequest(t, f.new[n%2], "GET", "/search/x", fmt.Sprint("starting-", n))
	}
	for _, h := range f.old {
		h.startDaemon(t)
		h.report(t)
	}
	for _, h := range f.new {
		await(t, "the first route after a restart", respondsWith(t, h, "/search/x", 200))
	}
	if more := executions(f.new) - exposed; more > 0 {
		t.Errorf("%d requests reached the bad version after its rollback and a restart of all daemons, want 0", more)
	}
}
