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

// FailureQuorum is the number of daemons whose agreement turns suspicion into
// failure.
const FailureQuorum = 2

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
	Slots int
	// Instance is the backend server's own name for its current start; empty
	// if it has none.
	Instance string
	// StoreUnreachable says that the daemon cannot reach the platform.
	StoreUnreachable bool
	// LinkMbps is the bandwidth of the host's network link in Mbit/s; 0 if unknown.
	LinkMbps int
	Health   Health
	// SuspectedBy suspect the server, sorted; fewer than AccusersToFail.
	SuspectedBy []ServerID
}

// Terminal reports whether the record's daemon is gone.
func (r *Record) Terminal() bool { return r.State == Left || r.Health == Failed }

// Routable reports whether new calls may go to the backend server.
func (r *Record) Routable() bool {
	return r.State == Ready && r.Health != Failed && r.Service != ""
}

// Version returns the version of the record.
func (r *Record) Version() Version {
	return Version{
		Server: r.Server, Incarnation: r.Incarnation, Sequence: r.Sequence,
		Health: r.Health, Accusers: r.SuspectedBy, Terminal: r.Terminal(),
	}
}

// Version tells records of the same server apart without their content.
type Version struct {
	Server                ServerID
	Incarnation, Sequence uint64
	Health                Health
	Accusers              []ServerID
	// Terminal says that the record's daemon is gone.
	Terminal bool
}

// Covers reports whether merging a record of version w into one of version v
// would change nothing.
func (v *Version) Covers(w *Version) bool {
	if v.Incarnation != w.Incarnation {
		return v.Incarnation > w.Incarnation
	}
	if v.Sequence < w.Sequence || v.Health < w.Health {
		return false
	}
	if v.Health != Suspected || w.Health != Suspected {
		return true
	}
	return !slices.ContainsFunc(w.Accusers, func(a ServerID) bool { return !slices.Contains(v.Accusers, a) })
}

// merge returns the join of two records of the same server and whether it
// differs from have. Of two incarnations the higher one counts. Within one,
// the owner's part is that of the higher sequence, the health is the higher
// one, and accusers are united. The join is commutative, associative and
// idempotent.
func merge(have, got *Record) (*Record, bool) {
	old, fresh := have.Version(), got.Version()
	if old.Covers(&fresh) {
		return have, false
	}
	if got.Incarnation > have.Incarnation {
		return settled(got), true
	}
	joined := *have
	if got.Sequence > have.Sequence {
		joined = *got
	}
	joined.Health = max(have.Health, got.Health)
	joined.SuspectedBy = unite(have.SuspectedBy, got.SuspectedBy)
	return settled(&joined), true
}

// settled returns a record in its normal form: a suspicion shared by enough
// accusers is a failure, and only suspected records have accusers.
func settled(r *Record) *Record {
	if r.Health == Suspected && len(r.SuspectedBy) < FailureQuorum {
		return r
	}
	normal := *r
	if r.Health == Suspected {
		normal.Health = Failed
	}
	normal.SuspectedBy = nil
	return &normal
}

func unite(a, b []ServerID) []ServerID {
	all := append(slices.Clone(a), b...)
	slices.Sort(all)
	return slices.Compact(all)
}
