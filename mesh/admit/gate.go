// Package admit decides which calls run at a backend server, in which order,
// and which are refused at once.
package admit

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/target"
)

// Causes of refusals.
var (
	errQueueFull = errors.New("queue of the class is full")
	errTooLate   = errors.New("call could not be answered in time")
	errDraining  = errors.New("backend server is draining")
)

// Gate admits calls to one backend server. A free slot goes first to the class
// that has been below its guaranteed share for longest, then to the most urgent
// class; within a class, clients are served by fair queueing.
type Gate struct {
	mu    sync.Mutex
	limit limiter
	rate  rateLimit
	// refillTimer fills free slots once the rate limit permits another request.
	refillTimer *time.Timer
	running     int
	queued      int
	classes     classes
	draining    bool
	idle        chan struct{}
}

// waiter is a call at the gate.
type waiter struct {
	class   *class
	arrived time.Time
	// expires is when the call can no longer be answered in time.
	expires time.Time
	// started is when the call was admitted.
	started time.Time
	// decided is closed once the call is admitted or refused.
	decided chan struct{}
	refusal *call.Failure
	entry   queueEntry
}

// NewGate returns a gate with an adaptive limit for a backend server with the
// given number of slots.
func NewGate(slots int) *Gate {
	g := &Gate{classes: classes{}, idle: make(chan struct{})}
	g.limit.setSlots(slots)
	return g
}

// NewFixedGate returns a gate whose limit is always the number of slots of the
// backend server.
func NewFixedGate() *Gate {
	g := NewGate(0)
	g.limit.fixed = true
	return g
}

// SetSlots sets the number of slots that the backend server announces.
func (g *Gate) SetSlots(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit.setSlots(slots)
	g.fillSlots(time.Now())
}

// OpenFully lets calls use all slots before the first of them has ended, for a backend
// server that has not answered any other daemon.
func (g *Gate) OpenFully() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit.answered = true
	g.fillSlots(time.Now())
}

// Enter waits for a slot. The caller must call the returned function with the
// call's error when the call has ended. An error of Enter is a *call.Failure
// with verdict NotRun.
func (g *Gate) Enter(ctx context.Context, r *call.Request) (func(error), error) {
	w, refusal := g.arrive(ctx, r)
	if refusal != nil {
		return nil, refusal
	}
	if err := g.await(ctx, w); err != nil {
		return nil, err
	}
	if w.refusal != nil {
		return nil, w.refusal
	}
	return func(err error) { g.leave(w, err) }, nil
}

// await returns once the call is admitted or refused. When the call can no
// longer be answered in time or ctx ends, it removes the call from the queue
// and returns the refusal.
func (g *Gate) await(ctx context.Context, w *waiter) error {
	select {
	case <-w.decided:
		return nil
	default:
	}
	expired := time.NewTimer(time.Until(w.expires))
	defer expired.Stop()
	var refusal *call.Failure
	select {
	case <-w.decided:
		return nil
	case <-expired.C:
		refusal = call.Refuse(call.Overloaded, errTooLate)
	case <-ctx.Done():
		refusal = call.Refuse(cancelReason(ctx), ctx.Err())
	}
	if g.abandon(w) {
		return refusal
	}
	<-w.decided
	return nil
}

func cancelReason(ctx context.Context) call.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return call.Deadline
	}
	return call.Canceled
}

// arrive admits a call, queues it or refuses it.
func (g *Gate) arrive(ctx context.Context, r *call.Request) (*waiter, *call.Failure) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return nil, call.Refuse(call.Draining, errDraining)
	}
	now := time.Now()
	c := g.classes.get(r.Class)
	w := &waiter{class: c, arrived: now, expires: now.Add(c.maxQueueTime(r.Elapsed)), decided: make(chan struct{})}
	if deadline, ok := ctx.Deadline(); ok {
		latest := deadline.Add(-c.serviceTime)
		if !now.Before(latest) {
			c.decayServiceTime()
			return nil, call.Refuse(call.Deadline, errTooLate)
		}
		w.expires = earlier(w.expires, latest)
	}
	c.updateDemand(now)
	if g.running < g.limit.value() && c.queue.len() == 0 && g.mayStart(c, now) {
		g.admit(w, now)
		return w, nil
	}
	if refusal := g.enqueue(w, bucketOf(r.Client)); refusal != nil {
		return nil, refusal
	}
	g.awaitRefill(now)
	return w, nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// enqueue queues a call. It refuses the call if it would wait too long, or if
// the queue is full and displace finds no call to remove.
func (g *Gate) enqueue(w *waiter, b bucket) *call.Failure {
	c := w.class
	position := c.queue.position(b)
	if max(g.estimateWait(c, position), g.estimateRateWait(c, position, w.arrived)) > w.expires.Sub(w.arrived) {
		return call.Refuse(call.Overloaded, errTooLate)
	}
	if c.queue.len() >= g.limit.queueLimit()*QueuePerSlot {
		newest := c.queue.displace(b)
		if newest == nil {
			return call.Refuse(call.Overloaded, errQueueFull)
		}
		g.refuse(newest, call.Overloaded, errQueueFull)
	}
	c.queue.push(w, b)
	g.queued++
	return nil
}

// estimateWait estimates how long the call at a position of a class's queue
// waits.
func (g *Gate) estimateWait(c *class, position int) time.Duration {
	slots := max(g.availableSlots(c), minSlots)
	return time.Duration(float64(position) * float64(c.serviceTime) / slots)
}

