package allowance

import (
	"math"
	"sync"
	"time"

	"fescuehoist.example/mesh/target"
)

const (
	// ReplyLifetime is the time after which a daemon no longer applies the limits of a
	// reply and decides on its own.
	ReplyLifetime = 600 * time.Millisecond
	// minRetryAfter keeps refused callers from returning before the next reply.
	minRetryAfter = 100 * time.Millisecond
)

// Counter counts the requests of accounts at one daemon and admits them. Safe for
// concurrent use.
type Counter struct {
	window  time.Duration
	clock   func() time.Duration
	started time.Duration

	mu       sync.Mutex
	fleet    int
	accounts map[string]*usage
	limits   map[string]Limit
	// decidedAt is the time of limits; they are nil before the first reply.
	decidedAt         time.Duration
	admitted, refused uint64
}

// NewCounter returns the counter of a daemon that starts now. The clock must count the time
// for which the host is suspended.
func NewCounter(window time.Duration, clock func() time.Duration) *Counter {
	return &Counter{window: window, clock: clock, started: clock(), fleet: 1, accounts: map[string]*usage{}}
}

// SetFleetSize sets the number of all daemons that may be running.
func (c *Counter) SetFleetSize(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fleet = max(n, 1)
}

// Apply sets the limits of a reply to the report that was sent at a time of the clock.
func (c *Counter) Apply(limits []Limit, at time.Duration) {
	byName := make(map[string]Limit, len(limits))
	for _, l := range limits {
		byName[l.Account] = l
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits, c.decidedAt = byName, at
}

// Admit counts a request of an account. The returned function takes back the count of a
// request that did not run. A refused request may be repeated after the returned time.
func (c *Counter) Admit(a *target.Account) (refund func(), retryAfter time.Duration, admitted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	u := c.accounts[a.Name]
	if u == nil {
		u = newUsage(now)
		c.accounts[a.Name] = u
	}
	l := c.limitFor(a, u, now)
	u.offer(now)
	cell, _ := cellAt(now, c.window)
	// A burst at this daemon is not in the room yet. Two cells are a tenth of the window,
	// longer than the way of a count to the collectors and back.
	excess := u.recent(cell) - l.Room - l.Rate*2*c.window.Seconds()/cells
	if excess >= 1 {
		c.refused++
		return nil, c.bounded(seconds((excess + 1) / l.Rate)), false
	}
	u.credit += l.Share
	if u.credit < 1 {
		c.refused++
		return nil, c.retryAfter(l), false
	}
	u.credit--
	u.admitted[cell%int64(len(u.admitted))]++
	c.admitted++
	return func() { c.refund(u, cell) }, 0, true
}

// limitFor returns the limit of an account: that of the latest reply, or one for this
// daemon's part if the reply is too old.
func (c *Counter) limitFor(a *target.Account, u *usage, now time.Duration) Limit {
	if !c.recent(now) {
		coverage := Coverage{Daemons: 1, All: c.fleet, Present: c.present(now)}
		n := u.count(a.Name, now, c.window)
		l, _ := decideWithin(c.lastRoom(a, now), a, c.window, &coverage, &n)
		l.Rate /= float64(c.fleet)
		return l
	}
	l, listed := c.limits[a.Name]
	if !listed {
		return Limit{Share: 1, Room: burstOf(a), Rate: a.Rate}
	}
	if a.Rate < l.Rate {
		// The collector decided by an earlier version.
		l.Share *= a.Rate / l.Rate
	}
	l.Room, l.Rate = min(l.Room, burstOf(a)), a.Rate
	return l
}

// lastRoom returns this daemon's part of the room in the latest reply, with what the rate
// has added since. Without that bound, the daemons that had no callers lately would all find
// their parts of the burst unused when they lose the collector.
func (c *Counter) lastRoom(a *target.Account, now time.Duration) float64 {
	l, listed := c.limits[a.Name]
	if !listed {
		return math.Inf(1)
	}
	return (l.Room + a.Rate*(now-c.decidedAt).Seconds()) / float64(c.fleet)
}

// retryAfter returns the time in which the rate admits what is refused in a second.
func (c *Counter) retryAfter(l Limit) time.Duration {
	return c.bounded(max(seconds(1/l.Share-1), seconds(1/l.Rate)))
}

// bounded returns a time of at least minRetryAfter and at most the window, after which
// none of the requests counts any more.
func (c *Counter) bounded(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), max(c.window, minRetryAfter))
}

// seconds converts seconds to a duration; what exceeds the range is an hour.
func seconds(s float64) time.Duration {
	if !(s < time.Hour.Seconds()) {
		return time.Hour
	}
	return time.Duration(s * float64(time.Second))
}

// refund takes back the count of a request that was admitted in a cell.
func (c *Counter) refund(u *usage, cell int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current, _ := cellAt(c.clock(), c.window)
	u.advance(current)
	if cell >= current-cells && u.at(cell) > 0 {
		u.admitted[cell%int64(len(u.admitted))]--
		u.changed = true
	}
}

func (c *Counter) recent(now time.Duration) bool {
	return c.limits != nil && now-c.decidedAt < ReplyLifetime
}

// Counts returns the counts of the accounts with requests since the last call, or of all
// accounts with recent requests, and drops the counts of the others.
func (c *Counter) Counts(all bool) []Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	var counts []Count
	for name, u := range c.accounts {
		if u.idle(now, c.window) {
			delete(c.accounts, name)
			continue
		}
		if all || u.changed {
			counts = append(counts, u.count(name, now, c.window))
			u.changed = false
		}
	}
	return counts
}

// Present returns the part of each slice of the window for which this daemon has run.
func (c *Counter) Present() Series { return c.present(c.clock()) }

func (c *Counter) present(now time.Duration) Series {
	var p Series
	slices := float64(now-c.started) / float64(c.window) * Slices
	for i := range p {
		p[i] = min(max(slices-float64(i), 0), 1)
	}
	return p
}

// Status is what operators see of a counter.
type Status struct {
	// Admitted and Refused count requests since the start, those that ended as not run
	// included.
	Admitted, Refused uint64
	// Recent means that the limits come from a collector.
	Recent bool
	// LeastShare is the smallest share among the limits, 1 if there are none.
	LeastShare float64
	// Limits are the limits of the latest reply, in no particular order.
	Limits []Limit
}

// Status returns the current status.
func (c *Counter) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Status{Admitted: c.admitted, Refused: c.refused, Recent: c.recent(c.clock()), LeastShare: 1}
	if !s.Recent {
		return s
	}
	for _, l := range c.limits {
		s.LeastShare = math.Min(s.LeastShare, l.Share)
		s.Limits = append(s.Limits, l)
	}
	return s
}
