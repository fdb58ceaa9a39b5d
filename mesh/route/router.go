package route

import (
	"context"
	"sync/atomic"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
)

// Router keeps the routing table up to date with the configuration in force
// and the records of the backend servers.
type Router struct {
	configs *manifest.Store
	members *member.Table
	table   atomic.Pointer[Table]
}

// NewRouter returns a router; Run keeps its table up to date.
func NewRouter(configs *manifest.Store, members *member.Table) *Router {
	r := &Router{configs: configs, members: members}
	r.table.Store(&Table{snapshot: configs.Snapshot()})
	r.rebuild()
	return r
}

// Table returns the current routing table.
func (r *Router) Table() *Table { return r.table.Load() }

func (r *Router) rebuild() {
	r.table.Store(r.table.Load().next(r.configs.Snapshot(), r.members.View()))
}

// Run rebuilds the routing table after each change of the configuration or of
// the records, until ctx ends.
func (r *Router) Run(ctx context.Context) error {
	for {
		configChanged, membersChanged := r.configs.Changed(), r.members.Changed()
		r.rebuild()
		select {
		case <-ctx.Done():
			return nil
		case <-configChanged:
		case <-membersChanged:
		}
	}
}
