package gossip

import "time"

// maxRefutations bounds how often refutations double the time for which a peer
// must be unreachable before it is suspected.
const maxRefutations = 8

// outage measures how long a peer has been unreachable. A daemon that was itself
// paused must not count the pause, so each step between attempts counts for no
// more than its planned time.
type outage struct {
	lastAttempt time.Time
	maxStep     time.Duration
	duration    time.Duration
	// suspectedIncarnation is the incarnation last suspected, refutations the
	// number of refutations received since the peer was last reachable.
	suspectedIncarnation uint64
	refutations          int
}

// recordFailure records a failed attempt at now, the next one being due within
// next.
func (o *outage) recordFailure(now time.Time, next time.Duration) {
	if !o.lastAttempt.IsZero() {
		o.duration += min(now.Sub(o.lastAttempt), o.maxStep)
	}
	o.lastAttempt, o.maxStep = now, next
}

// observeIncarnation records the peer's current incarnation. One above the
// suspected one is a refutation: other daemons reach the peer, so the duration
// restarts at 0 and the limits given to exceeds double.
func (o *outage) observeIncarnation(incarnation uint64) {
	if o.suspectedIncarnation == 0 || incarnation <= o.suspectedIncarnation {
		return
	}
	o.suspectedIncarnation, o.duration = 0, 0
	o.refutations = min(o.refutations+1, maxRefutations)
}

// exceeds reports whether the outage lasted longer than limit, which doubles
// with each refutation.
func (o *outage) exceeds(limit time.Duration) bool { return o.duration > limit<<o.refutations }
