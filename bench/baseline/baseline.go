// Package baseline implements simple policies that the project's own policy is
// compared with.
package baseline

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/retry"
	"fescuehoist.example/mesh/route"
	"fescuehoist.example/mesh/target"
)

// OpenGate admits every call.
type OpenGate struct{ running atomic.Int64 }

// Enter admits the call.
func (g *OpenGate) Enter(context.Context, *call.Request) (func(error), error) {
	g.running.Add(1)
	return func(error) { g.running.Add(-1) }, nil
}

// LoadFor returns the gate's load.
func (g *OpenGate) LoadFor(*target.Class) call.Load { return g.Load() }

// Load returns the number of running calls.
func (g *OpenGate) Load() call.Load { return call.Load{Running: int(g.running.Load())} }

// Idle returns false, since the gate never closes.
func (g *OpenGate) Idle() bool { return false }

// ObserveCondition does nothing.
func (g *OpenGate) ObserveCondition(call.Condition) {}

// RateLimit returns 0: there is no limit.
func (g *OpenGate) RateLimit() float64 { return 0 }

// SetSlots does nothing.
func (g *OpenGate) SetSlots(int) {}

// OpenFully does nothing.
func (g *OpenGate) OpenFully() {}

// Drain does nothing.
func (g *OpenGate) Drain(context.Context) error { return nil }

// Close does nothing.
func (g *OpenGate) Close() {}

// Open does nothing.
func (g *OpenGate) Open() {}

// FIFOGate admits calls in their order of arrival while there are free slots. A
// call waits in the queue until its deadline.
type FIFOGate struct {
	mu      sync.Mutex
	slots   int
	running int
	waiting []*waiter
}

// waiter is a queued call. admitted is closed once the call has a slot; abandoned
// is set if its deadline passed first.
type waiter struct {
	admitted  chan struct{}
	abandoned bool
}

// Enter waits for a slot and returns the function that releases it. It refuses the
// call with reason call.Deadline if ctx ends first.
func (g *FIFOGate) Enter(ctx context.Context, _ *call.Request) (func(error), error) {
	w := g.enqueue()
	select {
	case <-w.admitted:
		return g.release, nil
	case <-ctx.Done():
	}
	if !g.abandon(w) {
		g.release(nil)
	}
	return nil, call.Refuse(call.Deadline, ctx.Err())
}

// enqueue appends a call to the queue.
func (g *FIFOGate) enqueue() *waiter {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := &waiter{admitted: make(chan struct{})}
	g.waiting = append(g.waiting, w)
	g.admit()
	return w
}

// abandon marks a waiter as abandoned unless it is admitted already, and reports
// whether it did so.
func (g *FIFOGate) abandon(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-w.admitted:
		return false
	default:
		w.abandoned = true
		return true
	}
}

// release frees a slot.
func (g *FIFOGate) release(error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.admit()
}

// admit gives the free slots to the first waiters of the queue that are not
// abandoned. The caller holds g.mu.
func (g *FIFOGate) admit() {
	for g.running < g.slots && len(g.waiting) > 0 {
		w := g.waiting[0]
		g.waiting = g.waiting[1:]
		if w.abandoned {
			continue
		}
		g.running++
		close(w.admitted)
	}
}

// LoadFor returns the gate's load.
func (g *FIFOGate) LoadFor(*target.Class) call.Load { return g.Load() }

// ObserveCondition does nothing.
func (g *FIFOGate) ObserveCondition(call.Condition) {}

// RateLimit returns 0: there is no limit.
func (g *FIFOGate) RateLimit() float64 { return 0 }

// Idle returns false, since the gate never closes.
func (g *FIFOGate) Idle() bool { return false }

// Load returns the gate's load.
func (g *FIFOGate) Load() call.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return call.Load{Running: g.running, Queued: len(g.waiting), Limit: g.slots}
}

// OpenFully does nothing.
func (g *FIFOGate) OpenFully() {}

// SetSlots sets the number of slots.
func (g *FIFOGate) SetSlots(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slots = slots
	g.admit()
}

// Drain does nothing.
func (g *FIFOGate) Drain(context.Context) error { return nil }

// Close does nothing.
func (g *FIFOGate) Close() {}

// Open does nothing.
func (g *FIFOGate) Open() {}

// RoundRobin picks the servers of a service in turn.
type RoundRobin struct{ next atomic.Uint64 }

// Pick returns the next server that the call has not tried, or nil if it has tried
// all.
func (p *RoundRobin) Pick(s *route.Service, q route.Query) *member.Record {
	for range s.Servers {
		r := s.Servers[p.next.Add(1)%uint64(len(s.Servers))]
		if !slices.Contains(q.Tried, r.Server) {
			return r
		}
	}
	return nil
}

// Done does nothing.
func (p *RoundRobin) Done(member.ServerID, route.Outcome) {}

// InstantRetries retries without a delay and without a budget.
type InstantRetries struct{}

// Deposit does nothing.
func (InstantRetries) Deposit(*call.Request) {}

// Refund does nothing.
func (InstantRetries) Refund(*call.Request) {}

// Withdraw permits every copy.
func (InstantRetries) Withdraw(*call.Request) bool { return true }

// Decide retries every call whose failure and class allow it.
func (InstantRetries) Decide(r *call.Request, f *call.Failure) retry.Decision {
	return retry.Decision{Retry: retry.Allowed(f, r.Class.Idempotent, r.Attempt)}
}

// NoRetries retries no call.
type NoRetries struct{ InstantRetries }

// Decide returns a decision not to retry.
func (NoRetries) Decide(*call.Request, *call.Failure) retry.Decision { return retry.Decision{} }

// AllowAll is a throttle that rejects no call.
type AllowAll struct{}

// Allow returns true.
func (AllowAll) Allow(_, _, _ string) bool { return true }

// Done does nothing.
func (AllowAll) Done(_, _, _ string, _ bool) {}
