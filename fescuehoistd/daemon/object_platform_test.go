package daemon_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"fescuehoist.example/adapters/logging"
	"fescuehoist.example/adapters/settings"
	"fescuehoist.example/fescuehoistd/daemon"
	"fescuehoist.example/mesh/target"
	"fescuehoist.example/platform/platformtest"
)

const (
	loopback = "127.0.0.1:0"
	// eventTimeout bounds each wait for an event.
	eventTimeout = 30 * time.Second
)

// host is a daemon with its backend server.
type host struct {
	daemon                        *daemon.Daemon
	backend                       *platformtest.Backend
	callers, announcements, ready string
	settings                      *settings.Settings
	log                           logBuffer
	stop                          context.CancelCauseFunc
	exited                        chan error
}

// logBuffer keeps log lines.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// lines returns the log lines that hold all the given words.
func (b *logBuffer) lines(words ...string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []string
	for line := range strings.Lines(b.text.String()) {
		if !slices.ContainsFunc(words, func(word string) bool { return !strings.Contains(line, word) }) {
			found = append(found, line)
		}
	}
	return found
}

// startHost starts a backend server and the daemon beside it, with settings changed by
// tune; both are stopped at the end of the test.
func startHost(t *testing.T, store *platformtest.Store, name, domain, service string, tune ...func(*settings.Settings)) *host {
	t.Helper()
	h := &host{backend: platformtest.NewBackend(service, "i-"+name), exited: make(chan error, 1)}
	t.Cleanup(h.backend.Close)
	set := &settings.Settings{
		Server: name, Domain: domain, Mesh: "mesh", Service: service, Backend: h.backend.Address(),
		Callers: loopback, Calls: loopback, Peers: loopback, Admin: loopback, Announcements: loopback, Ready: loopback,
		Platform: store.Address(), API: settings.Objects, FixedSlots: true, Retry: settings.Retry{Share: 0.1, Burst: 56},
		AnnounceLifetime: eventTimeout, DrainTimeout: 6 * time.Second,
	}
	for _, f := range tune {
		f(set)
	}
	h.settings, h.backend.AdvertisedAddress = set, set.Backend
	h.startDaemon(t)
	t.Cleanup(func() {
		h.stop(nil)
		if err := <-h.exited; err != nil {
			t.Error(err)
		}
		h.exited <- nil
	})
	h.report(t)
	return h
}

// startDaemon starts the daemon of the host, at the addresses of its previous start.
func (h *host) startDaemon(t *testing.T) {
	t.Helper()
	var listeners *daemon.Listeners
	var err error
	// Another process may use a port for a moment between two starts of the daemon.
	await(t, "the addresses of the daemon", func() bool {
		listeners, err = daemon.Listen(h.settings)
		return err == nil
	})
	h.callers, h.announcements = listeners.Callers.Addr().String(), listeners.Announcements.Addr().String()
	h.ready = listeners.Ready.Addr().String()
	h.settings.Callers, h.settings.Announcements, h.settings.Ready = h.callers, h.announcements, h.ready
	h.settings.Calls, h.settings.Peers = listeners.Calls.Addr().String(), listeners.Peers.Addr().String()
	h.daemon, err = daemon.New(daemon.DefaultConfig(h.settings, logging.New(&h.log, logrus.InfoLevel)), listeners)
	if err != nil {
		t.Fatal(err)
	}
	var ctx context.Context
	ctx, h.stop = context.WithCancelCause(context.Background())
	running, exited := h.daemon, make(chan error, 1)
	h.exited = exited
	go func() { exited <- running.Run(ctx) }()
}

// report sends a status report of the backend server.
func (h *host) report(t *testing.T) {
	t.Helper()
	if status, err := h.backend.SendReport(h.announcements, "ready"); err != nil || status != 200 {
		t.Fatalf("status report: status %d, error %v; want status 200", status, err)
	}
}

func configuration(version int, more ...string) any {
	routes := []platformtest.Route{
		{Name: "r-search", Prefix: "/search/", Service: "lookup", Idempotent: true, Attempts: 2},
		{Name: "r-submit", Prefix: "/submit/", Service: "lookup", Priority: 1, Attempts: 2},
	}
	for i, p := range more {
		routes = append(routes, platformtest.Route{Name: fmt.Sprint("r-more-", i), Prefix: p, Service: "archive", Idempotent: true, Priority: 2, Attempts: 1})
	}
	return platformtest.Configuration(version, "site.example", routes)
}

