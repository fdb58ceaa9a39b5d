package proxy_test

import (
	"context"
	"errors"
	"testing"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/proxy"
	"fescuehoist.example/mesh/route"
	"fescuehoist.example/mesh/target"
)

type host struct{ server, service string }

func (h host) Serves(server, service string) bool { return server == h.server && service == h.service }

// TestCallAheadOfTheConfigurationGoesElsewhere gives a call to a daemon that has
// no configuration in force yet.
func TestCallAheadOfTheConfigurationGoesElsewhere(t *testing.T) {
	inner := &proxy.Inbound{
		Host:   host{"lookup-1", "lookup"},
		Routes: route.NewRouter(manifest.NewStore(), member.NewTable("lookup-1")),
	}
	r := &call.Request{Server: "lookup-1", Service: "lookup", Method: "GET", URI: "/search"}
	_, err := inner.Call(context.Background(), r)
	var f *call.Failure
	if !errors.As(err, &f) || f.Verdict != call.NotRun || f.Reason != call.Unconfigured {
		t.Errorf("got %v", err)
	}
}

// TestMisdirectedCallIsRefused gives a daemon calls that were meant for another
// backend server. Parts behind the check are nil: reaching one fails the test.
func TestMisdirectedCallIsRefused(t *testing.T) {
	inner := &proxy.Inbound{
		Host:   host{"lookup-1", "lookup"},
		Routes: route.NewRouter(manifest.NewStore(), member.NewTable("lookup-1")),
	}
	for _, c := range []struct{ name, server, service string }{
		{"another server", "lookup-2", "lookup"},
		{"another service of the same server", "lookup-1", "archive"},
		{"no server", "", "lookup"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := &call.Request{Server: c.server, Service: c.service, Class: &target.Class{Name: "search"}}
			_, err := inner.Call(context.Background(), r)
			var f *call.Failure
			if !errors.As(err, &f) || f.Verdict != call.NotRun || f.Reason != call.Misdirected {
				t.Errorf("got %v", err)
			}
		})
	}
}
