// Package retry decides which failed calls are tried again, when and where,
// and bounds retries to a share of first attempts.
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
	// MaxTries bounds the daemons that one call is sent to while none of them
	// lets it reach a backend server.
	MaxTries = 6
	// MaxRefusals bounds those that may refuse one call for want of room. Where
	// two have none, more attempts fill the links and the queues.
	MaxRefusals = 2
	// BudgetShare is the number of retries that each first attempt pays for.
	BudgetShare = 0.08
	// BudgetBurst is the number of retries that may be saved up.
	BudgetBurst = 10.0
	// BaseDelay is the longest pause before the second retry of a call; each
	// further one doubles it. The first retry goes to another server at once.
	BaseDelay = 8 * time.Millisecond
	// maxBudgets bounds the services whose budgets are remembered.
	maxBudgets = 8192
)

// Decision says whether and how a failed call is tried again.
type Decision struct {
	Retry bool
	// Delay is the pause before the retry.
	Delay time.Duration
	// NeedCapacity says that only a server which likely has room is worth it.
	NeedCapacity bool
}

// Policy decides about retries. Each service has a budget of its own.
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

// First counts the first attempt of a call.
func (p *Policy) First(service string) { p.budget(service).First() }

// Return gives back a retry that Next granted and that was not made.
func (p *Policy) Return(service string) { p.budget(service).Return() }

// Next decides about a call whose attempts so far ended in f.
func (p *Policy) Next(r *call.Request, f *call.Failure) Decision {
	if leftToOuter(r, f) || !Allowed(f, r.Class.Idempotent, r.Attempt) || r.Reached >= mostReached(r) {
		return Decision{}
	}
	if f.NoCapacity() && r.Refused >= MaxRefusals {
		return Decision{}
	}
	// A call that no backend server saw adds nothing to their load.
	if f.ReachedServer() && !p.budget(r.Service).Take() {
		return Decision{}
	}
	return Decision{Retry: true, Delay: delay(r.Attempt), NeedCapacity: f.NoCapacity()}
}

// mostReached returns how many backend servers a call may reach.
func mostReached(r *call.Request) int {
	if r.Class.Attempts > 0 {
		return min(r.Class.Attempts, MaxAttempts)
	}
	return MaxAttempts
}

// leftToOuter reports whether the retry is the business of the daemon that took
// the outermost call. Retries for want of room would multiply with the depth.
func leftToOuter(r *call.Request, f *call.Failure) bool { return r.Depth > 0 && f.NoCapacity() }

// delay returns a random pause before the retry that follows an attempt.
func delay(attempt int) time.Duration {
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
		p.forgetFull()
		b = NewBudget(p.limits)
		p.budgets[service] = b
	}
	return b
}

// forgetFull makes room for a new budget.
func (p *Policy) forgetFull() {
	if len(p.budgets) < maxBudgets {
		return
	}
	for service, b := range p.budgets {
		if b.full() {
			delete(p.budgets, service)
		}
	}
}

// Allowed reports whether a call that failed may be tried again at another
// backend server. A call that may have run is tried again only if idempotent.
func Allowed(f *call.Failure, idempotent bool, attempts int) bool {
	most := MaxAttempts
	if !f.ReachedServer() {
		most = MaxTries
	}
	if attempts >= most {
		return false
	}
	switch f.Reason {
	case call.Canceled, call.Deadline, call.NoRoute, call.BadRequest:
		return false
	}
	return f.Verdict == call.NotRun || idempotent
}
