package manifest

import (
	"fmt"
	"slices"
	"strings"

	"fescuehoist.example/mesh/target"
)

// ApplyFull takes up a whole configuration whose version number was given
// elsewhere, as the change that leads to it from the known version. It reports
// whether the version is above the known one.
func (l *Store) ApplyFull(v Version, services []target.Service) (bool, error) {
	bodies := make([]Body, len(services))
	next := &Table{Version: v, Refs: make([]Ref, len(services))}
	for i := range services {
		s := &services[i]
		bodies[i] = Body{Digest: s.Digest(), Service: s}
		next.Refs[i] = Ref{Service: s.Name, Digest: bodies[i].Digest}
	}
	slices.SortFunc(next.Refs, func(a, b Ref) int { return strings.Compare(a.Service, b.Service) })
	known := l.Table()
	if v <= known.Version {
		return false, nil
	}
	if known.Version == 0 {
		return l.ApplyUpdate(&Update{Base: next, Bodies: bodies})
	}
	c := difference(known, next)
	c.EditID = fmt.Sprintf("version-%d", v)
	return l.ApplyUpdate(&Update{Changes: []Change{c}, Bodies: l.lacking(bodies)})
}

// lacking returns the bodies that the log does not hold yet.
func (l *Store) lacking(bodies []Body) []Body {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(bodies, func(b Body) bool { return l.contents[b.Digest] != nil })
}

// difference returns the change that turns one table into a later one.
func difference(from, to *Table) Change {
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
