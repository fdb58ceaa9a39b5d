package daemon_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"fescuehoist.example/adapters/settings"
	"fescuehoist.example/fescuehoistd/daemon"
	"fescuehoist.example/platform/platformtest"
)

// sendWithKey sends a request with an API key (none if empty) and a forged account, and
// returns the status.
func sendWithKey(t *testing.T, h *host, path, id, key string) int {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+h.callers+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "site.example"
	req.Header.Set(platformtest.HeaderRequestID, id)
	req.Header.Set(platformtest.HeaderAccount, "forged")
	if key != "" {
		req.Header.Set(platformtest.HeaderAPIKey, key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

const (
	firstKey  = "key-of-account-one"
	secondKey = "second-key-of-account-one"
)

func accountConfiguration(version int, keys ...string) any {
	c := platformtest.Configuration(version, "site.example", []platformtest.Route{
		{Name: "r-search", Prefix: "/search/", Service: "lookup", Idempotent: true, Attempts: 2},
		{Name: "r-inner", Prefix: "/inner/", Service: "lookup", Idempotent: true, Attempts: 2, Public: true},
	})
	return platformtest.WithAccounts(c, platformtest.Account{Name: "one", Keys: keys, Priority: 1},
		platformtest.Account{Name: "two", Keys: []string{"key-of-account-two"}})
}

// startAccountHosts starts two hosts; the backend server of the second one records the
// account and key of each request.
func startAccountHosts(t *testing.T, store *platformtest.Store, tune ...func(*settings.Settings)) (entry, server *host, runs chan platformtest.Execution) {
	t.Helper()
	store.PutConfiguration(accountConfiguration(4, firstKey, secondKey))
	runs = make(chan platformtest.Execution, 1024)
	entry = startHost(t, store, "host-a", "cairo-a", "archive", tune...)
	server = startHost(t, store, "host-b", "cairo-b", "lookup", tune...)
	server.backend.OnExecution = func(e platformtest.Execution) { runs <- e }
	for _, h := range []*host{entry, server} {
		await(t, "the first request with a key", func() bool { return sendWithKey(t, h, "/search/x", "wait", firstKey) == 200 })
	}
	return entry, server, runs
}

// Guards against requests without a valid key that run, keys that are passed on, and
// accounts that a client names itself.
func TestRequestsWithKeysRunForTheirAccount(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	entry, server, runs := startAccountHosts(t, store)
	for len(runs) > 0 {
		<-runs
	}
	for _, c := range []struct {
		path, key, account string
		status             int
	}{
		{"/search/x", firstKey, "one", 200}, {"/search/x", secondKey, "one", 200}, {"/search/x", "key-of-account-two", "two", 200},
		{"/inner/x", "", "", 200}, {"/inner/x", firstKey, "", 200},
		{"/search/x", "", "", 401}, {"/search/x", "unknown", "", 401},
	} {
		for _, h := range []*host{entry, server} {
			status := sendWithKey(t, h, c.path, "r", c.key)
			if status != c.status {
				t.Errorf("%s with key %q: status %d, want %d", c.path, c.key, status, c.status)
			}
			if status != 200 {
				continue
			}
			if run := <-runs; run.Account != c.account || run.Key != "" {
				t.Errorf("%s with key %q: ran for account %q with key %q, want account %q without a key", c.path, c.key, run.Account, run.Key, c.account)
			}
		}
	}
	if len(runs) > 0 {
		t.Errorf("%d refused requests ran, want none", len(runs))
	}
	store.PutConfiguration(accountConfiguration(9, secondKey))
	for _, h := range []*host{entry, server} {
		await(t, "status 401 for the revoked key", func() bool { return sendWithKey(t, h, "/search/x", "revoked", firstKey) == 401 })
		if status := sendWithKey(t, h, "/search/x", "kept", secondKey); status != 200 {
			t.Errorf("key that was kept: status %d, want 200", status)
		}
		for _, key := range []string{firstKey, secondKey, "unknown"} {
			if lines := h.log.lines(key); len(lines) > 0 {
				t.Errorf("a log line holds a key: %s", strings.Join(lines, ""))
			}
		}
	}
}

// Guards against a revoked key that works on daemons that the store cannot reach: they take
// no keys once nothing has verified their configuration for that long, also one that starts
// then.
func TestKeysAreRefusedOnceConfigurationIsUnverified(t *testing.T) {
	const revokeWithin = 2 * time.Second
	strict := func(s *settings.Settings) { s.Accounts.RevokeWithin = revokeWithin }
	store := platformtest.NewStore()
	defer store.Close()
	entry, server, _ := startAccountHosts(t, store, strict)
	store.SetFault(platformtest.Unresponsive)
	time.Sleep(revokeWithin)
	restart(t, daemon.ErrAborted, entry)
	await(t, "the first public request after the restart", func() bool { return sendWithKey(t, entry, "/inner/x", "public", "") == 200 })
	for _, h := range []*host{entry, server} {
		if status := sendWithKey(t, h, "/search/x", "unverified", firstKey); status != 503 {
			t.Errorf("%s: key while the store has been away for %s: status %d, want 503", h.settings.Server, revokeWithin, status)
		}
		if status := sendWithKey(t, h, "/inner/x", "public", ""); status != 200 {
			t.Errorf("%s: public request: status %d, want 200", h.settings.Server, status)
		}
	}
	store.PutConfiguration(accountConfiguration(9, secondKey))
	store.SetFault(platformtest.NoFault)
	for _, h := range []*host{entry, server} {
		await(t, "the key that was kept", func() bool { return sendWithKey(t, h, "/search/x", "kept", secondKey) == 200 })
		await(t, "status 401 for the revoked key", func() bool {
			status := sendWithKey(t, h, "/search/x", "revoked", firstKey)
			if status == 200 {
				t.Errorf("%s: a request with the revoked key ran", h.settings.Server)
			}
			return status == 401
		})
	}
}
