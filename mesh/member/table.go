package member

import (
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of groups whose hashes two daemons compare.
const Buckets = 256

// Table holds the newest record of every server. Merging is by owner and
// order, so records may arrive repeated, crossed or late.
type Table struct {
	mu      sync.Mutex
	self    ServerID
	records map[ServerID]*entry
	hashes  [Buckets]uint64
	view    atomic.Pointer[View]
	stale   bool
	changed chan struct{}
}

type entry struct {
	record *Record
	hash   uint64
	// ended is when the record became terminal, by this daemon's clock.
	ended time.Time
}

// NewTable returns an empty table of the daemon self.
func NewTable(self ServerID) *Table {
	t := &Table{self: self, records: map[ServerID]*entry{}, changed: make(chan struct{})}
	t.view.Store(&View{})
	return t
}

// Merge takes records from elsewhere and returns those that changed the table.
// An accusation of the table's own daemon is refuted: the returned records
// then hold the refutation.
func (t *Table) Merge(records []Record) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
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
	have := t.records[got.Server]
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
	if have == nil || !got.Supersedes(have.record) {
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
	own.Health, own.Accusers = Alive, nil
	if have := t.records[t.self]; have != nil {
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
	have := t.records[server]
	if have == nil || have.record.Terminal() || server == t.self {
		return Record{}, false
	}
	accusation := *have.record
	accusation.Health = Suspected
	accusation.Accusers = []ServerID{accuser}
	if certain {
		accusation.Health, accusation.Accusers = Failed, nil
	}
	merged, changed := merge(have.record, &accusation)
	if !changed {
		return Record{}, false
	}
	t.put(merged)
	t.announce(true)
	return *merged, true
}

// Get returns the record of a server.
func (t *Table) Get(server ServerID) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.records[server]
	if e == nil {
		return Record{}, false
	}
	return *e.record, true
}

// Len returns the number of records, terminal ones included.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

// Forget drops records that have been terminal for longer than retention.
func (t *Table) Forget(retention time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := time.Now().Add(-retention)
	n := 0
	for id, e := range t.records {
		if e.ended.IsZero() || e.ended.After(limit) {
			continue
		}
		t.hashes[bucketOf(id)] ^= e.hash
		delete(t.records, id)
		n++
	}
	t.announce(n > 0)
	return n
}

// Changed returns a channel that is closed at the next change.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Hashes returns a hash for each bucket; equal hashes mean equal records.
func (t *Table) Hashes() [Buckets]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hashes
}

// Bucket returns all records of one bucket.
func (t *Table) Bucket(n int) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var records []Record
	for id, e := range t.records {
		if bucketOf(id) == n {
			records = append(records, *e.record)
		}
	}
	return records
}

func (t *Table) put(r *Record) {
	e := t.records[r.Server]
	if e == nil {
		e = &entry{}
		t.records[r.Server] = e
	}
	b := bucketOf(r.Server)
	t.hashes[b] ^= e.hash
	e.record, e.hash = r, hashOf(r)
	t.hashes[b] ^= e.hash
	switch {
	case !r.Terminal():
		e.ended = time.Time{}
	case e.ended.IsZero():
		e.ended = time.Now()
	}
}

func (t *Table) announce(changed bool) {
	if !changed {
		return
	}
	t.stale = true
	close(t.changed)
	t.changed = make(chan struct{})
}

func bucketOf(id ServerID) int { return int(xxhash.Sum64String(string(id)) % Buckets) }

func hashOf(r *Record) uint64 {
	d := xxhash.New()
	writeString(d, string(r.Server))
	writeNumber(d, r.Incarnation)
	writeNumber(d, r.Sequence)
	writeNumber(d, uint64(r.Health))
	for _, a := range r.Accusers {
		writeString(d, string(a))
	}
	return d.Sum64()
}

func writeString(d *xxhash.Digest, s string) {
	writeNumber(d, uint64(len(s)))
	_, _ = d.WriteString(s)
}

func writeNumber(d *xxhash.Digest, n uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	_, _ = d.Write(b[:])
}
