package daemon

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/wait"
)

// beliefInterval is the least time between two looks at what changed, so that a
// mass restart is logged at a bounded pace.
const beliefInterval = 100 * time.Millisecond

// beliefs logs each change of what the daemon believes of the backend servers
// and of the configuration in force.
type beliefs struct {
	out     *logrus.Entry
	configs *manifest.Store
	members *member.Table

	version manifest.Version
	refused string
	known   map[member.ServerID]*member.Record
}

// run is the task that looks after each change, until ctx ends.
func (b *beliefs) run(ctx context.Context) error {
	b.known = map[member.ServerID]*member.Record{}
	for {
		configured, moved := b.configs.Changed(), b.members.Changed()
		b.versions()
		b.servers()
		if wait.For(ctx, beliefInterval) != nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-configured:
		case <-moved:
		}
	}
}

func (b *beliefs) versions() {
	if v := b.configs.Snapshot().Version(); v != b.version {
		b.out.WithFields(logrus.Fields{"version": v, "previous": b.version}).Info("configuration in force")
		b.version = v
	}
	refused := ""
	if r := b.configs.Refusal(); r != nil {
		refused = r.Error()
	}
	if refused != b.refused && refused != "" {
		b.out.WithFields(logrus.Fields{"known": b.configs.KnownVersion(), "cause": refused}).Warn("configuration refused")
	}
	b.refused = refused
}

func (b *beliefs) servers() {
	seen := b.members.View().All()
	for _, r := range seen {
		old := b.known[r.Server]
		if old == r {
			continue
		}
		b.known[r.Server] = r
		if old == nil || changed(old, r) {
			b.server(old, r)
		}
	}
	if len(b.known) > len(seen) {
		b.forget(seen)
	}
}

// changed reports whether a record says something new of the server, rather
// than being announced again.
func changed(old, r *member.Record) bool {
	return old.State != r.State || old.Health != r.Health || old.Instance != r.Instance ||
		old.Service != r.Service || old.StoreUnreachable != r.StoreUnreachable
}

func (b *beliefs) server(old, r *member.Record) {
	e := b.out.WithFields(logrus.Fields{
		"of": r.Server, "service": r.Service, "instance": r.Instance, "domain": r.Domain,
		"state": r.State, "health": r.Health, "blind": r.StoreUnreachable, "order": r.Incarnation, "sequence": r.Sequence,
	})
	if old != nil {
		e = e.WithFields(logrus.Fields{"was": old.State, "health_was": old.Health})
	}
	e.Info("backend server")
}

// forget drops servers whose records are gone.
func (b *beliefs) forget(seen []*member.Record) {
	kept := make(map[member.ServerID]*member.Record, len(seen))
	for _, r := range seen {
		kept[r.Server] = r
	}
	for id := range b.known {
		if kept[id] == nil {
			b.out.WithField("of", id).Info("backend server forgotten")
		}
	}
	b.known = kept
}
