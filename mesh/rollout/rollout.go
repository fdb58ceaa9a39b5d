// Package rollout moves the traffic of a service to another release of its software, and
// back if that release is bad.
//
// A Controller on the fleet's collector follows the orders in the platform's store, judges
// the release by the counts of all daemons, and issues directions. A Follower in each
// daemon holds the newest directions and counts the calls to the server beside it.
package rollout

import (
	"context"
	"errors"
	"time"

	"fescuehoist.example/mesh/revision"
)

// State is how far a rollout has come. Of two states of one order the higher one holds:
// Completed is issued only after the store has accepted it.
type State uint8

// States of a rollout.
const (
	Running State = iota + 1
	RolledBack
	Completed
)

// String returns the state's name, or "unknown".
func (s State) String() string {
	switch s {
	case Running:
		return "running"
	case RolledBack:
		return "rolled back"
	case Completed:
		return "completed"
	}
	return "unknown"
}

// Final reports whether the rollout has ended.
func (s State) Final() bool { return s == RolledBack || s == Completed }

// Errors of an Orders port.
var (
	// ErrChanged means that the order has another revision than the one named.
	ErrChanged = errors.New("the order was changed")
	// ErrCompacted means that the changes after a revision are no longer known.
	ErrCompacted = errors.New("the changes after the revision are no longer known")
)

// MaxReleaseLength bounds the name of a release, in bytes. Daemons reject messages with
// longer ones.
const MaxReleaseLength = 128

// Order tells to move the traffic of a service to a release.
type Order struct {
	// Name is the name under which the order is stored.
	Name             string
	Service, Release string
	// Duration is the time in which a good release takes over all traffic.
	Duration time.Duration
	// Revision is that of the latest change of the stored order, its status included.
	Revision revision.Revision
	// Status is the state that is stored for this release, 0 if none is.
	Status State
	// Err says why the order is not valid; it is nil if it is.
	Err error
	// Removed means that the stored order was deleted.
	Removed bool
}

// Orders is the store of orders.
type Orders interface {
	// List returns all orders and the revision from which Next continues.
	List(ctx context.Context) ([]Order, revision.Revision, error)
	// Next waits for changes after a revision, for limit at most. It returns them with the
	// revision from which the next call continues, or ErrCompacted.
	Next(ctx context.Context, after revision.Revision, limit time.Duration) ([]Order, revision.Revision, error)
	// WriteStatus stores the state of an order that has the given revision and returns the
	// new revision, or ErrChanged. After another error the outcome is unknown.
	WriteStatus(ctx context.Context, o Order, s State) (revision.Revision, error)
}

// Direction says which servers of a service the daemons use. One without a service marks a
// list of directions as complete: its sender has read all orders. With a share of 1 it has
// read them since the last release appeared beside others.
type Direction struct {
	Service, Release string
	// Share is the share of the requests that go to servers of the release, 0 to 1; the
	// others go to servers of other releases. At 1 these refuse requests.
	Share float64
	// Servers is the number of servers of the release that share these requests; 0 means
	// all.
	Servers int
	State   State
	// Order is the revision at which the order began; that of a later one is later.
	Order revision.Revision
	// Age is how long ago the direction was issued.
	Age time.Duration
}

// Aged returns directions that are older by a time.
func Aged(directions []Direction, by time.Duration) []Direction {
	if directions == nil {
		return nil
	}
	aged := make([]Direction, len(directions))
	for i, d := range directions {
		d.Age += by
		aged[i] = d
	}
	return aged
}

// Full reports whether all requests go to the release while the rollout is running.
func (d *Direction) Full() bool { return d.State == Running && d.Share >= 1 }
