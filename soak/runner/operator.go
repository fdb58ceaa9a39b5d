package runner

import (
	"fmt"
	"sync"
	"time"

	"fescuehoist.example/platform/platformtest"
)

// Services of the fleet.
const (
	lookup  = "lookup"
	archive = "archive"
)

// versionGap is the difference between the numbers of two versions, which have
// gaps on the users' platform.
const versionGap = 3

// operator writes configurations. Each version adds a route of its own, by
// which it can be told whether it is in force.
type operator struct {
	store *platformtest.Store

	mu sync.Mutex
	// at holds when each version was confirmed; the first has number 1.
	at []time.Time
}

func markerPath(version uint64) string { return fmt.Sprintf("/version-%d/", version) }

// write puts the next version in the store.
func (o *operator) write() {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := len(o.at) + 1
	routes := []platformtest.Route{
		{Name: "r-search", Prefix: "/search/", Service: lookup, Idempotent: true, Attempts: 2},
		{Name: "r-submit", Prefix: "/submit/", Service: lookup, Priority: 1, Attempts: 2},
		{Name: "r-moved", Prefix: "/moved/", Service: []string{lookup, archive}[n%2], Idempotent: true, Priority: 2, Attempts: 2},
	}
	for v := 1; v <= n; v++ {
		routes = append(routes, platformtest.Route{Name: fmt.Sprint("r-version-", v), Prefix: markerPath(uint64(v)), Service: []string{archive, lookup}[v%2], Idempotent: true, Priority: 2, Attempts: 2})
	}
	o.store.PutConfiguration(platformtest.Configuration(n*versionGap, hostName, routes))
	o.at = append(o.at, time.Now())
}

// written returns the number of the newest version.
func (o *operator) written() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return uint64(len(o.at))
}

func (o *operator) confirmed(version uint64) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.at[version-1]
}

// sightings remember which versions each start of a daemon had in force.
type sightings struct {
	mu sync.Mutex
	// first maps a start of a daemon to when each version was first seen.
	first map[string]map[uint64]time.Time
}

func startOf(host string, starts int) string { return fmt.Sprint(host, "/", starts) }

func (s *sightings) note(host string, starts int, version uint64, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := startOf(host, starts)
	if s.first[key] == nil {
		s.first[key] = map[uint64]time.Time{}
	}
	if s.first[key][version].IsZero() {
		s.first[key][version] = at
	}
}

// version returns when a start of a daemon first had a version or a later one
// in force, and whether it had.
func (s *sightings) version(host string, starts int, version uint64) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var first time.Time
	for v, at := range s.first[startOf(host, starts)] {
		if v >= version && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}
