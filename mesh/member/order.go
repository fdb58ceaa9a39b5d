package member

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Precedes reports whether daemon a is before b in the order in which daemons take tasks
// that one daemon does for others: those that can reach the platform's store first, then
// those with the most bandwidth; ties are broken by hash order.
func Precedes(a, b *Record) bool {
	switch {
	case a.StoreUnreachable != b.StoreUnreachable:
		return b.StoreUnreachable
	case a.LinkMbps != b.LinkMbps:
		return a.LinkMbps > b.LinkMbps
	}
	return CompareHash(a, b) < 0
}

// CompareHash compares the hashes of the servers' names, which gives all daemons the same
// order without a preference for any name.
func CompareHash(a, b *Record) int {
	return cmp.Compare(xxhash.Sum64String(string(a.Server)), xxhash.Sum64String(string(b.Server)))
}

// Size returns the number of daemons that may be running: the live ones and those that
// failed or were lost within a time, since they may be cut off only. Daemons that left as
// planned are not counted.
func (t *Table) Size(lostWithin time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit, n := time.Now().Add(-lostWithin), 0
	for i := range t.buckets {
		for _, e := range t.buckets[i].entries {
			if e.record.State != Left && (e.terminalAt.IsZero() || e.terminalAt.After(limit)) {
				n++
			}
		}
	}
	return n
}
