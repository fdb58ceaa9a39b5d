package daemon_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"fescuehoist.example/adapters/logging"
	"fescuehoist.example/adapters/settings"
	"fescuehoist.example/fescuehoistd/daemon"
)

// Requests each page from a daemon that has no peers and no reachable platform.
func TestAdminServerServesPages(t *testing.T) {
	const loopback = "127.0.0.1:0"
	set := &settings.Settings{
		Server: "lookup-1", Domain: "cairo-a", Callers: loopback, Calls: loopback, Peers: loopback, Admin: loopback,
		Platform: "127.0.0.1:1", AnnounceLifetime: time.Second, DrainTimeout: time.Second,
		Limits: settings.Limits{LinkMbps: 10},
	}
	listeners, err := daemon.Listen(set)
	if err != nil {
		t.Fatal(err)
	}
	d, err := daemon.New(daemon.DefaultConfig(set, logging.New(io.Discard, logrus.InfoLevel)), listeners)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	for _, page := range []struct {
		path     string
		status   int
		contains []string
	}{
		{"/healthz", fasthttp.StatusOK, nil},
		{"/readyz", fasthttp.StatusServiceUnavailable, nil},
		{"/v1/state", fasthttp.StatusOK, []string{`"server": "lookup-1"`, `"version_in_force": 0`, `"stops": null`}},
		{"/metrics", fasthttp.StatusOK, []string{
			`fescuehoist_version{kind="in-force"} 0`, `fescuehoist_members{state="starting"} 1`, "fescuehoist_peers 0",
			`fescuehoist_control_bytes_total{direction="sent"} 0`, "fescuehoist_platform_calls_total", "fescuehoist_backend_calls_queued 0",
			`fescuehoist_link_bodies_bytes{state="waiting"} 0`, `fescuehoist_link_decisions_total{decision="refused"} 0`,
			"fescuehoist_link_rate_bytes_per_second 1.25e+06",
			`fescuehoist_hedge_copies_total{outcome="sent"} 0`, `fescuehoist_hedge_copies_total{outcome="won"} 0`,
			`fescuehoist_clients_limited_total{cause="dropped"} 0`,
		}},
		{"/v1/placement?method=GET&host=lookup&path=/", fasthttp.StatusOK, []string{`"reason": "unconfigured"`}},
		{"/v1/placement?method=GET&host=lookup&path=x", fasthttp.StatusBadRequest, []string{"path: expected a path that begins with /"}},
		{"/absent", fasthttp.StatusNotFound, nil},
	} {
		status, body, err := fasthttp.Get(nil, "http://"+listeners.Admin.Addr().String()+page.path)
		if err != nil || status != page.status {
			t.Errorf("GET %s: status %d, error %v; want status %d", page.path, status, err, page.status)
		}
		for _, want := range page.contains {
			if !strings.Contains(string(body), want) {
				t.Errorf("GET %s: body does not contain %s:\n%s", page.path, want, body)
			}
		}
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
