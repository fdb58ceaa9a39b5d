package manifest

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"

	"fescuehoist.example/mesh/target"
)

// MaxRecentChanges is the number of recent changes a daemon keeps to bring peers
// up to date without sending the whole table.
const MaxRecentChanges = 256

// Store holds the versions that a daemon knows and the one that it has in force.
// The version known may be ahead of the one in force when it was refused.
type Store struct {
	mu      sync.Mutex
	known   *Table
	changes []Change
	// replaced holds, for each of changes, the references that it replaced.
	replaced [][]Ref
	contents map[target.Digest]*content
	// spare lists the references that were replaced, oldest first, whose
	// contents may still be there.
	spare []Ref
	// good is the newest version that passed its check.
	good *Snapshot
	// refusal says why the known version is not good, rejected why a later
	// one was not taken up at all.
	refusal, rejected *Refusal
	join              *join
	changed           chan struct{}

	inForce atomic.Pointer[Snapshot]
}

// NewStore returns a log at version 0.
func NewStore() *Store {
	empty := &Snapshot{services: map[string]*target.Service{}}
	l := &Store{known: &Table{}, contents: map[target.Digest]*content{}, good: empty, changed: make(chan struct{})}
	l.inForce.Store(empty)
	return l
}

// Snapshot returns the configuration in force.
func (l *Store) Snapshot() *Snapshot { return l.inForce.Load() }

// KnownVersion returns the highest version known, in force or refused.
func (l *Store) KnownVersion() Version {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known.Version
}

// Table returns the table of the highest version known.
func (l *Store) Table() *Table {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known
}

// Refusal returns why the newest version that the daemon heard of is not in
// force, or nil.
func (l *Store) Refusal() *Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rejected != nil {
		return l.rejected
	}
	return l.refusal
}

// Changed returns a channel that is closed when the known version or the one
// in force next changes.
func (l *Store) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// History returns the recent changes, oldest first.
func (l *Store) History() []Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.changes)
}

// SetRejection notes that a version was not taken up, until a later one is.
func (l *Store) SetRejection(r *Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rejected = r
}

// ClearRejection takes back what Reject noted.
func (l *Store) ClearRejection() { l.SetRejection(nil) }

// MissingDigests returns the digests, among those given, whose good content the log
// does not have.
func (l *Store) MissingDigests(refs []Ref) []target.Digest {
	l.mu.Lock()
	defer l.mu.Unlock()
	var lacks []target.Digest
	seen := map[target.Digest]bool{}
	for _, ref := range refs {
		c := l.contents[ref.Digest]
		if seen[ref.Digest] || (c != nil && c.body.Fault == "") {
			continue
		}
		seen[ref.Digest] = true
		lacks = append(lacks, ref.Digest)
	}
	return lacks
}

// FaultyDigests returns the digests of the known version whose content is a fault,
// and the version from which a peer would have to send it again.
func (l *Store) FaultyDigests() ([]target.Digest, Version) {
	if l.Refusal() == nil {
		return nil, 0
	}
	return l.MissingDigests(l.Table().Refs), l.Snapshot().Version()
}

// ApplyUpdate takes an update in whole or not at all. It reports whether anything
// new was taken up. A version that fails its check becomes known as refused
// and the snapshot in force stays.
func (l *Store) ApplyUpdate(u *Update) (bool, error) {
	if err := u.Check(); err != nil {
		return false, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch v := u.FinalVersion(); {
	case v < l.known.Version:
		return false, nil
	case v == l.known.Version:
		return l.repair(u.Bodies)
	}
	table, applied, err := l.advance(u)
	if err != nil {
		return false, l.noteFork(u, err)
	}
	fresh, err := l.collect(table, u.Bodies)
	if err != nil {
		return false, err
	}
	l.commit(table, applied, u.Base != nil, fresh)
	return true, nil
}

// advance returns the table that the update leads to and the changes applied.
func (l *Store) advance(u *Update) (*Table, []Change, error) {
	table := l.known
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

// ChangesAfter returns the changes whose versions are above v.
func ChangesAfter(changes []Change, v Version) []Change {
	for i := range changes {
		if changes[i].Version > v {
			return changes[i:]
		}
	}
	return nil
}

// noteFork keeps a fork to be shown.
func (l *Store) noteFork(u *Update, err error) error {
	if errors.Is(err, ErrForked) {
		l.rejected = NewRefusal(u.FinalVersion(), u.Changes[len(u.Changes)-1].EditID,
			"it does not follow from version %d as known here: the history of versions was replaced", l.known.Version)
	}
	return err
}

// collect checks the received bodies and returns those that the table needs.
func (l *Store) collect(table *Table, received []Body) (map[target.Digest]*content, error) {
	fresh := make(map[target.Digest]*content, len(received))
	for i := range received {
		b := &received[i]
		if have := l.contents[b.Digest]; have != nil && (have.body.Fault == "" || b.Fault != "") {
			continue
		}
		b, err := whole(b, l.contents)
		if err != nil {
			return nil, err
		}
		c, err := newContent(b)
		if err != nil {
			return nil, err
		}
		fresh[b.Digest] = c
	}
	for i := range table.Refs {
		d := table.Refs[i].Digest
		if l.contents[d] == nil && fresh[d] == nil {
			return nil, fmt.Errorf("%w: service %q, digest %s", ErrIncomplete, table.Refs[i].Service, d)
		}
	}
	return fresh, nil
}

func (l *Store) commit(table *Table, applied []Change, rebased bool, fresh map[target.Digest]*content) {
	if rebased && (len(applied) == 0 || len(l.changes) == 0 || applied[0].Predecessor() != l.changes[len(l.changes)-1].Version) {
		l.changes, l.replaced = nil, nil
	}
	l.spare = append(l.spare, replacedBy(l.known, table)...)
	before := l.known
	if rebased {
		before = &Table{}
	}
	l.replaced = append(l.replaced, replacedRefs(before, applied)...)
	l.changes = append(l.changes, applied...)
	if extra := len(l.changes) - MaxRecentChanges; extra > 0 {
		l.changes = slices.Delete(l.changes, 0, extra)
		l.replaced = slices.Delete(l.replaced, 0, extra)
	}
	l.known = table
	l.rejected = nil
	l.add(fresh)
	l.settle()
	l.signal()
}

// settle checks the known version and puts it in force if it is good.
func (l *Store) settle() {
	editID := ""
	if n := len(l.changes); n > 0 {
		editID = l.changes[n-1].EditID
	}
	snapshot, refusal := build(l.known, editID, l.contents)
	l.refusal = refusal
	if refusal == nil {
		l.good = snapshot
		l.publish()
	}
}

// repair replaces faults of the known version by good content that was heard
// later, so that all daemons come to the same decision on it.
func (l *Store) repair(received []Body) (bool, error) {
	if l.refusal == nil {
		return false, nil
	}
	fresh := map[target.Digest]*content{}
	for i := range received {
		have := l.contents[received[i].Digest]
		if have == nil || have.body.Fault == "" || received[i].Fault != "" {
			continue
		}
		c, err := newContent(&received[i])
		if err != nil {
			return false, err
		}
		fresh[c.body.Digest] = c
	}
	if len(fresh) == 0 {
		return false, nil
	}
	l.add(fresh)
	l.settle()
	return true, nil
}
