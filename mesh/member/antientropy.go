package member

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// NumBuckets is the number of buckets into which records are hashed for
// anti-entropy.
const NumBuckets = 256

// bucket is one group of records. Its hash covers only records that are not
// terminal, so that each daemon can remove tombstones at its own time.
type bucket struct {
	hash    uint64
	entries map[ServerID]*entry
}

// BucketVersions lists the versions of the records of one bucket.
type BucketVersions struct {
	Bucket   int
	Versions []Version
}

// Root returns a hash over all records that are not terminal.
func (t *Table) Root() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var root uint64
	for i := range t.buckets {
		root ^= t.buckets[i].hash
	}
	return root
}

// Hashes returns the hash of each bucket; equal hashes mean equal records.
func (t *Table) Hashes() [NumBuckets]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var hashes [NumBuckets]uint64
	for i := range t.buckets {
		hashes[i] = t.buckets[i].hash
	}
	return hashes
}

// DifferingBuckets lists the versions of each bucket whose hash differs from the
// one in hashes.
func (t *Table) DifferingBuckets(hashes *[NumBuckets]uint64) []BucketVersions {
	t.mu.Lock()
	defer t.mu.Unlock()
	var differing []BucketVersions
	for i := range t.buckets {
		if t.buckets[i].hash == hashes[i] {
			continue
		}
		bv := BucketVersions{Bucket: i}
		for _, e := range t.buckets[i].entries {
			bv.Versions = append(bv.Versions, e.record.Version())
		}
		differing = append(differing, bv)
	}
	return differing
}

// Compare returns the records of a bucket that the sender of the list is missing,
// and the servers whose records this table is missing. A tombstone of a server
// that one side does not know is not a difference.
func (t *Table) Compare(list *BucketVersions) (newer []Record, older []ServerID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entries := t.buckets[list.Bucket].entries
	listed := make(map[ServerID]bool, len(list.Versions))
	for i := range list.Versions {
		theirs := &list.Versions[i]
		listed[theirs.Server] = true
		e := entries[theirs.Server]
		if e == nil {
			if !theirs.Terminal {
				older = append(older, theirs.Server)
			}
			continue
		}
		own := e.record.Version()
		if !theirs.Covers(&own) {
			newer = append(newer, *e.record)
		}
		if !own.Covers(theirs) {
			older = append(older, theirs.Server)
		}
	}
	for id, e := range entries {
		if !listed[id] && !e.record.Terminal() {
			newer = append(newer, *e.record)
		}
	}
	return newer, older
}

func bucketIndex(id ServerID) int { return int(xxhash.Sum64String(string(id)) % NumBuckets) }

// hashRecord returns the hash of a record's version, or 0 if it is terminal.
func hashRecord(r *Record) uint64 {
	if r.Terminal() {
		return 0
	}
	d := xxhash.New()
	writeString(d, string(r.Server))
	writeNumber(d, r.Incarnation)
	writeNumber(d, r.Sequence)
	writeNumber(d, uint64(r.Health))
	for _, a := range r.SuspectedBy {
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
