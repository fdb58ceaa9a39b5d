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

// waitTimeout bounds all waits of one test together.
const waitTimeout = 30 * time.Second

// domainCount is the number of failure domains of a small deployment.
const domainCount = 2

// smallDeployment returns count servers of the service lookup, alternating between
// domainCount failure domains.
func smallDeployment(count int) *fleet.Deployment {
	d := &fleet.Deployment{Name: "small", Work: func(string, string) time.Duration { return time.Millisecond }}
	for i := range count {
		d.Servers = append(d.Servers, fleet.Server{
			Name: "lookup-" + string(rune('a'+i)), Service: "lookup", Domain: "domain-" + string(rune('a'+i%domainCount)), Slots: 4,
		})
	}
	return d
}

// With TLS on all connections, configuration and status must reach the platform
// and the daemons, and calls must reach every backend server.
func TestCallsAndConfigurationOverTLS(t *testing.T) {
	ca, err := authority.New("mesh")
	requireNoError(t, err)
	files, err := ca.IssueAll(t.TempDir(), "daemon", net.IPv4(127, 0, 0, 1))
	requireNoError(t, err)
	source, err := tlsfiles.Open(tlsfiles.Files(files), nil)
	requireNoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	f, err := fleet.Start(context.Background(), smallDeployment(4), fleet.Options{
		TLS: settings.TLS{
			Daemons: true, Callers: true, Platform: true, Certificate: files.Certificate, Key: files.Key,
			Authority: files.Authority, PlatformAuthority: files.Authority, PlatformName: "127.0.0.1",
		},
		PlatformTLS: source.ServerConfig(),
		Tune:        func(c *daemon.Config) { c.Status.Interval = 500 * time.Millisecond },
	})
	requireNoError(t, err)
	defer func() { _ = f.Close() }()
	operator := f.NewOperator(tlsfiles.Dial(nil, source.ClientConfig("127.0.0.1")))
	defer operator.Close()
	requireNoError(t, operator.PublishInitial(ctx, lookupService(1000)))
	awaitSummaries(ctx, t, &platformhttp.StatusStore{Client: operator.Repo.Client}, "status reports of all daemons", func(o *status.Overview) bool {
		return countDaemons(o, 1) == len(f.Members)
	})
	for _, m := range f.Members {
		caller := httpconn.NewPool(m.Callers, tlsfiles.Dial(nil, source.ClientConfig("127.0.0.1")))
		// Concurrent callers load the servers of the daemon's own failure domain,
		// so that calls also go to other domains.
		var callers sync.WaitGroup
		for range 8 {
			callers.Go(func() {
				for range 20 {
					callLookup(ctx, t, caller)
				}
			})
		}
		callers.Wait()
		caller.Close()
	}
	for _, m := range f.Members {
		if len(m.Backend.Executions()) == 0 {
			t.Errorf("backend server %s ran no request, want at least one", m.Server.Name)
		}
	}
}

// callLookup sends one call to the service lookup and checks that it succeeds.
func callLookup(ctx context.Context, t *testing.T, caller *httpconn.Pool) {
	t.Helper()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("/")
	req.Header.SetHost("lookup")
	req.Header.Set("X-Request-Id", uuid.NewString())
	if err := caller.Do(ctx, req, resp); err != nil || resp.StatusCode() != fasthttp.StatusOK {
		t.Errorf("call to lookup: status %d, error %v, body %q; want status 200", resp.StatusCode(), err, resp.Body())
	}
}
