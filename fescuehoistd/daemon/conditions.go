package daemon

import (
	"sync"

	"github.com/sirupsen/logrus"

	"fescuehoist.example/mesh/call"
)

// conditions passes on what the backend server beside the daemon says about itself in
// its answers, and logs changes of it.
type conditions struct {
	gate      interface{ ObserveCondition(n call.Condition) }
	announcer interface{ Withdraw(instance string) bool }
	logger    *logrus.Entry

	mu       sync.Mutex
	instance string
	last     call.Condition
}

// ObserveCondition applies a condition of an instance. One that leaves is withdrawn even
// if it announces nothing of the kind.
func (n *conditions) ObserveCondition(instance string, condition call.Condition) {
	n.gate.ObserveCondition(condition)
	n.logChange(instance, condition)
	if condition.Leaving {
		n.announcer.Withdraw(instance)
	}
}

// logChange logs a condition that differs from the one before.
func (n *conditions) logChange(instance string, condition call.Condition) {
	n.mu.Lock()
	defer n.mu.Unlock()
	last := n.last
	if instance != n.instance {
		last = call.Condition{}
	}
	n.instance, n.last = instance, condition
	if condition == last {
		return
	}
	entry := n.logger.WithFields(logrus.Fields{"instance": instance, "limit": condition.RateLimit, "limit_was": last.RateLimit})
	switch {
	case condition.Leaving && !last.Leaving:
		entry.Info("backend server says that it leaves")
	case condition.RateLimited:
		entry.Info("backend server names a limit")
	case last.RateLimited:
		entry.Info("backend server names no limit any more")
	}
}

// ObserveInvalidCondition logs a condition that cannot be read.
func (n *conditions) ObserveInvalidCondition(instance string, err error) {
	n.logger.WithField("instance", instance).Debugf("ignoring a condition of the backend server: %v", err)
}
