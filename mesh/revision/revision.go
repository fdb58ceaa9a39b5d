// Package revision identifies the states of the platform's store. The store may come back
// from an older copy of itself; it then gives revision numbers out again, in a later epoch.
package revision

import (
	"cmp"
	"fmt"
)

// Revision is a state of the store. The zero Revision is none.
type Revision struct {
	// Epoch is the number of the copy that the store runs on, 0 if the store does not count
	// them. A revision of a later epoch is later whatever its number.
	Epoch uint64
	// Number grows with each change within an epoch.
	Number uint64
}

// Compare orders revisions by epoch and then by number.
func (r Revision) Compare(o Revision) int {
	return cmp.Or(cmp.Compare(r.Epoch, o.Epoch), cmp.Compare(r.Number, o.Number))
}

// After reports whether r is later than o.
func (r Revision) After(o Revision) bool { return r.Compare(o) > 0 }

// IsZero reports whether r is none.
func (r Revision) IsZero() bool { return r == Revision{} }

// String returns the number, with the epoch if the store counts them.
func (r Revision) String() string {
	if r.Epoch == 0 {
		return fmt.Sprint(r.Number)
	}
	return fmt.Sprintf("%d of epoch %d", r.Number, r.Epoch)
}

// Latest returns the later one of two revisions.
func Latest(a, b Revision) Revision {
	if b.After(a) {
		return b
	}
	return a
}
