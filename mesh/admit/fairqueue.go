package admit

import (
	"container/list"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of queues into which a class's clients are hashed;
// clients in the same bucket share one queue.
const bucketCount = 64

type bucket uint8

func bucketOf(client string) bucket { return bucket(xxhash.Sum64String(client) % bucketCount) }

// credit is the number of rounds that a bucket which used less than its fair
// share may go ahead of the others.
const credit = 4

// fairQueue is a fair queue of the calls of one class, with round-robin over
// buckets of clients.
type fairQueue struct {
	queues [bucketCount]bucketQueue
	// active lists the buckets with waiters.
	active []bucket
	// currentRound is the round of the call admitted last.
	currentRound uint64
	size         int
}

// bucketQueue holds the waiters of one bucket.
type bucketQueue struct {
	waiters list.List
	// round is that of the first waiter; each one behind it has the next round.
	round uint64
}

// queueEntry locates a waiter in its queue.
type queueEntry struct {
	bucket  bucket
	element *list.Element
}

func (q *fairQueue) len() int { return q.size }

// headRound returns the round of the first waiter of a bucket, or of one that
// would arrive now.
func (q *fairQueue) headRound(b bucket) uint64 {
	bq := &q.queues[b]
	if bq.waiters.Len() > 0 || bq.round+credit > q.currentRound {
		return bq.round
	}
	return q.currentRound - credit
}

// position returns the position, from 1, at which a new call of a bucket would
// be served.
func (q *fairQueue) position(b bucket) int {
	own := q.queues[b].waiters.Len()
	round := q.headRound(b) + uint64(own)
	ahead := own
	for _, other := range q.active {
		bq := &q.queues[other]
		if other != b && bq.round <= round {
			ahead += min(bq.waiters.Len(), int(round-bq.round)+1)
		}
	}
	return ahead + 1
}

func (q *fairQueue) push(w *waiter, b bucket) {
	bq := &q.queues[b]
	if bq.waiters.Len() == 0 {
		bq.round = q.headRound(b)
		q.active = append(q.active, b)
	}
	w.entry = queueEntry{bucket: b, element: bq.waiters.PushBack(w)}
	q.size++
}

// pop removes and returns the waiter with the earliest round. The queue must
// not be empty.
func (q *fairQueue) pop() *waiter {
	next := &q.queues[q.active[0]]
	for _, b := range q.active[1:] {
		if bq := &q.queues[b]; bq.round < next.round {
			next = bq
		}
	}
	w := next.waiters.Front().Value.(*waiter)
	q.remove(w)
	q.currentRound = max(q.currentRound, next.round)
	next.round++
	return w
}

// remove removes a waiter and reports whether it was queued.
func (q *fairQueue) remove(w *waiter) bool {
	if w.entry.element == nil {
		return false
	}
	bq := &q.queues[w.entry.bucket]
	bq.waiters.Remove(w.entry.element)
	w.entry.element = nil
	q.size--
	if bq.waiters.Len() == 0 {
		i := slices.Index(q.active, w.entry.bucket)
		q.active = slices.Delete(q.active, i, i+1)
	}
	return true
}

// displace removes and returns the last waiter of the longest bucket queue to
// free a place for a call of bucket b, or returns nil if b's own queue would
// become as long.
func (q *fairQueue) displace(b bucket) *waiter {
	longest := &q.queues[b]
	for _, other := range q.active {
		if bq := &q.queues[other]; bq.waiters.Len() > longest.waiters.Len() {
			longest = bq
		}
	}
	if longest.waiters.Len() <= q.queues[b].waiters.Len()+1 {
		return nil
	}
	w := longest.waiters.Back().Value.(*waiter)
	q.remove(w)
	return w
}
