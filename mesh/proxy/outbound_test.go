package proxy_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/manifest/manifesttest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/proxy"
	"fescuehoist.example/mesh/retry"
	"fescuehoist.example/mesh/revision"
	"fescuehoist.example/mesh/route"
	"fescuehoist.example/mesh/target"
)

// silentForwarder fails with reason Silent at the first address called, or, if
// newConnectionWorks is set, only over its existing connections. All other
// addresses answer.
type silentForwarder struct {
	newConnectionWorks bool
	silent             string
	called             []string
}

func (r *silentForwarder) Forward(_ context.Context, address string, request *call.Request) (*call.Answer, error) {
	r.called = append(r.called, address)
	if r.silent == "" {
		r.silent = address
	}
	if address == r.silent && (!request.NewConnection || !r.newConnectionWorks) {
		return nil, &call.Failure{Verdict: call.MayHaveRun, Reason: call.Silent}
	}
	return &call.Answer{Status: 200}, nil
}

type permitAll struct{}

func (permitAll) Allow(string, string, string) bool               { return true }
func (permitAll) Done(string, string, string, bool)               {}
func (permitAll) Infof(string, ...any)                            {}
func (permitAll) Warnf(string, ...any)                            {}
func (permitAll) ObserveCall(*call.Request, time.Duration, error) {}

// newOutbound returns an Outbound that knows up to two backend servers of one
// service.
func newOutbound(t *testing.T, servers int, forwarder proxy.Forwarder) *proxy.Outbound {
	t.Helper()
	return &proxy.Outbound{
		Self: "entry", Routes: linkedRoutes(t, servers, 0), Picker: route.NewPicker("a", nil), Unreachable: route.NewUnreachableServers(permitAll{}),
		Retries: retry.NewPolicy(), Throttle: permitAll{}, Remote: forwarder, Observer: permitAll{},
	}
}

// linkedRoutes returns the routes to up to two backend servers behind links of the given
// bandwidth in Mbit/s, 0 if it is unknown.
func linkedRoutes(t *testing.T, servers, mbps int) *route.Router {
	t.Helper()
	table := member.NewTable("entry")
	for _, id := range []member.ServerID{"lookup-1", "lookup-2"}[:servers] {
		table.Merge([]member.Record{{
			Server: id, Incarnation: 1, State: member.Ready, Service: "lookup", CallAddress: string(id), Slots: 4, LinkMbps: mbps,
		}})
	}
	configs := manifest.NewStore()
	history := manifesttest.NewHistory("edit")
	history.Edit(manifesttest.Service("lookup", time.Second))
	if _, err := configs.ApplyUpdate(history.Delta(0, 1)); err != nil {
		t.Fatal(err)
	}
	return route.NewRouter(configs, table)
}

func newSearchRequest() *call.Request {
	return &call.Request{Service: "lookup", Class: &target.Class{Name: "search", Timeout: time.Minute, Idempotent: true}}
}

// The first server called does not respond. With two servers, the retry goes
// to the other one; with one server, it uses a new connection.
func TestOutboundSilentServerRetries(t *testing.T) {
	for _, servers := range []int{1, 2} {
		forwarder := &silentForwarder{newConnectionWorks: servers == 1}
		outbound, request := newOutbound(t, servers, forwarder), newSearchRequest()
		if _, err := outbound.Call(context.Background(), request); err != nil {
			t.Errorf("%d servers: %v", servers, err)
		}
		if len(forwarder.called) != 2 || (servers == 2) != (forwarder.called[0] != forwarder.called[1]) {
			t.Errorf("%d servers: called %v, want two calls, to different servers if there are two", servers, forwarder.called)
		}
	}
}

// overloadedForwarder fails with reason Silent in the first call and refuses
// all others as overloaded.
type overloadedForwarder struct{ called int }

func (r *overloadedForwarder) Forward(context.Context, string, *call.Request) (*call.Answer, error) {
	r.called++
	if r.called == 1 {
		return nil, &call.Failure{Verdict: call.MayHaveRun, Reason: call.Silent}
	}
	return nil, call.Refuse(call.Overloaded, nil)
}

// The first attempt goes to a server that does not respond, the second to one
// that is overloaded.
func TestOutboundFailureReportsAttemptThatMayHaveRun(t *testing.T) {
	_, err := newOutbound(t, 2, &overloadedForwarder{}).Call(context.Background(), newSearchRequest())
	var f *call.Failure
	if !errors.As(err, &f) || f.Verdict != call.MayHaveRun || f.Reason != call.Silent || f.RetryAfter != 0 {
		t.Errorf("got %v, want may-have-run and silent without a retry time", err)
	}
}

