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
	// Sum means that the report holds the counts of a failure domain.
	Sum bool
	// Daemons is the number of daemons whose counts the report holds.
	Daemons int
	// Present is the number of them that have counted in each slice of the window.
	Present allowance.Series
	// Whole means that Accounts holds all accounts with recent requests; if not, it holds
	// those with requests since the previous report.
	Whole    bool
	Accounts []allowance.Count
	Releases []rollout.Count
}

// Reply answers a report with the latest decisions.
type Reply struct {
	// Undecided means that the sender has not heard of enough daemons yet to decide: the
	// earlier decisions stay until they are too old.
	Undecided bool
	// Fleet means that the decisions are those of the fleet's collector. If not, they
	// are for the part of the sender's failure domain, without directions.
	Fleet bool
	// Daemons is the number of daemons whose counts the decisions rest on.
	Daemons int
	// Version is the configuration version that the sender knew to be the newest
	// VerificationAge ago. It counts only if Verified is set.
	Verified        bool
	Version         manifest.Version
	VerificationAge time.Duration
	Limits          []allowance.Limit
	Directions      []rollout.Direction
}
