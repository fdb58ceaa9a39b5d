package daemon

import (
	"time"

	"fescuehoist.example/mesh/link"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
)

// State is the read-only state of a daemon that its admin address serves.
type State struct {
	Server  string           `json:"server"`
	Domain  string           `json:"domain"`
	State   string           `json:"state"`
	InForce manifest.Version `json:"version_in_force"`
	Known   manifest.Version `json:"version_known"`
	// Refused is the reason why the known version is not in force; empty if it is.
	Refused string   `json:"refused,omitempty"`
	Peers   int      `json:"peers"`
	Members []Member `json:"members"`
	Running int      `json:"calls_running"`
	Queued  int      `json:"calls_queued"`
	Limit   int      `json:"calls_limit"`
	// Link counts the large request bodies that come to this host, and is zero if the
	// bandwidth of its link is unknown.
	Link link.Counts `json:"link"`
	// Idle is true if the backend server accepts no calls and runs none.
	Idle bool `json:"idle"`
	// Stops are the planned stops that the daemon knows.
	Stops []Stop `json:"stops"`
	// Collection is nil while nothing is collected.
	Collection *Collection `json:"collection,omitempty"`
	// Rollouts is nil if the daemon follows no rollouts.
	Rollouts *Rollouts `json:"rollouts,omitempty"`
	// PlatformCalls, ControlSent and ControlReceived (bytes) count from the
	// daemon's start.
	PlatformCalls   uint64 `json:"platform_calls"`
	ControlSent     uint64 `json:"control_bytes_sent"`
	ControlReceived uint64 `json:"control_bytes_received"`
}

// Stop is a planned stop of this daemon's or another backend server.
type Stop struct {
	ID    string    `json:"id"`
	From  time.Time `json:"from"`
	Until time.Time `json:"until"`
	// Own is true if the stop covers this daemon's backend server.
	Own bool `json:"own"`
}

// Member is one backend server as the daemon sees it.
type Member struct {
	Server      string `json:"server"`
	Service     string `json:"service"`
	Domain      string `json:"domain"`
	State       string `json:"state"`
	Health      string `json:"health"`
	Incarnation uint64 `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
}

// State returns the daemon's current state.
func (d *Daemon) State() State {
	load := d.gate.Load()
	s := State{
		Server: d.cfg.Settings.Server, Domain: d.cfg.Settings.Domain,
		State:   d.announcer.State().String(),
		InForce: d.configs.Snapshot().Version(), Known: d.configs.KnownVersion(),
		Peers: d.node.PeerCount(), Running: load.Running, Queued: load.Queued, Limit: load.Limit, Link: d.link.Counts(), Idle: d.gate.Idle(),
		Collection: d.collection.state(), Rollouts: d.rollouts.state(),
		PlatformCalls: d.platformAdapter.platformCalls(), ControlSent: d.traffic.Sent(), ControlReceived: d.traffic.Received(),
	}
	for _, planned := range d.stops.List().Stops {
		own := planned.Covers(member.ServerID(s.Server), s.Domain)
		s.Stops = append(s.Stops, Stop{ID: planned.ID, From: planned.From, Until: planned.Until, Own: own})
	}
	if r := d.configs.Refusal(); r != nil {
		s.Refused = r.Error()
	}
	for _, r := range d.members.View().All() {
		s.Members = append(s.Members, Member{
			Server: string(r.Server), Service: r.Service, Domain: r.Domain,
			State: r.State.String(), Health: r.Health.String(),
			Incarnation: r.Incarnation, Sequence: r.Sequence,
		})
	}
	return s
}
