package route

import (
	"context"
	"sync/atomic"
	"time"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/rollout"
)

// Router keeps the routing table up to date with the configuration in force
// and the records of the backend servers.
type Router struct {
	configs *manifest.Store
	members *member.Table
	// Directions is nil if there are no rollouts. It must be set before Run.
	Directions Directions
	table      atomic.Pointer[Table]
}

// Directions holds the directions of rollouts.
type Directions interface {
	Current() *rollout.Directions
	// Changed returns a channel that is closed when Current returns others.
	Changed() <-chan struct{}
}

// heldInterval is the time between two checks whether releases that were held back may be
// used.
const heldInterval = 50 * time.Millisecond

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
	var directions *rollout.Directions
	if r.Directions != nil {
		directions = r.Directions.Current()
	}
	r.table.Store(r.table.Load().next(r.configs.Snapshot(), r.members.View(), directions))
}

// Run rebuilds the routing table after each change of the configuration or of
// the records, until ctx ends.
func (r *Router) Run(ctx context.Context) error {
	for {
		configChanged, membersChanged := r.configs.Changed(), r.members.Changed()
		var directionsChanged <-chan struct{}
		if r.Directions != nil {
			directionsChanged = r.Directions.Changed()
		}
		r.rebuild()
		var held <-chan time.Time
		if r.Table().held {
			held = time.After(heldInterval)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-configChanged:
		case <-membersChanged:
		case <-directionsChanged:
		case <-held:
		}
	}
}
