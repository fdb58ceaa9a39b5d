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

const patience = 30 * time.Second

// TestStatusReachesThePlatform sends calls, plans a stop, and reads both back
// from the summaries.
func TestStatusReachesThePlatform(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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
	await(ctx, t, store, "all daemons", func(o *status.Overview) bool { return daemons(o, change.Version) == len(f.Members) })
	offered := search(ctx, f)
	search := status.ClassKey{Service: "lookup", Class: "search"}
	await(ctx, t, store, "all calls, daemons and versions", func(o *status.Overview) bool {
		c := o.Class(search)
		return c != nil && c.Counts.Offered == uint64(offered) && c.Counts.ServiceTime.Count() == int64(offered) &&
			c.Counts.Clients["client-a"].Offered == uint64(offered) && daemons(o, change.Version) == len(f.Members)
	})
	plan(ctx, t, store)
	await(ctx, t, store, "the stopped server draining", func(o *status.Overview) bool { return state(o, "lookup-1") == "draining" })
	await(ctx, t, store, "the server back after the stop", func(o *status.Overview) bool { return state(o, "lookup-1") == "ready" })
}

// search calls the class search for a short time and returns how often.
func search(ctx context.Context, f *fleet.Fleet) int {
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

func plan(ctx context.Context, t *testing.T, store *platformhttp.StatusStore) {
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

func await(ctx context.Context, t *testing.T, store *platformhttp.StatusStore, what string, reached func(*status.Overview) bool) {
	t.Helper()
	for {
		summaries, _, err := store.Summaries(ctx)
		if err != nil {
			t.Fatalf("waiting for %s: %v", what, err)
		}
		if reached(status.Combine(summaries)) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func daemons(o *status.Overview, v manifest.Version) int {
	n := 0
	for i := range o.Domains {
		n += o.Domains[i].Presence.Daemons[v]
	}
	return n
}

func state(o *status.Overview, server member.ServerID) string {
	for i := range o.Servers {
		if o.Servers[i].Server == server {
			return o.Servers[i].State
		}
	}
	return ""
}
