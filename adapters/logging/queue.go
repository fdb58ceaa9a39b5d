package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// queueLines is the number of lines that wait for the output at most.
	queueLines = 2048
	// reportInterval is the least time between two reports of dropped lines.
	reportInterval = time.Second
)

// Queue is a writer that never blocks: lines wait for a slow output in a
// bounded queue, and those beyond it are dropped, counted and reported.
type Queue struct {
	lines chan []byte
	done  chan struct{}

	mu       sync.Mutex
	dropped  uint64
	reported uint64
	closed   bool
}

// NewQueue starts a queue in front of an output; Close ends it.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go q.run(out)
	return q
}

// Write queues one line. It never fails.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return len(line), nil
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped++
	}
	return len(line), nil
}

// Close writes what is queued, but waits for a blocked output no longer than
// limit.
func (q *Queue) Close(limit time.Duration) {
	q.mu.Lock()
	if !q.closed {
		q.closed = true
		close(q.lines)
	}
	q.mu.Unlock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-q.done:
	case <-timer.C:
	}
}

// run is the task of the output. An output that fails loses the line: there is
// no other place to report it.
func (q *Queue) run(out io.Writer) {
	defer close(q.done)
	var reportAt time.Time
	for line := range q.lines {
		_, _ = out.Write(line)
		if now := time.Now(); now.After(reportAt) {
			q.report(out, now)
			reportAt = now.Add(reportInterval)
		}
	}
}

// report says how many lines were dropped since the last report.
func (q *Queue) report(out io.Writer, now time.Time) {
	q.mu.Lock()
	lost := q.dropped - q.reported
	q.reported = q.dropped
	q.mu.Unlock()
	if lost > 0 {
		_, _ = fmt.Fprintf(out, "%s warni logging: dropped lines count=%d\n", now.UTC().Format(time.RFC3339Nano), lost)
	}
}
