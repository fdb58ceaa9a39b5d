package retry

import (
	"testing"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/target"
)

// chain is a sequence of services, each of which calls the next while it runs a
// call. The last one refuses every call because it has no capacity.
type chain struct {
	policies []*Policy
	// reachedLast counts the calls that reach the last service.
	reachedLast int
	// carryDepth says whether calls carry their depth.
	carryDepth bool
}

func (c *chain) call(depth int) *call.Failure {
	if depth == len(c.policies) {
		c.reachedLast++
		return call.Refuse(call.Shed, nil)
	}
	r := &call.Request{Service: "next", Class: &target.Class{Idempotent: true}}
	if c.carryDepth {
		r.Depth = depth
	}
	c.policies[depth].Deposit(r)
	for {
		r.Attempt++
		f := c.call(depth + 1)
		if !c.policies[depth].Decide(r, f).Retry {
			return f
		}
	}
}

func runChain(depth, calls int, carryDepth bool) int {
	c := &chain{carryDepth: carryDepth}
	for range depth {
		c.policies = append(c.policies, NewPolicy())
	}
	for range calls {
		c.call(0)
	}
	return c.reachedLast
}

func TestRetriesBoundedAtAnyDepth(t *testing.T) {
	const depth, calls = 19, 2000
	with, without := runChain(depth, calls, true), runChain(depth, calls, false)
	t.Logf("%d calls through %d services: %d reach the last one, %d when calls do not carry their depth", calls, depth, with, without)
	if limit := calls + int(BudgetBurst+BudgetShare*calls); with > limit {
		t.Errorf("%d calls reach the last service, want at most %d", with, limit)
	}
}
