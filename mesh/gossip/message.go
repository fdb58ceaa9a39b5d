// Package gossip carries records and configuration between daemons: one task
// for each peer, which greets, exchanges and watches the peer's liveness.
//
// News goes whole along a tree of eager streams. Lazy streams carry only its
// versions; a daemon that hears of a version and does not get the content soon
// pulls it, which makes that stream eager. Comparisons of whole tables repair
// what was lost.
package gossip

import (
	"context"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
)

// Message is what peers send each other.
type Message interface{ message() }

// Hello is the first message in each direction.
type Hello struct {
	From member.ServerID
	// Mesh names the mesh that the sender belongs to.
	Mesh    string
	Version manifest.Version
}

// Heartbeat says that the sender lives and which version it knows.
type Heartbeat struct{ Version manifest.Version }

// Records carries records that the receiver may lack.
type Records struct {
	Records []member.Record
	// FromAntiEntropy says that a comparison found them: they may be old.
	FromAntiEntropy bool
}

// Configuration carries versions that the receiver lacks.
type Configuration struct{ Update *manifest.Update }

// Have lists versions of records that the sender has news of.
type Have struct{ Versions []member.Version }

// Pull asks for records and, if Configure is set, for configuration after
// Version.
type Pull struct {
	Servers   []member.ServerID
	Configure bool
	Version   manifest.Version
	// Graft asks the receiver to send news whole from now on.
	Graft bool
}

// Prune asks the receiver to send only versions of news from now on.
type Prune struct{}

// Root starts a comparison. The receiver answers with its Hashes if the roots
// differ, else with Done, and with the configuration that the sender lacks.
type Root struct {
	Hash    uint64
	Version manifest.Version
}

// Hashes holds the hash of every bucket of the sender's table.
type Hashes struct{ Hashes [member.NumBuckets]uint64 }

// Buckets lists the sender's versions in the buckets that differ. The receiver
// answers with Records, a Pull and Done.
type Buckets struct{ Buckets []member.BucketVersions }

// Done ends a comparison.
type Done struct {
	// Busy says that the sender is in too many comparisons to answer.
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
