package manifest

import "fescuehoist.example/mesh/target"

// Snapshot is the validated, immutable configuration of one version.
type Snapshot struct {
	version  Version
	services map[string]*content
	// refused holds the services of the version that have no valid content.
	refused map[string]bool
}

// Version returns the version of the snapshot.
func (s *Snapshot) Version() Version { return s.version }

// Service returns the configuration of the named service, or nil.
func (s *Snapshot) Service(name string) *target.Service {
	if c := s.services[name]; c != nil {
		return c.body.Service
	}
	return nil
}

// Len returns the number of services.
func (s *Snapshot) Len() int { return len(s.services) }

// Index returns the index of the named service's classes, or nil.
func (s *Snapshot) Index(name string) *target.Index {
	if c := s.services[name]; c != nil {
		return c.index
	}
	return nil
}

// Each calls f for every service, in no particular order.
func (s *Snapshot) Each(f func(*target.Service)) {
	for _, c := range s.services {
		f(c.body.Service)
	}
}

// Refused reports whether the version has a service for which there is no valid content.
func (s *Snapshot) Refused(service string) bool { return s.refused[service] }

// buildSnapshot returns the snapshot of a table and the refusal with all problems of its
// contents, or nil if there are none. Services with problems keep their content in the
// snapshot kept; if that is nil, there is no snapshot of a version with problems.
func buildSnapshot(table *Table, editID string, contents map[target.Digest]*content, kept *Snapshot) (*Snapshot, *Refusal) {
	s := &Snapshot{version: table.Version, services: make(map[string]*content, len(table.Refs)), refused: map[string]bool{}}
	var problems []target.Problem
	for i := range table.Refs {
		ref := &table.Refs[i]
		c := contents[ref.Digest]
		if ps := c.problemsFor(ref.Service); len(ps) > 0 {
			problems = append(problems, ps...)
			s.keep(ref.Service, kept)
			continue
		}
		s.services[ref.Service] = c
	}
	if len(problems) == 0 {
		return s, nil
	}
	refusal := &Refusal{Version: table.Version, EditID: editID, Problems: problems, InPart: kept != nil}
	if kept == nil {
		s = nil
	}
	return s, refusal
}

// keep takes over the content of a service from an earlier snapshot, if that has one.
func (s *Snapshot) keep(service string, earlier *Snapshot) {
	if earlier != nil && earlier.services[service] != nil {
		s.services[service] = earlier.services[service]
		return
	}
	s.refused[service] = true
}
