// Package route builds routes from one configuration version and one view of
// the backend servers, and chooses a backend server for each call.
package route

import (
	"time"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/rollout"
	"fescuehoist.example/mesh/target"
)

// Table is an immutable set of routes. It refers only to services of its
// configuration version and to backend servers of its view.
type Table struct {
	snapshot *manifest.Snapshot
	services map[string]*Service
	// directions is nil if there are no rollouts.
	directions *rollout.Directions
	// held means that some service holds back a release.
	held bool
}

// Service is the route of one service.
type Service struct {
	// Config is nil for a service that occurs only as a part of other services'
	// classes.
	Config *target.Service
	// Index finds the class of a call; it is nil if Config is.
	Index *target.Index
	// Servers lists the backend servers that accept new calls.
	Servers []*member.Record
	// records are the records of the view from which Servers was selected.
	records []*member.Record
	// split divides the servers by release; nil without an order for the service.
	split *split
	// appeared holds when each release was first seen in the service. held means that a
	// release is left out of Servers until it is known whether there is an order for it.
	appeared map[string]time.Duration
	held     bool
}

// next returns the routing table for a snapshot and a view. Services whose
// configuration and records are unchanged are shared with t.
func (t *Table) next(snapshot *manifest.Snapshot, view *member.View, directions *rollout.Directions) *Table {
	table := &Table{snapshot: snapshot, services: make(map[string]*Service, snapshot.Len()), directions: directions}
	snapshot.Each(func(config *target.Service) {
		table.add(config.Name, t, view)
	})
	snapshot.Each(func(config *target.Service) {
		for i := range config.Classes {
			for _, part := range config.Classes[i].Parts {
				if table.services[part.Service] == nil {
					table.add(part.Service, t, view)
				}
			}
		}
	})
	return table
}

// add adds the route of a service: that of the previous table if configuration, records
// and direction are unchanged, else a new one.
func (t *Table) add(name string, previous *Table, view *member.View) {
	config, records := t.snapshot.Service(name), view.Service(name)
	s := previous.services[name]
	if s == nil || s.held || s.Config != config || !sameSlice(s.records, records) || s.active() != t.activeFor(name) {
		s = newService(config, t.snapshot.Index(name), records, t.activeFor(name), s, t.directions)
	}
	t.services[name] = s
	t.held = t.held || s.held
}

func (t *Table) activeFor(service string) *rollout.Active {
	if t.directions == nil {
		return nil
	}
	return t.directions.Of(service)
}

func newService(config *target.Service, index *target.Index, records []*member.Record, active *rollout.Active, previous *Service, directions *rollout.Directions) *Service {
	s := &Service{Config: config, Index: index, records: records}
	for _, r := range records {
		if r.Routable() {
			s.Servers = append(s.Servers, r)
		}
	}
	if active != nil {
		s.split = newSplit(active, s.Servers)
	}
	if directions != nil {
		s.holdBack(previous, directions)
	}
	return s
}

// sameSlice reports whether a and b share the same backing array and length.
func sameSlice(a, b []*member.Record) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// Version returns the configuration version of the routes.
func (t *Table) Version() manifest.Version { return t.snapshot.Version() }

// Accounts returns the directory of the client accounts.
func (t *Table) Accounts() *target.Accounts { return t.snapshot.Accounts() }

// Refused reports whether the configuration version has a service of this name whose
// content is not valid, so that its classes are unknown.
func (t *Table) Refused(service string) bool { return t.snapshot.Refused(service) }

// Service returns the route of a service, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }
