// Package readertest provides leases in memory and the tests that every
// implementation of leases must pass.
package readertest

import (
	"context"
	"sync"
	"time"

	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/reader"
)

// Leases keeps leases in memory.
type Leases struct {
	mu   sync.Mutex
	held map[string]lease
}

type lease struct {
	holder member.ServerID
	until  time.Time
}

// NewLeases returns leases that nobody holds.
func NewLeases() *Leases { return &Leases{held: map[string]lease{}} }

// Acquire takes or renews a lease, or returns reader.ErrHeld.
func (l *Leases) Acquire(_ context.Context, c reader.Claim) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if have := l.held[c.Name]; c.BlockedBy(have.holder) && time.Now().Before(have.until) {
		return reader.ErrHeld
	}
	l.held[c.Name] = lease{holder: c.Holder, until: time.Now().Add(c.TTL)}
	return nil
}

// Release gives a lease up if holder has it.
func (l *Leases) Release(_ context.Context, name string, holder member.ServerID) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held[name].holder != holder {
		return reader.ErrHeld
	}
	delete(l.held, name)
	return nil
}

// Holder returns who holds a lease, or an empty id.
func (l *Leases) Holder(name string) member.ServerID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held[name].holder
}
