package proxy_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"fescuehoist.example/mesh/account"
	"fescuehoist.example/mesh/admit"
	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/hedge"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/manifest/manifesttest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/proxy"
	"fescuehoist.example/mesh/retry"
	"fescuehoist.example/mesh/route"
	"fescuehoist.example/mesh/target"
)

// placed is an Outbound with the default components and its Explainer.
type placed struct {
	*proxy.Explainer
	outbound *proxy.Outbound
	retries  *retry.Policy
	throttle *admit.Throttle
	share    float64
}

func (*placed) IsSuspect(*call.Request) bool { return false }

// newPlaced returns a daemon that knows the host "shop", whose classes go to the services
// "lookup" (three servers in two failure domains) and "spare" (none), and one account.
func newPlaced(t *testing.T) *placed {
	t.Helper()
	table := member.NewTable("entry")
	for i, domain := range []string{"a", "a", "b"} {
		id := fmt.Sprintf("lookup-%d", i+1)
		table.Merge([]member.Record{{
			Server: member.ServerID(id), Incarnation: 1, State: member.Ready, Domain: domain, Service: "lookup", CallAddress: id, Slots: 10,
		}})
	}
	shop := &target.Service{Name: "shop", Classes: []target.Class{
		{Name: "read", Method: "GET", Path: "/", Rank: 2, Latency: 100 * time.Millisecond, Success: 0.99, Timeout: time.Second, Idempotent: true,
			Parts: []target.Part{{Service: "lookup", Weight: 3}, {Service: "spare", Weight: 1}}},
		{Name: "ping", Method: "GET", Path: "/ping", Rank: 1, Latency: 100 * time.Millisecond, Success: 0.99, Timeout: time.Second, Public: true,
			Parts: []target.Part{{Service: "lookup", Weight: 1}}},
	}}
	group := target.GroupAccounts([]target.Account{{Name: "filer", Keys: []target.KeyDigest{target.DigestKey([]byte("k"))}, Rank: 1, Rate: 100, Burst: 20}})[0]
	configs, history := manifest.NewStore(), manifesttest.NewHistory("edit")
	history.EditBodies([]*target.Service{shop, {Name: group.Name}},
		[]manifest.Body{{Digest: shop.Digest(), Service: shop}, {Digest: group.Digest(), Accounts: &group}})
	if _, err := configs.ApplyUpdate(history.Delta(0, 1)); err != nil {
		t.Fatal(err)
	}
	p := &placed{share: 0.1, retries: retry.NewPolicy(), throttle: admit.NewThrottle()}
	picker, checker := route.NewPicker("a", nil), &account.Checker{Configs: configs}
	hedger := hedge.New(hedge.Config{Share: func() float64 { return p.share }, Retries: p.retries, Suspects: p, Servers: picker})
	p.outbound = &proxy.Outbound{
		Self: "entry", Routes: route.NewRouter(configs, table), Accounts: checker, Picker: picker, Unreachable: route.NewUnreachableServers(permitAll{}),
		Retries: p.retries, Throttle: p.throttle, Hedges: hedger, Observer: permitAll{},
		Remote: &servers{reply: func(int, string) reply { return reply{after: 20 * time.Millisecond, status: 200} }},
	}
	p.Explainer = &proxy.Explainer{Outbound: p.outbound, Accounts: checker, Throttle: p.throttle, Retries: p.retries, Hedges: hedger, Picker: picker}
	return p
}

// call makes a call of the account to the class "read".
func (p *placed) call() error {
	_, err := p.outbound.Call(context.Background(), &call.Request{Service: "shop", Method: "GET", URI: "/x", KeyDigest: target.DigestKey([]byte("k")), HasKey: true})
	return err
}

var readQuery = proxy.PlacementQuery{Service: "shop", Method: "GET", URI: "/x", Account: "filer"}

// Guards against an explanation that leaves out or misstates a decision on the way.
func TestPlacementNamesDecisionsOfCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlaced(t)
		got, err := p.Explain(readQuery)
		if err != nil {
			t.Fatal(err)
		}
		if got.Version != 1 || got.Refusal != nil || got.Class.Name != "read" || got.Account.Name != "filer" || got.Class.Rank != got.Account.RankFor(2) {
			t.Errorf("got version %d, class %+v, account %+v, refusal %v", got.Version, got.Class, got.Account, got.Refusal)
		}
		if len(got.Destinations) != 2 {
			t.Fatalf("%d destinations, want 2", len(got.Destinations))
		}
		lookup, spare := &got.Destinations[0], &got.Destinations[1]
		if lookup.Service != "lookup" || lookup.Of != 0.75 || lookup.Refusal != nil || lookup.Servers.Chosen.Domain != "a" || len(lookup.Servers.Candidates) != 3 {
			t.Errorf("got %+v, want 0.75 of the calls at a server of the own failure domain", lookup)
		}
		if lookup.Allowed != 1 || lookup.ServiceRetries != retry.BudgetBurst || lookup.ClassRetries != retry.BudgetBurst || lookup.HedgeObstacle != hedge.TooFewCalls {
			t.Errorf("throttle %g, retries %g and %g, hedge %q", lookup.Allowed, lookup.ServiceRetries, lookup.ClassRetries, lookup.HedgeObstacle)
		}
		if spare.Service != "spare" || spare.Of != 0.25 || spare.Refusal == nil || spare.Refusal.Reason != call.NoServer {
			t.Errorf("got %+v, want 0.25 of the calls without a server", spare)
		}
	})
}

