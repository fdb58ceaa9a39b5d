package daemon_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/platform/platformtest"
)

// Guards against a version that is not in force, in whole or in part, since it holds a value
// which no page forbids: the routes beside it would be handled by the version before.
func TestVersionWithUnusualValueIsInForce(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	a, b := startPair(t, store, "cairo-b")
	for i, c := range platformtest.UnusualRoutes("lookup") {
		t.Run(c.Name, func(t *testing.T) {
			version := 10 + i
			store.PutConfiguration(platformtest.VersionOf(version, "lookup", nil, c.Route))
			for _, h := range []*host{a, b} {
				await(t, "the version", func() bool { return h.daemon.State().InForce >= manifest.Version(version) })
				await(t, "the route beside", respondsWith(t, h, platformtest.VersionPrefix(version)+"x", 200))
				if got := sendRequest(t, h, "GET", c.Prefix+"x", c.Name); got.status != 200 {
					t.Errorf("request on the route: got %+v, want status 200", got)
				}
				if refused := h.daemon.State().Refused; refused != "" {
					t.Errorf("refused: %s; want nothing", refused)
				}
			}
		})
	}
}

// Guards against a route that cannot be taken and costs more than itself: the routes beside
// it, or its own requests, which a shorter prefix or the version before would send elsewhere.
func TestRouteThatCannotBeTakenIsRefusedAlone(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	a, b := startPair(t, store, "cairo-b")
	for i, c := range platformtest.UnusableRoutes("lookup") {
		t.Run(c.Name, func(t *testing.T) {
			version := 10 + i
			routes := append(platformtest.RoutesWithoutPrefix(), platformtest.PublicRoute("r-all", "/", "lookup"), c.Route)
			store.PutConfiguration(platformtest.VersionOf(version, "lookup", nil, routes...))
			for _, h := range []*host{a, b} {
				await(t, "the route beside", respondsWith(t, h, platformtest.VersionPrefix(version)+"x", 200))
				if got := sendRequest(t, h, "GET", c.Prefix+"x", c.Name); got.status != 503 || got.retryAfter == "" {
					t.Errorf("request on the route: got %+v, want status 503 with a time to come back", got)
				}
				if got := sendRequest(t, h, "GET", "/other/x", c.Name); got.status != 200 {
					t.Errorf("request on the shorter prefix: got %+v, want status 200", got)
				}
			}
			if refused := a.daemon.State().Refused + b.daemon.State().Refused; !strings.Contains(refused, `class "r-odd"`) {
				t.Errorf("refused: %s; want the class r-odd", refused)
			}
		})
	}
}

// Guards against keys that stay in use after a version took them away, or keys in force that
// are denied, since the version holds an account that cannot be taken.
func TestKeysFollowVersionBesideAccountThatCannotBeTaken(t *testing.T) {
	// Many accounts, so that some share a group with the odd one.
	const others = 40
	const oddKey = "key-of-the-odd-one"
	accounts := func(version int, odd ...any) []any {
		var list []any
		for i := range others {
			list = append(list, platformtest.AccountEntry(fmt.Sprint("store-", i), []string{fmt.Sprintf("key-%d-%d", version, i)}, nil))
		}
		return append(list, odd...)
	}
	store := platformtest.NewStore()
	defer store.Close()
	a, b := startPair(t, store, "cairo-b")
	for i, c := range platformtest.UnusualAccounts(oddKey, "store-3") {
		t.Run(c.Name, func(t *testing.T) {
			version := 10 + i
			store.PutConfiguration(platformtest.VersionOf(version, "lookup", accounts(version, c.Accounts...), platformtest.PrivateRoute("r-private", "/private/", "lookup")))
			for _, h := range []*host{a, b} {
				await(t, "the version", respondsWith(t, h, platformtest.VersionPrefix(version)+"x", 200))
				for k := range others {
					if status := sendWithKey(t, h, "/private/x", "new", fmt.Sprintf("key-%d-%d", version, k)); status != 200 {
						t.Errorf("key of store-%d: status %d, want 200", k, status)
					}
					if status := sendWithKey(t, h, "/private/x", "old", fmt.Sprintf("key-%d-%d", version-1, k)); i > 0 && status != 401 {
						t.Errorf("key that was taken away from store-%d: status %d, want 401", k, status)
					}
				}
				if status := sendWithKey(t, h, "/private/x", "odd", oddKey); status != c.Status {
					t.Errorf("key of the odd account: status %d, want %d", status, c.Status)
				}
			}
		})
	}
}

// Guards against services and hosts that are not served because of their names.
func TestServicesAndHostsWithUnusualNamesAreServed(t *testing.T) {
	const service = "Stock Lookup (β)"
	store := platformtest.NewStore()
	defer store.Close()
	hosts := []any{5, platformtest.HostEntry("not a name"), platformtest.HostEntry(nil)}
	for _, name := range []string{"SITE.Example", "site_2.example", "7eleven", "a.b-.c"} {
		hosts = append(hosts, platformtest.HostEntry(name, platformtest.PublicRoute("r", "/x/", service)))
	}
	hosts = append(hosts, platformtest.HostEntry("site.example", platformtest.PublicRoute("r", "/more/", service)))
	store.PutConfiguration(platformtest.HostsOf(5, nil, hosts...))
	h := startHost(t, store, "host-a", "cairo-a", service)
	for _, name := range []string{"site.example", "Site.Example", "site_2.example", "7eleven", "a.b-.c"} {
		await(t, "a route of "+name, func() bool { return statusAt(t, h, name, "/x/y") == 200 })
	}
	if status := statusAt(t, h, "site.example", "/more/y"); status != 200 {
		t.Errorf("route of a second entry for a host: status %d, want 200", status)
	}
	if origin := h.backend.Origin("named"); origin != service {
		t.Errorf("origin %q, want %q", origin, service)
	}
}

// statusAt returns the status of a request to a named host.
func statusAt(t *testing.T, h *host, name, path string) int {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+h.callers+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = name
	req.Header.Set(platformtest.HeaderRequestID, "named")
	req.Header.Set(platformtest.HeaderDeadline, "5000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
