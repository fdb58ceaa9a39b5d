package runner

import (
	"fmt"
	"sync"
	"time"
)

// versionLog records which versions were observed to be active at each start of
// each daemon.
type versionLog struct {
	mu sync.Mutex
	// first maps each start of a daemon to the time of the first observation of
	// each version.
	first map[string]map[uint64]time.Time
}

// startKey returns the key of one start of the daemon of a host.
func startKey(host string, starts int) string { return fmt.Sprint(host, "/", starts) }

// record records that a version was observed to be active.
func (l *versionLog) record(host string, starts int, version uint64, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := startKey(host, starts)
	if l.first[key] == nil {
		l.first[key] = map[uint64]time.Time{}
	}
	if l.first[key][version].IsZero() {
		l.first[key][version] = at
	}
}

// firstObserved returns when a version or a later one was first observed to be
// active at a start of a daemon, and whether one was.
func (l *versionLog) firstObserved(host string, starts int, version uint64) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var first time.Time
	for v, at := range l.first[startKey(host, starts)] {
		if v >= version && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}
