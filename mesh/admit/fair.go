package admit

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// buckets is the number of queues into which a class's clients are hashed;
// clients that share one share a turn.
const buckets = 64

type bucket uint8

func bucketOf(client string) bucket { return bucket(xxhash.Sum64String(client) % buckets) }

// fairQueue queues the calls of one class. Buckets of clients take turns.
type fairQueue struct {
	lines [buckets]*list.List
	// turns holds the buckets with waiters, the next one first.
	turns list.List
	n     int
}

// place is where a waiter stands.
type place struct {
	bucket  bucket
	element *list.Element
}

func (q *fairQueue) len() int { return q.n }

func (q *fairQueue) line(b bucket) *list.List {
	if q.lines[b] == nil {
		q.lines[b] = list.New()
	}
	return q.lines[b]
}

// position returns the position at which a call of a bucket would be served.
func (q *fairQueue) position(b bucket) int {
	own := q.line(b).Len()
	active := q.turns.Len()
	if own == 0 {
		active++
	}
	return min(q.n+1, (own+1)*active)
}

func (q *fairQueue) push(w *waiter, b bucket) {
	line := q.line(b)
	if line.Len() == 0 {
		q.turns.PushBack(b)
	}
	w.place = place{bucket: b, element: line.PushBack(w)}
	q.n++
}

// pop takes the next waiter out; there must be one.
func (q *fairQueue) pop() *waiter {
	turn := q.turns.Front()
	line := q.lines[turn.Value.(bucket)]
	w := line.Front().Value.(*waiter)
	q.turns.MoveToBack(turn)
	q.remove(w)
	return w
}

// remove takes a waiter out and reports whether it was queued.
func (q *fairQueue) remove(w *waiter) bool {
	if w.place.element == nil {
		return false
	}
	line := q.lines[w.place.bucket]
	line.Remove(w.place.element)
	w.place.element = nil
	q.n--
	if line.Len() == 0 {
		q.endTurns(w.place.bucket)
	}
	return true
}

func (q *fairQueue) endTurns(b bucket) {
	for e := q.turns.Front(); e != nil; e = e.Next() {
		if e.Value.(bucket) == b {
			q.turns.Remove(e)
			return
		}
	}
}

// displace takes the newest waiter of the longest line out to make room for a
// call of bucket b, unless b's own line would become as long.
func (q *fairQueue) displace(b bucket) *waiter {
	longest := q.line(b)
	for e := q.turns.Front(); e != nil; e = e.Next() {
		if line := q.lines[e.Value.(bucket)]; line.Len() > longest.Len() {
			longest = line
		}
	}
	if longest.Len() <= q.line(b).Len()+1 {
		return nil
	}
	w := longest.Back().Value.(*waiter)
	q.remove(w)
	return w
}
