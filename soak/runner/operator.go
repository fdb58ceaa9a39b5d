package runner

import (
	"fmt"
	"sync"
	"time"

	"fescuehoist.example/platform/platformtest"
	"fescuehoist.example/soak/invariant"
)

// Services of the fleet.
const (
	lookup  = "lookup"
	archive = "archive"
)

// versionGap is the difference between two consecutive version numbers. It is
// not 1 because version numbers have gaps on the users' platform.
const versionGap = 3

// operator writes configurations. Each version adds a route of its own, so that
// a request for this route shows whether the version is active. These routes are
// public; the others require an API key.
type operator struct {
	store   *platformtest.Store
	checker *invariant.Checker

	mu sync.Mutex
	// confirmedAt holds the time at which each version was confirmed, starting
	// with version 1.
	confirmedAt []time.Time
	accounts    []platformtest.Account
	keyCount    int
	// revoked holds the keys that were removed.
	revoked []string
}

// versionPrefix returns the path prefix of the route that a version added.
func versionPrefix(version uint64) string { return fmt.Sprintf("/version-%d/", version) }

// writeVersion writes the next version to the store.
func (o *operator) writeVersion() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.write()
}

// write writes the next version, with the accounts as they are now, and returns
// when it was confirmed. The caller holds o.mu.
func (o *operator) write() time.Time {
	n := len(o.confirmedAt) + 1
	routes := []platformtest.Route{
		{Name: "r-search", Prefix: "/search/", Service: lookup, Idempotent: true, Attempts: 2},
		{Name: "r-submit", Prefix: "/submit/", Service: lookup, Priority: 1, Attempts: 2},
		{Name: "r-moved", Prefix: "/moved/", Service: []string{lookup, archive}[n%2], Idempotent: true, Priority: 2, Attempts: 2},
	}
	for v := 1; v <= n; v++ {
		routes = append(routes, platformtest.Route{Name: fmt.Sprint("r-version-", v), Prefix: versionPrefix(uint64(v)), Service: []string{archive, lookup}[v%2], Idempotent: true, Public: true, Priority: 2, Attempts: 2})
	}
	o.store.PutConfiguration(platformtest.WithAccounts(platformtest.Configuration(n*versionGap, virtualHost, routes), o.accounts...))
	at := time.Now()
	o.confirmedAt = append(o.confirmedAt, at)
	if n == 1 {
		o.recordAccounts(at)
	}
	return at
}

// newestVersion returns the newest confirmed version, or 0 if there is none.
func (o *operator) newestVersion() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return uint64(len(o.confirmedAt))
}

// confirmationTime returns when a version was confirmed.
func (o *operator) confirmationTime(version uint64) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.confirmedAt[version-1]
}
