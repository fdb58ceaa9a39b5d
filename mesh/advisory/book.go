package advisory

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"
)

// Completeness is what a starting daemon has got back of the advisories that were issued
// before its start.
type Completeness uint8

const (
	// Unrestored means that neither the platform's store nor a peer has answered.
	Unrestored Completeness = iota
	// Doubtful means that the store has answered after a failure. Advisories that were
	// issued during that failure may be missing.
	Doubtful
	// Complete means that the store or a peer with complete advisories has answered.
	Complete
)

// String returns the level's name, or "unknown".
func (c Completeness) String() string {
	switch c {
	case Unrestored:
		return "not read yet"
	case Doubtful:
		return "doubtful"
	case Complete:
		return "complete"
	}
	return "unknown"
}

// Book holds the advisories of one daemon. Its functions are set before its use, and may
// be nil.
type Book struct {
	// Spread sends issued advisories to the peers.
	Spread func([]Aged)
	// Completed is called once the advisories are complete.
	Completed func()
	// Apply is called for each advisory that came from a peer or the store.
	Apply func(Aged)

	mu         sync.Mutex
	advisories map[Advisory]*record
	complete   Completeness
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// record is how an advisory came here.
type record struct {
	issuedAt time.Time
	// own means that this daemon issued the advisory, stored that its discovery entry
	// holds it.
	own, stored bool
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{advisories: map[Advisory]*record{}, changed: make(chan struct{})}
}

// Issue adds an advisory of this daemon, spreads it and has it stored. One that is known
// from a peer is stored, too, since the daemon that issued it may be gone.
func (b *Book) Issue(a Advisory) {
	if b.issue(a) && b.Spread != nil {
		b.Spread([]Aged{{Advisory: a}})
	}
}

// issue reports whether the advisory was not known.
func (b *Book) issue(a Advisory) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.advisories[a]; r != nil && !r.own {
		r.own = true
		b.notify()
		return false
	}
	return b.add(a, &record{issuedAt: time.Now(), own: true})
}

// Merge adds advisories of a peer or of other daemons' discovery entries and returns the
// new ones, which have been applied.
func (b *Book) Merge(advisories []Aged) []Aged { return b.merge(advisories, record{}) }

// Restore adds the advisories that this daemon stored before it was restarted.
func (b *Book) Restore(advisories []Aged) []Aged {
	return b.merge(advisories, record{own: true, stored: true})
}

func (b *Book) merge(advisories []Aged, origin record) []Aged {
	added := b.addAll(advisories, origin)
	if b.Apply != nil {
		for _, a := range added {
			b.Apply(a)
		}
	}
	return added
}

func (b *Book) addAll(advisories []Aged, origin record) []Aged {
	b.mu.Lock()
	defer b.mu.Unlock()
	var added []Aged
	for _, a := range advisories {
		r := origin
		r.issuedAt = time.Now().Add(-a.Age)
		if b.add(a.Advisory, &r) {
			added = append(added, a)
		}
	}
	return added
}

// add adds an advisory unless it is known, expired, or about a request that was cleared.
func (b *Book) add(a Advisory, r *record) bool {
	if b.advisories[a] != nil || time.Since(r.issuedAt) >= Lifetime {
		return false
	}
	if a.Kind == Crashed && b.advisories[Advisory{Kind: Cleared, Number: a.Number}] != nil {
		return false
	}
	if len(b.advisories) >= MaxAdvisories {
		b.evict()
	}
	if a.Kind == Cleared {
		b.dropCrashes(a.Number)
	}
	b.advisories[a] = r
	b.notify()
	return true
}

// evict removes expired advisories, or the oldest one if there is none. Those of other
// daemons go first, and withdrawals last.
func (b *Book) evict() {
	b.removeExpired()
	if len(b.advisories) < MaxAdvisories {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(b.advisories)), func(x, y Advisory) int {
		rx, ry := b.advisories[x], b.advisories[y]
		return cmp.Or(compareBool(rx.own, ry.own), compareBool(x.Kind == Withdrawn, y.Kind == Withdrawn), rx.issuedAt.Compare(ry.issuedAt))
	})
	delete(b.advisories, oldest)
}

