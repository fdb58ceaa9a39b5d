package status

import (
	"context"
	"errors"

	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/stop"
)

// Report carries counts from a daemon to the next one of the tree.
type Report struct {
	From  member.ServerID
	Shard int
	// Classes are the counts since the last report.
	Classes Classes
	// Presence is that of the sender and of all that report to it; only
	// reports of shard 0 carry it.
	Presence *Presence
}

// Reply answers a report with what every daemon has to know.
type Reply struct{ Stops *stop.List }

// ParentClient carries reports to other daemons.
type ParentClient interface {
	Report(ctx context.Context, address string, r *Report) (*Reply, error)
}

// Store keeps summaries and planned stops.
type Store interface {
	// Summary returns a summary and its revision; nil and 0 if there is none.
	Summary(ctx context.Context, domain string, shard int) (*Summary, uint64, error)
	// SaveSummary replaces a summary if its revision is still expect, and
	// returns the new revision.
	SaveSummary(ctx context.Context, s *Summary, expect uint64) (uint64, error)
	// Stops returns the planned stops.
	Stops(ctx context.Context) (*stop.List, error)
}

// errOrder says that a report came from a daemon that others report to.
var errOrder = errors.New("the sender comes first in the order of reports")
