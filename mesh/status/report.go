package status

import (
	"context"
	"errors"

	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/stop"
)

// Report carries counts from a daemon to its parent in a shard's tree.
type Report struct {
	From  member.ServerID
	Shard int
	// Classes are the counts since the last report.
	Classes Classes
	// Presence covers the sender and all daemons that report to it; only
	// reports of shard 0 carry it.
	Presence *Presence
}

// Reply is the reply to a report; it carries the planned stops down the tree.
type Reply struct{ Stops *stop.List }

// ParentClient sends reports to other daemons.
type ParentClient interface {
	Report(ctx context.Context, address string, r *Report) (*Reply, error)
}

// Store holds summaries and planned stops.
type Store interface {
	// Summary returns a summary and its revision; nil and 0 if there is none.
	Summary(ctx context.Context, domain string, shard int) (*Summary, uint64, error)
	// SaveSummary replaces a summary if its revision is still expect, and
	// returns the new revision.
	SaveSummary(ctx context.Context, s *Summary, expect uint64) (uint64, error)
	// Stops returns the planned stops.
	Stops(ctx context.Context) (*stop.List, error)
}

// errNotChild is returned for a report from a daemon that precedes this one in
// the shard's tree.
var errNotChild = errors.New("the sender precedes this daemon in the shard's tree of reports")
