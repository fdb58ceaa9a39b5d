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
	"fescuehoist.example/mesh/route"
	"fescuehoist.example/mesh/target"
)

// remote is silent at the first server called, unless over a new connection
// when alone is set; every other server answers.
type remote struct {
	alone  bool
	silent string
	called []string
}

func (r *remote) Forward(_ context.Context, address string, q *call.Request) (*call.Answer, error) {
	r.called = append(r.called, address)
	if r.silent == "" {
		r.silent = address
	}
	if address == r.silent && (!q.NewConnection || !r.alone) {
		return nil, &call.Failure{Verdict: call.MayHaveRun, Reason: call.Silent}
	}
	return &call.Answer{Status: 200}, nil
}

type always struct{}

func (always) Allow(string, string, string) bool          { return true }
func (always) Done(string, string, string, bool)          {}
func (always) Infof(string, ...any)                       {}
func (always) Warnf(string, ...any)                       {}
func (always) Called(*call.Request, time.Duration, error) {}

// outerOf returns an entry that knows some backend servers of one service.
func outerOf(t *testing.T, servers int, remote proxy.Forwarder) *proxy.Outbound {
	t.Helper()
	table := member.NewTable("entry")
	for _, id := range []member.ServerID{"lookup-1", "lookup-2"}[:servers] {
		table.Merge([]member.Record{{
			Server: id, Incarnation: 1, State: member.Ready, Service: "lookup", CallAddress: string(id), Slots: 4,
		}})
	}
	log := manifest.NewStore()
	h := manifesttest.NewHistory("edit")
	h.Edit(manifesttest.Service("lookup", time.Second))
	if _, err := log.ApplyUpdate(h.Delta(0, 1)); err != nil {
		t.Fatal(err)
	}
	return &proxy.Outbound{
		Self: "entry", Routes: route.NewRouter(log, table), Picker: route.NewPicker("a", nil), Unreachable: route.NewUnreachableServers(always{}),
		Retries: retry.NewPolicy(), Throttle: always{}, Remote: remote, Observer: always{},
	}
}

func search() *call.Request {
	return &call.Request{Service: "lookup", Class: &target.Class{Name: "search", Timeout: time.Minute, Idempotent: true}}
}

// TestASilentServerIsLeftForAnother calls one or two servers of which the first
// goes silent.
func TestASilentServerIsLeftForAnother(t *testing.T) {
	for _, servers := range []int{1, 2} {
		r := &remote{alone: servers == 1}
		outer, request := outerOf(t, servers, r), search()
		if _, err := outer.Call(context.Background(), request); err != nil {
			t.Errorf("%d servers: %v", servers, err)
		}
		if len(r.called) != 2 || (servers == 2) != (r.called[0] != r.called[1]) {
			t.Errorf("%d servers: called %v", servers, r.called)
		}
	}
}

// refusing is silent at the first server called; every other one is full.
type refusing struct{ called int }

func (r *refusing) Forward(context.Context, string, *call.Request) (*call.Answer, error) {
	r.called++
	if r.called == 1 {
		return nil, &call.Failure{Verdict: call.MayHaveRun, Reason: call.Silent}
	}
	return nil, call.Refuse(call.Overloaded, nil)
}

// TestAFailureNamesTheAttemptThatMayHaveRun calls a silent server and then a
// full one.
func TestAFailureNamesTheAttemptThatMayHaveRun(t *testing.T) {
	_, err := outerOf(t, 2, &refusing{}).Call(context.Background(), search())
	var f *call.Failure
	if !errors.As(err, &f) || f.Verdict != call.MayHaveRun || f.Reason != call.Silent || f.RetryAfter != 0 {
		t.Errorf("got %v", err)
	}
}

// TestAServiceWithoutServersIsNotRunRatherThanUnknown calls a service that the
// configuration knows and no backend server serves.
func TestAServiceWithoutServersIsNotRunRatherThanUnknown(t *testing.T) {
	_, err := outerOf(t, 0, &remote{}).Call(context.Background(), search())
	var f *call.Failure
	if !errors.As(err, &f) || f.Verdict != call.NotRun || f.Reason != call.NoServer || f.RetryAfter <= 0 {
		t.Errorf("got %v", err)
	}
}
