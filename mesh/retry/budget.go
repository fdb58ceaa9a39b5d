// Package retry decides which failed calls are tried again, and bounds retries
// to a share of first attempts.
package retry

import (
	"sync"

	"fescuehoist.example/mesh/call"
)

// Limits on retries.
const (
	// MaxAttempts bounds the attempts of one call, the first included.
	MaxAttempts = 3
	// BudgetShare is the number of retries that each first attempt pays for.
	BudgetShare = 0.1
	// BudgetBurst is the number of retries that may be saved up.
	BudgetBurst = 10.0
)

// Budget bounds retries to a share of first attempts.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: BudgetBurst} }

// First pays for a share of a retry at each first attempt.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+BudgetShare, BudgetBurst)
}

// Take spends one retry and reports whether there was one.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Allowed reports whether a call that failed may be tried again at another
// backend server. A call that may have run is tried again only if idempotent.
func Allowed(f *call.Failure, idempotent bool, attempts int) bool {
	if attempts >= MaxAttempts {
		return false
	}
	switch f.Reason {
	case call.Canceled, call.Deadline, call.NoRoute, call.BadRequest:
		return false
	}
	return f.Verdict == call.NotRun || (f.Verdict == call.MayHaveRun && idempotent)
}
