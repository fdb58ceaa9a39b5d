package daemon

import (
	"sync"

	"github.com/sirupsen/logrus"

	"fescuehoist.example/mesh/call"
)

// notices logs what the backend server beside the daemon says about itself in its
// answers.
type notices struct {
	logger *logrus.Entry

	mu       sync.Mutex
	instance string
	last     call.Notice
}

// ObserveNotice logs a notice that differs from the one before.
func (n *notices) ObserveNotice(instance string, notice call.Notice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if instance == n.instance && notice == n.last {
		return
	}
	entry := n.logger.WithFields(logrus.Fields{"instance": instance, "limit": notice.RateLimit, "limit_was": n.last.RateLimit})
	switch {
	case notice.Leaving && !(n.last.Leaving && instance == n.instance):
		entry.Info("backend server says that it leaves")
	case notice.RateLimited:
		entry.Info("backend server names a limit")
	case n.last.RateLimited:
		entry.Info("backend server names no limit any more")
	}
	n.instance, n.last = instance, notice
}

// ObserveInvalidNotice logs a notice that cannot be read.
func (n *notices) ObserveInvalidNotice(instance string, err error) {
	n.logger.WithField("instance", instance).Debugf("ignoring a notice of the backend server: %v", err)
}
