// Package member holds the records of all backend servers: their states, the
// order in which records replace each other, and the views built from them.
package member

import "slices"

// ServerID names a backend server and the daemon beside it.
type ServerID string

// State is what the owner of a record says of its backend server.
type State uint8

// States in the order in which a backend server passes through them.
const (
	// Starting servers take no calls yet.
	Starting State = iota
	// Ready servers take calls.
	Ready
	// Draining servers finish their calls and take no new ones.
	Draining
	// Left servers have stopped as planned.
	Left
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Starting:
		return "starting"
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Left:
		return "left"
	}
	return "unknown"
}

// Health is what other daemons say of a record's daemon.
type Health uint8

// Health levels; a higher one replaces a lower one of the same incarnation.
const (
	Alive Health = iota
	Suspected
	Failed
)

// String returns the level's name.
func (h Health) String() string {
	switch h {
	case Alive:
		return "alive"
	case Suspected:
		return "suspected"
	case Failed:
		return "failed"
	}
	return "unknown"
}

// AccusersToFail is the number of daemons whose agreement turns suspicion into
// failure.
const AccusersToFail = 2

// Record describes one backend server. Its owner is the daemon beside it; only
// Health and Accusers are written by others.
type Record struct {
	Server ServerID
	// Incarnation grows at each start of the daemon and when it refutes an
	// accusation; Sequence grows at each other change by the owner.
	Incarnation, Sequence uint64
	State                 State
	Service               string
	// Domain is the failure domain.
	Domain string
	// CallAddress takes calls from other daemons, PeerAddress their streams.
	CallAddress, PeerAddress string
	// Slots is the number of calls that the backend server runs at once.
	Slots    int
	Health   Health
	Accusers []ServerID
}

// Terminal reports whether the record's daemon is gone.
func (r *Record) Terminal() bool { return r.State == Left || r.Health == Failed }

// Routable reports whether new calls may go to the backend server.
func (r *Record) Routable() bool {
	return r.State == Ready && r.Health != Failed && r.Service != ""
}

// Supersedes reports whether r replaces other, a record of the same server.
// The order is total over incarnation, health and sequence; accusers are
// united separately.
func (r *Record) Supersedes(other *Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	if r.Health != other.Health {
		return r.Health > other.Health
	}
	return r.Sequence > other.Sequence
}

// merge returns the union of two records of the same server and whether it
// differs from have. It is commutative, associative and idempotent.
func merge(have, got *Record) (*Record, bool) {
	winner := have
	if got.Supersedes(have) {
		winner = got
	}
	if have.Incarnation != got.Incarnation || have.Health != Suspected || got.Health != Suspected {
		return winner, winner != have
	}
	accusers := unite(have.Accusers, got.Accusers)
	if len(accusers) == len(have.Accusers) && winner == have {
		return have, false
	}
	united := *winner
	united.Accusers = accusers
	return settled(&united), true
}

// settled turns a suspicion shared by enough accusers into a failure.
func settled(r *Record) *Record {
	if r.Health != Suspected || len(r.Accusers) < AccusersToFail {
		return r
	}
	failed := *r
	failed.Health = Failed
	failed.Accusers = nil
	return &failed
}

func unite(a, b []ServerID) []ServerID {
	all := append(slices.Clone(a), b...)
	slices.Sort(all)
	return slices.Compact(all)
}
