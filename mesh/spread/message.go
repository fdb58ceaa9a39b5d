// Package spread carries records and configuration between daemons: one task
// for each peer, which greets, exchanges and watches the peer's liveness.
package spread

import (
	"context"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
)

// Message is what peers send each other.
type Message interface{ message() }

// Hello is the first message in each direction. Sent later, it asks the peer to
// send configuration from Version on again.
type Hello struct {
	From    member.ServerID
	Version manifest.Version
}

// Heartbeat says that the sender lives and which version it knows.
type Heartbeat struct{ Version manifest.Version }

// Records carries records that the receiver may lack.
type Records struct{ Records []member.Record }

// Configuration carries versions that the receiver lacks.
type Configuration struct{ Update *manifest.Update }

// Hashes starts an exchange of records: the receiver answers with the records
// of the buckets that differ and asks for its own missing ones.
type Hashes struct {
	Hashes [member.Buckets]uint64
	// Reply says that the sender answers an earlier Hashes.
	Reply bool
}

func (*Hello) message()         {}
func (*Heartbeat) message()     {}
func (*Records) message()       {}
func (*Configuration) message() {}
func (*Hashes) message()        {}

// Link is an open stream to one peer. Send and Recv may be called from
// different goroutines. A closed link fails both.
type Link interface {
	Send(m Message) error
	Recv() (Message, error)
	Close()
}

// Dialer opens links.
type Dialer interface {
	Dial(ctx context.Context, address string) (Link, error)
}
