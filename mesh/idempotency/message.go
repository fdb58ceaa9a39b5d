package idempotency

import (
	"context"
	"time"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/member"
)

// ID names a request across its repeats. Keys of different clients differ.
type ID struct{ Service, Client, Key string }

// State is what a home says of a key.
type State uint8

// States of keys at a home.
const (
	// Granted says that the home has recorded the key for the asker's run.
	Granted State = iota + 1
	// Running says that another run is under way.
	Running
	// Finished says that a run has ended; the outcome may be unknown.
	Finished
	// Gone says that the key is not recorded, or no longer.
	Gone
	// Reused says that the key belongs to another request.
	Reused
	// Disagreed says that the home sees other homes of the key.
	Disagreed
	// Refused says that the home takes no new keys.
	Refused
)

// Begin asks a home to record a key.
type Begin struct {
	ID ID
	// Run identifies the run that the asker is about to start.
	Run string
	// Request is a digest of the request.
	Request uint64
	// Homes are all homes of the key, as the asker sees them.
	Homes []member.ServerID
	// Left is how long the run may last.
	Left time.Duration
}

// Reply is a home's answer.
type Reply struct {
	State State
	// Outcome is set if State is Finished and the outcome is known.
	Outcome *Outcome
	// Homes are the homes of the key as this home sees them.
	Homes []member.ServerID
	// Forgetful lists those of them that lost their records of late.
	Forgetful []member.ServerID
}

// Outcome is the answer that the first run got.
type Outcome struct {
	Status int
	Header []call.Field
	Body   []byte
}

// Finish ends a run at a home. A run that is abandoned has not run, and its key
// is forgotten.
type Finish struct {
	ID        ID
	Run       string
	Abandoned bool
	// Outcome is nil if it is not known.
	Outcome *Outcome
}

// Transfer is a recorded key on its way to a new home.
type Transfer struct {
	ID      ID
	Run     string
	Request uint64
	Ended   bool
	Outcome *Outcome
	// Left is how long the run may last, Kept how long the key is kept.
	Left, Kept time.Duration
}

// Transport carries messages to homes.
type Transport interface {
	Begin(ctx context.Context, address string, m *Begin) (*Reply, error)
	// Await returns once the run of a key has ended, or with ctx.
	Await(ctx context.Context, address string, id ID) (*Reply, error)
	Finish(ctx context.Context, address string, m *Finish) error
	Copy(ctx context.Context, address string, copies []Transfer) error
}
