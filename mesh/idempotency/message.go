package idempotency

import (
	"context"
	"time"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/member"
)

// ID identifies a request across its repeats. Clients have separate key
// spaces.
type ID struct{ Service, Client, Key string }

// State is the state of a key at a replica.
type State uint8

// States of a key at a replica.
const (
	// Granted means that the replica recorded the key for the sender's
	// execution.
	Granted State = iota + 1
	// Running means that another execution is running.
	Running
	// Finished means that an execution has ended; its outcome may be unknown.
	Finished
	// NotFound means that the key is not recorded, or no longer.
	NotFound
	// KeyReused means that the key is recorded for a different request.
	KeyReused
	// ReplicasDiffer means that the replica computes other replicas for the key
	// than the sender.
	ReplicasDiffer
	// Refused means that the replica accepts no new keys.
	Refused
)

// Begin asks a replica to record a key. Tags here and below keep the names that
// daemons exchange.
type Begin struct {
	ID ID
	// Execution identifies the execution that the sender is about to start.
	Execution string `json:"Run"`
	// RequestDigest is the digest of method, URI and body.
	RequestDigest uint64 `json:"Request"`
	// Replicas are all replicas of the key as the sender computes them.
	Replicas []member.ServerID `json:"Homes"`
	// Timeout is the time within which the execution must end.
	Timeout time.Duration `json:"Left"`
}

// Reply is a replica's reply.
type Reply struct {
	State State
	// Outcome is set if State is Finished and the outcome is known.
	Outcome *Outcome
	// Replicas are the replicas of the key as this replica computes them.
	Replicas []member.ServerID `json:"Homes"`
	// LostState lists the replicas that lost their records within the retention
	// time.
	LostState []member.ServerID `json:"Forgetful"`
}

// Outcome is the answer to the first execution.
type Outcome struct {
	Status int
	Header []call.Field
	Body   []byte
}

// Finish ends an execution at a replica. An abandoned execution did not run,
// and its key is removed.
type Finish struct {
	ID        ID
	Execution string `json:"Run"`
	Abandoned bool
	// Outcome is nil if it is unknown.
	Outcome *Outcome
}

// Transfer is a recorded key that is sent to a new replica.
type Transfer struct {
	ID            ID
	Execution     string `json:"Run"`
	RequestDigest uint64 `json:"Request"`
	Ended         bool
	Outcome       *Outcome
	// Timeout is the time within which the execution must end, Retention the
	// time for which the key is kept.
	Timeout   time.Duration `json:"Left"`
	Retention time.Duration `json:"Kept"`
}

// Transport sends messages to replicas.
type Transport interface {
	Begin(ctx context.Context, address string, m *Begin) (*Reply, error)
	// Await returns once the execution of a key has ended, or when ctx ends.
	Await(ctx context.Context, address string, id ID) (*Reply, error)
	Finish(ctx context.Context, address string, m *Finish) error
	// Import records transferred keys at a replica.
	Import(ctx context.Context, address string, transfers []Transfer) error
}
