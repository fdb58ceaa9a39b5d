package admit

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// passing is how many calls are sent on for each one that servers let in.
	passing = 1.3
	// throttleWindow is the time over which counts halve.
	throttleWindow = 200 * time.Millisecond
	// leastCalls is the count below which no call is turned away.
	leastCalls = 5
	// throttleLifetime is how long counts are kept after the last refusal.
	throttleLifetime = 2 * time.Second
	// maxCounts bounds the counts that are kept.
	maxCounts = 4096
)

// Throttle turns calls away before they cross the network. It remembers, for
// each service, class and client, which share of calls the servers refused of
// late for want of room, and sends on little more than they would let in.
type Throttle struct {
	mu     sync.Mutex
	counts map[flow]*counts
}

// flow is the calls of one bucket of clients to one class of a service.
type flow struct {
	service, class string
	bucket         bucket
}

// counts are the recent calls of a flow, and those that servers let in.
type counts struct {
	calls, admitted float64
	at, refusedAt   time.Time
}

// NewThrottle returns a throttle that has seen no refusals.
func NewThrottle() *Throttle { return &Throttle{counts: map[flow]*counts{}} }

// Allow reports whether a call may be sent on.
func (t *Throttle) Allow(service, class, client string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.counts[flow{service, class, bucketOf(client)}]
	if c == nil {
		return true
	}
	now := time.Now()
	c.decay(now)
	c.calls++
	excess := c.calls - passing*c.admitted - leastCalls
	return excess <= 0 || rand.Float64() > excess/c.calls
}

// Done notes whether a server let a call in that Allow let pass.
func (t *Throttle) Done(service, class, client string, admitted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := flow{service, class, bucketOf(client)}
	c := t.counts[f]
	now := time.Now()
	if c == nil {
		if admitted || !t.makeRoom(now) {
			return
		}
		c = &counts{calls: 1, at: now}
		t.counts[f] = c
	}
	c.decay(now)
	if !admitted {
		c.refusedAt = now
		return
	}
	c.admitted++
	if now.Sub(c.refusedAt) > throttleLifetime {
		delete(t.counts, f)
	}
}

// makeRoom forgets flows without refusals of late and reports whether there is
// room for one more.
func (t *Throttle) makeRoom(now time.Time) bool {
	if len(t.counts) < maxCounts {
		return true
	}
	for f, c := range t.counts {
		if now.Sub(c.refusedAt) > throttleLifetime {
			delete(t.counts, f)
		}
	}
	return len(t.counts) < maxCounts
}

// decay halves the counts with each window that has passed.
func (c *counts) decay(now time.Time) {
	passed := now.Sub(c.at)
	c.at = now
	factor := math.Exp2(-float64(passed) / float64(throttleWindow))
	c.calls *= factor
	c.admitted *= factor
}
