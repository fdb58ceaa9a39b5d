package admit

import (
	"math"
	"time"

	"fescuehoist.example/mesh/call"
)

const (
	// rateBurst is the time for which unused requests of a rate limit are kept.
	rateBurst = 250 * time.Millisecond
	// minRate is the least rate in requests a second. Only answers can tell that a
	// backend server takes more again, so that it must go on getting some.
	minRate = 0.5
	// urgentTokens is the share of the unused requests that are kept for more urgent
	// classes.
	urgentTokens = 0.75
	// rateLimitHold is how long a rate limit lasts at least after the backend
	// server named it, whatever answers without one arrive late.
	rateLimitHold = time.Second
)

// rateLimit bounds the requests that a backend server gets in any period, as a
// token bucket. The zero value has no limit.
type rateLimit struct {
	// perSecond is the rate, 0 without a limit.
	perSecond float64
	namedAt   time.Time
	tokens    float64
	updatedAt time.Time
}

// observe applies what a backend server says in an answer while running calls run.
// Those that were sent before the limit was named count against it.
func (r *rateLimit) observe(n call.Condition, running int, now time.Time) {
	switch {
	case n.RateLimited:
		if !r.limited() {
			r.tokens = -float64(running)
		}
		r.refill(now)
		r.perSecond, r.namedAt = max(n.RateLimit, minRate), now
		r.tokens = min(r.tokens, r.capacity())
	case r.limited() && now.Sub(r.namedAt) > rateLimitHold:
		*r = rateLimit{}
	}
}

func (r *rateLimit) limited() bool { return r.perSecond > 0 }

// capacity returns the most tokens that the bucket holds.
func (r *rateLimit) capacity() float64 { return max(r.perSecond*rateBurst.Seconds(), 1) }

// refill adds the tokens of the time since the last update.
func (r *rateLimit) refill(now time.Time) {
	if r.limited() {
		r.tokens = min(r.tokens+r.perSecond*now.Sub(r.updatedAt).Seconds(), r.capacity())
	}
	r.updatedAt = now
}

// wait returns the time until the bucket holds a number of tokens, 0 if it does.
func (r *rateLimit) wait(tokens float64, now time.Time) time.Duration {
	if !r.limited() {
		return 0
	}
	r.refill(now)
	missing := tokens - r.tokens
	return max(time.Duration(missing/r.perSecond*float64(time.Second)), 0)
}

// interval returns the time between the requests of a class that is guaranteed a
// share of the rate, 0 without a limit or a share.
func (r *rateLimit) interval(share float64) time.Duration {
	if !r.limited() || share <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / (share * r.perSecond))
}

// take counts one request.
func (r *rateLimit) take() {
	if r.limited() {
		r.tokens--
	}
}

// concurrency returns how many calls run at once, slots at most, if calls of a
// service time are sent at the rate.
func (r *rateLimit) concurrency(slots int, serviceTime time.Duration) int {
	if !r.limited() || serviceTime == 0 {
		return slots
	}
	return min(max(int(math.Ceil(r.perSecond*serviceTime.Seconds())), 1), slots)
}

// ObserveCondition applies the rate limit that the backend server names in an answer.
func (g *Gate) ObserveCondition(n call.Condition) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !n.RateLimited && !g.rate.limited() {
		return
	}
	now := time.Now()
	g.rate.observe(n, g.running, now)
	g.fillSlots(now)
}

// RateLimit returns the requests a second that the backend server takes, 0 without
// a limit.
func (g *Gate) RateLimit() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rate.perSecond
}

// estimateRateWait estimates how long the call at a position of a class's queue
// waits because of the rate limit.
func (g *Gate) estimateRateWait(c *class, position int, now time.Time) time.Duration {
	for _, other := range g.classes {
		if other.moreUrgent(c) {
			position += other.queue.len()
		}
	}
	return g.rate.wait(float64(position-1)+g.tokensFor(c, now), now)
}

// tokensFor returns the tokens that the rate limit must hold for a call of a class
// to start: one, and those kept for more urgent classes with recent demand.
func (g *Gate) tokensFor(c *class, now time.Time) float64 {
	for _, other := range g.classes {
		if other.moreUrgent(c) && other.recentDemand(now) > unreservedDemand {
			return 1 + urgentTokens*(g.rate.capacity()-1)
		}
	}
	return 1
}

// awaitRefill makes the queued calls go on once the rate limit permits one. Calls
// that wait for a slot go on when it becomes free.
func (g *Gate) awaitRefill(now time.Time) {
	if g.queued == 0 || !g.rate.limited() {
		return
	}
	tokens := math.Inf(1)
	for _, c := range g.classes {
		if c.queue.len() > 0 {
			tokens = min(tokens, g.tokensFor(c, now))
		}
	}
	pause := g.rate.wait(tokens, now)
	if pause == 0 {
		return
	}
	if g.refillTimer != nil {
		g.refillTimer.Reset(pause)
		return
	}
	g.refillTimer = time.AfterFunc(pause, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.fillSlots(time.Now())
		g.signalIdle()
	})
}
