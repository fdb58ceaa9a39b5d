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
	// maxBudgets bounds the services and classes whose budgets are kept.
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

// Policy decides about retries. Each service has its own budget, and so has each class of
// calls to it: a retry repeats the calls that its run makes to other services, and the
// first attempts of one class must not pay for the repeated calls of another.
type Policy struct {
	limits Limits

	mu      sync.Mutex
	budgets map[budgetKey]*Budget
}

// budgetKey names the budget of a service, or of one of its classes.
type budgetKey struct{ service, class string }

// NewPolicy returns a policy with the default limits and full budgets.
func NewPolicy() *Policy {
	return NewPolicyWithLimits(DefaultLimits())
}

// NewPolicyWithLimits returns a policy with the given limits and full budgets.
func NewPolicyWithLimits(l Limits) *Policy {
	return &Policy{limits: l, budgets: map[budgetKey]*Budget{}}
}

// Deposit adds the share for the first attempt of a call to the budgets of its service
// and class.
func (p *Policy) Deposit(r *call.Request) {
	for _, b := range p.budgetsOf(r) {
		b.Deposit()
	}
}

// Refund returns a retry that Decide or Withdraw granted and that was not made.
func (p *Policy) Refund(r *call.Request) {
	for _, b := range p.budgetsOf(r) {
		b.Refund()
	}
}

// Withdraw takes a retry from the budgets of a call's service and class, or none.
func (p *Policy) Withdraw(r *call.Request) bool {
	budgets := p.budgetsOf(r)
	for i, b := range budgets {
		if b.Withdraw() {
			continue
		}
		for _, taken := range budgets[:i] {
			taken.Refund()
		}
		return false
	}
	return true
}

// Available returns the retries in the budgets of a call's service and class. It changes
// nothing.
func (p *Policy) Available(r *call.Request) (service, class float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.available(budgetKey{service: r.Service}), p.available(budgetKey{r.Service, r.ClassName})
}

func (p *Policy) available(key budgetKey) float64 {
	if b := p.budgets[key]; b != nil {
		return b.Tokens()
	}
	return p.limits.Burst()
}

// Decide decides whether to retry a call whose attempts so far ended in f.
func (p *Policy) Decide(r *call.Request, f *call.Failure) Decision {
	if leftToOutermost(r, f) || !Allowed(f, r.Class.Idempotent, r.Attempt) || r.Reached >= MaxReached(r) {
		return Decision{}
	}
	if f.NoCapacity() && r.Refused >= MaxRefusals {
		return Decision{}
	}
	// A call that reached no backend server added no load to any, so its retry
	// is not charged to the budget.
	if f.ReachedServer() && !p.Withdraw(r) {
		return Decision{}
	}
	return Decision{Retry: true, Delay: backoff(r.Attempt), NeedCapacity: f.NoCapacity()}
}

// MaxReached returns how many backend servers a call may reach.
func MaxReached(r *call.Request) int {
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

// budgetsOf returns the budgets of a call's service and class.
func (p *Policy) budgetsOf(r *call.Request) [2]*Budget {
	p.mu.Lock()
	defer p.mu.Unlock()
	return [2]*Budget{p.budget(budgetKey{service: r.Service}), p.budget(budgetKey{r.Service, r.ClassName})}
}

func (p *Policy) budget(key budgetKey) *Budget {
	b := p.budgets[key]
	if b == nil {
		p.evictFull()
		b = NewBudget(p.limits)
		p.budgets[key] = b
	}
	return b
}

// evictFull drops the full budgets once there are maxBudgets.
func (p *Policy) evictFull() {
	if len(p.budgets) < maxBudgets {
		return
	}
	for key, b := range p.budgets {
		if b.full() {
			delete(p.budgets, key)
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
	case call.Canceled, call.Deadline, call.NoRoute, call.BadRequest, call.Unauthorized, call.OverAllowance:
		return false
	}
	return f.Verdict == call.NotRun || idempotent
}
