// Package collect adds up what the daemons count, and carries decisions about the sums
// back. Each daemon reports to the collector of its failure domain, which reports the sum to
// the collector of the fleet.
package collect

import (
	"time"

	"fescuehoist.example/mesh/allowance"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/rollout"
)

// Report is what one daemon, or the daemons of one failure domain, have counted. All counts
// are absolute, so a report that is lost, repeated or late does no harm.
type Report struct {
	From member.ServerID
	// Daemons is the number of daemons whose counts the report holds.
	Daemons  int
	Accounts []allowance.Count
	Releases []rollout.Count
}

// Reply answers a report with the latest decisions.
type Reply struct {
	// Daemons is the number of daemons whose counts the decisions rest on.
	Daemons int
	// Version is the configuration version that the sender knew to be the newest
	// VerificationAge ago; 0 if it knew none.
	Version         manifest.Version
	VerificationAge time.Duration
	Limits          []allowance.Limit
	Directions      []rollout.Direction
}
