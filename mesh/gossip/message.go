// Package gossip carries server records and configuration between daemons.
// Each peer has one task, which exchanges hellos and messages with it and
// detects when it stops responding.
//
// Updates are broadcast with Plumtree. Eager streams form a tree and carry full
// updates; lazy streams carry only their versions. A daemon that receives a
// version and not its content within GraftDelay pulls it, which makes that
// stream eager. Anti-entropy over whole tables repairs lost updates.
package gossip

import (
	"context"
	"time"

	"fescuehoist.example/mesh/advisory"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/revision"
)

// Message is a message between peers.
type Message interface{ message() }

// Hello is the first message in each direction.
type Hello struct {
	From member.ServerID
	// Mesh names the mesh that the sender belongs to.
	Mesh    string
	Version manifest.Version
	// Advisories means that the sender accepts advisories.
	Advisories bool
	// Domain is the sender's failure domain; daemons of earlier releases leave it empty.
	Domain string
}

// Advisories carries advisories that the receiver may be missing. The first one of a stream,
// and one in which they are complete, hold all of the sender's.
type Advisories struct {
	Advisories []advisory.Aged
	// Complete means that the sender has all advisories that were issued.
	Complete bool
}

// Heartbeat tells the receiver that the sender is alive and which version it
// knows.
type Heartbeat struct {
	Version manifest.Version
	// Confirmation is the latest confirmation by the source, or zero if the
	// receiver already has it.
	Confirmation Confirmation
}

// Confirmation is a manifest.Confirmation with its age in place of a time, since
// the clocks of two daemons cannot be compared.
type Confirmation struct {
	Number   uint64
	Revision revision.Revision
	Age      time.Duration
}

// Records carries records that the receiver may be missing.
type Records struct {
	Records []member.Record
	// FromAntiEntropy marks records found by anti-entropy, which may be old.
	FromAntiEntropy bool
}

// Configuration carries configuration versions that the receiver is missing.
type Configuration struct{ Update *manifest.Update }

// Have lists the versions of records for which the sender has updates.
type Have struct{ Versions []member.Version }

// Pull asks for records and, if Configure is set, for configuration after
// Version.
type Pull struct {
	Servers   []member.ServerID
	Configure bool
	Version   manifest.Version
	// Graft asks the receiver to send full updates from now on.
	Graft bool
}

// Prune asks the receiver to send only the versions of updates from now on.
type Prune struct{}

// Root starts anti-entropy. The receiver answers with Hashes if the root
// hashes differ, else with Done, and with any Configuration that the sender
// is missing.
type Root struct {
	Hash    uint64
	Version manifest.Version
}

// Hashes holds the hash of every bucket of the sender's table.
type Hashes struct{ Hashes [member.NumBuckets]uint64 }

// Buckets lists the sender's versions in the buckets that differ. The receiver
// answers with Records, a Pull and Done.
type Buckets struct{ Buckets []member.BucketVersions }

// Done ends an anti-entropy exchange.
type Done struct {
	// Busy means that the sender already answers MaxAntiEntropyResponses
	// exchanges.
	Busy bool
}

func (*Hello) message()         {}
func (*Heartbeat) message()     {}
func (*Records) message()       {}
func (*Configuration) message() {}
func (*Have) message()          {}
func (*Pull) message()          {}
func (*Prune) message()         {}
func (*Root) message()          {}
func (*Hashes) message()        {}
func (*Buckets) message()       {}
func (*Done) message()          {}
func (*Advisories) message()    {}

// Link is an open stream to one peer. Send and Recv may be called from
// different goroutines; both fail once the link is closed.
type Link interface {
	Send(m Message) error
	Recv() (Message, error)
	Close()
}

// Dialer opens links.
type Dialer interface {
	Dial(ctx context.Context, address string) (Link, error)
}
