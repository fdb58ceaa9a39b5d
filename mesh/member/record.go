// Package member holds the records of all backend servers: their states, the
// order in which records supersede each other, and the views built from them.
package member

import "slices"

// ServerID names a backend server and the daemon beside it.
type ServerID string

// State is the state that the owner of a record reports for its backend server.
type State uint8

// States in the order in which a backend server passes through them.
const (
	// Starting servers do not accept calls yet.
	Starting State = iota
	// Ready servers accept calls.
	Ready
	// Draining servers finish their calls and accept no new ones.
	Draining
	// Left servers have stopped as planned.
	Left
)

// String returns the state's name, or "unknown".
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

// Health is the state that other daemons report for a record's daemon.
type Health uint8

// Health levels; a higher one supersedes a lower one of the same incarnation.
const (
	Alive Health = iota
	Suspected
	Failed
)

// String returns the level's name, or "unknown".
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

// FailureQuorum is the number of daemons that must suspect a server for it to
// be failed.
const FailureQuorum = 2

// Record describes one backend server. Its owner is the daemon beside it; other
// daemons write only Health and SuspectedBy.
type Record struct {
	Server ServerID
	// Incarnation grows at each start of the daemon and when it refutes a
	// suspicion or failure; Sequence grows at each other change by the owner.
	Incarnation, Sequence uint64
	State                 State
	Service               string
	// Domain is the failure domain.
	Domain string
	// CallAddress accepts calls from other daemons, PeerAddress their gossip
	// streams.
	CallAddress, PeerAddress string
	// Slots is the number of calls that the backend server runs at once.
	Slots int
	// Instance is the ID that the backend server gives its current start; empty
	// if it gives none.
	Instance string
	// Release is the version of the backend server's software; empty if it names none.
	Release string
	// StoreUnreachable means that the daemon cannot read the platform's store.
	StoreUnreachable bool
	// LinkMbps is the bandwidth of the host's network link in Mbit/s; 0 if
	// unknown.
	LinkMbps int
	Health   Health
	// SuspectedBy lists the daemons that suspect the server, sorted; fewer than
	// FailureQuorum.
	SuspectedBy []ServerID
}

// Terminal reports whether the server has left or its daemon has failed.
func (r *Record) Terminal() bool { return r.State == Left || r.Health == Failed }

// Routable reports whether new calls may be routed to the backend server.
func (r *Record) Routable() bool {
	return r.State == Ready && r.Health != Failed && r.Service != ""
}

// Version returns the version of the record.
func (r *Record) Version() Version {
	return Version{
		Server: r.Server, Incarnation: r.Incarnation, Sequence: r.Sequence,
		Health: r.Health, SuspectedBy: r.SuspectedBy, Terminal: r.Terminal(),
	}
}

// Version orders records of the same server without their content.
type Version struct {
	Server                ServerID
	Incarnation, Sequence uint64
	Health                Health
	SuspectedBy           []ServerID
	// Terminal means that the server has left or its daemon has failed.
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
	return !slices.ContainsFunc(w.SuspectedBy, func(a ServerID) bool { return !slices.Contains(v.SuspectedBy, a) })
}

// merge returns the join of two records of the same server and whether it differs
// from current. The higher incarnation wins. Within one incarnation, the owner's
// fields are those of the higher sequence, the health is the higher one, and the
// suspecting daemons are united. The join is commutative, associative and
// idempotent.
func merge(current, incoming *Record) (*Record, bool) {
	currentVersion, incomingVersion := current.Version(), incoming.Version()
	if currentVersion.Covers(&incomingVersion) {
		return current, false
	}
	if incoming.Incarnation > current.Incarnation {
		return normalize(incoming), true
	}
	joined := *current
	if incoming.Sequence > current.Sequence {
		joined = *incoming
	}
	joined.Health = max(current.Health, incoming.Health)
	joined.SuspectedBy = union(current.SuspectedBy, incoming.SuspectedBy)
	return normalize(&joined), true
}

// normalize returns a record in its normal form: a server suspected by at least
// FailureQuorum daemons is failed, and only suspected records have SuspectedBy.
func normalize(r *Record) *Record {
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

func union(a, b []ServerID) []ServerID {
	all := append(slices.Clone(a), b...)
	slices.Sort(all)
	return slices.Compact(all)
}
