package collect

import (
	"errors"
	"time"

	"fescuehoist.example/mesh/allowance"
	"fescuehoist.example/mesh/rollout"
)

// ErrNotCollecting means that a daemon cannot decide, since the configuration that it
// has gives it nothing to decide on.
var ErrNotCollecting = errors.New("nothing is collected in the configuration in force here")

const (
	// settleTime is the time for which a new collector waits for the reports of others
	// before it decides.
	settleTime = 300 * time.Millisecond
	// forwardLifetime is the age up to which a decision of the fleet's collector is passed
	// on within a failure domain.
	forwardLifetime = 400 * time.Millisecond
	// decisionInterval is the shortest time between two decisions on all counts.
	decisionInterval = 50 * time.Millisecond
)

// redecide makes the decisions of the fleet's collector again if this daemon is that and
// the latest ones leave out reports of some time.
func (c *Collector) redecide(now time.Duration) {
	c.mu.Lock()
	due := c.decided == nil || now-c.decidedAt >= decisionInterval
	if !c.isFleet || c.deciding || !due || now-max(c.fleetSince, c.summingSince) < settleTime {
		c.mu.Unlock()
		return
	}
	c.deciding = true
	t := sum(now, c.daemons, c.sums)
	c.daemons.takeChanged()
	c.sums.takeChanged()
	c.mu.Unlock()
	reply := c.decide(t)
	reply.Fleet = true
	if c.Judge != nil {
		c.Judge.Observe(t.releases, t.coverage.Share())
		reply.Directions = c.Judge.Directions()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decided, c.decidedAt, c.deciding = reply, now, false
	c.limited.record(reply.Limits)
}

// decide returns the limits for the daemons in a sum.
func (c *Collector) decide(t *total) *Reply {
	reply := &Reply{Daemons: t.coverage.Daemons}
	c.mu.Lock()
	t.coverage.All = c.fleetSize
	c.mu.Unlock()
	accounts := c.configs.Snapshot().Accounts()
	for name, n := range t.accounts {
		a := accounts.ByName(name)
		if a == nil || !a.Limited() {
			continue
		}
		if l, needed := allowance.Decide(a, c.cfg.Window, &t.coverage, n); needed {
			reply.Limits = append(reply.Limits, l)
		}
	}
	return reply
}

// Receive records a report of another daemon and returns the latest decision for it, or
// ErrNotCollecting.
func (c *Collector) Receive(r *Report) (*Reply, error) {
	if interval, _ := c.interval(); interval == 0 {
		return nil, ErrNotCollecting
	}
	now := c.configs.Now()
	var reply Reply
	c.record(r, now)
	if r.Sum {
		reply = *c.sumReply(now)
	} else {
		reply = *c.ownReply(now)
	}
	if v, age, known := c.configs.VerificationAge(); known {
		reply.Verified, reply.Version, reply.VerificationAge = true, v, age
	}
	return &reply, nil
}

// record adds a report to its book. The time since which reports arrive starts again after
// a time without any.
func (c *Collector) record(r *Report, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b, since := c.daemons, &c.collectingSince
	if r.Sum {
		b, since = c.sums, &c.summingSince
	}
	if b.inTouch(now, c.self) == 0 {
		*since = now
	}
	b.put(r, now)
}

// ownReply returns the decision for the daemons of the own failure domain: that of the
// fleet's collector, or one for their part of the limits if it is not recent.
func (c *Collector) ownReply(now time.Duration) *Reply {
	c.redecide(now)
	if r := c.fleetDecision(now); r != nil {
		return r
	}
	return c.decidePart(now, false)
}

// sumReply returns the decision for the failure domains that report to this daemon. If it
// is not the fleet's collector, they get their part of the limits.
func (c *Collector) sumReply(now time.Duration) *Reply {
	c.redecide(now)
	if r := c.fleetDecision(now); r != nil && c.collectsForFleet() {
		return r
	}
	return c.decidePart(now, true)
}

// fleetDecision returns the decision of the fleet's collector, or nil if it is not recent.
func (c *Collector) fleetDecision(now time.Duration) *Reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.decided == nil || !c.decided.Fleet || now-c.decidedAt >= forwardLifetime {
		return nil
	}
	reply := *c.decided
	reply.Directions = rollout.Aged(reply.Directions, now-c.decidedAt)
	return &reply
}

func (c *Collector) collectsForFleet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isFleet
}

// decidePart decides for the daemons of the own failure domain, or for the failure domains
// that report to this daemon, once these had time to report.
func (c *Collector) decidePart(now time.Duration, domains bool) *Reply {
	c.mu.Lock()
	b, since := c.daemons, c.collectingSince
	if domains {
		b, since = c.sums, c.summingSince
	}
	if now-since < settleTime {
		c.mu.Unlock()
		return &Reply{Undecided: true}
	}
	t := sum(now, b)
	c.mu.Unlock()
	return c.decide(t)
}