// availableSlots estimates the slots that serve a class: those that more urgent
// classes do not use and that less urgent ones are not guaranteed.
func (g *Gate) availableSlots(c *class) float64 {
	limit := float64(g.limit.queueLimit())
	slots := limit
	for _, other := range g.classes {
		if other == c {
			continue
		}
		used := max(float64(other.running+other.queue.len()), g.reservedSlots(other))
		if c.moreUrgent(other) {
			used = min(used, other.target.GuaranteedShare*limit)
		}
		slots -= used
	}
	return max(slots, c.target.GuaranteedShare*limit)
}

// mayStart reports whether a free slot may go to a class rather than stay
// reserved for more urgent ones.
func (g *Gate) mayStart(c *class, now time.Time) bool {
	if c.belowGuarantee(now) {
		return g.rate.wait(1, now) == 0
	}
	if g.rate.wait(g.tokensFor(c, now), now) > 0 {
		return false
	}
	limit := float64(g.limit.value())
	running, unreserved := 0, limit
	for _, other := range g.classes {
		if other.moreUrgent(c) {
			unreserved -= g.reservedSlots(other)
			continue
		}
		running += other.running
	}
	return float64(running) < max(unreserved, 1)
}

// reservedSlots returns the slots that are reserved for a class against less
// urgent ones: a share of its recent demand, limited by their guaranteed
// shares.
func (g *Gate) reservedSlots(c *class) float64 {
	guaranteed := 0.0
	for _, other := range g.classes {
		if c.moreUrgent(other) {
			guaranteed += other.target.GuaranteedShare
		}
	}
	return min(math.Ceil(reservedShare*c.demand-unreservedDemand), (1-guaranteed)*float64(g.limit.value()))
}

// nextClass returns the class whose waiter is admitted next: the one that is
// longest below its guaranteed share, else the most urgent one. It returns nil
// if the free slots are reserved for other classes.
func (g *Gate) nextClass(now time.Time) *class {
	var starved, urgent *class
	for _, c := range g.classes {
		if c.queue.len() == 0 {
			continue
		}
		if c.belowGuarantee(now) && g.mayStart(c, now) && (starved == nil || c.virtualStart.Before(starved.virtualStart)) {
			starved = c
		}
		if (urgent == nil || c.precedes(urgent)) && g.mayStart(c, now) {
			urgent = c
		}
	}
	if starved != nil {
		return starved
	}
	return urgent
}

// refuse refuses a call that was already removed from its queue.
func (g *Gate) refuse(w *waiter, reason call.Reason, err error) {
	g.queued--
	w.refusal = call.Refuse(reason, err)
	close(w.decided)
}

// abandon removes a waiter from its queue and reports whether it was still
// queued.
func (g *Gate) abandon(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !w.class.queue.remove(w) {
		return false
	}
	g.queued--
	g.signalIdle()
	return true
}

func (g *Gate) leave(w *waiter, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.limit.observeEnd()
	g.observeOutcome(w, now.Sub(w.started), err)
	w.class.updateDemand(now)
	g.running--
	w.class.running--
	g.fillSlots(now)
	g.signalIdle()
}

// observeOutcome updates the estimates with the outcome of a call.
func (g *Gate) observeOutcome(w *waiter, elapsed time.Duration, err error) {
	var f *call.Failure
	if errors.As(err, &f) {
		if f.Reason == call.Shed {
			g.limit.observeShed()
		}
		if elapsed < w.class.serviceTime || f.Verdict == call.NotRun {
			return
		}
	}
	unloaded := g.limit.unloaded(g.running)
	g.limit.observe(w.class.observeServiceTime(elapsed, unloaded), g.running)
}

// fillSlots admits queued calls to the free slots.
func (g *Gate) fillSlots(now time.Time) {
	defer g.awaitRefill(now)
	for g.running < g.limit.value() && g.queued > 0 {
		c := g.nextClass(now)
		if c == nil {
			return
		}
		w := c.queue.pop()
		if !now.Before(w.expires) {
			g.refuse(w, call.Overloaded, errTooLate)
			continue
		}
		g.queued--
		g.admit(w, now)
	}
}

func (g *Gate) admit(w *waiter, now time.Time) {
	g.running++
	g.rate.take()
	w.class.running++
	w.class.charge(now, float64(g.limit.value()), &g.rate)
	w.started = now
	close(w.decided)
}

// signalIdle wakes Drain once no calls run or wait.
func (g *Gate) signalIdle() {
	if !g.draining || g.running > 0 || g.queued > 0 {
		return
	}
	select {
	case <-g.idle:
	default:
		close(g.idle)
	}
}

// Close refuses the queued calls, and all new ones until Open. Admitted calls
// continue.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	for _, c := range g.classes {
		for c.queue.len() > 0 {
			g.refuse(c.queue.pop(), call.Draining, errDraining)
		}
	}
	g.signalIdle()
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
	g.signalIdle()
	// Open may replace the channel.
	idle := g.idle
	g.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Idle reports whether the gate is closed or draining and no calls run or wait.
func (g *Gate) Idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining && g.running == 0 && g.queued == 0
}

// Load returns the gate's load.
func (g *Gate) Load() call.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return call.Load{Running: g.running, Queued: g.queued, Limit: g.limit.value()}
}

// LoadFor returns the load as seen by a call of a class: queued calls of less urgent
// classes do not count. The class is nil for a call that was not classified.
func (g *Gate) LoadFor(t *target.Class) call.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	load := call.Load{Running: g.running, Limit: g.limit.value()}
	var c *class
	if t != nil {
		c = g.classes[keyOf(t)]
	}
	if c == nil {
		load.Queued = g.queued
		return load
	}
	load.Limit = g.rate.concurrency(load.Limit, c.serviceTime)
	load.ServiceTime = c.serviceTime
	for _, other := range g.classes {
		if !c.moreUrgent(other) {
			load.Queued += other.queue.len()
		}
	}
	return load
}
