package manifest

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"

	"fescuehoist.example/mesh/target"
)

// MaxLogChanges is the number of recent changes a daemon keeps to bring peers
// up to date without sending the whole table.
const MaxLogChanges = 256

// Update brings a peer from one version to a later one. With a Base it stands
// alone; without, its first change follows the receiver's version.
type Update struct {
	Base    *Table
	Changes []Change
	Bodies  []Body
}

// Target returns the version that the update leads to.
func (u *Update) Target() Version {
	if n := len(u.Changes); n > 0 {
		return u.Changes[n-1].Version
	}
	if u.Base != nil {
		return u.Base.Version
	}
	return 0
}

// Log holds the versions that a daemon knows and the one that it has in force.
// The version known may be ahead of the one in force when it was refused.
type Log struct {
	mu      sync.Mutex
	known   *Table
	changes []Change
	bodies  map[target.Digest]*Body
	refusal *Refusal
	changed chan struct{}

	inForce atomic.Pointer[Snapshot]
}

// NewLog returns a log at version 0.
func NewLog() *Log {
	l := &Log{known: &Table{}, bodies: map[target.Digest]*Body{}, changed: make(chan struct{})}
	l.inForce.Store(&Snapshot{services: map[string]*target.Service{}})
	return l
}

// Snapshot returns the configuration in force.
func (l *Log) Snapshot() *Snapshot { return l.inForce.Load() }

// Known returns the highest version known, in force or refused.
func (l *Log) Known() Version {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known.Version
}

// Refusal returns why the known version is not in force, or nil.
func (l *Log) Refusal() *Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refusal
}

// Changed returns a channel that is closed when the known version next grows.
func (l *Log) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// History returns the recent changes, oldest first.
func (l *Log) History() []Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.changes)
}

// Receive takes an update in whole or not at all. It reports whether the known
// version grew. A known version that fails its check is kept as refused and
// the snapshot in force stays.
func (l *Log) Receive(u *Update) (bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u.Target() <= l.known.Version {
		return false, nil
	}
	table, applied, err := l.advance(u)
	if err != nil {
		return false, err
	}
	bodies, err := l.collect(table, u.Bodies)
	if err != nil {
		return false, err
	}
	l.commit(table, applied, u.Base != nil, bodies)
	return true, nil
}

// advance returns the table that the update leads to and the changes applied.
func (l *Log) advance(u *Update) (*Table, []Change, error) {
	table := l.known
	if u.Base != nil && u.Base.Version > table.Version {
		table = u.Base
	}
	var applied []Change
	for i := range u.Changes {
		c := &u.Changes[i]
		if c.Version <= table.Version {
			continue
		}
		next, err := table.Apply(c)
		if err != nil {
			return nil, nil, err
		}
		table = next
		applied = append(applied, *c)
	}
	return table, applied, nil
}

// collect returns the bodies that the table refers to.
func (l *Log) collect(table *Table, received []Body) (map[target.Digest]*Body, error) {
	fresh := make(map[target.Digest]*Body, len(received))
	for i := range received {
		b := received[i]
		if b.Fault == "" && (b.Service == nil || b.Service.Digest() != b.Digest) {
			return nil, fmt.Errorf("%w: the content of %s does not match", ErrIncomplete, b.Digest)
		}
		fresh[b.Digest] = &b
	}
	bodies := make(map[target.Digest]*Body, len(table.Refs))
	for _, ref := range table.Refs {
		b := l.bodies[ref.Digest]
		if f := fresh[ref.Digest]; f != nil && (b == nil || b.Fault != "") {
			b = f
		}
		if b == nil {
			return nil, fmt.Errorf("%w: service %q, digest %s", ErrIncomplete, ref.Service, ref.Digest)
		}
		bodies[ref.Digest] = b
	}
	return bodies, nil
}

func (l *Log) commit(table *Table, applied []Change, rebased bool, bodies map[target.Digest]*Body) {
	if rebased && (len(applied) == 0 || len(l.changes) == 0 || applied[0].Version != l.changes[len(l.changes)-1].Version+1) {
		l.changes = nil
	}
	l.changes = append(l.changes, applied...)
	if extra := len(l.changes) - MaxLogChanges; extra > 0 {
		l.changes = slices.Delete(l.changes, 0, extra)
	}
	l.known = table
	l.bodies = bodies
	editID := ""
	if n := len(applied); n > 0 {
		editID = applied[n-1].EditID
	}
	snapshot, refusal := check(table, editID, func(d target.Digest) *Body { return bodies[d] })
	l.refusal = refusal
	if refusal == nil {
		l.inForce.Store(snapshot)
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// Since returns the update that brings a peer from version v to the known one,
// or nil if the peer is not behind.
func (l *Log) Since(v Version) *Update {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v >= l.known.Version {
		return nil
	}
	if len(l.changes) > 0 && l.changes[0].Version <= v+1 {
		return l.delta(v)
	}
	u := &Update{Base: l.known}
	u.Bodies = l.bodiesOf(l.known.Refs)
	return u
}

func (l *Log) delta(v Version) *Update {
	u := &Update{}
	var refs []Ref
	for i := range l.changes {
		c := &l.changes[i]
		if c.Version <= v {
			continue
		}
		u.Changes = append(u.Changes, *c)
		refs = append(refs, c.Updated...)
	}
	u.Bodies = l.bodiesOf(refs)
	return u
}

func (l *Log) bodiesOf(refs []Ref) []Body {
	seen := make(map[target.Digest]bool, len(refs))
	var bodies []Body
	for _, ref := range refs {
		b := l.bodies[ref.Digest]
		if b == nil || seen[ref.Digest] {
			continue
		}
		seen[ref.Digest] = true
		bodies = append(bodies, *b)
	}
	return bodies
}
