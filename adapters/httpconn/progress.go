package httpconn

import (
	"sync/atomic"
	"time"
)

const (
	// HeadTimeout limits the reading of a request's head. It is beyond the 3 s that
	// clients may take.
	HeadTimeout = 5 * time.Second
	// StallTimeout is how long a body may bring no byte.
	StallTimeout = 10 * time.Second
	// BodyGrace and minBodyRate limit the reading of a body: it may take BodyGrace, which
	// is beyond the time limits of requests, and a second more for each minBodyRate bytes
	// that have arrived.
	BodyGrace   = 30 * time.Second
	minBodyRate = 4 << 10
	// WriteTimeout limits the writing of writePiece bytes of an answer.
	WriteTimeout = 30 * time.Second
	writePiece   = 64 << 10
	// slowAfter is how long a client may send or read too little before its connection
	// may be closed to make room for others.
	slowAfter = time.Second
)

// progress is what the client of a session has sent of the current request, and since
// when it has kept the session waiting. The instants are in nanoseconds since 1970; 0
// means that the session does not wait.
type progress struct {
	readingSince, writingSince atomic.Int64
	// received is in bytes.
	received atomic.Int64
	// inBody is true while a body is read.
	inBody atomic.Bool
}

// startReading starts the time limit of a request's head.
func (n *session) startReading() {
	now := time.Now()
	n.progress.inBody.Store(false)
	n.progress.received.Store(0)
	n.progress.readingSince.Store(now.UnixNano())
	n.setReadDeadline(now.Add(HeadTimeout))
}

// startBody starts the time limits of the body. The head has been read.
func (n *session) startBody() {
	n.progress.inBody.Store(true)
	n.progress.received.Store(0)
	n.progress.readingSince.Store(time.Now().UnixNano())
}

// endReading ends the time limits of a request that has been read.
func (n *session) endReading() {
	n.progress.inBody.Store(false)
	n.progress.readingSince.Store(0)
	if n.r.Buffered() == 0 {
		n.r = n.small
	}
}

// setReadDeadline sets the read deadline unless the connection is closing, whose deadline
// is in the past.
func (n *session) setReadDeadline(t time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.closing {
		_ = n.SetReadDeadline(t)
	}
}

// Read reads from the connection. A body has to bring bytes within StallTimeout and at
// minBodyRate.
func (n *session) Read(b []byte) (int, error) {
	if n.progress.inBody.Load() {
		since := time.Unix(0, n.progress.readingSince.Load())
		earned := time.Duration(n.progress.received.Load()) * time.Second / minBodyRate
		stall, end := time.Now().Add(StallTimeout), since.Add(BodyGrace+earned)
		if end.Before(stall) {
			stall = end
		}
		n.setReadDeadline(stall)
	}
	count, err := n.Conn.Read(b)
	n.progress.received.Add(int64(count))
	if n.arriving != nil {
		n.arriving.Arrived(count)
	}
	return count, err
}

// Write writes to the connection. The client has to take each piece within WriteTimeout.
func (n *session) Write(b []byte) (int, error) {
	defer n.progress.writingSince.Store(0)
	written := 0
	for {
		now := time.Now()
		n.progress.writingSince.Store(now.UnixNano())
		_ = n.SetWriteDeadline(now.Add(WriteTimeout))
		count, err := n.Conn.Write(b[written:min(written+writePiece, len(b))])
		written += count
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// slowSince returns since when the client has sent less than minBodyRate or has not taken
// a piece of an answer, and whether that is longer than slowAfter. Slow heads count only
// if withHeads is true: they hold a connection and next to no memory.
func (n *session) slowSince(now time.Time, withHeads bool) (time.Time, bool) {
	if at := n.progress.writingSince.Load(); at > 0 {
		since := time.Unix(0, at)
		return since, now.Sub(since) > slowAfter
	}
	at := n.progress.readingSince.Load()
	if at == 0 || (!withHeads && !n.progress.inBody.Load()) {
		return time.Time{}, false
	}
	since := time.Unix(0, at)
	elapsed := now.Sub(since)
	return since, elapsed > slowAfter && float64(n.progress.received.Load()) < elapsed.Seconds()*minBodyRate
}
