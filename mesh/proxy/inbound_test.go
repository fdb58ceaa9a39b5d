package proxy_test

import (
	"context"
	"errors"
	"testing"

	"fescuehoist.example/mesh/admit"
	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/link"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/proxy"
	"fescuehoist.example/mesh/route"
	"fescuehoist.example/mesh/target"
)

type fixedHost struct{ server, service string }

func (h fixedHost) Serves(server, service string) bool {
	return server == h.server && service == h.service
}

// The call arrives at a daemon without a configuration in force.
func TestInboundWithoutConfigurationRefusesAsUnconfigured(t *testing.T) {
	inbound := &proxy.Inbound{
		Host:   fixedHost{"lookup-1", "lookup"},
		Routes: route.NewRouter(manifest.NewStore(), member.NewTable("lookup-1")),
	}
	r := &call.Request{Server: "lookup-1", Service: "lookup", Method: "GET", URI: "/search"}
	_, err := inbound.Call(context.Background(), r)
	var f *call.Failure
	if !errors.As(err, &f) || f.Verdict != call.NotRun || f.Reason != call.Unconfigured {
		t.Errorf("got %v, want not-run and unconfigured", err)
	}
}

// The policies behind the check are nil, so calling one of them panics.
func TestInboundMisdirectedCallIsRefused(t *testing.T) {
	inbound := &proxy.Inbound{
		Host:   fixedHost{"lookup-1", "lookup"},
		Routes: route.NewRouter(manifest.NewStore(), member.NewTable("lookup-1")),
	}
	for _, c := range []struct{ name, server, service string }{
		{"another server", "lookup-2", "lookup"},
		{"another service of the same server", "lookup-1", "archive"},
		{"no server", "", "lookup"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := &call.Request{Server: c.server, Service: c.service, Class: &target.Class{Name: "search"}}
			_, err := inbound.Call(context.Background(), r)
			var f *call.Failure
			if !errors.As(err, &f) || f.Verdict != call.NotRun || f.Reason != call.Misdirected {
				t.Errorf("got %v, want not-run and misdirected", err)
			}
		})
	}
}

// "No route" would be final for the caller, while the service may have one.
func TestInboundRefusedServiceIsUnconfigured(t *testing.T) {
	configs := manifest.NewStore()
	configs.ApplyByService()
	refused := target.Service{Name: "site.example", Classes: []target.Class{{Name: "search"}}}
	if _, err := configs.ApplyFull(4, []target.Service{refused}, nil, nil); err != nil {
		t.Fatal(err)
	}
	inbound := &proxy.Inbound{Host: fixedHost{"lookup-1", "site.example"}, Routes: route.NewRouter(configs, member.NewTable("lookup-1"))}
	_, err := inbound.Call(context.Background(), &call.Request{Server: "lookup-1", Service: "site.example", Method: "GET", URI: "/search"})
	var f *call.Failure
	if !errors.As(err, &f) || f.Verdict != call.NotRun || f.Reason != call.Unconfigured {
		t.Errorf("got %v, want not-run and unconfigured", err)
	}
}

// leftRelease is the release of a server that a rollout leaves without calls.
type leftRelease struct{}

func (leftRelease) Refuses() bool { return true }

// Guards against a body that is sent over a narrow link although its call will be refused.
func TestInboundOfLeftReleaseRefusesBodyBeforeItIsSent(t *testing.T) {
	inbound := &proxy.Inbound{
		Host:     fixedHost{"lookup-1", "lookup"},
		Routes:   route.NewRouter(manifest.NewStore(), member.NewTable("lookup-1")),
		Gate:     admit.NewFixedGate(),
		Link:     link.NewGate(10),
		Releases: leftRelease{},
	}
	r := &call.Request{Server: "lookup-1", Service: "lookup", Class: &target.Class{Name: "search"}}
	body, err := inbound.AdmitBody(t.Context(), r, 60_000)
	var f *call.Failure
	if !errors.As(err, &f) || f.Verdict != call.NotRun || f.Reason != call.Draining {
		t.Errorf("got body %+v and %v, want not-run and draining", body, err)
	}
}
