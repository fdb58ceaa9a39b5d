package manifest

import (
	"fmt"

	"fescuehoist.example/mesh/target"
)

// Limits on configuration from outside. A table of MaxServices services with
// the longest names fits into one value of the platform.
const (
	MaxServices     = 6000
	MaxEditIDLength = 128
	MaxAuthorLength = 128
)

// Limits on the head. An edit that would exceed one of them folds the older
// changes into a new base table.
const (
	// MaxHeadChanges is the number of changes that a head lists.
	MaxHeadChanges = 64
	// MaxHeadRefs is the number of services that the listed changes touch
	// together. A single change may touch more.
	MaxHeadRefs = 1024
	// KeptHeadChanges is the number of changes that stay listed at a fold.
	KeptHeadChanges = 16
)

// Check reports whether the head is consistent in itself and within limits.
func (h *Head) Check() error {
	if len(h.Changes) > MaxHeadChanges {
		return fmt.Errorf("head %d: %d changes; at most %d are allowed", h.Version, len(h.Changes), MaxHeadChanges)
	}
	if h.Base.Version > 0 && !h.Base.Digest.Valid() {
		return fmt.Errorf("head %d: base table %d has no valid digest", h.Version, h.Base.Version)
	}
	next := h.Base.Version + 1
	for i := range h.Changes {
		c := &h.Changes[i]
		if c.Version != next {
			return fmt.Errorf("head %d: change %d where %d was expected", h.Version, c.Version, next)
		}
		if err := c.Check(); err != nil {
			return fmt.Errorf("head %d: %w", h.Version, err)
		}
		next++
	}
	if h.Version != next-1 {
		return fmt.Errorf("head %d: its changes end at version %d", h.Version, next-1)
	}
	return nil
}

// Check reports whether the change is well formed.
func (c *Change) Check() error {
	if c.Predecessor() >= c.Version {
		return fmt.Errorf("change %d: follows version %d", c.Version, c.Predecessor())
	}
	if len(c.EditID) == 0 || len(c.EditID) > MaxEditIDLength {
		return fmt.Errorf("change %d: its edit id has %d bytes; 1 to %d are allowed", c.Version, len(c.EditID), MaxEditIDLength)
	}
	if len(c.Author) > MaxAuthorLength {
		return fmt.Errorf("change %d: its author has %d bytes; at most %d are allowed", c.Version, len(c.Author), MaxAuthorLength)
	}
	if len(c.Updated)+len(c.Removed) > MaxServices {
		return fmt.Errorf("change %d: touches %d services; at most %d are allowed", c.Version, len(c.Updated)+len(c.Removed), MaxServices)
	}
	if !c.Table.Valid() {
		return fmt.Errorf("change %d: the digest of its table is missing or malformed", c.Version)
	}
	touched := make(map[string]bool, len(c.Updated)+len(c.Removed))
	for _, r := range c.Updated {
		if err := r.check(); err != nil {
			return fmt.Errorf("change %d: %w", c.Version, err)
		}
		if touched[r.Service] {
			return fmt.Errorf("change %d: touches service %q twice", c.Version, r.Service)
		}
		touched[r.Service] = true
	}
	for _, name := range c.Removed {
		if !target.ValidHost(name) {
			return fmt.Errorf("change %d: service %.80q has no valid name", c.Version, name)
		}
		if touched[name] {
			return fmt.Errorf("change %d: touches service %q twice", c.Version, name)
		}
		touched[name] = true
	}
	return nil
}

func (r *Ref) check() error {
	if !target.ValidHost(r.Service) {
		return fmt.Errorf("service %.80q has no valid name", r.Service)
	}
	if !r.Digest.Valid() {
		return fmt.Errorf("service %q has no valid digest", r.Service)
	}
	return nil
}

// Check reports whether the table is sorted, well formed and within limits.
func (t *Table) Check() error {
	if len(t.Refs) > MaxServices {
		return fmt.Errorf("table %d: %d services; at most %d are allowed", t.Version, len(t.Refs), MaxServices)
	}
	for i := range t.Refs {
		if err := t.Refs[i].check(); err != nil {
			return fmt.Errorf("table %d: %w", t.Version, err)
		}
		if i > 0 && t.Refs[i-1].Service >= t.Refs[i].Service {
			return fmt.Errorf("table %d: service %q is out of order", t.Version, t.Refs[i].Service)
		}
	}
	return nil
}
