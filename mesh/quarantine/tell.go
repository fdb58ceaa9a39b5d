package quarantine

import (
	"context"
	"sync"

	"fescuehoist.example/mesh/member"
)

// Link carries a report to the daemon at an address.
type Link interface {
	Tell(ctx context.Context, address string, r *Report) error
}

// Broadcaster tells the daemons beside the other backend servers of a service.
type Broadcaster struct {
	Self  member.ServerID
	Table *member.Table
	Link  Link
}

// Tell returns once every daemon has the report or ctx ends.
func (m *Broadcaster) Tell(ctx context.Context, service string, r *Report) {
	var told sync.WaitGroup
	for _, to := range m.Table.View().Service(service) {
		if to.Server == m.Self || to.Terminal() {
			continue
		}
		// A daemon out of reach misses the report.
		told.Go(func() { _ = m.Link.Tell(ctx, to.CallAddress, r) })
	}
	told.Wait()
}
