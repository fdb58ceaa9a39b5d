package route

import (
	"context"
	"sync/atomic"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
)

// Router keeps the routes up to date with the configuration in force and the
// records of the backend servers.
type Router struct {
	configs *manifest.Store
	members *member.Table
	table   atomic.Pointer[Table]
}

// NewRouter returns a router; Run keeps it up to date.
func NewRouter(log *manifest.Store, members *member.Table) *Router {
	r := &Router{configs: log, members: members}
	r.table.Store(&Table{})
	r.rebuild()
	return r
}

// Table returns the current routes.
func (r *Router) Table() *Table { return r.table.Load() }

func (r *Router) rebuild() {
	r.table.Store(r.table.Load().next(r.configs.Snapshot(), r.members.View()))
}

// Run builds new routes after each change, until ctx ends.
func (r *Router) Run(ctx context.Context) error {
	for {
		configured, moved := r.configs.Changed(), r.members.Changed()
		r.rebuild()
		select {
		case <-ctx.Done():
			return nil
		case <-configured:
		case <-moved:
		}
	}
}
