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
// recorded as a rejection together with the problems of what the caller has left out.
func (s *Store) ApplyFull(v Version, services []target.Service, accounts []target.Account, leftOut []target.Problem) (bool, error) {
	services, problems := namedServices(services)
	problems = append(problems, leftOut...)
	changed, err := s.applyFull(v, newBodies(services, accounts))
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
		case !target.UsableHost(name):
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

// newBodies returns the contents of services and accounts.
func newBodies(services []target.Service, accounts []target.Account) []Body {
	var bodies []Body
	for i := range services {
		bodies = append(bodies, Body{Digest: services[i].Digest(), Service: &services[i]})
	}
	for _, g := range target.GroupAccounts(accounts) {
		bodies = append(bodies, Body{Digest: g.Digest(), Accounts: &g})
	}
	return bodies
}

func (s *Store) applyFull(v Version, bodies []Body) (bool, error) {
	next := &Table{Version: v, Refs: make([]Ref, len(bodies))}
	for i := range bodies {
		next.Refs[i] = Ref{Service: bodies[i].name(), Digest: bodies[i].Digest}
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
