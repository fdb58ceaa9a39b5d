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
)

// roles says which daemons collect, as far as this daemon knows. Each is nil if it is this
// daemon.
type roles struct{ domain, fleet *member.Record }

// attempts counts the failed reports to a collector.
type attempts struct {
	failed  int
	skipped time.Time
}

// chooseRoles determines the collectors: the first live daemons of the failure domain and
// of the fleet in the order of member.Precedes that were not skipped.
func (c *Collector) chooseRoles() roles {
	own, _ := c.members.Get(c.self)
	own.Server = c.self
	domain, fleet := &own, &own
	now := time.Now()
	for _, m := range c.members.View().All() {
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
func (c *Collector) recordAttempt(id member.ServerID, answered bool) {
	if answered {
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
		a.failed, a.skipped = 0, time.Now().Add(skipTime)
	}
}
