// Package route builds routes from one configuration version and one view of
// the backend servers, and chooses a backend server for each call.
package route

import (
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/target"
)

// Table is an immutable set of routes. It refers only to services of its
// configuration version and to backend servers of its view.
type Table struct {
	snapshot *manifest.Snapshot
	services map[string]*Service
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
}

// next returns the routing table for a snapshot and a view. Services whose
// configuration and records are unchanged are shared with t.
func (t *Table) next(snapshot *manifest.Snapshot, view *member.View) *Table {
	table := &Table{snapshot: snapshot, services: make(map[string]*Service, snapshot.Len())}
	snapshot.Each(func(config *target.Service) {
		table.services[config.Name] = t.reuse(config.Name, snapshot, view)
	})
	snapshot.Each(func(config *target.Service) {
		for i := range config.Classes {
			for _, part := range config.Classes[i].Parts {
				if table.services[part.Service] == nil {
					table.services[part.Service] = t.reuse(part.Service, snapshot, view)
				}
			}
		}
	})
	return table
}

// reuse returns the route of a service: that of t if configuration and records
// are unchanged, else a new one.
func (t *Table) reuse(name string, snapshot *manifest.Snapshot, view *member.View) *Service {
	config, records := snapshot.Service(name), view.Service(name)
	s := t.services[name]
	if s == nil || s.Config != config || !sameSlice(s.records, records) {
		return newService(config, snapshot.Index(name), records)
	}
	return s
}

func newService(config *target.Service, index *target.Index, records []*member.Record) *Service {
	s := &Service{Config: config, Index: index, records: records}
	for _, r := range records {
		if r.Routable() {
			s.Servers = append(s.Servers, r)
		}
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
