package admit

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// acceptMultiplier is how many calls are sent for each one that servers
	// admit.
	acceptMultiplier = 1.3
	// countHalfLife is the time in which counts decay by half.
	countHalfLife = 200 * time.Millisecond
	// minCalls is the count of calls up to which none is rejected.
	minCalls = 5
	// countRetention is how long counts are kept after the last refusal.
	countRetention = 2 * time.Second
	// maxFlows bounds the flows whose counts are kept.
	maxFlows = 4096
)

// Throttle rejects calls before they cross the network. For each service, class
// and client it tracks the share of recent calls that servers refused because
// they had no capacity, and sends little more than they would admit.
type Throttle struct {
	mu    sync.Mutex
	flows map[flowKey]*flowCounts
}

// flowKey identifies the calls of one bucket of clients to one class of a
// service.
type flowKey struct {
	service, class string
	bucket         bucket
}

// flowCounts are the recent calls of a flow and those of them that servers
// admitted.
type flowCounts struct {
	calls, admitted      float64
	updatedAt, refusedAt time.Time
}

// NewThrottle returns a throttle without any refusals.
func NewThrottle() *Throttle { return &Throttle{flows: map[flowKey]*flowCounts{}} }

// Allow reports whether a call may be sent.
func (t *Throttle) Allow(service, class, client string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.flows[flowKey{service, class, bucketOf(client)}]
	if c == nil {
		return true
	}
	c.count(time.Now())
	return rand.Float64() < c.allowedShare()
}

// AllowedShare returns the share of calls, 0 to 1, that Allow would let through now. It
// counts no call.
func (t *Throttle) AllowedShare(service, class, client string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.flows[flowKey{service, class, bucketOf(client)}]
	if c == nil {
		return 1
	}
	next := *c
	next.count(time.Now())
	return next.allowedShare()
}

// count counts one call.
func (c *flowCounts) count(now time.Time) {
	c.decay(now)
	c.calls++
}

// allowedShare returns the share of calls that are let through.
func (c *flowCounts) allowedShare() float64 {
	excess := c.calls - acceptMultiplier*c.admitted - minCalls
	return 1 - max(excess, 0)/c.calls
}

// Done records whether a server admitted a call that Allow let through.
func (t *Throttle) Done(service, class, client string, admitted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := flowKey{service, class, bucketOf(client)}
	c := t.flows[key]
	now := time.Now()
	if c == nil {
		if admitted || !t.evictExpired(now) {
			return
		}
		c = &flowCounts{calls: 1, updatedAt: now}
		t.flows[key] = c
	}
	c.decay(now)
	if !admitted {
		c.refusedAt = now
		return
	}
	c.admitted++
	if now.Sub(c.refusedAt) > countRetention {
		delete(t.flows, key)
	}
}

// evictExpired drops flows without recent refusals if the throttle is full, and
// reports whether another flow can be tracked.
func (t *Throttle) evictExpired(now time.Time) bool {
	if len(t.flows) < maxFlows {
		return true
	}
	for key, c := range t.flows {
		if now.Sub(c.refusedAt) > countRetention {
			delete(t.flows, key)
		}
	}
	return len(t.flows) < maxFlows
}

// decay halves the counts once per countHalfLife since the last update.
func (c *flowCounts) decay(now time.Time) {
	elapsed := now.Sub(c.updatedAt)
	c.updatedAt = now
	factor := math.Exp2(-float64(elapsed) / float64(countHalfLife))
	c.calls *= factor
	c.admitted *= factor
}
