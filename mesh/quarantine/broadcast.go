package quarantine

import (
	"context"
	"sync"

	"fescuehoist.example/mesh/member"
)

// Link sends a report to the daemon at an address.
type Link interface {
	SendReport(ctx context.Context, address string, r *Report) error
}

// Broadcaster notifies the daemons of the other backend servers of a service.
type Broadcaster struct {
	Self  member.ServerID
	Table *member.Table
	Link  Link
}

// Notify sends the report to all of them concurrently. It returns once every
// daemon has answered or ctx ends.
func (b *Broadcaster) Notify(ctx context.Context, service string, r *Report) {
	var tasks sync.WaitGroup
	for _, to := range b.Table.View().Service(service) {
		if to.Server == b.Self || to.Terminal() {
			continue
		}
		// An unreachable daemon misses the report.
		tasks.Go(func() { _ = b.Link.SendReport(ctx, to.CallAddress, r) })
	}
	tasks.Wait()
}
