package manifest

import (
	"fmt"

	"fescuehoist.example/mesh/target"
)

// Limits on configuration from other processes. They leave the number of services to
// platforms that accept configurations themselves.
const (
	MaxServices     = 1 << 17
	MaxEditIDLength = 128
	MaxAuthorLength = 128
)

// MaxDeclaredServices is the number of services that operators may declare. A table of as many
// with names of the greatest length fits into one value of the platform.
const MaxDeclaredServices = 6000

// Limits on the head. An edit that would exceed one of them moves the older
// changes into a new base table.
const (
	// MaxHeadChanges is the number of changes that a head lists.
	MaxHeadChanges = 64
	// MaxHeadRefs is the number of services that the listed changes touch in
	// total. A single change may touch more.
	MaxHeadRefs = 1024
	// RetainedHeadChanges is the number of changes that stay in the list when
	// the older ones are moved into a new base table.
	RetainedHeadChanges = 16
)

// Check returns an error if the head is inconsistent or exceeds a limit.
func (h *Head) Check() error {
	if len(h.Changes) > MaxHeadChanges {
		return fmt.Errorf("head %d: %d changes, want at most %d", h.Version, len(h.Changes), MaxHeadChanges)
	}
	if h.Base.Version > 0 && !h.Base.Digest.Valid() {
		return fmt.Errorf("head %d: invalid digest of base table %d", h.Version, h.Base.Version)
	}
	next := h.Base.Version + 1
	for i := range h.Changes {
		c := &h.Changes[i]
		if c.Version != next {
			return fmt.Errorf("head %d: change %d, want %d", h.Version, c.Version, next)
		}
		if err := c.Check(); err != nil {
			return fmt.Errorf("head %d: %w", h.Version, err)
		}
		next++
	}
	if h.Version != next-1 {
		return fmt.Errorf("head %d: last change leads to version %d", h.Version, next-1)
	}
	return nil
}

// Check returns an error if the change is not well formed.
func (c *Change) Check() error {
	if c.Predecessor() >= c.Version {
		return fmt.Errorf("change %d: applies to version %d, want a lower version than the change", c.Version, c.Predecessor())
	}
	if len(c.EditID) == 0 || len(c.EditID) > MaxEditIDLength {
		return fmt.Errorf("change %d: edit id of %d bytes, want 1 to %d", c.Version, len(c.EditID), MaxEditIDLength)
	}
	if len(c.Author) > MaxAuthorLength {
		return fmt.Errorf("change %d: author of %d bytes, want at most %d", c.Version, len(c.Author), MaxAuthorLength)
	}
	if len(c.Updated)+len(c.Removed) > MaxServices {
		return fmt.Errorf("change %d: touches %d services, want at most %d", c.Version, len(c.Updated)+len(c.Removed), MaxServices)
	}
	if !c.Table.Valid() {
		return fmt.Errorf("change %d: table digest is missing or malformed", c.Version)
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
		if !validRefName(name) {
			return fmt.Errorf("change %d: invalid service name %.80q", c.Version, name)
		}
		if touched[name] {
			return fmt.Errorf("change %d: touches service %q twice", c.Version, name)
		}
		touched[name] = true
	}
	return nil
}

// validRefName reports whether a version may have content of this name.
func validRefName(name string) bool { return target.UsableHost(name) || target.IsAccountGroup(name) }

func (r *Ref) check() error {
	if !validRefName(r.Service) {
		return fmt.Errorf("invalid service name %.80q", r.Service)
	}
	if !r.Digest.Valid() {
		return fmt.Errorf("service %q: invalid digest", r.Service)
	}
	return nil
}

// Check returns an error if the table is unsorted, has a malformed reference or
// exceeds a limit.
func (t *Table) Check() error {
	if len(t.Refs) > MaxServices {
		return fmt.Errorf("table %d: %d services, want at most %d", t.Version, len(t.Refs), MaxServices)
	}
	for i := range t.Refs {
		if err := t.Refs[i].check(); err != nil {
			return fmt.Errorf("table %d: %w", t.Version, err)
		}
		if i > 0 && t.Refs[i-1].Service >= t.Refs[i].Service {
			return fmt.Errorf("table %d: service %q is not sorted or listed twice", t.Version, t.Refs[i].Service)
		}
	}
	return nil
}
