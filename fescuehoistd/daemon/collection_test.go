package daemon_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fescuehoist.example/adapters/settings"
	"fescuehoist.example/fescuehoistd/daemon"
	"fescuehoist.example/platform/platformtest"
)

// withAccounts returns a version whose accounts are called alpha and beta, with keys of the
// same names and 8 and 1,000 requests a second.
func withAccounts(version int) any {
	c := configuration(version).(map[string]any)
	platformtest.WithAccounts(c, platformtest.Account{Name: "alpha", Keys: []string{"key-alpha"}, Rate: 8, Burst: 8},
		platformtest.Account{Name: "beta", Keys: []string{"key-beta"}, Rate: 1000, Burst: 1000})
	return c
}

// requestWithKey returns the status of a request with an API key, and its Retry-After.
func requestWithKey(t *testing.T, h *host, key, id string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+h.callers+"/search/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "site.example"
	req.Header.Set(platformtest.HeaderRequestID, id)
	req.Header.Set(platformtest.HeaderDeadline, "5000")
	req.Header.Set(platformtest.HeaderAPIKey, key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode, resp.Header.Get("Retry-After")
}

// startAllowanceHosts starts hosts in three failure domains with the version 4 of
// withAccounts and waits until all of them serve and decide together.
func startAllowanceHosts(t *testing.T, store *platformtest.Store, tune ...func(*settings.Settings)) []*host {
	t.Helper()
	store.Put("config", "main", withAccounts(4))
	var hosts []*host
	for i, domain := range []string{"cairo-a", "cairo-a", "cairo-b", "cairo-c"} {
		hosts = append(hosts, startHost(t, store, fmt.Sprint("host-", i), domain, "lookup", tune...))
	}
	for i, h := range hosts {
		n := 0
		await(t, "the first answer", func() bool {
			n++
			status, _ := requestWithKey(t, h, "key-beta", fmt.Sprintf("first-%d-%d", i, n))
			return status == http.StatusOK
		})
		awaitDecision(t, h, len(hosts))
	}
	return hosts
}

// awaitDecision waits until the limits in use at h rest on the counts of n daemons.
func awaitDecision(t *testing.T, h *host, n int) {
	t.Helper()
	await(t, "limits of a collector", func() bool {
		c := h.daemon.State().Collection
		return c != nil && c.Recent && c.Daemons == n
	})
}

// Guards against accounts that get their limit at each daemon, and against a limit that is
// lost with the daemon that decides on it.
func TestAllowanceHoldsOverAllDaemonsWhileCollectorIsKilled(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	hosts := startAllowanceHosts(t, store)
	// The account's part of a window counts as spent at daemons that have just started.
	time.Sleep(settings.DefaultAccountWindow)
	var served, refused, failed int
	start := time.Now()
	killed := false
	var windowEnds []time.Time
	for n := 0; time.Since(start) < 12*time.Second; n++ {
		if !killed && time.Since(start) > 4*time.Second {
			killed = true
			i := slices.IndexFunc(hosts, func(h *host) bool { return h.settings.Server == hosts[0].daemon.State().Collection.Fleet })
			end(t, daemon.ErrAborted, hosts[i])
			hosts = slices.Delete(hosts, i, i+1)
		}
		switch status, retryAfter := requestWithKey(t, hosts[n%len(hosts)], "key-alpha", fmt.Sprint("alpha-", n)); status {
		case http.StatusOK:
			served++
			windowEnds = append(windowEnds, time.Now())
		case http.StatusTooManyRequests:
			refused++
			if retryAfter == "" {
				t.Fatal("status 429 without Retry-After")
			}
		default:
			failed++
		}
		// Five times the limit.
		time.Sleep(25 * time.Millisecond)
	}
	t.Logf("%d served, %d refused, %d failed otherwise", served, refused, failed)
	if refused == 0 || served < 12*8/3 {
		t.Errorf("%d served, %d refused; want at least a third of the limit served, and the rest refused", served, refused)
	}
	most, first := 0, 0
	for i := range windowEnds {
		for windowEnds[i].Sub(windowEnds[first]) > settings.DefaultAccountWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	if limit := (8*5+8)*11/10 + 20; most > limit {
		t.Errorf("%d requests ran within a window, want at most %d", most, limit)
	}
	survivor := hosts[0]
	if lines := survivor.log.lines("key-alpha"); len(lines) > 0 {
		t.Errorf("a key is in the log: %s", lines[0])
	}
	if status, _ := requestWithKey(t, survivor, "key-beta", "beta"); status != http.StatusOK {
		t.Errorf("account below its limit: status %d, want 200", status)
	}
}

// Guards against daemons that refuse keys in a healthy fleet, since the age of the
// configuration does not reach them, and against revoked keys that they take.
func TestKeysAreTakenOnlyWhileConfigurationIsVerified(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	const revokeWithin = 3 * time.Second
	hosts := startAllowanceHosts(t, store, func(s *settings.Settings) { s.Accounts.RevokeWithin = revokeWithin })
	var refusals atomic.Int32
	for n := range 30 {
		for i, h := range hosts {
			if status, _ := requestWithKey(t, h, "key-beta", fmt.Sprintf("healthy-%d-%d", i, n)); status != http.StatusOK {
				refusals.Add(1)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	if n := refusals.Load(); n > 0 {
		t.Errorf("%d of 120 requests with a valid key refused in a healthy fleet", n)
	}
	store.SetFault(platformtest.Unresponsive)
	time.Sleep(revokeWithin)
	for i, h := range hosts {
		if status, retryAfter := requestWithKey(t, h, "key-beta", fmt.Sprint("unverified-", i)); status != http.StatusServiceUnavailable || retryAfter == "" {
			t.Errorf("%s: status %d with Retry-After %q while the store is unresponsive for longer than keys may be revoked; want 503 with a time", h.settings.Server, status, retryAfter)
		}
	}
	store.SetFault(platformtest.NoFault)
	for i, h := range hosts {
		n := 0
		await(t, "keys to be taken again", func() bool {
			n++
			status, _ := requestWithKey(t, h, "key-beta", fmt.Sprintf("again-%d-%d", i, n))
			return status == http.StatusOK
		})
	}
}

// Guards against reports in deployments that use neither accounts nor rollouts.
func TestNothingIsCollectedWithoutAccounts(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	a, b := startPair(t, store, "cairo-b", func(s *settings.Settings) { s.Accounts.RevokeWithin = 5 * time.Second })
	time.Sleep(time.Second)
	for _, h := range []*host{a, b} {
		if c := h.daemon.State().Collection; c != nil {
			t.Errorf("%s collects for %+v, want nothing", h.settings.Server, *c)
		}
		if lines := h.log.lines("collects for"); len(lines) > 0 {
			t.Errorf("%s: %s", h.settings.Server, strings.TrimSpace(lines[0]))
		}
	}
}
