// Package admit lets calls through to one backend server: at most as many at
// once as it has slots, the most urgent first.
package admit

import (
	"container/list"
	"context"
	"errors"
	"sync"
	"time"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/target"
)

// QueuePerSlot is how many calls may wait for each slot.
const QueuePerSlot = 4

// Causes of refusals.
var (
	errQueueFull = errors.New("the queue is full")
	errTooLate   = errors.New("the call would not be answered in time")
	errDraining  = errors.New("the backend server is leaving")
)

// Gate admits calls to one backend server.
type Gate struct {
	mu       sync.Mutex
	limit    int
	running  int
	queues   [target.MaxRank + 1]list.List
	queued   int
	draining bool
	idle     chan struct{}
}

// waiter is a queued call; admitted is closed when it may run.
type waiter struct {
	admitted chan struct{}
	err      *call.Failure
}

// NewGate returns a gate with the given number of slots.
func NewGate(slots int) *Gate { return &Gate{limit: slots, idle: make(chan struct{})} }

// SetSlots changes the number of slots.
func (g *Gate) SetSlots(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = slots
	g.admitNext()
}

// Enter waits for a slot. The caller must call the returned function when the
// call has ended. An error is a *call.Failure with verdict NotRun.
func (g *Gate) Enter(ctx context.Context, r *call.Request) (func(error), error) {
	class := r.Class
	w, err := g.enqueue(ctx, class)
	if err != nil {
		return nil, err
	}
	select {
	case <-w.admitted:
	case <-ctx.Done():
		if g.abandon(w, class) {
			return nil, call.Refuse(call.Deadline, ctx.Err())
		}
		<-w.admitted
	}
	if w.err != nil {
		return nil, w.err
	}
	return g.leave, nil
}

func (g *Gate) enqueue(ctx context.Context, class *target.Class) (*waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return nil, call.Refuse(call.Draining, errDraining)
	}
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		return nil, call.Refuse(call.Deadline, errTooLate)
	}
	w := &waiter{admitted: make(chan struct{})}
	if g.running < g.limit && g.queued == 0 {
		g.running++
		close(w.admitted)
		return w, nil
	}
	if g.queued >= g.limit*QueuePerSlot && !g.displace(class.Rank) {
		return nil, call.Refuse(call.Overloaded, errQueueFull)
	}
	g.queues[class.Rank].PushBack(w)
	g.queued++
	return w, nil
}

// displace refuses the newest waiter of the least urgent rank, if that is less
// urgent than rank.
func (g *Gate) displace(rank int) bool {
	for r := len(g.queues) - 1; r > rank; r-- {
		e := g.queues[r].Back()
		if e == nil {
			continue
		}
		w := g.queues[r].Remove(e).(*waiter)
		g.queued--
		w.err = call.Refuse(call.Overloaded, errQueueFull)
		close(w.admitted)
		return true
	}
	return false
}

// abandon removes a waiter and reports whether it was still queued.
func (g *Gate) abandon(w *waiter, class *target.Class) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	q := &g.queues[class.Rank]
	for e := q.Front(); e != nil; e = e.Next() {
		if e.Value == w {
			q.Remove(e)
			g.queued--
			return true
		}
	}
	return false
}

func (g *Gate) leave(error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.admitNext()
	if g.draining && g.running == 0 && g.queued == 0 {
		g.signalIdle()
	}
}

func (g *Gate) admitNext() {
	for r := 1; r < len(g.queues) && g.running < g.limit; {
		e := g.queues[r].Front()
		if e == nil {
			r++
			continue
		}
		w := g.queues[r].Remove(e).(*waiter)
		g.queued--
		g.running++
		close(w.admitted)
	}
}

func (g *Gate) signalIdle() {
	select {
	case <-g.idle:
	default:
		close(g.idle)
	}
}

// Close refuses new calls until Open; those admitted and queued go on.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
}

// Open admits calls again after Close.
func (g *Gate) Open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = false
	g.idle = make(chan struct{})
}

// Drain refuses new calls from now on and returns once all admitted and queued
// calls have ended, or with the error of ctx.
func (g *Gate) Drain(ctx context.Context) error {
	g.mu.Lock()
	g.draining = true
	if g.running == 0 && g.queued == 0 {
		g.signalIdle()
	}
	g.mu.Unlock()
	select {
	case <-g.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Load returns the gate's load.
func (g *Gate) Load() call.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return call.Load{Running: g.running, Queued: g.queued, Limit: g.limit}
}
