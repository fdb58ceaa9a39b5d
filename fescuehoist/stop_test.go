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

// saveSummary stores a status summary in which the calls of class search take
// two thirds of the capacity of three backend servers.
func (e *testEnv) saveSummary() {
	e.t.Helper()
	client := platformhttp.NewClient(e.address)
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
		e.t.Fatal(err)
	}
}

func TestStopsAndForecastsReturnExitCodes(t *testing.T) {
	e := newTestEnv(t)
	platformArg := "--platform=" + e.address
	if code, out := e.run("apply", e.writeFile(fmt.Sprintf(targetsText, "60ms")), platformArg); code != exitOK {
		t.Fatal(out)
	}
	plan := []string{"stop", "plan", platformArg, "--author=amal"}
	for _, step := range []struct {
		name   string
		faults platform.Faults
		args   []string
		code   int
		prints []string
	}{
		{"status before any report", platform.Faults{}, []string{"status", platformArg}, exitOK, []string{"service lookup: no daemon has reported yet", "no failure domain has reported yet"}},
		{"plan with unknown server", platform.Faults{}, append(plan, "--start=60h", "--server=absent"), exitBadInput, []string{`no backend server "absent"`}},
		{"status", platform.Faults{}, []string{"status", platformArg}, exitOK,
			[]string{"lookup/search", "99% of calls within 60ms", "yes", "cairo-a: 3 of 4 daemons; version 1 on 2; version 0 on 1", "behind: lookup-3", "silent: lookup-4", "refused by 1"}},
		{"status as JSON", platform.Faults{}, []string{"status", platformArg, "--json"}, exitOK, []string{`"calls_per_second": 1000`}},
		{"forecast without stop", platform.Faults{}, []string{"forecast", platformArg}, exitOK, []string{"no target will be missed"}},
		{"forecast with proposed stop", platform.Faults{}, []string{"forecast", platformArg, "--server=lookup-1,lookup-2", "--start=60h"}, exitOK,
			[]string{"lookup/search will miss its target", "due to stop", "cairo-couriers", "12h0m0s left"}},
		{"plan with invalid start", platform.Faults{}, append(plan, "--start=tomorrow", "--server=lookup-1"), exitBadInput, []string{"want a time such"}},
		{"plan in the past", platform.Faults{}, append(plan, "--start=-3h", "--server=lookup-1"), exitBadInput, []string{"in the past"}},
		{"plan without servers", platform.Faults{}, append(plan, "--start=60h"), exitBadInput, []string{"names no backend server"}},
		{"plan that breaks a target", platform.Faults{}, append(plan, "--start=60h", "--domain=cairo-a"), exitSlowdown, []string{"--accept-slowdown"}},
		{"plan with too little notice", platform.Faults{}, append(plan, "--start=1h", "--domain=cairo-a", "--accept-slowdown"), exitOK, []string{"TOO LATE", "planned stop"}},
		{"plan with response lost", platform.Faults{DropResponses: true}, append(plan, "--start=60h", "--length=2h", "--server=lookup-3", "--accept-slowdown"), exitOK, []string{"planned stop"}},
		{"list both stops", platform.Faults{}, []string{"stop", "list", platformArg}, exitOK, []string{"failure domain cairo-a by amal", "lookup-3 by amal"}},
		{"cancel unknown stop", platform.Faults{}, []string{"stop", "cancel", "absent", platformArg}, exitBadInput, []string{"no stop"}},
		{"platform unavailable", platform.Faults{Outage: true}, append(plan, "--start=60h", "--server=lookup-3"), exitUnavailable, []string{"the platform is unavailable"}},
	} {
		t.Run(step.name, func(t *testing.T) {
			if step.name == "status" {
				e.saveSummary()
			}
			e.platform.SetFaults(step.faults)
			code, out := e.run(step.args...)
			if code != step.code {
				t.Errorf("exit code %d, want %d; printed:\n%s", code, step.code, out)
			}
			for _, want := range step.prints {
				if !strings.Contains(out, want) {
					t.Errorf("output lacks %q; printed:\n%s", want, out)
				}
			}
		})
	}
	e.platform.SetFaults(platform.Faults{})
	good, _ := e.platform.Load("config/head")
	e.platform.Store("config/head", []byte(`{"version":9}`))
	if code, out := e.run("status", platformArg); code != exitOK || !strings.Contains(out, "CANNOT BE READ") || !strings.Contains(out, "cairo-a: 3 of 4") {
		t.Errorf("status with a malformed head: %d: %s", code, out)
	}
	if code, out := e.run("forecast", platformArg); code != exitOK || !strings.Contains(out, "due to stop") {
		t.Errorf("forecast with a malformed head: %d: %s", code, out)
	}
	e.platform.Store("config/head", good)
	_, listed := e.run("stop", "list", platformArg)
	for _, line := range strings.Split(strings.TrimSpace(listed), "\n") {
		id := strings.Fields(line)[1]
		if code, out := e.run("stop", "cancel", id, platformArg); code != exitOK {
			t.Errorf("cancel %s: %d: %s", id, code, out)
		}
	}
	if _, out := e.run("stop", "list", platformArg); !strings.Contains(out, "no stop is planned") {
		t.Errorf("stops listed after cancelling all:\n%s", out)
	}
}
