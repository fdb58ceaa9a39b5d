package admit

import (
	"container/list"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// buckets is the number of queues into which a class's clients are hashed;
// clients that share one share a turn.
const buckets = 64

type bucket uint8

func bucketOf(client string) bucket { return bucket(xxhash.Sum64String(client) % buckets) }

// credit is by how many turns a bucket that had less than its fair share of
// turns may go before the others.
const credit = 4

// fairQueue queues the calls of one class. Buckets of clients take turns.
type fairQueue struct {
	lines [buckets]line
	// active lists the buckets with waiters.
	active []bucket
	// now is the turn of the call admitted last.
	now uint64
	n   int
}

// line holds the waiters of one bucket.
type line struct {
	waiters list.List
	// turn is that of the first waiter; each waiter behind has the next one.
	turn uint64
}

// place is where a waiter stands.
type place struct {
	bucket  bucket
	element *list.Element
}

func (q *fairQueue) len() int { return q.n }

// turnOf returns the turn of the first waiter of a bucket, or of one that came
// now.
func (q *fairQueue) turnOf(b bucket) uint64 {
	l := &q.lines[b]
	if l.waiters.Len() > 0 || l.turn+credit > q.now {
		return l.turn
	}
	return q.now - credit
}

// position returns the position at which a call of a bucket would be served.
func (q *fairQueue) position(b bucket) int {
	own := q.lines[b].waiters.Len()
	turn := q.turnOf(b) + uint64(own)
	before := own
	for _, other := range q.active {
		l := &q.lines[other]
		if other != b && l.turn <= turn {
			before += min(l.waiters.Len(), int(turn-l.turn)+1)
		}
	}
	return before + 1
}

func (q *fairQueue) push(w *waiter, b bucket) {
	l := &q.lines[b]
	if l.waiters.Len() == 0 {
		l.turn = q.turnOf(b)
		q.active = append(q.active, b)
	}
	w.place = place{bucket: b, element: l.waiters.PushBack(w)}
	q.n++
}

// pop takes the waiter with the earliest turn out; there must be one.
func (q *fairQueue) pop() *waiter {
	next := &q.lines[q.active[0]]
	for _, b := range q.active[1:] {
		if l := &q.lines[b]; l.turn < next.turn {
			next = l
		}
	}
	w := next.waiters.Front().Value.(*waiter)
	q.remove(w)
	q.now = max(q.now, next.turn)
	next.turn++
	return w
}

// remove takes a waiter out and reports whether it was queued.
func (q *fairQueue) remove(w *waiter) bool {
	if w.place.element == nil {
		return false
	}
	l := &q.lines[w.place.bucket]
	l.waiters.Remove(w.place.element)
	w.place.element = nil
	q.n--
	if l.waiters.Len() == 0 {
		i := slices.Index(q.active, w.place.bucket)
		q.active = slices.Delete(q.active, i, i+1)
	}
	return true
}

// displace takes the newest waiter of the longest line out to make room for a
// call of bucket b, unless b's own line would become as long.
func (q *fairQueue) displace(b bucket) *waiter {
	longest := &q.lines[b]
	for _, other := range q.active {
		if l := &q.lines[other]; l.waiters.Len() > longest.waiters.Len() {
			longest = l
		}
	}
	if longest.waiters.Len() <= q.lines[b].waiters.Len()+1 {
		return nil
	}
	w := longest.waiters.Back().Value.(*waiter)
	q.remove(w)
	return w
}