// Guards against an explanation that says something else than a call meets.
func TestPlacementRefusalIsThatOfCall(t *testing.T) {
	for _, c := range []struct {
		name  string
		query proxy.PlacementQuery
		want  call.Reason
	}{
		{"unknown host", proxy.PlacementQuery{Service: "absent", Method: "GET", URI: "/"}, call.NoRoute},
		{"unknown class", proxy.PlacementQuery{Service: "shop", Method: "PUT", URI: "/"}, call.NoRoute},
		{"no key", proxy.PlacementQuery{Service: "shop", Method: "GET", URI: "/x"}, call.Unauthorized},
		{"public", proxy.PlacementQuery{Service: "shop", Method: "GET", URI: "/ping"}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPlaced(t)
				got, err := p.Explain(c.query)
				if err != nil {
					t.Fatal(err)
				}
				var reason call.Reason
				if got.Refusal != nil {
					reason = got.Refusal.Reason
				}
				var f *call.Failure
				if _, err := p.outbound.Call(context.Background(), &call.Request{Service: c.query.Service, Method: c.query.Method, URI: c.query.URI}); err != nil {
					errors.As(err, &f)
				}
				if reason != c.want || (f != nil) != (c.want != "") || (f != nil && f.Reason != c.want) {
					t.Errorf("explained as %q, call failed with %v, want %q", reason, f, c.want)
				}
			})
		})
	}
}

// A daemon that stops refuses calls that may outlast it.
func TestPlacementWhileDaemonStops(t *testing.T) {
	p := newPlaced(t)
	p.outbound.EndBy(time.Now().Add(time.Millisecond))
	got, err := p.Explain(readQuery)
	if err != nil || got.Refusal == nil || got.Refusal.Reason != call.Draining {
		t.Errorf("got %+v, error %v; want a refusal for draining", got, err)
	}
}

func TestPlacementOfUnknownAccountIsAnError(t *testing.T) {
	q := readQuery
	q.Account = "absent"
	_, err := newPlaced(t).Explain(q)
	const want = `account: expected the name of a client account of version 1, found "absent"`
	if err == nil || err.Error() != want {
		t.Errorf("got %v, want %s", err, want)
	}
}

// Guards against hints about copies that Hedges would not make.
func TestPlacementNamesObstacleToCopy(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(p *placed, q *proxy.PlacementQuery)
		want   hedge.Obstacle
	}{
		{"none", func(*placed, *proxy.PlacementQuery) {}, ""},
		{"off", func(p *placed, _ *proxy.PlacementQuery) { p.share = 0 }, hedge.Off},
		{"large body", func(_ *placed, q *proxy.PlacementQuery) { q.Bytes = 1 << 30 }, hedge.LargeBody},
		{"no retry budget", func(p *placed, _ *proxy.PlacementQuery) {
			r := &call.Request{Service: "lookup", ClassName: "read"}
			for p.retries.Withdraw(r) {
			}
		}, hedge.NoRetryBudget},
		{"refusals", func(p *placed, _ *proxy.PlacementQuery) { p.outbound.Hedges.ObserveRefusal("lookup") }, hedge.ServiceRefuses},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, q := newPlaced(t), readQuery
				for range 200 {
					_ = p.call()
				}
				time.Sleep(2 * time.Second)
				c.change(p, &q)
				got, err := p.Explain(q)
				if err != nil {
					t.Fatal(err)
				}
				d := &got.Destinations[0]
				if d.HedgeObstacle != c.want || (d.HedgeDelay > 0) != (c.want == "") || (d.HedgeServer != nil) != (c.want == "") {
					t.Errorf("obstacle %q, delay %s, server %v; want obstacle %q", d.HedgeObstacle, d.HedgeDelay, d.HedgeServer, c.want)
				}
			})
		})
	}
}

// Guards against explanations that take tokens, count calls, or fill the throttle.
func TestPlacementChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlaced(t)
		p.outbound.Remote = &overloadedForwarder{}
		for range 50 {
			_ = p.call()
		}
		first, err := p.Explain(readQuery)
		if err != nil {
			t.Fatal(err)
		}
		for range 100 {
			if _, err := p.Explain(readQuery); err != nil {
				t.Fatal(err)
			}
		}
		last, err := p.Explain(readQuery)
		if err != nil {
			t.Fatal(err)
		}
		a, b := &first.Destinations[0], &last.Destinations[0]
		if a.Allowed == 1 || a.Allowed != b.Allowed {
			t.Errorf("throttle lets %g through, then %g; want the same, below 1", a.Allowed, b.Allowed)
		}
		if a.ServiceRetries != b.ServiceRetries || a.ClassRetries != b.ClassRetries {
			t.Errorf("retries %g and %g, then %g and %g", a.ServiceRetries, a.ClassRetries, b.ServiceRetries, b.ClassRetries)
		}
		for i := range a.Servers.Candidates {
			if x, y := a.Servers.Candidates[i].Estimate, b.Servers.Candidates[i].Estimate; x != y {
				t.Errorf("%s: %+v, then %+v", a.Servers.Candidates[i].Record.Server, x, y)
			}
		}
	})
}
