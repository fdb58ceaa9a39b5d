package member

import (
	"sync"
	"time"
)

// Table holds the newest record of every server. Merges compare versions, so
// records may arrive repeatedly, out of order or late.
type Table struct {
	mu      sync.Mutex
	self    ServerID
	buckets [NumBuckets]bucket
	count   int
	view    *View
	// dirty holds the servers whose records changed since view was built.
	dirty   map[ServerID]bool
	changed chan struct{}
}

type entry struct {
	record *Record
	hash   uint64
	// suspectedAt is when the record became suspected, terminalAt when it became
	// terminal, both by this daemon's clock; zero if it is not.
	suspectedAt, terminalAt time.Time
}

// NewTable returns an empty table of the daemon self.
func NewTable(self ServerID) *Table {
	t := &Table{self: self, view: &View{}, dirty: map[ServerID]bool{}, changed: make(chan struct{})}
	for i := range t.buckets {
		t.buckets[i].entries = map[ServerID]*entry{}
	}
	return t
}

// Merge merges received records and returns those that changed the table. A
// suspicion or failure of the table's own daemon is refuted: the returned records
// then include the refutation.
func (t *Table) Merge(records []Record) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mergeAll(records)
}

// Reconcile merges records found by anti-entropy, which may be old. A failure of a
// server that this table holds as live counts as a suspicion until it has been
// suspected for confirm, so that the server can refute it before it is removed
// from the routes.
func (t *Table) Reconcile(records []Record, confirm time.Duration) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	downgraded := make([]Record, len(records))
	for i := range records {
		downgraded[i] = t.downgradeFailure(records[i], confirm)
	}
	return t.mergeAll(downgraded)
}

// downgradeFailure turns a failure into a suspicion unless the server is unknown,
// terminal, or already suspected for confirm.
func (t *Table) downgradeFailure(incoming Record, confirm time.Duration) Record {
	current := t.find(incoming.Server)
	if incoming.Health != Failed || current == nil || current.record.Terminal() {
		return incoming
	}
	if current.record.Health == Suspected && time.Since(current.suspectedAt) >= confirm {
		return incoming
	}
	incoming.Health = Suspected
	return incoming
}

func (t *Table) mergeAll(records []Record) []Record {
	var changed []Record
	for i := range records {
		r := records[i]
		if merged, ok := t.mergeOne(&r); ok {
			changed = append(changed, *merged)
		}
	}
	t.notify(len(changed) > 0)
	return changed
}

func (t *Table) mergeOne(incoming *Record) (*Record, bool) {
	current := t.find(incoming.Server)
	if incoming.Server == t.self {
		return t.mergeOwn(current, incoming)
	}
	if current == nil {
		r := normalize(incoming)
		t.put(r)
		return r, true
	}
	merged, changed := merge(current.record, incoming)
	if !changed {
		return nil, false
	}
	t.put(merged)
	return merged, true
}

// mergeOwn refutes records of this daemon that come from other daemons: its own
// record gets an incarnation above the received one.
func (t *Table) mergeOwn(current *entry, incoming *Record) (*Record, bool) {
	if current == nil {
		return nil, false
	}
	currentVersion, incomingVersion := current.record.Version(), incoming.Version()
	if currentVersion.Covers(&incomingVersion) {
		return nil, false
	}
	own := *current.record
	own.Incarnation = incoming.Incarnation + 1
	t.put(&own)
	return &own, true
}

// Announce replaces the daemon's own record and returns it with its version. The
// table keeps Incarnation and Sequence growing; the caller sets Incarnation at
// the first call.
func (t *Table) Announce(own Record) Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	own.Health, own.SuspectedBy = Alive, nil
	if current := t.find(t.self); current != nil {
		own.Incarnation = max(own.Incarnation, current.record.Incarnation)
		own.Sequence = current.record.Sequence + 1
	}
	t.put(&own)
	t.notify(true)
	return own
}

// Suspect records that daemon by cannot reach server. It returns the resulting
// record, or false if nothing changed. With certain set, the server is failed
// without a second suspecting daemon.
func (t *Table) Suspect(server, by ServerID, certain bool) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.find(server)
	if current == nil || current.record.Terminal() || server == t.self {
		return Record{}, false
	}
	suspicion := *current.record
	suspicion.Health = Suspected
	suspicion.SuspectedBy = []ServerID{by}
	if certain {
		suspicion.Health, suspicion.SuspectedBy = Failed, nil
	}
	merged, changed := merge(current.record, &suspicion)
	if !changed {
		return Record{}, false
	}
	t.put(merged)
	t.notify(true)
	return *merged, true
}

// Needs reports whether a record of version v would change the table.
func (t *Table) Needs(v *Version) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.find(v.Server)
	if current == nil {
		return v.Server != t.self
	}
	currentVersion := current.record.Version()
	return !currentVersion.Covers(v)
}

// Get returns the record of a server and whether there is one.
func (t *Table) Get(server ServerID) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.find(server)
	if e == nil {
		return Record{}, false
	}
	return *e.record, true
}

// Len returns the number of records, including terminal ones.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count
}

// RemoveExpired removes the records that have been terminal for longer than
// retention, and returns their number.
func (t *Table) RemoveExpired(retention time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := time.Now().Add(-retention)
	n := 0
	for i := range t.buckets {
		for id, e := range t.buckets[i].entries {
			if e.terminalAt.IsZero() || e.terminalAt.After(limit) {
				continue
			}
			delete(t.buckets[i].entries, id)
			t.dirty[id] = true
			n++
		}
	}
	t.count -= n
	t.notify(n > 0)
	return n
}

// Changed returns a channel that is closed at the next change.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

func (t *Table) find(id ServerID) *entry { return t.buckets[bucketIndex(id)].entries[id] }

func (t *Table) put(r *Record) {
	b := &t.buckets[bucketIndex(r.Server)]
	e := b.entries[r.Server]
	if e == nil {
		e = &entry{}
		b.entries[r.Server] = e
		t.count++
	}
	b.hash ^= e.hash
	e.record, e.hash = r, hashRecord(r)
	b.hash ^= e.hash
	e.suspectedAt = startTime(e.suspectedAt, r.Health == Suspected)
	e.terminalAt = startTime(e.terminalAt, r.Terminal())
	t.dirty[r.Server] = true
}

// startTime returns the time since which a condition has held, or zero if it does
// not hold.
func startTime(start time.Time, holds bool) time.Time {
	if !holds {
		return time.Time{}
	}
	if start.IsZero() {
		return time.Now()
	}
	return start
}

func (t *Table) notify(changed bool) {
	if !changed {
		return
	}
	close(t.changed)
	t.changed = make(chan struct{})
}
