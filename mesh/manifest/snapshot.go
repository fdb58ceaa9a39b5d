package manifest

import "fescuehoist.example/mesh/target"

// Snapshot is the checked, immutable configuration of one version.
type Snapshot struct {
	version  Version
	services map[string]*target.Service
}

// Version returns the version of the snapshot.
func (s *Snapshot) Version() Version { return s.version }

// Service returns the configuration of a service, or nil.
func (s *Snapshot) Service(name string) *target.Service { return s.services[name] }

// Len returns the number of services.
func (s *Snapshot) Len() int { return len(s.services) }

// Each calls f for every service, in no particular order.
func (s *Snapshot) Each(f func(*target.Service)) {
	for _, svc := range s.services {
		f(svc)
	}
}

// Body is the content of a service as it travels. Fault is set instead of
// Service when the platform's object is missing or unreadable, so that every
// daemon refuses the version for the same reason.
type Body struct {
	Digest  target.Digest
	Service *target.Service
	Fault   string
}

// check builds the snapshot of a table, or says why the table is refused.
// Bodies that prev already holds under the same digest are not checked again.
func check(table *Table, editID string, body func(target.Digest) *Body) (*Snapshot, *Refusal) {
	s := &Snapshot{version: table.Version, services: make(map[string]*target.Service, len(table.Refs))}
	var problems []target.Problem
	for _, ref := range table.Refs {
		b := body(ref.Digest)
		if ps := checkBody(ref, b); len(ps) > 0 {
			problems = append(problems, ps...)
			continue
		}
		s.services[ref.Service] = b.Service
	}
	if len(problems) > 0 {
		return nil, &Refusal{Version: table.Version, EditID: editID, Problems: problems}
	}
	return s, nil
}

func checkBody(ref Ref, b *Body) []target.Problem {
	switch {
	case b == nil:
		return []target.Problem{{Service: ref.Service, Text: "its body is missing"}}
	case b.Fault != "":
		return []target.Problem{{Service: ref.Service, Text: b.Fault}}
	case b.Service.Name != ref.Service:
		return []target.Problem{{Service: ref.Service, Text: "its body names service " + b.Service.Name}}
	}
	return b.Service.Validate()
}
