// Package readertest provides in-memory leases and the contract tests that every
// implementation of reader.Leases must pass.
package readertest

import (
	"context"
	"sync"
	"time"

	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/reader"
)

// Leases implements reader.Leases in memory.
type Leases struct {
	mu   sync.Mutex
	held map[string]lease
}

type lease struct {
	holder  member.ServerID
	expires time.Time
}

// NewLeases returns an empty set of leases.
func NewLeases() *Leases { return &Leases{held: map[string]lease{}} }

// Acquire acquires or renews a lease, or returns reader.ErrHeld.
func (l *Leases) Acquire(_ context.Context, c reader.Claim) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if current := l.held[c.Name]; c.BlockedBy(current.holder) && time.Now().Before(current.expires) {
		return reader.ErrHeld
	}
	l.held[c.Name] = lease{holder: c.Holder, expires: time.Now().Add(c.TTL)}
	return nil
}

// Release ends a lease if holder holds it, or returns reader.ErrHeld.
func (l *Leases) Release(_ context.Context, name string, holder member.ServerID) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held[name].holder != holder {
		return reader.ErrHeld
	}
	delete(l.held, name)
	return nil
}

// Holder returns the daemon that acquired a lease last, or an empty ID if there
// is none or it was released.
func (l *Leases) Holder(name string) member.ServerID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held[name].holder
}
