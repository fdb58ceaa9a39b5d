package manifest

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"

	"fescuehoist.example/mesh/target"
)

// MaxRecentChanges is the number of recent changes that a daemon keeps, so that
// it can send a lagging peer those changes instead of the whole table.
const MaxRecentChanges = 256

// Store holds the configuration versions that a daemon knows and the snapshot
// in force. The highest known version is above the one in force if it was
// refused or while the source quorum is not reached. Safe for concurrent use.
type Store struct {
	mu sync.Mutex
	// known is the table of the highest known version.
	known   *Table
	changes []Change
	// replaced holds, for each entry of changes, the references that it
	// replaced.
	replaced [][]Ref
	contents map[target.Digest]*content
	// obsolete lists references that are no longer in the known table, oldest
	// first. Their contents may still be stored, as bases of patches.
	obsolete []Ref
	// newestValid is the newest version that passed validation.
	newestValid *Snapshot
	// refusal says why the known version failed validation; rejection says why a
	// later version was not applied at all.
	refusal, rejection *Refusal
	// byService means that only services with problems are refused.
	byService bool
	quorum    *sourceQuorum
	changed   chan struct{}
	// confirmation is the latest confirmation by the source; confirmed is closed
	// and replaced at the next one.
	confirmation Confirmation
	confirmed    chan struct{}
	clock        Clock
	verification Verification
	// replacedVerification is the latest verification of the accounts before the latest
	// change that was verified.
	replacedVerification Verification

	inForce atomic.Pointer[Snapshot]
}

// NewStore returns a store at version 0.
func NewStore() *Store {
	empty := &Snapshot{services: map[string]*content{}}
	store := &Store{known: &Table{}, contents: map[target.Digest]*content{}, newestValid: empty,
		changed: make(chan struct{}), confirmed: make(chan struct{}), clock: monotonicClock()}
	store.inForce.Store(empty)
	return store
}

// ApplyByService makes the store put a version in force even if services of it have
// problems; these keep their last valid content. It is meant for sources whose versions
// are accepted without validation by this project. It must be called before the first
// update.
func (s *Store) ApplyByService() { s.byService = true }

// Snapshot returns the configuration in force.
func (s *Store) Snapshot() *Snapshot { return s.inForce.Load() }

// KnownVersion returns the highest known version, whether in force or not.
func (s *Store) KnownVersion() Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known.Version
}

// Table returns the table of the highest known version. Callers must not modify
// it.
func (s *Store) Table() *Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known
}

// Refusal returns why the newest version that the daemon has seen, or a part of it, is
// not in force, or nil.
func (s *Store) Refusal() *Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rejection == nil || s.refusal == nil || s.rejection.Version != s.refusal.Version {
		return cmp.Or(s.rejection, s.refusal)
	}
	both := *s.refusal
	both.Problems = slices.Concat(s.rejection.Problems, s.refusal.Problems)
	return &both
}

// Changed returns a channel that is closed at the next change of the known
// version or of the version in force.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// History returns the recent changes, oldest first.
func (s *Store) History() []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.changes)
}

// SetRejection records that a version was not applied. The record is cleared
// when a later version is applied.
func (s *Store) SetRejection(r *Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejection = r
}

// ClearRejection removes the record made by SetRejection.
func (s *Store) ClearRejection() { s.SetRejection(nil) }

// MissingDigests returns the digests in refs, each once, for which the store
// has no content or only a fault.
func (s *Store) MissingDigests(refs []Ref) []target.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	var missing []target.Digest
	seen := map[target.Digest]bool{}
	for _, ref := range refs {
		c := s.contents[ref.Digest]
		if seen[ref.Digest] || (c != nil && c.body.Fault == "") {
			continue
		}
		seen[ref.Digest] = true
		missing = append(missing, ref.Digest)
	}
	return missing
}

// FaultyDigests returns the digests of the known version whose content is a
// fault, and the version in force: a peer's update since that version contains
// these bodies. It returns nil if no version is refused.
func (s *Store) FaultyDigests() ([]target.Digest, Version) {
	if s.Refusal() == nil {
		return nil, 0
	}
	return s.MissingDigests(s.Table().Refs), s.Snapshot().Version()
}

// ApplyUpdate applies an update completely or not at all and reports whether it
// changed the store. An update to a version that fails validation is stored as
// known and refused, and the snapshot in force stays. The error is
// ErrMalformed, ErrGap, ErrForked, ErrIncomplete or ErrUnpatchable.
func (s *Store) ApplyUpdate(u *Update) (bool, error) {
	if err := u.Check(); err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch v := u.FinalVersion(); {
	case v < s.known.Version:
		return false, nil
	case v == s.known.Version:
		return s.repair(u.Bodies)
	}
	table, applied, err := s.applyChanges(u)
	if err != nil {
		return false, s.recordFork(u, err)
	}
	added, err := s.collectContents(table, u.Bodies)
	if err != nil {
		return false, err
	}
	s.commit(table, applied, u.Base != nil, added)
	return true, nil
}

