package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"fescuehoist.example/adapters/adminhttp"
	"fescuehoist.example/adapters/httpconn"
	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/proxy"
	"fescuehoist.example/mesh/route"
	"fescuehoist.example/mesh/target"
)

// placer answers with a fixed placement, or with an error for the account "absent".
type placer struct{}

func (placer) Explain(q proxy.PlacementQuery) (*proxy.Placement, error) {
	if q.Account == "absent" {
		return nil, &proxy.UnknownAccountError{Name: q.Account, Version: 3}
	}
	if q.Service != "shop" {
		return &proxy.Placement{Version: 3, Refusal: call.Refuse(call.NoRoute, nil)}, nil
	}
	first := &member.Record{Server: "lookup-1", Domain: "a", State: member.Ready}
	second := &member.Record{Server: "lookup-2", Domain: "b", State: member.Draining, Health: member.Suspected}
	return &proxy.Placement{
		Version: 3, Class: &target.Class{Name: "read", Rank: 2, Latency: 1500 * time.Millisecond, Timeout: 3 * time.Second, Idempotent: true},
		Account: &target.Account{Name: "filer", Rate: 100, Burst: 20},
		Destinations: []proxy.Destination{
			{
				Share: target.Share{Service: "lookup", Of: 0.75}, Allowed: 1, ServiceRetries: 3, ClassRetries: 2.5, HedgeDelay: 83 * time.Millisecond, HedgeServer: second,
				Servers: route.Explanation{Chosen: first, Candidates: []route.Candidate{
					{Record: first, Chosen: 1, FreeSlot: true, InTime: true, Estimate: route.Estimate{Calls: 2, Limit: 10, ServiceTime: 20 * time.Millisecond, Run: 20 * time.Millisecond, Wait: 2 * time.Millisecond}},
					{Record: second, Exclusion: route.NotRoutable, Estimate: route.Estimate{Calls: 9, Limit: 8, Run: 10 * time.Millisecond, Crossing: 3 * time.Millisecond}},
				}},
			},
			{Share: target.Share{Service: "spare", Of: 0.25}, Allowed: 1, Refusal: call.Refuse(call.NoServer, nil), HedgeObstacle: "hedging is off"},
		},
	}, nil
}

// startAdmin serves an admin address that explains placements.
func startAdmin(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	admin := &adminhttp.Server{Metrics: http.NotFoundHandler(), Placer: placer{}}
	go func() { ended <- httpconn.NewServer(admin.Handler(), 0).Run(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return ln.Addr().String()
}

const placementText = `version 3
class read: rank 2, latency 1500.0ms, timeout 3000.0ms, may run twice
account filer: rank of the class, limit of 100 requests/s and 20 more (not evaluated)

service lookup gets 75% of the calls of the class
  would go to lookup-1 now
  throttle: lets 100% of the calls through
  retries left: 3.0 of the service, 2.5 of the class; a retry takes 1 of each
  a copy would be sent after 83.0ms, to lookup-2
  server    domain  chosen  cost    run     wait   link   crossing  doubt  calls/limit  service time  notes
  lookup-1  a       100%    22.0ms  20.0ms  2.0ms  0.0ms  0.0ms     0.0ms  2/10         20.0ms        
  lookup-2  b       0%      13.0ms  10.0ms  0.0ms  0.0ms  3.0ms     0.0ms  9/8          unknown       not-routable, draining, suspected, no free slot, too slow for the target

service spare gets 25% of the calls of the class
  would be refused, not run: no-server
  throttle: lets 100% of the calls through
  retries left: 0.0 of the service, 0.0 of the class; a retry takes 1 of each
  no copy would be sent: hedging is off
  no servers are known
`

// Guards against output that leaves out a decision, and wrong exit codes.
func TestPlacePrintsAnswerOfDaemon(t *testing.T) {
	address := startAdmin(t)
	e := &testEnv{t: t}
	for _, c := range []struct {
		name     string
		args     []string
		code     int
		contains string
	}{
		{"text", []string{"GET", "shop", "/x", "--account", "filer", "--bytes", "60000"}, exitOK, placementText},
		{"no route", []string{"GET", "absent", "/x"}, exitOK, "version 3\nwould be refused, not run: no-route\n"},
		{"unknown account", []string{"GET", "shop", "/x", "--account", "absent"}, exitBadInput, `bad input: account: expected the name of a client account of version 3, found "absent"`},
		{"bad method", []string{"get", "shop", "/x"}, exitBadInput, `bad input: method: expected an HTTP method in capital letters, found "get"`},
		{"bad path", []string{"GET", "shop", "x"}, exitBadInput, `bad input: path: expected a path that begins with /, found "x"`},
		{"bad size", []string{"GET", "shop", "/x", "--bytes=-1"}, exitBadInput, `bad input: bytes: expected a whole number`},
		{"no path", []string{"GET", "shop"}, exitBadInput, `expected "<path>"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			code, out := e.run(append([]string{"place", "--daemon", address}, c.args...)...)
			if code != c.code || !strings.Contains(out, c.contains) {
				t.Errorf("code %d, want %d, output:\n%s\nwant:\n%s", code, c.code, out, c.contains)
			}
		})
	}
}

func TestPlacePrintsJSON(t *testing.T) {
	code, out := (&testEnv{t: t}).run("place", "--json", "--daemon", startAdmin(t), "GET", "shop", "/x")
	var p adminhttp.Placement
	if err := json.Unmarshal([]byte(out), &p); code != exitOK || err != nil || p.Destinations[0].Chosen != "lookup-1" {
		t.Errorf("code %d, error %v, output:\n%s", code, err, out)
	}
}

func TestPlaceWithoutReachableDaemonFails(t *testing.T) {
	for address, want := range map[string]int{"lookup": exitBadInput, "127.0.0.1:": exitBadInput, "127.0.0.1:1": exitFailure} {
		if code, out := (&testEnv{t: t}).run("place", "--daemon", address, "GET", "shop", "/x"); code != want || !strings.Contains(out, address) {
			t.Errorf("--daemon %s: code %d, want %d, output: %s", address, code, want, out)
		}
	}
}
