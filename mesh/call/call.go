package call

import (
	"context"
	"time"

	"fescuehoist.example/mesh/target"
)

// Field is one header field.
type Field struct{ Name, Value string }

// Request is a call on its way to a backend server. The deadline is that of
// the context which accompanies it.
type Request struct {
	// ID is the caller's own name for the request; it may be empty.
	ID string
	// Host is the host that the caller named. Service is the service called:
	// the host's own until the call is classified, and then the part chosen.
	Host, Service string
	// Client is the caller's own name.
	Client string
	// Origin is the service of the backend server beside the daemon that took
	// the call from its caller.
	Origin string
	// Key identifies a request that is not idempotent across repeats.
	Key string
	// Method and URI are those of HTTP; URI holds path and query.
	Method, URI string
	Header      []Field
	Body        []byte
	// Arrived is when the caller's daemon took the request.
	Arrived time.Time
	// Elapsed is how long the daemons have had the request, as of this attempt.
	Elapsed time.Duration
	// Attempt counts the attempts made so far by the daemon that took the
	// call.
	Attempt int
	// Reached counts the attempts that may have reached a backend server.
	Reached int
	// Refused counts those that found no room.
	Refused int
	// Server names the backend server that a daemon chose, Instance its start.
	Server, Instance string
	// Depth counts the backend servers that wait for the call, each while it
	// runs the one before; it is 0 for a call from outside.
	Depth int
	// NewConnection asks for a connection that no call has used before.
	NewConnection bool
	// Suspect says that a backend server crashed while it ran the request.
	Suspect bool
	// Class is set once the call is classified.
	Class *target.Class
	// ClassName names the class when another daemon classified the call.
	ClassName string
}

// Load is what a daemon says of its backend server along with an answer, as a
// call of the same class meets it.
type Load struct {
	// Running and Queued count calls; Limit is how many may run at once.
	Running, Queued, Limit int
	// ServiceTime is the mean time that calls of the answered call's class run, 0
	// if not known.
	ServiceTime time.Duration
}

// Answer is a backend server's answer.
type Answer struct {
	Status int
	Header []Field
	Body   []byte
	// Load is zero if the answer carried none.
	Load Load
}

// Status codes that decisions depend on.
const (
	firstFailure         = 500
	StatusGatewayTimeout = 504
)

// Failed reports whether the backend server ran the request and failed.
func (a *Answer) Failed() bool { return a.Status >= firstFailure }

// Handler takes calls. An error is always a *Failure.
type Handler interface {
	Call(ctx context.Context, r *Request) (*Answer, error)
}