// applyChanges returns the table that results from the update and the changes
// that were applied to get it.
func (s *Store) applyChanges(u *Update) (*Table, []Change, error) {
	table := s.known
	if u.Base != nil && u.Base.Version > table.Version {
		table = u.Base
	}
	start := table.Version
	table, err := table.ApplyAll(u.Changes)
	if err != nil {
		return nil, nil, err
	}
	return table, slices.Clone(ChangesAfter(u.Changes, start)), nil
}

// ChangesAfter returns the changes whose versions are above v. The changes must
// be sorted by version.
func ChangesAfter(changes []Change, v Version) []Change {
	for i := range changes {
		if changes[i].Version > v {
			return changes[i:]
		}
	}
	return nil
}

// recordFork records err as the rejection if it is a fork, and returns err.
func (s *Store) recordFork(u *Update, err error) error {
	if errors.Is(err, ErrForked) {
		s.rejection = NewRefusal(u.FinalVersion(), u.Changes[len(u.Changes)-1].EditID,
			"it does not follow from version %d as known here: the version history was replaced", s.known.Version)
	}
	return err
}

// collectContents checks the received bodies and returns those that the store
// does not have yet. It returns ErrIncomplete if the table refers to a body
// that is neither stored nor received.
func (s *Store) collectContents(table *Table, received []Body) (map[target.Digest]*content, error) {
	added := make(map[target.Digest]*content, len(received))
	for i := range received {
		b := &received[i]
		if existing := s.contents[b.Digest]; existing != nil && (existing.body.Fault == "" || b.Fault != "") {
			continue
		}
		b, err := resolvePatch(b, s.contents)
		if err != nil {
			return nil, err
		}
		c, err := newContent(b)
		if err != nil {
			return nil, err
		}
		added[b.Digest] = c
	}
	for i := range table.Refs {
		d := table.Refs[i].Digest
		if s.contents[d] == nil && added[d] == nil {
			return nil, fmt.Errorf("%w: no body for service %q, digest %s", ErrIncomplete, table.Refs[i].Service, d)
		}
	}
	return added, nil
}

// commit replaces the known table, records the applied changes and the new
// contents, and validates the new version. If the table was rebased and the
// applied changes do not continue the recorded history, that history is
// dropped.
func (s *Store) commit(table *Table, applied []Change, rebased bool, added map[target.Digest]*content) {
	if rebased && (len(applied) == 0 || len(s.changes) == 0 || applied[0].Predecessor() != s.changes[len(s.changes)-1].Version) {
		s.changes, s.replaced = nil, nil
	}
	s.obsolete = append(s.obsolete, droppedRefs(s.known, table)...)
	before := s.known
	if rebased {
		before = &Table{}
	}
	s.replaced = append(s.replaced, replacedRefs(before, applied)...)
	s.changes = append(s.changes, applied...)
	if extra := len(s.changes) - MaxRecentChanges; extra > 0 {
		s.changes = slices.Delete(s.changes, 0, extra)
		s.replaced = slices.Delete(s.replaced, 0, extra)
	}
	s.known = table
	s.rejection = nil
	s.addContents(added)
	s.validateKnown()
	s.notify()
}

// validateKnown validates the known version and activates it if it is valid.
func (s *Store) validateKnown() {
	editID := ""
	if n := len(s.changes); n > 0 {
		editID = s.changes[n-1].EditID
	}
	snapshot, refusal := buildSnapshot(s.known, editID, s.contents, s.newestValid, s.byService)
	s.refusal = refusal
	if snapshot != nil {
		s.newestValid = snapshot
		s.activate()
	}
}

// repair replaces faults in the known version by valid content that arrives
// later, and validates the version again, so that all daemons reach the same
// decision on it.
func (s *Store) repair(received []Body) (bool, error) {
	if s.refusal == nil {
		return false, nil
	}
	added := map[target.Digest]*content{}
	for i := range received {
		existing := s.contents[received[i].Digest]
		if existing == nil || existing.body.Fault == "" || received[i].Fault != "" {
			continue
		}
		c, err := newContent(&received[i])
		if err != nil {
			return false, err
		}
		added[c.body.Digest] = c
	}
	if len(added) == 0 {
		return false, nil
	}
	s.addContents(added)
	s.validateKnown()
	return true, nil
}
