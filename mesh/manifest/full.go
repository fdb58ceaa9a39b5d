package manifest

import (
	"fmt"
	"slices"
	"strings"

	"fescuehoist.example/mesh/target"
)

// ApplyFull applies a complete configuration whose version number was assigned
// by another system, as a change from the known version. It reports whether the
// version is above the known one. Services that no daemon can name are left out, and
// recorded as a rejection.
func (s *Store) ApplyFull(v Version, services []target.Service) (bool, error) {
	services, problems := namedServices(services)
	changed, err := s.applyFull(v, services)
	if changed && err == nil && len(problems) > 0 {
		s.SetRejection(&Refusal{Version: v, Problems: problems, InPart: true})
	}
	return changed, err
}

// namedServices returns the services with a valid name, each name once, and the problems
// of the others.
func namedServices(services []target.Service) ([]target.Service, []target.Problem) {
	var problems []target.Problem
	named := make([]target.Service, 0, len(services))
	seen := make(map[string]bool, len(services))
	for i := range services {
		switch name := services[i].Name; {
		case !target.ValidHost(name):
			problems = append(problems, target.Problem{Service: fmt.Sprintf("%.80s", name), Field: "name", Text: "not a name of a host or service"})
		case seen[name]:
			problems = append(problems, target.Problem{Service: name, Field: "name", Text: "declared twice; the first declaration counts"})
		default:
			seen[name] = true
			named = append(named, services[i])
		}
	}
	return named, problems
}

func (s *Store) applyFull(v Version, services []target.Service) (bool, error) {
	bodies := make([]Body, len(services))
	next := &Table{Version: v, Refs: make([]Ref, len(services))}
	for i := range services {
		service := &services[i]
		bodies[i] = Body{Digest: service.Digest(), Service: service}
		next.Refs[i] = Ref{Service: service.Name, Digest: bodies[i].Digest}
	}
	slices.SortFunc(next.Refs, func(a, b Ref) int { return strings.Compare(a.Service, b.Service) })
	known := s.Table()
	if v <= known.Version {
		return false, nil
	}
	if known.Version == 0 {
		return s.ApplyUpdate(&Update{Base: next, Bodies: bodies})
	}
	c := changeBetween(known, next)
	c.EditID = fmt.Sprintf("version-%d", v)
	return s.ApplyUpdate(&Update{Changes: []Change{c}, Bodies: s.missingBodies(bodies)})
}

// missingBodies returns the bodies that are not stored yet. It modifies the
// slice.
func (s *Store) missingBodies(bodies []Body) []Body {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(bodies, func(b Body) bool { return s.contents[b.Digest] != nil })
}

// changeBetween returns the change that turns one table into a later one.
func changeBetween(from, to *Table) Change {
	c := Change{Version: to.Version, Previous: from.Version, Table: to.Digest()}
	for _, r := range to.Refs {
		if d, ok := from.Lookup(r.Service); !ok || d != r.Digest {
			c.Updated = append(c.Updated, r)
		}
	}
	for _, r := range from.Refs {
		if _, ok := to.Lookup(r.Service); !ok {
			c.Removed = append(c.Removed, r.Service)
		}
	}
	return c
}
