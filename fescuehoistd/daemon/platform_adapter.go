package daemon

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"fescuehoist.example/adapters/callhttp"
	"fescuehoist.example/adapters/peergrpc"
	"fescuehoist.example/adapters/telemetry"
	"fescuehoist.example/mesh/rollout"
)

// platformAdapter is the part of a daemon that depends on the platform on which it
// runs.
type platformAdapter interface {
	// run starts the tasks that exchange configuration and status with the platform.
	run(ctx context.Context, g *errgroup.Group)
	// dialect returns the HTTP conventions of callers and the backend server.
	dialect() callhttp.Dialect
	// services returns the gRPC services offered to other daemons in addition to
	// the peer protocol.
	services() []peergrpc.Service
	// registered returns the number of daemons that a starting daemon knows of before it
	// has connected to any, itself included.
	registered() int
	// joinQuorum returns the number of peers that must have reported a configuration
	// version before a starting daemon puts one in force.
	joinQuorum() int
	// drainDelay returns how long a stopping daemon continues to serve before it
	// announces that it leaves.
	drainDelay() time.Duration
	// killsAfterDrainTimeout reports whether the platform kills a process that has
	// not ended within the drain timeout.
	killsAfterDrainTimeout() bool
	// orders returns the orders of rollouts, or nil if the platform has none.
	orders() rollout.Orders
	metrics() []telemetry.Metric
	// platformCalls returns the number of calls made to the platform.
	platformCalls() uint64
	close()
}
