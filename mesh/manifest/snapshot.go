package manifest

import "fescuehoist.example/mesh/target"

// Snapshot is the validated, immutable configuration of one version.
type Snapshot struct {
	version  Version
	services map[string]*target.Service
}

// Version returns the version of the snapshot.
func (s *Snapshot) Version() Version { return s.version }

// Service returns the configuration of the named service, or nil.
func (s *Snapshot) Service(name string) *target.Service { return s.services[name] }

// Len returns the number of services.
func (s *Snapshot) Len() int { return len(s.services) }

// Each calls f for every service, in no particular order.
func (s *Snapshot) Each(f func(*target.Service)) {
	for _, svc := range s.services {
		f(svc)
	}
}

// buildSnapshot returns the snapshot of a table, or the refusal with all
// problems of its contents.
func buildSnapshot(table *Table, editID string, contents map[target.Digest]*content) (*Snapshot, *Refusal) {
	s := &Snapshot{version: table.Version, services: make(map[string]*target.Service, len(table.Refs))}
	var problems []target.Problem
	for i := range table.Refs {
		ref := &table.Refs[i]
		c := contents[ref.Digest]
		if ps := c.problemsFor(ref.Service); len(ps) > 0 {
			problems = append(problems, ps...)
			continue
		}
		s.services[ref.Service] = c.body.Service
	}
	if len(problems) > 0 {
		return nil, &Refusal{Version: table.Version, EditID: editID, Problems: problems}
	}
	return s, nil
}
