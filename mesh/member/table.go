package member

import (
	"sync"
	"time"
)

// Table holds the newest record of every server. Merging is by owner and
// order, so records may arrive repeated, crossed or late.
type Table struct {
	mu      sync.Mutex
	self    ServerID
	buckets [NumBuckets]bucket
	count   int
	view    *View
	// dirty names the servers whose records changed since view was built.
	dirty   map[ServerID]bool
	changed chan struct{}
}

type entry struct {
	record *Record
	hash   uint64
	// suspected is when the record became suspected, ended when it became
	// terminal, both by this daemon's clock.
	suspected, ended time.Time
}

// NewTable returns an empty table of the daemon self.
func NewTable(self ServerID) *Table {
	t := &Table{self: self, view: &View{}, dirty: map[ServerID]bool{}, changed: make(chan struct{})}
	for i := range t.buckets {
		t.buckets[i].entries = map[ServerID]*entry{}
	}
	return t
}

// Merge takes records from elsewhere and returns those that changed the table.
// An accusation of the table's own daemon is refuted: the returned records
// then hold the refutation.
func (t *Table) Merge(records []Record) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mergeAll(records)
}

// Reconcile merges records from a comparison of two whole tables. They may be
// old news: a failure that this table knows nothing of counts as a suspicion
// until it has lasted for confirm, so that the accused can refute it before
// routes lose it.
func (t *Table) Reconcile(records []Record, confirm time.Duration) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	doubted := make([]Record, len(records))
	for i := range records {
		doubted[i] = t.doubt(records[i], confirm)
	}
	return t.mergeAll(doubted)
}

// doubt turns a failure into a suspicion unless it is confirmed.
func (t *Table) doubt(got Record, confirm time.Duration) Record {
	have := t.find(got.Server)
	if got.Health != Failed || have == nil || have.record.Terminal() {
		return got
	}
	if have.record.Health == Suspected && time.Since(have.suspected) >= confirm {
		return got
	}
	got.Health = Suspected
	return got
}

func (t *Table) mergeAll(records []Record) []Record {
	var news []Record
	for i := range records {
		r := records[i]
		if merged, ok := t.mergeOne(&r); ok {
			news = append(news, *merged)
		}
	}
	t.announce(len(news) > 0)
	return news
}

func (t *Table) mergeOne(got *Record) (*Record, bool) {
	have := t.find(got.Server)
	if got.Server == t.self {
		return t.mergeOwn(have, got)
	}
	if have == nil {
		r := settled(got)
		t.put(r)
		return r, true
	}
	merged, changed := merge(have.record, got)
	if !changed {
		return nil, false
	}
	t.put(merged)
	return merged, true
}

// mergeOwn refutes what others say of this daemon: its own record gets a
// higher incarnation than any that it heard of.
func (t *Table) mergeOwn(have *entry, got *Record) (*Record, bool) {
	if have == nil {
		return nil, false
	}
	old, fresh := have.record.Version(), got.Version()
	if old.Covers(&fresh) {
		return nil, false
	}
	own := *have.record
	own.Incarnation = got.Incarnation + 1
	t.put(&own)
	return &own, true
}

// Announce publishes the daemon's own record. Incarnation and Sequence are
// kept growing by the table; the caller sets Incarnation at the first call.
func (t *Table) Announce(own Record) Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	own.Health, own.SuspectedBy = Alive, nil
	if have := t.find(t.self); have != nil {
		own.Incarnation = max(own.Incarnation, have.record.Incarnation)
		own.Sequence = have.record.Sequence + 1
	}
	t.put(&own)
	t.announce(true)
	return own
}

// Accuse records that accuser cannot reach server, and returns the record that
// results or false if nothing changed. With certain set, the server is failed
// without a second accuser.
func (t *Table) Accuse(server, accuser ServerID, certain bool) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	have := t.find(server)
	if have == nil || have.record.Terminal() || server == t.self {
		return Record{}, false
	}
	accusation := *have.record
	accusation.Health = Suspected
	accusation.SuspectedBy = []ServerID{accuser}
	if certain {
		accusation.Health, accusation.SuspectedBy = Failed, nil
	}
	merged, changed := merge(have.record, &accusation)
	if !changed {
		return Record{}, false
	}
	t.put(merged)
	t.announce(true)
	return *merged, true
}

// Lacks reports whether a record of version v would change the table.
func (t *Table) Lacks(v *Version) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	have := t.find(v.Server)
	if have == nil {
		return v.Server != t.self
	}
	old := have.record.Version()
	return !old.Covers(v)
}

// Get returns the record of a server.
func (t *Table) Get(server ServerID) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.find(server)
	if e == nil {
		return Record{}, false
	}
	return *e.record, true
}

// Len returns the number of records, terminal ones included.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count
}

// Forget drops records that have been terminal for longer than retention.
func (t *Table) Forget(retention time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := time.Now().Add(-retention)
	n := 0
	for i := range t.buckets {
		for id, e := range t.buckets[i].entries {
			if e.ended.IsZero() || e.ended.After(limit) {
				continue
			}
			delete(t.buckets[i].entries, id)
			t.dirty[id] = true
			n++
		}
	}
	t.count -= n
	t.announce(n > 0)
	return n
}

// Changed returns a channel that is closed at the next change.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

func (t *Table) find(id ServerID) *entry { return t.buckets[bucketOf(id)].entries[id] }

func (t *Table) put(r *Record) {
	b := &t.buckets[bucketOf(r.Server)]
	e := b.entries[r.Server]
	if e == nil {
		e = &entry{}
		b.entries[r.Server] = e
		t.count++
	}
	b.hash ^= e.hash
	e.record, e.hash = r, hashOf(r)
	b.hash ^= e.hash
	e.suspected = since(e.suspected, r.Health == Suspected)
	e.ended = since(e.ended, r.Terminal())
	t.dirty[r.Server] = true
}

// since returns when a condition that holds began to hold.
func since(began time.Time, holds bool) time.Time {
	if !holds {
		return time.Time{}
	}
	if began.IsZero() {
		return time.Now()
	}
	return began
}

func (t *Table) announce(changed bool) {
	if !changed {
		return
	}
	close(t.changed)
	t.changed = make(chan struct{})
}
