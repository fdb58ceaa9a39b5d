// Package retry decides which failed calls are retried, when and where, and
// bounds retries to a share of first attempts.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"fescuehoist.example/mesh/call"
)

// Limits on retries.
const (
	// MaxAttempts bounds the attempts of one call, the first included.
	MaxAttempts = 3
	// MaxUnreachedAttempts bounds the attempts of one call while none of them
	// reaches a backend server.
	MaxUnreachedAttempts = 6
	// MaxRefusals bounds the servers that may refuse one call because they have
	// no capacity. After two of them, more attempts would only fill links and
	// queues.
	MaxRefusals = 2
	// BudgetShare is the number of retries that each first attempt deposits.
	BudgetShare = 0.08
	// BudgetBurst is the number of retries that a budget holds at most.
	BudgetBurst = 10.0
	// BaseDelay is the longest pause before the second retry of a call; it
	// doubles with each further one. The first retry goes to another server at
	// once.
	BaseDelay = 8 * time.Millisecond
	// maxBudgets bounds the services whose budgets are kept.
	maxBudgets = 8192
)

// Decision says whether and how a failed call is retried.
type Decision struct {
	Retry bool
	// Delay is the pause before the retry.
	Delay time.Duration
	// NeedCapacity means that the retry must go to a server that is likely to
	// have a free slot.
	NeedCapacity bool
}

// Policy decides about retries. Each service has its own budget.
type Policy struct {
	limits Limits

	mu      sync.Mutex
	budgets map[string]*Budget
}

// NewPolicy returns a policy with the default limits and full budgets.
func NewPolicy() *Policy {
	return NewPolicyWithLimits(DefaultLimits())
}

// NewPolicyWithLimits returns a policy with the given limits and full budgets.
func NewPolicyWithLimits(l Limits) *Policy { return &Policy{limits: l, budgets: map[string]*Budget{}} }

// Deposit adds the share for the first attempt of a call to the budget of the
// service.
func (p *Policy) Deposit(service string) { p.budget(service).Deposit() }

// Refund returns a retry that Decide granted and that was not made.
func (p *Policy) Refund(service string) { p.budget(service).Refund() }

// Decide decides whether to retry a call whose attempts so far ended in f.
func (p *Policy) Decide(r *call.Request, f *call.Failure) Decision {
	if leftToOutermost(r, f) || !Allowed(f, r.Class.Idempotent, r.Attempt) || r.Reached >= maxReached(r) {
		return Decision{}
	}
	if f.NoCapacity() && r.Refused >= MaxRefusals {
		return Decision{}
	}
	// A call that reached no backend server added no load to any, so its retry
	// is not charged to the budget.
	if f.ReachedServer() && !p.budget(r.Service).Withdraw() {
		return Decision{}
	}
	return Decision{Retry: true, Delay: backoff(r.Attempt), NeedCapacity: f.NoCapacity()}
}

// maxReached returns how many backend servers a call may reach.
func maxReached(r *call.Request) int {
	if r.Class.Attempts > 0 {
		return min(r.Class.Attempts, MaxAttempts)
	}
	return MaxAttempts
}

// leftToOutermost reports whether the retry is left to the daemon that received
// the outermost call: retries for lack of capacity at every depth would multiply.
func leftToOutermost(r *call.Request, f *call.Failure) bool { return r.Depth > 0 && f.NoCapacity() }

// backoff returns a random pause before the retry that follows an attempt.
func backoff(attempt int) time.Duration {
	if attempt < 2 {
		return 0
	}
	return rand.N(BaseDelay << (attempt - 2))
}

func (p *Policy) budget(service string) *Budget {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.budgets[service]
	if b == nil {
		p.evictFull()
		b = NewBudget(p.limits)
		p.budgets[service] = b
	}
	return b
}

// evictFull drops the full budgets once there are maxBudgets.
func (p *Policy) evictFull() {
	if len(p.budgets) < maxBudgets {
		return
	}
	for service, b := range p.budgets {
		if b.full() {
			delete(p.budgets, service)
		}
	}
}

// Allowed reports whether a failed call may be retried on another backend
// server. A call that may have run is retried only if it is idempotent.
func Allowed(f *call.Failure, idempotent bool, attempts int) bool {
	limit := MaxAttempts
	if !f.ReachedServer() {
		limit = MaxUnreachedAttempts
	}
	if attempts >= limit {
		return false
	}
	switch f.Reason {
	case call.Canceled, call.Deadline, call.NoRoute, call.BadRequest:
		return false
	}
	return f.Verdict == call.NotRun || idempotent
}
