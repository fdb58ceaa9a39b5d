package manifest

import "fmt"

// Limits on one update.
const (
	maxUpdateChanges = MaxRecentChanges + MaxHeadChanges
	maxUpdateBodies  = 2 * MaxServices
	maxFaultLength   = 1024
)

// Update brings a peer from one version to a later one. With a Base it stands
// alone; without, its first change follows the receiver's version.
type Update struct {
	Base    *Table
	Changes []Change
	Bodies  []Body
}

// FinalVersion returns the version that the update leads to.
func (u *Update) FinalVersion() Version {
	if n := len(u.Changes); n > 0 {
		return u.Changes[n-1].Version
	}
	if u.Base != nil {
		return u.Base.Version
	}
	return 0
}

// Check returns ErrMalformed if the update breaks a limit or its changes do
// not follow each other.
func (u *Update) Check() error {
	if len(u.Changes) > maxUpdateChanges || len(u.Bodies) > maxUpdateBodies {
		return fmt.Errorf("%w: %d changes and %d bodies", ErrMalformed, len(u.Changes), len(u.Bodies))
	}
	if u.Base != nil {
		if err := u.Base.Check(); err != nil {
			return fmt.Errorf("%w: %w", ErrMalformed, err)
		}
	}
	for i := range u.Changes {
		if i > 0 && u.Changes[i].Predecessor() != u.Changes[i-1].Version {
			return fmt.Errorf("%w: change %d after %d", ErrMalformed, u.Changes[i].Version, u.Changes[i-1].Version)
		}
		if err := u.Changes[i].Check(); err != nil {
			return fmt.Errorf("%w: %w", ErrMalformed, err)
		}
	}
	for i := range u.Bodies {
		b := &u.Bodies[i]
		if !b.Digest.Valid() || len(b.Fault) > maxFaultLength {
			return fmt.Errorf("%w: body %.80q", ErrMalformed, b.Digest)
		}
	}
	return nil
}
