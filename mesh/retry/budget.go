package retry

import "sync"

// Limits bound retries at one daemon.
type Limits struct {
	// Share returns the number of retries that each first attempt deposits.
	Share func() float64
	// Burst returns the number of retries that the budget holds at most.
	Burst func() float64
}

// Budget is a token bucket that bounds retries to a share of first attempts.
type Budget struct {
	limits Limits

	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(l Limits) *Budget { return &Budget{limits: l, tokens: l.Burst()} }

// Deposit adds a share of a retry for one first attempt.
func (b *Budget) Deposit() { b.add(b.limits.Share()) }

// Refund returns a withdrawn retry that was not made.
func (b *Budget) Refund() { b.add(1) }

func (b *Budget) add(tokens float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+tokens, b.limits.Burst())
}

// Withdraw takes one retry from the budget and reports whether there was one.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the number of retries in the budget.
func (b *Budget) Tokens() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}

// full reports whether the budget holds as much as it can, as a new one does.
func (b *Budget) full() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens >= b.limits.Burst()
}

// DefaultLimits returns the default limits of a single daemon.
func DefaultLimits() Limits {
	return Limits{Share: func() float64 { return BudgetShare }, Burst: func() float64 { return BudgetBurst }}
}
