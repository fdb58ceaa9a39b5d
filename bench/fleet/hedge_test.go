package fleet_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	"fescuehoist.example/adapters/adminhttp"
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
	expectCopy(t, entry, stuckPath)
	search("stuck", stuckPath)
	if n := f.Executions()["stuck"]; n != 2 {
		t.Errorf("the search ran at %d servers, want 2", n)
	}
	if err := f.Await(ctx, f.Members, func(s daemon.State) bool { return s.Running == 0 }); err != nil {
		t.Errorf("the canceled attempt still runs at its server: %v", err)
	}
}

// expectCopy checks that a daemon explains where a search would go, and that a copy would
// be sent to another server.
func expectCopy(t *testing.T, m *fleet.Member, path string) {
	t.Helper()
	query := url.Values{adminhttp.ParamMethod: {"GET"}, adminhttp.ParamHost: {"lookup"}, adminhttp.ParamPath: {path}}
	resp, err := http.Get("http://" + m.Admin + adminhttp.PlacementPath + "?" + query.Encode())
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var p adminhttp.Placement
	if err := json.NewDecoder(resp.Body).Decode(&p); err != nil || len(p.Destinations) != 1 {
		t.Fatalf("placement %+v, error %v; want one destination", p, err)
	}
	to := p.Destinations[0]
	if p.Class.Name != "search" || to.Refusal != nil || to.Chosen == "" || to.HedgeDelayMS == 0 || to.HedgeServer == "" || to.HedgeServer == to.Chosen {
		t.Errorf("placement %+v, want a server and another one for the copy", to)
	}
	if len(to.Candidates) != 5 {
		t.Errorf("%d candidates, want the 5 servers of lookup", len(to.Candidates))
	}
}
