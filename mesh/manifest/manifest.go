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
}

// TableRef points at a stored table.
type TableRef struct {
	Version Version
	Digest  target.Digest
}

// MaxHeadChanges is the number of changes after which an edit stores a new
// base table and starts the list again.
const MaxHeadChanges = 64

// Head is the one object whose conditional update accepts an edit. The table
// of its version is the base table with the changes applied in order.
type Head struct {
	Version Version
	Base    TableRef
	Changes []Change
}

// Check reports whether the head is consistent in itself.
func (h *Head) Check() error {
	next := h.Base.Version + 1
	for i := range h.Changes {
		if h.Changes[i].Version != next {
			return fmt.Errorf("head %d: change %d where %d was expected", h.Version, h.Changes[i].Version, next)
		}
		next++
	}
	if h.Version != next-1 {
		return fmt.Errorf("head %d: its changes end at version %d", h.Version, next-1)
	}
	return nil
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
	if c.Version != t.Version+1 {
		return nil, fmt.Errorf("%w: change %d on table %d", ErrGap, c.Version, t.Version)
	}
	next := &Table{Version: c.Version, Refs: slices.Clone(t.Refs)}
	for _, r := range c.Updated {
		i, ok := next.find(r.Service)
		if ok {
			next.Refs[i] = r
			continue
		}
		next.Refs = slices.Insert(next.Refs, i, r)
	}
	for _, name := range c.Removed {
		if i, ok := next.find(name); ok {
			next.Refs = slices.Delete(next.Refs, i, i+1)
		}
	}
	return next, nil
}

// Digest identifies the content of the table.
func (t *Table) Digest() target.Digest {
	texts := make([]string, 0, 2*len(t.Refs))
	for _, r := range t.Refs {
		texts = append(texts, r.Service, string(r.Digest))
	}
	return target.DigestOf(uint64(t.Version), texts...)
}
