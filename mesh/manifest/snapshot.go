package manifest

import "fescuehoist.example/mesh/target"

// Snapshot is the validated, immutable configuration of one version.
type Snapshot struct {
	version  Version
	services map[string]*content
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

// buildSnapshot returns the snapshot of a table, or the refusal with all
// problems of its contents.
func buildSnapshot(table *Table, editID string, contents map[target.Digest]*content) (*Snapshot, *Refusal) {
	s := &Snapshot{version: table.Version, services: make(map[string]*content, len(table.Refs))}
	var problems []target.Problem
	for i := range table.Refs {
		ref := &table.Refs[i]
		c := contents[ref.Digest]
		if ps := c.problemsFor(ref.Service); len(ps) > 0 {
			problems = append(problems, ps...)
			continue
		}
		s.services[ref.Service] = c
	}
	if len(problems) > 0 {
		return nil, &Refusal{Version: table.Version, EditID: editID, Problems: problems}
	}
	return s, nil
}
