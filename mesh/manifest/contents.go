package manifest

import (
	"slices"

	"fescuehoist.example/mesh/target"
)

// maxSpareClasses bounds the classes of the bodies that are kept although no
// service of the known version refers to them, as bases of patches for peers
// that are behind.
const maxSpareClasses = 8192

// replacedRefs returns, for each change, the references that it replaces. The
// first one applies to a table; one that the table lacks was added.
func replacedRefs(before *Table, changes []Change) [][]Ref {
	all := make([][]Ref, len(changes))
	now := map[string]target.Digest{}
	for i := range changes {
		for _, r := range changes[i].Updated {
			d, known := now[r.Service]
			if !known {
				d, known = before.Lookup(r.Service)
			}
			if known {
				all[i] = append(all[i], Ref{Service: r.Service, Digest: d})
			}
			now[r.Service] = r.Digest
		}
	}
	return all
}

// replacedBy returns the references of one table that a later one lacks.
func replacedBy(from, to *Table) []Ref {
	var refs []Ref
	for _, r := range from.Refs {
		if d, ok := to.Lookup(r.Service); !ok || d != r.Digest {
			refs = append(refs, r)
		}
	}
	return refs
}

// add takes up contents and drops the oldest ones that were replaced.
func (l *Store) add(fresh map[target.Digest]*content) {
	for d, c := range fresh {
		l.contents[d] = c
	}
	kept, classes := len(l.spare), 0
	for ; kept > 0; kept-- {
		if classes += l.classesOf(l.spare[kept-1].Digest); classes > maxSpareClasses {
			break
		}
	}
	for _, r := range l.spare[:kept] {
		if d, ok := l.known.Lookup(r.Service); !ok || d != r.Digest {
			delete(l.contents, r.Digest)
		}
	}
	l.spare = slices.Delete(l.spare, 0, kept)
}

// classesOf returns the number of classes of a content, at least 1.
func (l *Store) classesOf(d target.Digest) int {
	c := l.contents[d]
	if c == nil || c.body.Service == nil {
		return 1
	}
	return max(len(c.body.Service.Classes), 1)
}
