package main

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"fescuehoist.example/adapters/platformhttp"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/status"
	"fescuehoist.example/mesh/target"
	"fescuehoist.example/standin/platform"
)

// summarize stores a summary in which the class search fills two thirds of
// three servers.
func (b *bench) summarize() {
	b.t.Helper()
	client := platformhttp.NewClient(b.address)
	defer client.Close()
	counts := &status.Counts{Clients: map[string]status.ClientCounts{"cairo-couriers": {Offered: 1000, Good: 1000}}}
	for range 1000 {
		counts.Offered, counts.Good, counts.Answered = counts.Offered+1, counts.Good+1, counts.Answered+1
		counts.ServiceTime.Record(20 * time.Millisecond)
		counts.Latency.Record(21 * time.Millisecond)
	}
	search := target.Class{
		Name: "search", Path: "/search", Rank: 1, Latency: 60 * time.Millisecond, Success: 0.99, GuaranteedShare: 0.5,
		Timeout: 400 * time.Millisecond, Idempotent: true, Notice: 48 * time.Hour,
	}
	s := &status.Summary{
		Domain: "cairo-a", At: time.Now(), By: "lookup-1", Window: time.Second, Expected: 4,
		Classes: []status.ClassSummary{{
			ClassKey: status.ClassKey{Service: "lookup", Class: "search"}, Target: search, Counts: counts, Met: true, Since: time.Now(),
		}},
		Presence: &status.Presence{
			Daemons: map[manifest.Version]int{1: 2, 0: 1}, Behind: []status.Laggard{{Server: "lookup-3"}},
			Refusals: map[status.Refusal]int{{Version: 1, Reason: "version 1 refused: no body"}: 1},
		},
		NotReporting: []member.ServerID{"lookup-4"},
	}
	for _, name := range []member.ServerID{"lookup-1", "lookup-2", "lookup-3"} {
		s.Servers = append(s.Servers, status.ServerSummary{Server: name, Service: "lookup", Slots: 10, State: "ready"})
	}
	if _, err := (&platformhttp.StatusStore{Client: client}).SaveSummary(context.Background(), s, 0); err != nil {
		b.t.Fatal(err)
	}
}

func TestPlannedStops(t *testing.T) {
	b := newBench(t)
	on := "--platform=" + b.address
	if code, out := b.run("apply", b.file(fmt.Sprintf(targetsText, "60ms")), on); code != exitDone {
		t.Fatal(out)
	}
	plan := []string{"stop", "plan", on, "--author=amal"}
	for _, step := range []struct {
		name   string
		faults platform.Faults
		args   []string
		code   int
		prints []string
	}{
		{"nothing reported", platform.Faults{}, []string{"status", on}, exitDone, []string{"service lookup: no daemon has reported yet", "no failure domain has reported yet"}},
		{"unknown server", platform.Faults{}, append(plan, "--start=60h", "--server=absent"), exitBadInput, []string{`no backend server "absent"`}},
		{"summary", platform.Faults{}, []string{"status", on}, exitDone,
			[]string{"lookup/search", "99% of calls within 60ms", "yes", "cairo-a: 3 of 4 daemons; version 1 on 2; version 0 on 1", "behind: lookup-3", "silent: lookup-4", "refused by 1"}},
		{"as JSON", platform.Faults{}, []string{"status", on, "--json"}, exitDone, []string{`"calls_per_second": 1000`}},
		{"no target broken", platform.Faults{}, []string{"forecast", on}, exitDone, []string{"no target will be missed"}},
		{"a stop asked about", platform.Faults{}, []string{"forecast", on, "--server=lookup-1,lookup-2", "--start=60h"}, exitDone,
			[]string{"lookup/search will miss its target", "due to stop", "cairo-couriers", "12h0m0s left"}},
		{"bad start", platform.Faults{}, append(plan, "--start=tomorrow", "--server=lookup-1"), exitBadInput, []string{"write a time"}},
		{"in the past", platform.Faults{}, append(plan, "--start=-3h", "--server=lookup-1"), exitBadInput, []string{"in the past"}},
		{"of nothing", platform.Faults{}, append(plan, "--start=60h"), exitBadInput, []string{"names no backend server"}},
		{"breaks a target", platform.Faults{}, append(plan, "--start=60h", "--domain=cairo-a"), exitSlowdown, []string{"--accept-slowdown"}},
		{"too little notice", platform.Faults{}, append(plan, "--start=1h", "--domain=cairo-a", "--accept-slowdown"), exitDone, []string{"TOO LATE", "planned stop"}},
		{"answer lost", platform.Faults{LoseAnswers: true}, append(plan, "--start=60h", "--length=2h", "--server=lookup-3", "--accept-slowdown"), exitDone, []string{"planned stop"}},
		{"both listed", platform.Faults{}, []string{"stop", "list", on}, exitDone, []string{"failure domain cairo-a by amal", "lookup-3 by amal"}},
		{"cancel of nothing", platform.Faults{}, []string{"stop", "cancel", "absent", on}, exitBadInput, []string{"no stop"}},
		{"platform away", platform.Faults{Outage: true}, append(plan, "--start=60h", "--server=lookup-3"), exitAway, []string{"the platform is away"}},
	} {
		t.Run(step.name, func(t *testing.T) {
			if step.name == "summary" {
				b.summarize()
			}
			b.platform.SetFaults(step.faults)
			code, out := b.run(step.args...)
			if code != step.code {
				t.Errorf("exit code %d, want %d; printed:\n%s", code, step.code, out)
			}
			for _, want := range step.prints {
				if !strings.Contains(out, want) {
					t.Errorf("%q is not in what was printed:\n%s", want, out)
				}
			}
		})
	}
	b.platform.SetFaults(platform.Faults{})
	good, _ := b.platform.Load("config/head")
	b.platform.Store("config/head", []byte(`{"version":9}`))
	if code, out := b.run("status", on); code != exitDone || !strings.Contains(out, "CANNOT BE READ") || !strings.Contains(out, "cairo-a: 3 of 4") {
		t.Errorf("status with a malformed head: %d: %s", code, out)
	}
	if code, out := b.run("forecast", on); code != exitDone || !strings.Contains(out, "due to stop") {
		t.Errorf("forecast with a malformed head: %d: %s", code, out)
	}
	b.platform.Store("config/head", good)
	_, listed := b.run("stop", "list", on)
	for _, line := range strings.Split(strings.TrimSpace(listed), "\n") {
		id := strings.Fields(line)[1]
		if code, out := b.run("stop", "cancel", id, on); code != exitDone {
			t.Errorf("cancel %s: %d: %s", id, code, out)
		}
	}
	if _, out := b.run("stop", "list", on); !strings.Contains(out, "no stop is planned") {
		t.Errorf("stops are left: %s", out)
	}
}
