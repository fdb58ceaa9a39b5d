package retry

import (
	"math/rand/v2"
	"time"

	"fescuehoist.example/mesh/call"
)

// Times after which a caller whose request did not run may come back.
const (
	// unreadyPause is for daemons without configuration or servers, which a
	// start or a reconnection ends.
	unreadyPause = 300 * time.Millisecond
	// overloadShare is the part of a class's latency after which a call that
	// found no room may find some.
	overloadShare = 0.5
	// minPause is the least time.
	minPause = 50 * time.Millisecond
)

// RetryAfter returns when the caller of a request that failed may come back, with
// a random part so that refused callers do not return together; 0 if the
// request may have run.
func RetryAfter(r *call.Request, f *call.Failure) time.Duration {
	if f.Verdict != call.NotRun {
		return 0
	}
	pause := unreadyPause
	if r.Class != nil && f.NoCapacity() {
		pause = time.Duration(overloadShare * float64(r.Class.Latency))
	}
	pause = max(pause, minPause)
	return pause/2 + rand.N(pause)
}
