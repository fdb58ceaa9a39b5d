package retry

import "sync"

// Limits bound retries at one daemon.
type Limits struct {
	// Share returns the number of retries that each first attempt pays for.
	Share func() float64
	// Burst returns the number of retries that may be saved up.
	Burst func() float64
}

// Budget bounds retries to a share of first attempts.
type Budget struct {
	limits Limits

	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(l Limits) *Budget { return &Budget{limits: l, tokens: l.Burst()} }

// First pays for a share of a retry at each first attempt.
func (b *Budget) First() { b.add(b.limits.Share()) }

// Return gives back a retry that was not made.
func (b *Budget) Return() { b.add(1) }

func (b *Budget) add(tokens float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+tokens, b.limits.Burst())
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

// full reports whether the budget is as good as new.
func (b *Budget) full() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens >= b.limits.Burst()
}

// DefaultLimits returns the limits of a daemon on its own.
func DefaultLimits() Limits {
	return Limits{Share: func() float64 { return BudgetShare }, Burst: func() float64 { return BudgetBurst }}
}