// compareBool orders false before true.
func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	}
	return 1
}

func (b *Book) removeExpired() {
	for a, r := range b.advisories {
		if time.Since(r.issuedAt) >= Lifetime {
			delete(b.advisories, a)
		}
	}
}

// dropCrashes removes the crashes of a request that was cleared.
func (b *Book) dropCrashes(fingerprint uint64) {
	for a := range b.advisories {
		if a.Kind == Crashed && a.Number == fingerprint {
			delete(b.advisories, a)
		}
	}
}

// Live returns all advisories that have not expired.
func (b *Book) Live() []Aged {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.list(func(*record) bool { return true })
}

func (b *Book) list(wanted func(*record) bool) []Aged {
	b.removeExpired()
	var live []Aged
	for a, r := range b.advisories {
		if wanted(r) {
			live = append(live, Aged{Advisory: a, Age: time.Since(r.issuedAt)})
		}
	}
	return live
}

// HasWithdrawn reports whether the instance has withdrawn at or after a start.
func (b *Book) HasWithdrawn(instance string, started uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for a, r := range b.advisories {
		if a.Kind == Withdrawn && a.Subject == instance && a.Number >= started && time.Since(r.issuedAt) < Lifetime {
			return true
		}
	}
	return false
}

// SetCompleteness records what was got back. A lower level than before changes
// nothing.
func (b *Book) SetCompleteness(c Completeness) {
	if b.raise(c) && c == Complete && b.Completed != nil {
		b.Completed()
	}
}

// raise reports whether the level was lower before.
func (b *Book) raise(c Completeness) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c <= b.complete {
		return false
	}
	b.complete = c
	b.notify()
	return true
}

// Completeness returns what was got back so far.
func (b *Book) Completeness() Completeness {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.complete
}

// Changed returns a channel that is closed at the next change.
func (b *Book) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

func (b *Book) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// StoreDue returns when the next issued advisory has to be stored, and whether there is
// one that is not.
func (b *Book) StoreDue() (due time.Time, found bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for a, r := range b.advisories {
		if !r.own || r.stored {
			continue
		}
		if at := r.issuedAt.Add(b.storeDelay(a)); !found || at.Before(due) {
			due, found = at, true
		}
	}
	return due, found
}

// storeDelay returns how long after its issue an advisory is stored.
func (b *Book) storeDelay(a Advisory) time.Duration {
	if a.Kind == Crashed && b.crashedBefore(a) {
		return 0
	}
	return storeDelays[a.Kind]
}

// crashedBefore reports whether the request of a crash was running in another crash.
func (b *Book) crashedBefore(crash Advisory) bool {
	for a := range b.advisories {
		if a.Kind == Crashed && a.Number == crash.Number && a.Subject != crash.Subject {
			return true
		}
	}
	return false
}

// Issued returns the advisories that this daemon issued.
func (b *Book) Issued() []Aged {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.list(func(r *record) bool { return r.own })
}

// MarkStored records that the discovery entry of this daemon holds advisories.
func (b *Book) MarkStored(advisories []Aged) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range advisories {
		if r := b.advisories[a.Advisory]; r != nil {
			r.stored = true
		}
	}
	b.notify()
}

// MarkLost records that the store may have lost the advisories of this daemon.
func (b *Book) MarkLost() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.advisories {
		r.stored = false
	}
	b.notify()
}

// Adopt has this daemon store the advisories of other daemons, too.
func (b *Book) Adopt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.advisories {
		r.own = true
	}
	b.notify()
}

// AwaitStored waits until all advisories of a kind that this daemon issued are stored,
// and returns an error if ctx ends first.
func (b *Book) AwaitStored(ctx context.Context, kind Kind) error {
	for {
		stored, changed := b.isStored(kind)
		if stored {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (b *Book) isStored(kind Kind) (bool, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for a, r := range b.advisories {
		if a.Kind == kind && r.own && !r.stored {
			return false, b.changed
		}
	}
	return true, b.changed
}
