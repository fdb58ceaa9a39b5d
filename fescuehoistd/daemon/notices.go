package daemon

import (
	"sync"

	"github.com/sirupsen/logrus"

	"fescuehoist.example/mesh/call"
)

// notices passes on what the backend server beside the daemon says about itself in
// its answers, and logs changes of it.
type notices struct {
	gate      interface{ ObserveNotice(n call.Notice) }
	announcer interface{ Withdraw(instance string) bool }
	logger    *logrus.Entry

	mu       sync.Mutex
	instance string
	last     call.Notice
}

// ObserveNotice applies a notice of an instance. One that leaves is withdrawn even
// if it announces nothing of the kind.
func (n *notices) ObserveNotice(instance string, notice call.Notice) {
	n.gate.ObserveNotice(notice)
	n.logChange(instance, notice)
	if notice.Leaving {
		n.announcer.Withdraw(instance)
	}
}

// logChange logs a notice that differs from the one before.
func (n *notices) logChange(instance string, notice call.Notice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	last := n.last
	if instance != n.instance {
		last = call.Notice{}
	}
	n.instance, n.last = instance, notice
	if notice == last {
		return
	}
	entry := n.logger.WithFields(logrus.Fields{"instance": instance, "limit": notice.RateLimit, "limit_was": last.RateLimit})
	switch {
	case notice.Leaving && !last.Leaving:
		entry.Info("backend server says that it leaves")
	case notice.RateLimited:
		entry.Info("backend server names a limit")
	case last.RateLimited:
		entry.Info("backend server names no limit any more")
	}
}

// ObserveInvalidNotice logs a notice that cannot be read.
func (n *notices) ObserveInvalidNotice(instance string, err error) {
	n.logger.WithField("instance", instance).Debugf("ignoring a notice of the backend server: %v", err)
}