// The service is configured, but no backend server serves it.
func TestOutboundDoesNotDenyRouteWhileItsConfigurationMayBeOutdated(t *testing.T) {
	for _, c := range []struct {
		name      string
		confirmed time.Duration
		want      call.Reason
	}{
		{"never confirmed", 0, call.Unconfigured},
		{"confirmed lately", time.Second, call.NoRoute},
		{"confirmed long ago", time.Minute, call.Unconfigured},
	} {
		t.Run(c.name, func(t *testing.T) {
			outbound := newOutbound(t, 1, &silentForwarder{})
			configs := manifest.NewStore()
			if c.confirmed > 0 {
				configs.ConfirmFromSource(revision.Revision{Number: 1}, time.Now().Add(-c.confirmed))
			}
			outbound.Configs = configs
			_, err := outbound.Call(context.Background(), &call.Request{Service: "unknown", Method: "GET", URI: "/"})
			var f *call.Failure
			if !errors.As(err, &f) || f.Verdict != call.NotRun || f.Reason != c.want {
				t.Errorf("got %v, want not-run and %s", err, c.want)
			}
		})
	}
}

// Guards against calls that are denied by routes that do not follow the configuration yet,
// although the one that is confirmed has their route.
func TestOutboundDoesNotDenyRouteWhileItsRoutesAreOutdated(t *testing.T) {
	configs := manifest.NewStore()
	outbound := newOutbound(t, 1, &silentForwarder{})
	apply := func(version manifest.Version, service string) {
		class := target.Class{Name: "search", Path: "/", Rank: 3, Success: 0.9, Latency: time.Second, Timeout: time.Second}
		if _, err := configs.ApplyFull(version, []target.Service{{Name: service, Classes: []target.Class{class}}}, nil, nil); err != nil {
			t.Fatal(err)
		}
	}
	apply(1, "old.example")
	outbound.Configs, outbound.Routes = configs, route.NewRouter(configs, member.NewTable("entry"))
	apply(2, "new.example")
	configs.ConfirmFromSource(revision.Revision{Number: 1}, time.Now())
	_, err := outbound.Call(t.Context(), &call.Request{Service: "new.example", Method: "GET", URI: "/"})
	var f *call.Failure
	if !errors.As(err, &f) || f.Verdict != call.NotRun || f.Reason != call.Unconfigured {
		t.Errorf("got %v, want not-run and unconfigured", err)
	}
}

func TestOutboundDeniesUnknownRouteWithoutConfirmations(t *testing.T) {
	_, err := newOutbound(t, 1, &silentForwarder{}).Call(context.Background(), &call.Request{Service: "unknown", Method: "GET", URI: "/"})
	var f *call.Failure
	if !errors.As(err, &f) || f.Reason != call.NoRoute {
		t.Errorf("got %v, want no-route", err)
	}
}

func TestOutboundNoServersFailsAsNotRun(t *testing.T) {
	_, err := newOutbound(t, 0, &silentForwarder{}).Call(context.Background(), newSearchRequest())
	var f *call.Failure
	if !errors.As(err, &f) || f.Verdict != call.NotRun || f.Reason != call.NoServer || f.RetryAfter <= 0 {
		t.Errorf("got %v, want not-run and no-server with a retry time", err)
	}
}

// linkForwarder refuses the body at the first address called, since its link is busy.
type linkForwarder struct {
	called   []string
	askFirst []bool
}

func (r *linkForwarder) Forward(_ context.Context, address string, request *call.Request) (*call.Answer, error) {
	r.called, r.askFirst = append(r.called, address), append(r.askFirst, request.AskFirst)
	if len(r.called) == 1 {
		f := call.Refuse(call.Overloaded, nil)
		f.Load = call.Load{Running: 1, Limit: 4, LinkWait: 2 * time.Second}
		return nil, f
	}
	return &call.Answer{Status: 200, Load: call.Load{Limit: 4}}, nil
}

// Guards against a body that is given up although another server has room, and against a
// retry of it that other calls pay for.
func TestOutboundBodyRefusedByLinkGoesElsewhere(t *testing.T) {
	for _, c := range []struct {
		servers, body, mbps int
		calls               int
		asked               bool
	}{
		{servers: 2, body: 60_000, mbps: 10, calls: 2, asked: true},
		{servers: 1, body: 60_000, mbps: 10, calls: 1, asked: true},
		{servers: 2, body: 600, mbps: 10, calls: 2},
		{servers: 2, body: 60_000, mbps: 0, calls: 2},
	} {
		forwarder := &linkForwarder{}
		outbound := newOutbound(t, c.servers, forwarder)
		outbound.Routes = linkedRoutes(t, c.servers, c.mbps)
		outbound.Retries = retry.NewPolicyWithLimits(retry.Limits{Share: func() float64 { return 0 }, Burst: func() float64 { return 0 }})
		r := newSearchRequest()
		r.Class.Latency, r.Class.Idempotent, r.Body = time.Second, false, make([]byte, c.body)
		_, err := outbound.Call(context.Background(), r)
		if len(forwarder.called) != c.calls || forwarder.askFirst[0] != c.asked {
			t.Errorf("%+v: called %v, asked %v", c, forwarder.called, forwarder.askFirst)
		}
		if c.calls == 2 && (err != nil || forwarder.called[0] == forwarder.called[1]) {
			t.Errorf("%+v: got %v from %v, want an answer of another server", c, err, forwarder.called)
		}
		var f *call.Failure
		if c.calls == 1 && (!errors.As(err, &f) || f.Verdict != call.NotRun || f.Reason != call.Overloaded || f.RetryAfter < time.Second) {
			t.Errorf("%+v: got %v, want overloaded (not-run) with a retry time after the wait for the link", c, err)
		}
	}
}
