package collect

import (
	"context"

	"fescuehoist.example/mesh/rollout"
)

// Link sends reports to other daemons.
type Link interface {
	// Report sends a report to the daemon at address and returns its reply.
	Report(ctx context.Context, address string, r *Report) (*Reply, error)
}

// Releases counts the calls of this daemon to the releases of a service, and applies the
// directions of the fleet's collector. Active may be called concurrently with the others.
type Releases interface {
	// Active reports whether a rollout is running, so that reports have to be frequent, and
	// returns a channel that is closed when that may have changed.
	Active() (active bool, changed <-chan struct{})
	// Counts returns the counts of this daemon since it heard of the orders.
	Counts() []rollout.Count
	// Apply applies the directions of the fleet's collector. It is called for each reply
	// that has them, several times a second, also with an empty list, but not while that
	// collector cannot be reached.
	Apply(directions []rollout.Direction)
}

// Judge decides on the rollouts while this daemon is the fleet's collector. One method is
// called at a time, several times a second, by changing tasks.
type Judge interface {
	// Observe takes the counts of all daemons in touch, summed by service, release and
	// class. Counts of a daemon that is lost disappear from the sums. covered is the share
	// of all known daemons whose counts are in them, 0 to 1.
	Observe(counts []rollout.Count, covered float64)
	// Directions returns the latest directions.
	Directions() []rollout.Direction
}

// Logger receives the log messages of a Collector.
type Logger interface {
	Infof(format string, args ...any)
	Warnf(format string, args ...any)
}
