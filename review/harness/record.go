// Command review-case runs the scripted cases of the review: it starts the
// project's daemons as separate processes and plays the store, the backend
// servers and the clients.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the log of a case, with times in seconds since its start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates or truncates the log file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Logf writes one line.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Seconds returns a time as the log shows it.
func (r *Record) Seconds(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// Resultf writes a line to the log and to standard output.
func (r *Record) Resultf(format string, args ...any) {
	r.Logf(format, args...)
	fmt.Printf(format+"\n", args...)
}
