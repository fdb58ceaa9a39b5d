// Package call defines calls independently of any message encoding: the
// request, its answer, and the verdict and reason of a failed call.
package call

import (
	"context"
	"time"

	"fescuehoist.example/mesh/target"
)

// Field is a header field.
type Field struct{ Name, Value string }

// Request is a call to a backend server. Its deadline is that of the
// accompanying context.
type Request struct {
	// ID is the request ID that the caller set; it may be empty.
	ID string
	// Host is the host name in the caller's request. Service is the called
	// service: that of Host until the call is classified, then the destination
	// chosen for the class.
	Host, Service string
	// Client is the client name that the caller sent.
	Client string
	// KeyDigest is the digest of the API key that the caller presented; HasKey is false
	// if it presented none. Both are cleared once the key was checked.
	KeyDigest target.KeyDigest
	HasKey    bool
	// Account is the client account that holds the caller's key; it is empty for calls
	// that need none.
	Account string
	// Origin is the service of the backend server beside the daemon that
	// received the call from its caller.
	Origin string
	// Key is the idempotency key of a request that must not run twice.
	Key string
	// Method and URI are the HTTP method and the request URI with path and
	// query.
	Method, URI string
	Header      []Field
	Body        []byte
	// Arrived is when the caller's daemon received the request.
	Arrived time.Time
	// Elapsed is the time from Arrived to the start of this attempt.
	Elapsed time.Duration
	// Attempt counts the attempts made so far by the daemon that received the
	// call from its caller.
	Attempt int
	// Reached counts the attempts that may have reached a backend server.
	Reached int
	// Refused counts the attempts refused for lack of capacity.
	Refused int
	// FromCopy means that the answer came from a copy of the request that was sent while
	// the first attempt ran.
	FromCopy bool
	// Server is the backend server that a daemon chose, Instance the ID of its
	// current start.
	Server, Instance string
	// Depth is the number of backend servers that wait for this call, each for
	// a call that it made itself; 0 for a call from outside the mesh.
	Depth int
	// NewConnection requests a connection that no call has used before.
	NewConnection bool
	// AskFirst asks the daemon of the chosen server before the body is sent to it.
	AskFirst bool
	// Suspect is set if a backend server crashed while it ran the request.
	Suspect bool
	// Class is nil until the call is classified.
	Class *target.Class
	// ClassName is the class name, also when another daemon classified the
	// call.
	ClassName string
}

// Load is the load of a backend server for calls of one class; its daemon
// sends it with each answer.
type Load struct {
	// Running and Queued count calls; Limit is the number that may run
	// concurrently.
	Running, Queued, Limit int
	// ServiceTime is the mean run time of calls of the class, 0 if unknown.
	ServiceTime time.Duration
	// LinkWait is how long a large body that asks now would wait until it may be sent
	// over the link of the server's host.
	LinkWait time.Duration
}

// Answer is the answer of a backend server.
type Answer struct {
	Status int
	Header []Field
	Body   []byte
	// Load is zero if the answer carried none.
	Load Load
	// Leaving means that the backend server says that it will stop soon.
	Leaving bool
}

// Status codes that affect decisions.
const (
	firstServerError     = 500
	StatusGatewayTimeout = 504
)

// Failed reports whether the backend server ran the request and answered with
// a server error.
func (a *Answer) Failed() bool { return a.Status >= firstServerError }

// Handler handles calls. Its errors are of type *Failure.
type Handler interface {
	Call(ctx context.Context, r *Request) (*Answer, error)
}
