package httpconn

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// freeRequestBytes is the size up to which the body of a request needs no room, so
	// that short requests are served while others take all room. It is that of the
	// buffers that each connection has anyway.
	freeRequestBytes = requestBufferSize
	// freeFields is the number of header fields up to which a request needs no room for
	// them. Requests of common clients have 10 to 30.
	freeFields = 64
	// fieldBytes is the memory that a header field takes beside its text, in bytes: the
	// parsed one, the one of the call and that of the forwarded request.
	fieldBytes = 400
	// maxParsing is the number of requests with more than freeFields that are parsed at the
	// same time. Parsing needs memory before the room for the fields is taken, and the
	// collector holds up many at once in it when memory is short: 400 such requests took
	// 105 MB where 96 were allowed.
	maxParsing = 4
	// pipelinedBytes is the room that a request takes whose connection has earlier ones
	// that are not answered yet, in bytes: its goroutines, its head and a short answer.
	pipelinedBytes = 16 << 10
	// freeAnswerWaitBytes is the size up to which an answer that waits to be written needs
	// no room.
	freeAnswerWaitBytes = 16 << 10
)

// errNoAnswerRoom means that an answer was given up since the answers that wait to be
// written take all memory that they may use.
var errNoAnswerRoom = errors.New("no memory for the answer")

// RequestMemory bounds the memory of the requests of all servers that share it, other
// than their long bodies, and that of the answers which wait to be written. A request of
// common size needs no room while it is the only one of its connection.
type RequestMemory struct {
	requests, answers *semaphore.Weighted
	requestBytes      int64
	// parsing has maxParsing places.
	parsing *semaphore.Weighted
	// wait is how long a body of known length waits until there is room, and a request with
	// many fields until it is parsed.
	wait time.Duration
	// onShort is called when there is no room; it may be nil.
	onShort func()
}

// NewRequestMemory returns a bound for requests and one for answers, both in bytes.
func NewRequestMemory(requests, answers int64) *RequestMemory {
	return &RequestMemory{
		requests: semaphore.NewWeighted(requests), answers: semaphore.NewWeighted(answers),
		requestBytes: requests, parsing: semaphore.NewWeighted(maxParsing), wait: maxBodyWait,
	}
}

// OnShort sets a function that is called each time when there is no room for a request or
// an answer. It must be called before the servers that share m run.
func (m *RequestMemory) OnShort(f func()) { m.onShort = f }

// acquireWithin waits until n are free, for a time at most, and reports whether it has them.
func acquireWithin(wait time.Duration, free *semaphore.Weighted, n int64) bool {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	return free.Acquire(ctx, n) == nil
}

// memoryAccount is the room that one request holds. A nil memory has no bound.
type memoryAccount struct {
	memory *RequestMemory
	// pipelined is true if the connection had unanswered requests before this one, which
	// therefore needs room for all that it takes.
	pipelined bool
	// fields is the number of header fields.
	fields int
	// parsing is true while the request has one of the places of RequestMemory.parsing.
	parsing bool
	// buffer is the part of requests that the buffer of the body holds; all are in bytes.
	requests, buffer, answers int64
}

// take takes room for a part of the request. It returns ErrNoBodyRoom if there is none.
func (a *memoryAccount) take(bytes int64) error {
	if a.memory == nil || bytes <= 0 {
		return nil
	}
	if !a.memory.requests.TryAcquire(bytes) {
		return ErrNoBodyRoom
	}
	a.requests += bytes
	return nil
}

// startParsing waits for a place to parse a head with an estimated number of fields. It
// returns ErrNoBodyRoom if there is none in time.
func (a *memoryAccount) startParsing(fields int) error {
	if a.memory == nil || fields <= freeFields || a.parsing {
		return nil
	}
	if !acquireWithin(a.memory.wait, a.memory.parsing, 1) {
		return ErrNoBodyRoom
	}
	a.parsing = true
	return nil
}

// endParsing returns the place: the room of the fields is taken, or they are not held any
// more.
func (a *memoryAccount) endParsing() {
	if a.parsing {
		a.memory.parsing.Release(1)
		a.parsing = false
	}
}

// takeFields takes room for the header fields.
func (a *memoryAccount) takeFields(fields int) error {
	a.fields = fields
	return a.take(int64(fields-freeFields) * fieldBytes)
}

// await takes the room for a body of known length, and waits for it for a moment.
func (a *memoryAccount) await(length int64) error {
	if a.memory == nil || a.needsNone(length) {
		return nil
	}
	if length > a.memory.requestBytes || !acquireWithin(a.memory.wait, a.memory.requests, length) {
		return ErrNoBodyRoom
	}
	a.requests += length
	return nil
}

// extend takes the room for a buffer that has grown to a size.
func (a *memoryAccount) extend(size int64) error {
	if a.needsNone(size) {
		return nil
	}
	if err := a.take(size - a.buffer); err != nil {
		return err
	}
	a.buffer = size
	return nil
}

func (a *memoryAccount) needsNone(size int64) bool {
	return size <= 0 || (size <= freeRequestBytes && !a.pipelined)
}

// takeAnswer takes room for an answer that is to be written. It returns errNoAnswerRoom
// if there is none.
func (a *memoryAccount) takeAnswer(bytes int) error {
	if a.memory == nil || bytes <= freeAnswerWaitBytes {
		return nil
	}
	if !a.memory.answers.TryAcquire(int64(bytes)) {
		return errNoAnswerRoom
	}
	a.answers += int64(bytes)
	return nil
}

// release returns what the request holds.
func (a *memoryAccount) release() {
	if a.requests > 0 {
		a.memory.requests.Release(a.requests)
	}
	if a.answers > 0 {
		a.memory.answers.Release(a.answers)
	}
	a.requests, a.buffer, a.answers = 0, 0, 0
	a.endParsing()
}
