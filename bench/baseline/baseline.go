// Package baseline holds simple policies to compare the project's with.
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
)

// OpenGate lets every call through.
type OpenGate struct{ running atomic.Int64 }

// Enter lets the call through.
func (g *OpenGate) Enter(context.Context, *call.Request) (func(error), error) {
	g.running.Add(1)
	return func(error) { g.running.Add(-1) }, nil
}

// LoadFor returns the gate's load.
func (g *OpenGate) LoadFor(string) call.Load { return g.Load() }

// Load returns the number of calls that run.
func (g *OpenGate) Load() call.Load { return call.Load{Running: int(g.running.Load())} }

// Idle is false: the gate never closes.
func (g *OpenGate) Idle() bool { return false }

// SetSlots does nothing.
func (g *OpenGate) SetSlots(int) {}

// Drain does nothing.
func (g *OpenGate) Drain(context.Context) error { return nil }

// Close does nothing.
func (g *OpenGate) Close() {}

// Open does nothing.
func (g *OpenGate) Open() {}

// FIFOGate runs as many calls at once as there are slots, first come first
// served. A call waits until its deadline.
type FIFOGate struct {
	mu      sync.Mutex
	slots   int
	running int
	waiting []*waiter
}

type waiter struct {
	admitted chan struct{}
	gone     bool
}

// Enter waits for a slot.
func (g *FIFOGate) Enter(ctx context.Context, _ *call.Request) (func(error), error) {
	w := g.join()
	select {
	case <-w.admitted:
		return g.leave, nil
	case <-ctx.Done():
	}
	if !g.abandon(w) {
		g.leave(nil)
	}
	return nil, call.Refuse(call.Deadline, ctx.Err())
}

func (g *FIFOGate) join() *waiter {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := &waiter{admitted: make(chan struct{})}
	g.waiting = append(g.waiting, w)
	g.admit()
	return w
}

// abandon reports whether the waiter was not admitted yet.
func (g *FIFOGate) abandon(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-w.admitted:
		return false
	default:
		w.gone = true
		return true
	}
}

func (g *FIFOGate) leave(error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.admit()
}

func (g *FIFOGate) admit() {
	for g.running < g.slots && len(g.waiting) > 0 {
		w := g.waiting[0]
		g.waiting = g.waiting[1:]
		if w.gone {
			continue
		}
		g.running++
		close(w.admitted)
	}
}

// LoadFor returns the gate's load.
func (g *FIFOGate) LoadFor(string) call.Load { return g.Load() }

// Idle is false: the gate never closes.
func (g *FIFOGate) Idle() bool { return false }

// Load returns the gate's load.
func (g *FIFOGate) Load() call.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return call.Load{Running: g.running, Queued: len(g.waiting), Limit: g.slots}
}

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

// RoundRobin takes the servers of a service in turn.
type RoundRobin struct{ next atomic.Uint64 }

// Pick returns the next server that was not tried.
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

// InstantRetries retries at once and without a budget.
type InstantRetries struct{}

// Deposit does nothing.
func (InstantRetries) Deposit(string) {}

// Refund does nothing.
func (InstantRetries) Refund(string) {}

// Decide tries every call again that may be.
func (InstantRetries) Decide(r *call.Request, f *call.Failure) retry.Decision {
	return retry.Decision{Retry: retry.Allowed(f, r.Class.Idempotent, r.Attempt)}
}

// NoRetries tries no call again.
type NoRetries struct{ InstantRetries }

// Decide ends every call.
func (NoRetries) Decide(*call.Request, *call.Failure) retry.Decision { return retry.Decision{} }

// AllowAll turns no call away.
type AllowAll struct{}

// Allow lets the call pass.
func (AllowAll) Allow(_, _, _ string) bool { return true }

// Done does nothing.
func (AllowAll) Done(_, _, _ string, _ bool) {}
