package daemon

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/wait"
)

// stateLogInterval is the shortest time between two passes over the changes. It
// bounds the rate of log lines when many backend servers restart at once.
const stateLogInterval = 100 * time.Millisecond

// stateLog logs each change in the daemon's view of the backend servers and of the
// configuration in force.
type stateLog struct {
	logger  *logrus.Entry
	configs *manifest.Store
	members *member.Table

	version manifest.Version
	refused string
	logged  map[member.ServerID]*member.Record
}

// run logs changes until ctx ends.
func (l *stateLog) run(ctx context.Context) error {
	l.logged = map[member.ServerID]*member.Record{}
	for {
		configChanged, membersChanged := l.configs.Changed(), l.members.Changed()
		l.logVersion()
		l.logServers()
		if wait.For(ctx, stateLogInterval) != nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-configChanged:
		case <-membersChanged:
		}
	}
}

func (l *stateLog) logVersion() {
	if v := l.configs.Snapshot().Version(); v != l.version {
		l.logger.WithFields(logrus.Fields{"version": v, "previous": l.version}).Info("configuration in force")
		l.version = v
	}
	refused := ""
	if r := l.configs.Refusal(); r != nil {
		refused = r.Error()
	}
	if refused != l.refused && refused != "" {
		l.logger.WithFields(logrus.Fields{"known": l.configs.KnownVersion(), "cause": refused}).Warn("configuration refused")
	}
	l.refused = refused
}

func (l *stateLog) logServers() {
	current := l.members.View().All()
	for _, r := range current {
		old := l.logged[r.Server]
		if old == r {
			continue
		}
		l.logged[r.Server] = r
		if old == nil || stateChanged(old, r) {
			l.logServer(old, r)
		}
	}
	if len(l.logged) > len(current) {
		l.removeMissing(current)
	}
}

// stateChanged reports whether a record differs from the previous one in a logged
// field; a record that was merely announced again does not.
func stateChanged(old, r *member.Record) bool {
	return old.State != r.State || old.Health != r.Health || old.Instance != r.Instance ||
		old.Service != r.Service || old.StoreUnreachable != r.StoreUnreachable
}

func (l *stateLog) logServer(old, r *member.Record) {
	e := l.logger.WithFields(logrus.Fields{
		"of": r.Server, "service": r.Service, "instance": r.Instance, "domain": r.Domain,
		"state": r.State, "health": r.Health, "blind": r.StoreUnreachable, "order": r.Incarnation, "sequence": r.Sequence,
	})
	if old != nil {
		e = e.WithFields(logrus.Fields{"was": old.State, "health_was": old.Health})
	}
	e.Info("backend server state changed")
}

// removeMissing drops servers that no longer have a record.
func (l *stateLog) removeMissing(current []*member.Record) {
	byServer := make(map[member.ServerID]*member.Record, len(current))
	for _, r := range current {
		byServer[r.Server] = r
	}
	for id := range l.logged {
		if byServer[id] == nil {
			l.logger.WithField("of", id).Info("backend server record removed")
		}
	}
	l.logged = byServer
}
