package fleet_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"fescuehoist.example/bench/fleet"
	"fescuehoist.example/fescuehoistd/daemon"
	"fescuehoist.example/mesh/call"
)

// A search hangs at the first server that runs it. Guards against a copy that is not sent,
// and against a first attempt that goes on at the other daemon and server once the copy was
// answered.
func TestSlowSearchAnsweredByCopyAndCanceledAtFirstServer(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	const stuckPath, usual = "/search/stuck", 5 * time.Millisecond
	var stuckRuns atomic.Int32
	d := fleet.Nuqta()
	d.Work = func(_, path string) time.Duration {
		if path == stuckPath && stuckRuns.Add(1) == 1 {
			return testTimeout
		}
		return usual
	}
	f := startFleetWith(ctx, t, d, fleet.Options{Tune: func(c *daemon.Config) { c.Settings.Hedge.Share = 0.2 }}, longTimeout)
	entry := f.Members[0]
	search := func(id, path string) {
		if got := sendCall("GET", entry.Callers, "lookup", path, id, nil); got.verdict != call.Ran.String() {
			t.Fatalf("%s: got %v, want verdict ran", id, got)
		}
	}
	// Durations are learned from these calls, and used a second after the first of them.
	for i := range 50 {
		search(fmt.Sprint("usual-", i), "/search")
	}
	time.Sleep(1100 * time.Millisecond)
	search("learned", "/search")
	search("stuck", stuckPath)
	if n := f.Executions()["stuck"]; n != 2 {
		t.Errorf("the search ran at %d servers, want 2", n)
	}
	if err := f.Await(ctx, f.Members, func(s daemon.State) bool { return s.Running == 0 }); err != nil {
		t.Errorf("the canceled attempt still runs at its server: %v", err)
	}
}
