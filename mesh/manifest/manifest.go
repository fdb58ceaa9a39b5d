// Package manifest defines the versioned service configuration of the mesh:
// versions and the changes between them, the store in which a daemon keeps the
// versions that it knows, and the editor that publishes new versions to the
// platform.
package manifest

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"fescuehoist.example/mesh/target"
)

// Version numbers configurations. Versions are totally ordered because each one
// is accepted by a conditional update of the head object in the platform. 0 is
// the empty configuration.
type Version uint64

// Ref refers to the content of a service, or of a group of client accounts, in one version
// by its digest.
type Ref struct {
	// Service names the service or the account group.
	Service string
	Digest  target.Digest
}

// Change is the difference between a version and its predecessor, made by one
// edit.
type Change struct {
	// Version is the version that the change produced.
	Version Version
	// Previous is the version that the change applies to; 0 means Version-1.
	Previous Version
	// EditID identifies the edit; the editor chooses it.
	EditID string
	// Author is the operator who made the edit.
	Author string
	// At is the time of the edit by the editor's clock.
	At time.Time
	// Updated lists the services that were added or changed.
	Updated []Ref
	// Removed lists the services that were removed.
	Removed []string
	// Table is the digest of the resulting table. A daemon compares it with the
	// table that it computes itself to detect a forked history.
	Table target.Digest
}

// Predecessor returns the version that the change applies to.
func (c *Change) Predecessor() Version {
	if c.Previous != 0 {
		return c.Previous
	}
	return c.Version - 1
}

// TableRef refers to a stored table by its version and digest.
type TableRef struct {
	Version Version
	Digest  target.Digest
}

// Head is the platform object whose conditional update publishes an edit. The
// table of its version is the base table with all changes applied in order.
type Head struct {
	Version Version
	Base    TableRef
	Changes []Change
}

// Table lists all services of one version, sorted by name.
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

// Apply returns the table that results from the change, or ErrGap if the change
// applies to another version.
func (t *Table) Apply(c *Change) (*Table, error) {
	if c.Predecessor() != t.Version {
		return nil, fmt.Errorf("%w: change %d cannot be applied to table version %d", ErrGap, c.Version, t.Version)
	}
	next := &Table{Version: t.Version, Refs: slices.Clone(t.Refs)}
	next.apply(c)
	return next, nil
}

// ApplyAll returns the table that results from the changes above the table's
// version. It returns ErrGap if a change does not apply to the version before
// it, ErrMalformed if the result has more than MaxServices services, and
// ErrForked if its digest is not the one in the last change.
func (t *Table) ApplyAll(changes []Change) (*Table, error) {
	changes = ChangesAfter(changes, t.Version)
	if len(changes) == 0 {
		return t, nil
	}
	next := &Table{Version: t.Version, Refs: slices.Clone(t.Refs)}
	for i := range changes {
		if changes[i].Predecessor() != next.Version {
			return nil, fmt.Errorf("%w: change %d cannot be applied to table version %d", ErrGap, changes[i].Version, next.Version)
		}
		next.apply(&changes[i])
	}
	if len(next.Refs) > MaxServices {
		return nil, fmt.Errorf("%w: version %d has %d services, want at most %d", ErrMalformed, next.Version, len(next.Refs), MaxServices)
	}
	if next.Digest() != changes[len(changes)-1].Table {
		return nil, fmt.Errorf("%w: table digest of version %d does not match its change", ErrForked, next.Version)
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

// Digest returns the digest of the table's version and references.
func (t *Table) Digest() target.Digest {
	sum := target.NewHasher()
	sum.WriteUint64(uint64(t.Version))
	for i := range t.Refs {
		sum.WriteString(t.Refs[i].Service)
		sum.WriteString(string(t.Refs[i].Digest))
	}
	return sum.Digest()
}