// await waits for a condition.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(eventTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

func respondsWith(t *testing.T, h *host, path string, status int) func() bool {
	n := 0
	return func() bool {
		n++
		return sendRequest(t, h, "GET", path, fmt.Sprintf("wait-%p-%d", h, n)).status == status
	}
}

func isReady(h *host) bool {
	resp, err := http.Get("http://" + h.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == 200
}

// startPair starts two hosts of one service, the second in the given failure
// domain, and waits until both serve calls and know each other's backend server.
func startPair(t *testing.T, store *platformtest.Store, second string, tune ...func(*settings.Settings)) (*host, *host) {
	t.Helper()
	store.Put("config", "main", configuration(4))
	a := startHost(t, store, "host-a", "cairo-a", "lookup", tune...)
	b := startHost(t, store, "host-b", second, "lookup", tune...)
	for _, h := range []*host{a, b} {
		await(t, "the first route", respondsWith(t, h, "/search/x", 200))
	}
	await(t, "the daemons to know each other", func() bool { return len(a.daemon.State().Members) == 2 && len(b.daemon.State().Members) == 2 })
	return a, b
}

func TestObjectStoreDaemonsFollowConfigurationAndRouteCalls(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	a := startHost(t, store, "host-a", "cairo-a", "lookup")
	b := startHost(t, store, "host-b", "cairo-b", "lookup")
	c := startHost(t, store, "host-c", "cairo-c", "archive")

	got := sendRequest(t, c, "GET", "/search/x", "early")
	if got.status != 503 || got.retryAfter == "" || isReady(c) {
		t.Errorf("without a configuration: got %+v, want status 503 with Retry-After and no readiness", got)
	}
	store.Put("config", "main", configuration(4))
	for _, h := range []*host{a, b, c} {
		await(t, "the first route", respondsWith(t, h, "/search/x?q=1", 200))
		await(t, "readiness", func() bool { return isReady(h) })
	}
	got = sendRequest(t, c, "POST", "/submit/one", "s1")
	if got.status != 200 || got.seal != platformtest.Seal || !strings.HasSuffix(got.body, "POST /submit/one 64") {
		t.Errorf("submission: got %+v, want a sealed response with status 200 and its own body", got)
	}
	if runs := a.backend.Executions("s1") + b.backend.Executions("s1"); runs != 1 {
		t.Errorf("submission ran %d times, want 1", runs)
	}
	if origin := a.backend.Origin("s1") + b.backend.Origin("s1"); origin != "archive" {
		t.Errorf("origin %q, want \"archive\"", origin)
	}
	await(t, "status 404 for a path without a route", func() bool {
		got := sendRequest(t, a, "GET", "/nowhere/", "n1")
		if got.status != 404 && (got.status != 503 || got.retryAfter == "") {
			t.Errorf("path without a route: got %+v, want status 404, or 503 with Retry-After before the configuration is confirmed", got)
		}
		return got.status == 404
	})
	store.Put("config", "main", configuration(9, "/export/"))
	for _, h := range []*host{a, b, c} {
		await(t, "the added route", respondsWith(t, h, "/export/y", 200))
	}
	store.Put("config", "main", configuration(12))
	for _, h := range []*host{a, b, c} {
		await(t, "the removal of the route", respondsWith(t, h, "/export/y", 404))
	}
}

// largeConfiguration returns a version with more routes on one host than operators may
// declare; the last one has the given prefix.
func largeConfiguration(version int, last string) any {
	routes := []platformtest.Route{{Name: "last", Prefix: last, Service: "lookup", Idempotent: true, Attempts: 2}}
	for i := range target.MaxClasses {
		routes = append(routes, platformtest.Route{
			Name: fmt.Sprint("r-", i), Prefix: fmt.Sprintf("/many/%d/", i), Service: "lookup", Idempotent: true, Attempts: 2,
		})
	}
	return platformtest.Configuration(version, "site.example", routes)
}

// Guards against daemons that keep an old configuration for good, or have none after a
// restart, since a host has more routes than operators may declare.
func TestConfigurationBeyondLimitsOfOperatorsIsInForce(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	a, b := startPair(t, store, "cairo-b")
	store.Put("config", "main", largeConfiguration(9, "/first/"))
	for _, h := range []*host{a, b} {
		await(t, "a route of the large version", respondsWith(t, h, "/first/y", 200))
		await(t, "the removal of a route", respondsWith(t, h, "/search/y", 404))
	}
	store.Put("config", "main", largeConfiguration(12, "/second/"))
	for _, h := range []*host{a, b} {
		await(t, "a route of the next version", respondsWith(t, h, "/second/y", 200))
	}
	restart(t, daemon.ErrAborted, a, b)
	for _, h := range []*host{a, b} {
		h.report(t)
		await(t, "a route after the restart", respondsWith(t, h, "/many/17/y", 200))
	}
}

// Guards against daemons that keep an old configuration for good, or have none after a
// restart, since one host has a route that they cannot apply.
func TestHostThatCannotBeAppliedKeepsNoOtherHostBack(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	a, b := startPair(t, store, "cairo-b")
	bad := platformtest.Host{Name: "other.example", Routes: []platformtest.Route{
		{Name: "r-bad", Prefix: "/", Service: "lookup", Idempotent: true, Priority: -1, Attempts: 1},
	}}
	for i, prefix := range []string{"/first/", "/second/"} {
		sound := platformtest.Host{Name: "site.example", Routes: []platformtest.Route{
			{Name: "r", Prefix: prefix, Service: "lookup", Idempotent: true, Attempts: 2},
		}}
		store.Put("config", "main", platformtest.ConfigurationOf(9+3*i, bad, sound))
		for _, h := range []*host{a, b} {
			await(t, "a route of the version", respondsWith(t, h, prefix+"y", 200))
		}
	}
	for _, h := range []*host{a, b} {
		if s := h.daemon.State(); s.InForce != 12 || !strings.Contains(s.Refused, "version 12 refused in part: service \"other.example\"") {
			t.Errorf("version %d in force, refused: %q; want version 12, in part", s.InForce, s.Refused)
		}
	}
	restart(t, daemon.ErrAborted, a, b)
	for _, h := range []*host{a, b} {
		h.report(t)
		await(t, "a route after the restart", respondsWith(t, h, "/second/y", 200))
	}
}

func TestDrainingReportTakesEffectWithUnresponsiveStore(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	a, b := startPair(t, store, "cairo-b")
	store.SetFault(platformtest.Unresponsive)
	defer store.SetFault(platformtest.NoFault)
	if status, err := a.backend.SendReport(a.announcements, "draining"); err != nil || status != 503 {
		t.Fatalf("draining report: status %d, error %v; want status 503", status, err)
	}
	time.Sleep(2 * time.Second)
	before := a.backend.TotalExecutions()
	for n := range 20 {
		if got := sendRequest(t, a, "GET", "/search/x", fmt.Sprint("d-", n)); got.status != 200 {
			t.Errorf("server draining: got %+v, want status 200", got)
		}
	}
	if after := a.backend.TotalExecutions(); after != before {
		t.Errorf("%d requests reached the draining server, want 0", after-before)
	}
	// A report that arrives after the withdrawal must not announce the server again.
	if status := a.withdraw(t); status != 503 {
		t.Errorf("withdrawal: status %d, want 503", status)
	}
	if status, err := a.backend.SendReport(a.announcements, "ready"); err != nil || status != 200 {
		t.Errorf("late report: status %d, error %v; want status 200", status, err)
	}
	if got := sendRequest(t, b, "GET", "/search/x", "last"); got.status != 200 || a.backend.Executions("last") > 0 {
		t.Errorf("after the withdrawal: got %+v, want status 200 from the other server", got)
	}
	store.SetFault(platformtest.NoFault)
	await(t, "the confirmation", func() bool { return a.withdraw(t) == 200 })
}

func TestDaemonStopLosesNoCall(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	a, b := startPair(t, store, "cairo-b")
	a.backend.SetServiceTime(20 * time.Millisecond)
	b.backend.SetServiceTime(20 * time.Millisecond)
	var callers sync.WaitGroup
	done := make(chan struct{})
	for n := range 4 {
		callers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				default:
				}
				id := fmt.Sprintf("stop-%d-%d", n, i)
				method, path := "GET", "/search/x"
				if n%2 == 0 {
					method, path = "POST", "/submit/x"
				}
				if got := sendRequest(t, b, method, path, id); got.status != 200 {
					t.Errorf("request %s: got %+v, want status 200", id, got)
				}
				if runs := a.backend.Executions(id) + b.backend.Executions(id); method == "POST" && runs != 1 {
					t.Errorf("request %s ran %d times, want 1", id, runs)
				}
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	a.stop(nil)
	err := <-a.exited
	a.exited <- err
	close(done)
	callers.Wait()
	if err != nil {
		t.Error(err)
	}
}

// A call that comes late in a planned stop, while the daemon waits for others, must be
// answered before the process is killed. One that is not sure to end in time is told
// that it has not run.
func TestDaemonStopAnswersCallsThatComeLate(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	// Calls time out after 2 s, so that one which comes in the last second of the stop
	// may outlast it.
	const drain, lateAt = 4 * time.Second, 2800 * time.Millisecond
	a, b := startPair(t, store, "cairo-b", func(s *settings.Settings) { s.DrainTimeout = drain })
	start := time.Now()
	a.stop(nil)
	// The daemon waits for a call that runs at its own backend server.
	time.Sleep(1400 * time.Millisecond)
	a.backend.SetServiceTime(1900 * time.Millisecond)
	b.backend.SetServiceTime(1900 * time.Millisecond)
	var early sync.WaitGroup
	for n := range 8 {
		early.Go(func() { sendRequest(t, a, "GET", "/search/x", fmt.Sprint("early-", n)) })
	}
	time.Sleep(lateAt - time.Since(start))
	late := sendRequest(t, a, "POST", "/submit/x", "late")
	if late.status != 503 || late.retryAfter == "" {
		t.Errorf("late call: got %+v, want status 503 with a time to come back", late)
	}
	if n := a.backend.Executions("late") + b.backend.Executions("late"); n != 0 {
		t.Errorf("late call ran %d times, want 0 after a refusal", n)
	}
	early.Wait()
	if err := <-a.exited; err != nil {
		t.Error(err)
	}
	a.exited <- nil
	if elapsed := time.Since(start); elapsed > drain {
		t.Errorf("daemon ended %s after the start of the stop, want at most %s", elapsed, drain)
	}
}

// A backend server whose status reports stay away gets no new calls, but the work that
// it does goes on, is answered, and is started nowhere else.
func TestCallRunsOnAtBackendServerWithoutReports(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	const lifetime = 2 * time.Second
	a, b := startPair(t, store, "cairo-b", func(s *settings.Settings) { s.AnnounceLifetime = lifetime })
	for _, h := range []*host{a, b} {
		if _, err := h.backend.SendReport(h.announcements, "ready"); err != nil {
			t.Fatal(err)
		}
		h.backend.SetServiceTime(lifetime - 200*time.Millisecond)
	}
	time.Sleep(lifetime / 2)
	var calls sync.WaitGroup
	for n := range 4 {
		calls.Go(func() {
			id := fmt.Sprint("silent-", n)
			if got := sendRequest(t, b, "POST", "/submit/x", id); got.status != 200 {
				t.Errorf("request %s: got %+v, want status 200", id, got)
			}
			if runs := a.backend.Executions(id) + b.backend.Executions(id); runs != 1 {
				t.Errorf("request %s ran %d times, want 1", id, runs)
			}
		})
	}
	await(t, "the backend servers to leave the routes", func() bool {
		for _, m := range b.daemon.State().Members {
			if m.State == "ready" {
				return false
			}
		}
		return true
	})
	calls.Wait()
}

func TestFailedCallIsRetriedAtOtherServer(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	a, b := startPair(t, store, "cairo-a")
	a.backend.SetFail(true)
	if got := sendRequest(t, a, "GET", "/search/x", "f1"); got.status != 200 {
		t.Errorf("idempotent request: got %+v, want status 200", got)
	}
	a.backend.SetFail(false)
	a.backend.SetRefuse(true)
	for n := range 5 {
		id := fmt.Sprint("r", n)
		if got := sendRequest(t, a, "POST", "/submit/x", id); got.status != 200 || a.backend.Executions(id)+b.backend.Executions(id) != 1 {
			t.Errorf("submission refused by one server: got %+v, want status 200 and one execution", got)
		}
	}
}

func TestDaemonStartedWithoutStoreJoinsAfterItRecovers(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	store.Put("config", "main", configuration(4))
	store.SetFault(platformtest.Busy)
	a := startHost(t, store, "host-a", "cairo-a", "lookup")
	if got := sendRequest(t, a, "GET", "/search/x", "1"); got.status != 503 {
		t.Errorf("store unavailable: got %+v, want status 503", got)
	}
	store.SetFault(platformtest.NoFault)
	await(t, "the route", respondsWith(t, a, "/search/x", 200))
	await(t, "the discovery entry of host-a", func() bool {
		names := store.ObjectNames("fescuehoist-daemons")
		return len(names) == 1 && names[0] == "host-a"
	})
}
