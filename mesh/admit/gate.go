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
)

// Causes of refusals.
var (
	errQueueFull = errors.New("the queue is full")
	errTooLate   = errors.New("the call would not be answered in time")
	errDraining  = errors.New("the backend server is leaving")
)

// Gate admits calls to one backend server. A free slot goes to the class that
// has had the least of the share that it keeps, then to the most urgent class;
// within a class, clients take turns.
type Gate struct {
	mu       sync.Mutex
	limit    limiter
	running  int
	queued   int
	classes  classes
	draining bool
	idle     chan struct{}
}

// waiter is a call at the gate.
type waiter struct {
	class   *class
	arrived time.Time
	// expires is when the call would no longer be answered in time.
	expires time.Time
	// started is when the call was admitted.
	started time.Time
	// decided is closed once the call is admitted or refused.
	decided chan struct{}
	refusal *call.Failure
	place   place
}

// NewGate returns a gate for a backend server with the given number of slots.
func NewGate(slots int) *Gate {
	g := &Gate{classes: classes{}, idle: make(chan struct{})}
	g.limit.setSlots(slots)
	return g
}

// NewFixedGate returns a gate that always admits as many calls at once as the
// backend server has slots.
func NewFixedGate() *Gate {
	g := NewGate(0)
	g.limit.fixed = true
	return g
}

// SetSlots changes the number of slots that the backend server announces.
func (g *Gate) SetSlots(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit.setSlots(slots)
	g.admitNext(time.Now())
}

// Enter waits for a slot. The caller must call the returned function when the
// call has ended, with its error. An error of Enter is a *call.Failure with
// verdict NotRun.
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

// await returns once the call is decided, or gives it up when it would no longer
// be answered in time.
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
		refusal = call.Refuse(reasonOf(ctx), ctx.Err())
	}
	if g.abandon(w) {
		return refusal
	}
	<-w.decided
	return nil
}

func reasonOf(ctx context.Context) call.Reason {
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
	w := &waiter{class: c, arrived: now, expires: now.Add(c.patience(r.Elapsed)), decided: make(chan struct{})}
	if deadline, ok := ctx.Deadline(); ok {
		latest := deadline.Add(-c.service)
		if !now.Before(latest) {
			c.doubt()
			return nil, call.Refuse(call.Deadline, errTooLate)
		}
		w.expires = earlier(w.expires, latest)
	}
	c.observe(now)
	if g.running < g.limit.value() && c.queue.len() == 0 && g.mayStart(c, now) {
		g.admit(w, now)
		return w, nil
	}
	if refusal := g.enqueue(w, bucketOf(r.Client)); refusal != nil {
		return nil, refusal
	}
	return w, nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// enqueue queues a call unless it would wait too long or the queue is full of
// calls that have as good a claim.
func (g *Gate) enqueue(w *waiter, b bucket) *call.Failure {
	c := w.class
	if g.waitOf(c, c.queue.position(b)) > w.expires.Sub(w.arrived) {
		return call.Refuse(call.Overloaded, errTooLate)
	}
	if c.queue.len() >= g.limit.value()*QueuePerSlot {
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

// waitOf estimates how long the call at a position of a class's queue waits.
func (g *Gate) waitOf(c *class, position int) time.Duration {
	slots := max(g.slotsFor(c), leastSlots)
	return time.Duration(float64(position) * float64(c.service) / slots)
}

// slotsFor estimates the slots that serve a class: those that more urgent
// classes do not use and less urgent ones do not keep.
func (g *Gate) slotsFor(c *class) float64 {
	limit := float64(g.limit.value())
	slots := limit
	for _, other := range g.classes {
		if other == c {
			continue
		}
		used := max(float64(other.running+other.queue.len()), g.held(other))
		if other.target.Rank > c.target.Rank {
			used = min(used, other.target.GuaranteedShare*limit)
		}
		slots -= used
	}
	return max(slots, c.target.GuaranteedShare*limit)
}

// mayStart reports whether a free slot may go to a class, rather than be held
// for more urgent ones.
func (g *Gate) mayStart(c *class, now time.Time) bool {
	if c.overdue(now) {
		return true
	}
	limit := float64(g.limit.value())
	running, open := 0, limit
	for _, other := range g.classes {
		if other.target.Rank < c.target.Rank {
			open -= g.held(other)
			continue
		}
		running += other.running
	}
	return float64(running) < max(open, 1)
}

// held returns the slots that less urgent classes leave to a class: what it
// used of late, but for the shares that they keep.
func (g *Gate) held(c *class) float64 {
	kept := 0.0
	for _, other := range g.classes {
		if other.target.Rank > c.target.Rank {
			kept += other.target.GuaranteedShare
		}
	}
	return min(math.Ceil(heldShare*c.demand-demandSlack), (1-kept)*float64(g.limit.value()))
}

// next returns the class whose waiter is to be admitted, or nil if the free
// slots are held for others: the class that is longest overdue for its share,
// else the most urgent one.
func (g *Gate) next(now time.Time) *class {
	var overdue, urgent *class
	for _, c := range g.classes {
		if c.queue.len() == 0 {
			continue
		}
		if c.overdue(now) && (overdue == nil || c.due.Before(overdue.due)) {
			overdue = c
		}
		if (urgent == nil || c.before(urgent)) && g.mayStart(c, now) {
			urgent = c
		}
	}
	if overdue != nil {
		return overdue
	}
	return urgent
}

// refuse ends the wait of a call that was taken out of its queue.
func (g *Gate) refuse(w *waiter, reason call.Reason, err error) {
	g.queued--
	w.refusal = call.Refuse(reason, err)
	close(w.decided)
}

// abandon removes a waiter and reports whether it was still queued.
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
	g.learn(w, now.Sub(w.started), err)
	w.class.observe(now)
	g.running--
	w.class.running--
	g.admitNext(now)
	g.signalIdle()
}

// learn takes the outcome of a call into the estimates.
func (g *Gate) learn(w *waiter, took time.Duration, err error) {
	var f *call.Failure
	if errors.As(err, &f) {
		if f.Reason == call.Shed {
			g.limit.shed()
		}
		if took < w.class.service || f.Verdict == call.NotRun {
			return
		}
	}
	alone := g.limit.alone(g.running)
	g.limit.ended(w.class.learn(took, alone), g.running)
}

// admitNext fills the free slots from the queues.
func (g *Gate) admitNext(now time.Time) {
	for g.running < g.limit.value() && g.queued > 0 {
		c := g.next(now)
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
	w.class.running++
	w.class.charge(now, float64(g.limit.value()))
	w.started = now
	close(w.decided)
}

// signalIdle ends the wait of Drain once nothing runs or waits.
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

// Close refuses the queued calls and all new ones until Open; those admitted go
// on.
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
	g.mu.Unlock()
	select {
	case <-g.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Idle reports whether the gate is closed or drains, and nothing runs or waits.
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

// LoadFor returns the load as a call of the named class meets it: the calls
// that wait behind it do not count.
func (g *Gate) LoadFor(class string) call.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	load := call.Load{Running: g.running, Limit: g.limit.value()}
	c := g.classes[class]
	if c == nil {
		load.Queued = g.queued
		return load
	}
	load.ServiceTime = c.service
	for _, other := range g.classes {
		if other.target.Rank <= c.target.Rank {
			load.Queued += other.queue.len()
		}
	}
	return load
}
