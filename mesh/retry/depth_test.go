package retry

import (
	"testing"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/target"
)

// chain is a line of services, each of which calls the next while it runs a
// call; the last one refuses every call for want of room.
type chain struct {
	policies []*Policy
	// atEnd counts the calls that reach the last service.
	atEnd int
	// known says whether calls carry their depth.
	known bool
}

func (c *chain) call(depth int) *call.Failure {
	if depth == len(c.policies) {
		c.atEnd++
		return call.Refuse(call.Shed, nil)
	}
	r := &call.Request{Service: "next", Class: &target.Class{Idempotent: true}}
	if c.known {
		r.Depth = depth
	}
	c.policies[depth].First(r.Service)
	for {
		r.Attempt++
		f := c.call(depth + 1)
		if !c.policies[depth].Next(r, f).Retry {
			return f
		}
	}
}

func run(depth, calls int, known bool) int {
	c := &chain{known: known}
	for range depth {
		c.policies = append(c.policies, NewPolicy())
	}
	for range calls {
		c.call(0)
	}
	return c.atEnd
}

func TestRetriesDoNotMultiplyWithDepth(t *testing.T) {
	const depth, calls = 19, 2000
	with, without := run(depth, calls, true), run(depth, calls, false)
	t.Logf("%d calls through %d services: %d reach the last one, %d if calls did not carry their depth", calls, depth, with, without)
	if most := calls + int(BudgetBurst+BudgetShare*calls); with > most {
		t.Errorf("%d calls reach the last service, more than %d", with, most)
	}
}
