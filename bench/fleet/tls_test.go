package fleet_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"fescuehoist.example/adapters/httpconn"
	"fescuehoist.example/adapters/platformhttp"
	"fescuehoist.example/adapters/settings"
	"fescuehoist.example/adapters/tlsfiles"
	"fescuehoist.example/bench/fleet"
	"fescuehoist.example/fescuehoistd/daemon"
	"fescuehoist.example/mesh/status"
	"fescuehoist.example/standin/authority"
)

// waitLimit bounds every wait for an event.
const waitLimit = 30 * time.Second

// domains is the number of failure domains of a small fleet.
const domains = 2

// small is a service with its servers in different failure domains.
func small(count int) *fleet.Deployment {
	d := &fleet.Deployment{Name: "small", Work: func(string, string) time.Duration { return time.Millisecond }}
	for i := range count {
		d.Servers = append(d.Servers, fleet.Server{
			Name: "lookup-" + string(rune('a'+i)), Service: "lookup", Domain: "domain-" + string(rune('a'+i%domains)), Slots: 4,
		})
	}
	return d
}

func TestCallsAndConfigurationOverTLS(t *testing.T) {
	mesh, err := authority.New("mesh")
	must(t, err)
	files, err := mesh.IssueAll(t.TempDir(), "daemon", net.IPv4(127, 0, 0, 1))
	must(t, err)
	source, err := tlsfiles.Open(tlsfiles.Files(files), nil)
	must(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	defer cancel()
	f, err := fleet.Start(context.Background(), small(4), fleet.Options{
		TLS: settings.TLS{
			Daemons: true, Callers: true, Platform: true, Certificate: files.Certificate, Key: files.Key,
			Authority: files.Authority, PlatformAuthority: files.Authority, PlatformName: "127.0.0.1",
		},
		PlatformTLS: source.ServerConfig(),
		Tune:        func(c *daemon.Config) { c.Status.Interval = 500 * time.Millisecond },
	})
	must(t, err)
	defer func() { _ = f.Close() }()
	operator := f.NewOperator(tlsfiles.Dial(nil, source.ClientConfig("127.0.0.1")))
	defer operator.Close()
	must(t, operator.Begin(ctx, service(1000)))
	await(ctx, t, &platformhttp.StatusStore{Client: operator.Repo.Client}, "reports of all daemons", func(o *status.Overview) bool {
		return daemons(o, 1) == len(f.Members)
	})
	for _, m := range f.Members {
		caller := httpconn.NewPool(m.Callers, tlsfiles.Dial(nil, source.ClientConfig("127.0.0.1")))
		// Callers side by side load the servers of the failure domain, so that
		// calls cross to the others.
		var callers sync.WaitGroup
		for range 8 {
			callers.Go(func() {
				for range 20 {
					get(ctx, t, caller)
				}
			})
		}
		callers.Wait()
		caller.Close()
	}
	for _, m := range f.Members {
		if len(m.Backend.Runs()) == 0 {
			t.Errorf("no call reached %s", m.Server.Name)
		}
	}
}

func get(ctx context.Context, t *testing.T, caller *httpconn.Pool) {
	t.Helper()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("/")
	req.Header.SetHost("lookup")
	req.Header.Set("X-Request-Id", uuid.NewString())
	if err := caller.Do(ctx, req, resp); err != nil || resp.StatusCode() != fasthttp.StatusOK {
		t.Errorf("status %d, error %v, %s", resp.StatusCode(), err, resp.Body())
	}
}
