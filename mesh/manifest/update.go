package manifest

import "fmt"

// Limits on one update.
const (
	maxUpdateChanges = MaxRecentChanges + MaxHeadChanges
	maxUpdateBodies  = 2 * MaxServices
	maxFaultLength   = 1024
)

// Update takes a peer from one version to a later one. With a Base it does not
// depend on the receiver's version; without one, its first change applies to
// the receiver's version.
type Update struct {
	Base    *Table
	Changes []Change
	Bodies  []Body
}

// FinalVersion returns the version that results from the update, or 0 if the
// update is empty.
func (u *Update) FinalVersion() Version {
	if n := len(u.Changes); n > 0 {
		return u.Changes[n-1].Version
	}
	if u.Base != nil {
		return u.Base.Version
	}
	return 0
}

// Check returns ErrMalformed if the update exceeds a limit, has a malformed
// part, or has changes that are not consecutive.
func (u *Update) Check() error {
	if len(u.Changes) > maxUpdateChanges || len(u.Bodies) > maxUpdateBodies {
		return fmt.Errorf("%w: too many changes or bodies: %d changes and %d bodies", ErrMalformed, len(u.Changes), len(u.Bodies))
	}
	if u.Base != nil {
		if err := u.Base.Check(); err != nil {
			return fmt.Errorf("%w: %w", ErrMalformed, err)
		}
	}
	for i := range u.Changes {
		if i > 0 && u.Changes[i].Predecessor() != u.Changes[i-1].Version {
			return fmt.Errorf("%w: change %d does not follow change %d", ErrMalformed, u.Changes[i].Version, u.Changes[i-1].Version)
		}
		if err := u.Changes[i].Check(); err != nil {
			return fmt.Errorf("%w: %w", ErrMalformed, err)
		}
	}
	for i := range u.Bodies {
		b := &u.Bodies[i]
		if !b.Digest.Valid() || len(b.Fault) > maxFaultLength {
			return fmt.Errorf("%w: body %.80q has an invalid digest or too long a fault", ErrMalformed, b.Digest)
		}
	}
	return nil
}
