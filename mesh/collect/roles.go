package collect

import (
	"time"

	"fescuehoist.example/mesh/member"
)

const (
	// failuresToSkip is the number of failed reports in a row after which the next
	// collector is used for skipTime.
	failuresToSkip = 2
	skipTime       = 5 * time.Second
	// rolesInterval bounds the time for which a skipped collector, or a daemon that was
	// lost a minute ago, is left out of account for too long.
	rolesInterval = time.Second
	// skipLogInterval is the shortest time between two log lines on skipped collectors.
	skipLogInterval = 5 * time.Second
)

// roles says which daemons collect, as far as this daemon knows. Each is nil if it is this
// daemon.
type roles struct{ domain, fleet *member.Record }

// attempts counts the failed reports to a collector.
type attempts struct {
	failed  int
	skipped time.Time
}

// updateRoles determines the collectors and the size of the fleet again, if the members or
// the skipped collectors have changed, or after rolesInterval.
func (c *Collector) updateRoles() roles {
	view, now := c.members.View(), time.Now()
	if view == c.view && !c.attemptsChanged && now.Sub(c.rolesAt) < rolesInterval {
		return c.roles
	}
	c.view, c.rolesAt, c.attemptsChanged = view, now, false
	r := c.chooseRoles(view, now)
	size := c.FleetSize()
	c.counter.SetFleetSize(size)
	c.setRoles(r, size)
	return r
}

// chooseRoles determines the collectors: the first live daemons of the failure domain and
// of the fleet in the order of member.Precedes that are not skipped.
func (c *Collector) chooseRoles(view *member.View, now time.Time) roles {
	own, _ := c.members.Get(c.self)
	own.Server = c.self
	domain, fleet := &own, &own
	for _, m := range view.All() {
		if m.Server == c.self || m.Terminal() || m.Health != member.Alive || c.isSkipped(m.Server, now) {
			continue
		}
		if m.Domain == c.domain && member.Precedes(m, domain) {
			domain = m
		}
		if member.Precedes(m, fleet) {
			fleet = m
		}
	}
	r := roles{domain: domain, fleet: fleet}
	if domain == &own {
		r.domain = nil
	}
	if fleet == &own {
		r.fleet = nil
	}
	return r
}

func (c *Collector) isSkipped(id member.ServerID, now time.Time) bool {
	a := c.attempts[id]
	return a != nil && now.Before(a.skipped)
}

// recordAttempt records whether a collector answered a report.
func (c *Collector) recordAttempt(id member.ServerID, err error) {
	if err == nil {
		delete(c.attempts, id)
		return
	}
	a := c.attempts[id]
	if a == nil {
		a = &attempts{}
		c.attempts[id] = a
	}
	a.failed++
	if a.failed >= failuresToSkip {
		now := time.Now()
		a.failed, a.skipped = 0, now.Add(skipTime)
		c.attemptsChanged = true
		if now.Sub(c.skipLoggedAt) >= skipLogInterval {
			c.skipLoggedAt = now
			c.logger.Warnf("server %q did not answer %d reports, using the next collector for %s: %v", id, failuresToSkip, skipTime, err)
		}
	}
}
