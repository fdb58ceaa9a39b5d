package collect_test

import (
	"testing"
	"time"

	"fescuehoist.example/mesh/target"
)

// Guards against counts that are lost with the only daemon that had callers of an account:
// when it starts again, the others would admit what it admitted a second time.
func TestBoundHoldsWhenDaemonWithAllCallersRestarts(t *testing.T) {
	a := account("large", 300)
	runFleet(t, 24, []target.Account{a}, func(f *fleet) {
		busy, other := f.plainDaemon(0), f.plainDaemon(12)
		load := func(at *peer) callers { return callers{&a, 5 * a.Rate, only(at.index)} }
		f.offer(time.Second, load(busy))
		f.restart(func(i int) bool { return i == busy.index }, func(d time.Duration) { f.offer(d, load(other)) })
		f.offer(6*time.Second, load(other))
		f.requireBound(&a, 0)
	})
}

// plainDaemon returns the first daemon from an index on that collects for no others.
func (f *fleet) plainDaemon(from int) *peer {
	for _, p := range f.peers[from:] {
		if p.collector.Status().Domain != p.id {
			return p
		}
	}
	f.t.Fatal("all daemons are collectors")
	return nil
}
