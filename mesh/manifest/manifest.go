// Package manifest orders configuration: versions, the changes between them,
// and the snapshot of one version that a daemon has in force.
package manifest

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"fescuehoist.example/mesh/target"
)

// Version numbers configurations; the platform's conditional update of the
// head is what makes the order total. 0 is the empty configuration.
type Version uint64

// Ref names the content that a service has in some version.
type Ref struct {
	Service string
	Digest  target.Digest
}

// Change is what one edit turned into one version.
type Change struct {
	// Version is the version that the change produced.
	Version Version
	// Previous is the version that the change follows; 0 means the one before
	// Version.
	Previous Version
	// EditID identifies the edit, chosen by the editor.
	EditID string
	// Author is the operator who made the edit.
	Author string
	// At is when the edit was made, by the editor's clock.
	At time.Time
	// Updated lists services that were added or changed.
	Updated []Ref
	// Removed lists services that were removed.
	Removed []string
	// Table is the digest of the table that the change produced. It tells a
	// history that forked apart from the one that a daemon knows.
	Table target.Digest
}

// Predecessor returns the version that the change applies to.
func (c *Change) Predecessor() Version {
	if c.Previous != 0 {
		return c.Previous
	}
	return c.Version - 1
}

// TableRef points at a stored table.
type TableRef struct {
	Version Version
	Digest  target.Digest
}

// Head is the one object whose conditional update accepts an edit. The table
// of its version is the base table with the changes applied in order.
type Head struct {
	Version Version
	Base    TableRef
	Changes []Change
}

// Table lists every service of one version, sorted by name.
type Table struct {
	Version Version
	Refs    []Ref
}

// Lookup returns the digest of the named service.
func (t *Table) Lookup(service string) (target.Digest, bool) {
	i, ok := t.find(service)
	if !ok {
		return "", false
	}
	return t.Refs[i].Digest, true
}

func (t *Table) find(service string) (int, bool) {
	return slices.BinarySearchFunc(t.Refs, service, func(r Ref, name string) int {
		return strings.Compare(r.Service, name)
	})
}

// Apply returns the table that results from the change.
func (t *Table) Apply(c *Change) (*Table, error) {
	if c.Predecessor() != t.Version {
		return nil, fmt.Errorf("%w: change %d on table %d", ErrGap, c.Version, t.Version)
	}
	next := &Table{Version: t.Version, Refs: slices.Clone(t.Refs)}
	next.apply(c)
	return next, nil
}

// ApplyAll returns the table that results from those changes that are above
// the table's version, or ErrForked if it is not the one that they state.
func (t *Table) ApplyAll(changes []Change) (*Table, error) {
	changes = ChangesAfter(changes, t.Version)
	if len(changes) == 0 {
		return t, nil
	}
	next := &Table{Version: t.Version, Refs: slices.Clone(t.Refs)}
	for i := range changes {
		if changes[i].Predecessor() != next.Version {
			return nil, fmt.Errorf("%w: change %d on table %d", ErrGap, changes[i].Version, next.Version)
		}
		next.apply(&changes[i])
	}
	if len(next.Refs) > MaxServices {
		return nil, fmt.Errorf("%w: version %d has %d services; at most %d are allowed", ErrMalformed, next.Version, len(next.Refs), MaxServices)
	}
	if next.Digest() != changes[len(changes)-1].Table {
		return nil, fmt.Errorf("%w: version %d", ErrForked, next.Version)
	}
	return next, nil
}

func (t *Table) apply(c *Change) {
	t.Version = c.Version
	for _, r := range c.Updated {
		i, ok := t.find(r.Service)
		if ok {
			t.Refs[i] = r
			continue
		}
		t.Refs = slices.Insert(t.Refs, i, r)
	}
	for _, name := range c.Removed {
		if i, ok := t.find(name); ok {
			t.Refs = slices.Delete(t.Refs, i, i+1)
		}
	}
}

// Digest identifies the content of the table.
func (t *Table) Digest() target.Digest {
	sum := target.NewHasher()
	sum.Number(uint64(t.Version))
	for i := range t.Refs {
		sum.Text(t.Refs[i].Service)
		sum.Text(string(t.Refs[i].Digest))
	}
	return sum.Digest()
}
