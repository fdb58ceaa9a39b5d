package configwatch

import (
	"time"

	"fescuehoist.example/mesh/member"
)

// roles says which daemons read the source, as far as this daemon knows.
type roles struct {
	// reader reads for this daemon's failure domain.
	reader member.ServerID
	// confirming means that this daemon is the first reader of the fleet.
	confirming bool
	// rank is the number of daemons of the failure domain before this one in the
	// order of readers, size the number of all.
	rank rank
}

type rank struct{ position, size int }

// chooseReaders determines who reads the source. The order of readers puts daemons
// that can reach the source first, then those with the most bandwidth; ties are
// broken by hash order. The first daemon of a failure domain reads for it.
func (w *Watcher) chooseReaders() roles {
	known, _ := w.members.Get(w.self)
	own := member.Record{Server: w.self, LinkMbps: known.LinkMbps, StoreUnreachable: w.storeUnreachable}
	first := &own
	r := roles{confirming: true, rank: rank{size: 1}}
	for _, m := range w.members.View().All() {
		if m.Server == w.self || m.Terminal() || m.Health != member.Alive {
			continue
		}
		precedesOwn := member.Precedes(m, &own)
		if precedesOwn {
			r.confirming = false
		}
		if m.Domain != w.domain {
			continue
		}
		r.rank.size++
		if precedesOwn {
			r.rank.position++
		}
		if member.Precedes(m, first) {
			first = m
		}
	}
	r.reader = first.Server
	return r
}

// watchTimeout returns how long a call of this daemon waits for a change.
func (w *Watcher) watchTimeout(r *roles) time.Duration {
	switch {
	case r.confirming:
		return w.cfg.ConfirmInterval
	case w.verifies():
		return min(w.cfg.WatchTimeout, w.cfg.VerifyAge)
	}
	return w.cfg.WatchTimeout
}
