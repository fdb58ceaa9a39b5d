// Package rollout moves the traffic of a service to another release of its software, and
// back if that release is bad.
package rollout

import "time"

// State is how far a rollout has come.
type State uint8

// States of a rollout.
const (
	Running State = iota + 1
	Completed
	RolledBack
)

// Direction says which servers of a service the daemons use.
type Direction struct {
	Service, Release string
	// Share is the share of the requests that go to servers of the release, 0 to 1; the
	// others go to servers of other releases.
	Share float64
	State State
}

// Count is what daemons have counted of the calls of one class to the servers of one
// release since they heard of the order.
type Count struct {
	Service, Release, Class string
	// Answered counts the calls that the servers ran, Failed those of them that ended in a
	// server error, were cut or timed out.
	Answered, Failed uint64
	// Total is the time that all of them took.
	Total time.Duration
}
