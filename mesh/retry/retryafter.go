package retry

import (
	"math/rand/v2"
	"time"

	"fescuehoist.example/mesh/call"
)

// Delays after which a caller whose request did not run may retry.
const (
	// unreadyDelay is for daemons without a configuration or servers, a state
	// that ends when they have started or reconnected.
	unreadyDelay = 300 * time.Millisecond
	// overloadLatencyShare is the share of a class's target latency after which
	// a call that was refused because servers had no capacity may find some.
	overloadLatencyShare = 0.5
	// minDelay is the shortest delay.
	minDelay = 50 * time.Millisecond
)

// RetryAfter returns the delay after which the caller of a failed request may
// retry, or 0 if the request may have run. The delay is random so that refused
// callers do not all return at once.
func RetryAfter(r *call.Request, f *call.Failure) time.Duration {
	if f.Verdict != call.NotRun {
		return 0
	}
	delay := unreadyDelay
	if r.Class != nil && f.NoCapacity() {
		delay = max(time.Duration(overloadLatencyShare*float64(r.Class.Latency)), f.Load.LinkWait)
	}
	delay = max(delay, minDelay)
	return delay/2 + rand.N(delay)
}
