// Package advisory holds what a daemon must still know after its process has ended:
// which instances have withdrawn, and which requests crashed backend servers.
// Advisories spread to all daemons by gossip, and the daemon that issued one stores it
// with its discovery entry. A restarted daemon gets them back from either.
package advisory

import "time"

// Kind is what an advisory says.
type Kind uint8

const (
	// Withdrawn means that the instance named by Subject has withdrawn; Number is the
	// latest start, in Unix milliseconds, to which that applies.
	Withdrawn Kind = iota + 1
	// Crashed means that the request with the fingerprint Number was running during
	// the crash named by Subject.
	Crashed
	// Cleared means that the request with the fingerprint Number ended well after a
	// crash; Subject is empty.
	Cleared
)

// Lifetime is how long an advisory is kept after it was issued.
const Lifetime = 5 * time.Minute

const (
	// MaxAdvisories bounds the advisories that a daemon holds.
	MaxAdvisories = 2048
	// MaxSubjectLength bounds Subject, in bytes.
	MaxSubjectLength = 256
)

// storeDelays are the times after which an issued advisory is stored. A request that
// was running during one crash is mostly cleared by a repeat before that; the second
// crash, after which it is refused, is stored at once.
var storeDelays = map[Kind]time.Duration{Crashed: time.Second}

// Advisory is one fact. Equal advisories are the same fact.
type Advisory struct {
	Kind    Kind
	Subject string
	Number  uint64
}

// Valid reports whether a received advisory is of a known kind and within the limits.
func (a Advisory) Valid() bool {
	return a.Kind >= Withdrawn && a.Kind <= Cleared && len(a.Subject) <= MaxSubjectLength
}

// Aged is an advisory with the time since it was issued. It is sent with its age since
// the clocks of two daemons cannot be compared.
type Aged struct {
	Advisory
	Age time.Duration
}
