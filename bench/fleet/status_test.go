package fleet_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/uuid"

	"fescuehoist.example/adapters/platformhttp"
	"fescuehoist.example/adapters/targetfile"
	"fescuehoist.example/bench/fleet"
	"fescuehoist.example/bench/load"
	"fescuehoist.example/fescuehoistd/daemon"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/status"
	"fescuehoist.example/mesh/stop"
)

// testTimeout bounds a test. Tests that kill daemons or cut connections get twice
// this time.
const testTimeout = 30 * time.Second

// Calls and planned stops must appear in the status summaries that the daemons
// write to the platform: the counts of every call, the daemons by version, and the
// state of a server during and after its stop.
func TestStatusSummariesIncludeCallsAndStops(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	f, err := fleet.Start(ctx, fleet.Nuqta(), fleet.Options{Tune: func(c *daemon.Config) {
		c.Status.Interval = 500 * time.Millisecond
		c.Status.WindowIntervals = 100
		c.Status.Fanout = 1
	}})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	client := platformhttp.NewClient(f.PlatformAddress)
	defer client.Close()
	services, err := targetfile.Load("../../examples/nuqta/targets.toml")
	if err != nil {
		t.Fatal(err)
	}
	change, err := manifest.NewEditor(&platformhttp.Repository{Client: client}).Publish(ctx, &manifest.Edit{ID: uuid.NewString(), Update: services})
	if err != nil {
		t.Fatal(err)
	}
	if err := f.AwaitVersion(ctx, f.Members, change.Version); err != nil {
		t.Fatal(err)
	}
	if err := f.AwaitReady(ctx, f.Members, len(f.Members)); err != nil {
		t.Fatal(err)
	}
	store := &platformhttp.StatusStore{Client: client}
	awaitSummaries(ctx, t, store, "status reports of all daemons", func(o *status.Overview) bool { return countDaemons(o, change.Version) == len(f.Members) })
	offered := searchClass(ctx, f)
	runSearches := status.ClassKey{Service: "lookup", Class: "search"}
	awaitSummaries(ctx, t, store, "counts of all calls and reports of all daemons", func(o *status.Overview) bool {
		c := o.Class(runSearches)
		return c != nil && c.Counts.Offered == uint64(offered) && c.Counts.ServiceTime.Count() == int64(offered) &&
			c.Counts.Clients["client-a"].Offered == uint64(offered) && countDaemons(o, change.Version) == len(f.Members)
	})
	planStop(ctx, t, store)
	awaitSummaries(ctx, t, store, "server lookup-1 draining for its planned stop", func(o *status.Overview) bool { return serverState(o, "lookup-1") == "draining" })
	awaitSummaries(ctx, t, store, "server lookup-1 ready after its planned stop", func(o *status.Overview) bool { return serverState(o, "lookup-1") == "ready" })
}

// runSearches calls the class search for one second and returns the number of
// calls.
func searchClass(ctx context.Context, f *fleet.Fleet) int {
	var targets []string
	for _, m := range f.Members {
		targets = append(targets, m.Callers)
	}
	g := load.New(1, targets, []load.Stream{{
		Service: "lookup", Class: "search", Method: "GET", Path: "/search", Clients: []string{"client-a"},
		Rate: 200, Latency: time.Second, Idempotent: true,
	}})
	calls, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	g.Run(calls)
	return g.Reports()[0].Offered
}

// planStop adds a stop of server lookup-1, from now on for three seconds, to the
// platform's list.
func planStop(ctx context.Context, t *testing.T, store *platformhttp.StatusStore) {
	t.Helper()
	list, err := store.Stops(ctx)
	if err == nil {
		now := time.Now()
		err = store.SaveStops(ctx, list.With(stop.Stop{ID: "one", Servers: []member.ServerID{"lookup-1"}, From: now, Until: now.Add(3 * time.Second)}, now))
	}
	if err != nil {
		t.Fatal(err)
	}
}

// awaitSummaries polls the status summaries until condition holds for their
// combination. It fails the test if ctx ends first; what names the condition.
func awaitSummaries(ctx context.Context, t *testing.T, store *platformhttp.StatusStore, what string, condition func(*status.Overview) bool) {
	t.Helper()
	for {
		summaries, _, err := store.Summaries(ctx)
		if err != nil {
			t.Fatalf("waiting for %s: %v", what, err)
		}
		if condition(status.Combine(summaries)) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// countDaemons returns the number of daemons that report version v in force.
func countDaemons(o *status.Overview, v manifest.Version) int {
	n := 0
	for i := range o.Domains {
		n += o.Domains[i].Presence.Daemons[v]
	}
	return n
}

// serverState returns the reported state of a server, or "" if it is not reported.
func serverState(o *status.Overview, server member.ServerID) string {
	for i := range o.Servers {
		if o.Servers[i].Server == server {
			return o.Servers[i].State
		}
	}
	return ""
}
