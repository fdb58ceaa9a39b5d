package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxQueuedLines is the maximum number of lines waiting for the output.
	maxQueuedLines = 2048
	// reportInterval is the minimum time between two reports of dropped lines.
	reportInterval = time.Second
)

// Queue is an io.Writer that never blocks. Lines wait for a slow output in a
// bounded queue; lines that do not fit are dropped, counted and reported.
type Queue struct {
	lines chan []byte
	done  chan struct{}

	mu       sync.Mutex
	dropped  uint64
	reported uint64
	closed   bool
}

// NewQueue starts a queue in front of out. Close stops it.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go q.run(out)
	return q
}

// Write queues one line. It never fails, and discards the line after Close.
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

// Close writes the queued lines, but waits at most timeout for a blocked output.
func (q *Queue) Close(timeout time.Duration) {
	q.mu.Lock()
	if !q.closed {
		q.closed = true
		close(q.lines)
	}
	q.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-q.done:
	case <-timer.C:
	}
}

// run writes queued lines to out until the queue is closed. A write error is
// ignored and its line lost: there is no other place to report it.
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

// report writes how many lines were dropped since the last report, if any.
func (q *Queue) report(out io.Writer, now time.Time) {
	q.mu.Lock()
	dropped := q.dropped - q.reported
	q.reported = q.dropped
	q.mu.Unlock()
	if dropped > 0 {
		_, _ = fmt.Fprintf(out, "%s warni logging: output too slow, dropped log lines count=%d\n", now.UTC().Format(time.RFC3339Nano), dropped)
	}
}
