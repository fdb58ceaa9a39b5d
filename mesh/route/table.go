// Package route builds routes from one configuration version and one view of
// the backend servers, and chooses a backend server for each call.
package route

import (
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/target"
)

// Table is an immutable set of routes. It names only services of its version
// and backend servers of its view.
type Table struct {
	version  manifest.Version
	services map[string]*Service
}

// Service is the route of one service.
type Service struct {
	Config *target.Service
	// Servers lists the backend servers that take new calls.
	Servers []*member.Record
}

// Build returns the routes of a snapshot and a view.
func Build(snapshot *manifest.Snapshot, view *member.View) *Table {
	t := &Table{version: snapshot.Version(), services: make(map[string]*Service, snapshot.Len())}
	snapshot.Each(func(config *target.Service) {
		s := &Service{Config: config}
		for _, r := range view.Service(config.Name) {
			if r.Routable() {
				s.Servers = append(s.Servers, r)
			}
		}
		t.services[config.Name] = s
	})
	return t
}

// Version returns the configuration version of the routes.
func (t *Table) Version() manifest.Version { return t.version }

// Service returns the route of a service, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }
