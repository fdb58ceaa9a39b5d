package rollout

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/sync/errgroup"

	"fescuehoist.example/mesh/revision"
	"fescuehoist.example/mesh/wait"
)

// minReadInterval is the shortest time between two calls that read orders.
const minReadInterval = 50 * time.Millisecond

// activate lets Run call the store until no counts have arrived for idleTimeout.
func (c *Controller) activate() {
	if c.deactivate != nil && c.deactivate.Stop() {
		c.deactivate.Reset(idleTimeout)
		return
	}
	if c.deactivate == nil {
		select {
		case <-c.active:
		default:
			close(c.active)
		}
	}
}

// Run reads the orders and writes their states while this daemon receives counts, until
// ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	for {
		c.mu.Lock()
		active := c.active
		c.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil
		case <-active:
		}
		c.runActive(ctx)
	}
}

// runActive calls the store until no counts arrive any more, then forgets the orders.
func (c *Controller) runActive(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mu.Lock()
	c.deactivate = time.AfterFunc(idleTimeout, cancel)
	c.mu.Unlock()
	c.logger.Infof("controlling rollouts")
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { c.watch(ctx); return nil })
	g.Go(func() error { c.write(ctx); return nil })
	g.Go(func() error { c.reread(ctx); return nil })
	_ = g.Wait()
	c.logger.Infof("no longer controlling rollouts")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deactivate.Stop()
	c.deactivate, c.known, c.active = nil, false, make(chan struct{})
	clear(c.rollouts)
	clear(c.refused)
	clear(c.mixed)
}

func (c *Controller) newBackOff() *backoff.ExponentialBackOff {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = c.cfg.RetryBase, c.cfg.RetryMax
	return delay
}

// watch follows the orders until ctx ends.
func (c *Controller) watch(ctx context.Context) {
	delay := c.newBackOff()
	after, reachable := revision.Revision{}, true
	for ctx.Err() == nil {
		start := time.Now()
		next, err := c.read(ctx, after)
		if err == nil {
			after, reachable = next, true
			delay.Reset()
			_ = wait.For(ctx, minReadInterval-time.Since(start))
			continue
		}
		if errors.Is(err, ErrCompacted) {
			after = revision.Revision{}
			continue
		}
		if reachable && ctx.Err() == nil {
			c.logger.Warnf("cannot read the orders of rollouts, retrying: %v", err)
		}
		reachable = false
		_ = wait.For(ctx, delay.NextBackOff())
	}
}

// read makes one call: it lists all orders if after is zero, and waits for changes
// otherwise.
func (c *Controller) read(ctx context.Context, after revision.Revision) (revision.Revision, error) {
	if after.IsZero() {
		return c.list(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.WatchTimeout+c.cfg.CallTimeout)
	defer cancel()
	orders, next, err := c.orders.Next(ctx, after, c.cfg.WatchTimeout)
	if err != nil {
		return revision.Revision{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range orders {
		c.apply(o)
	}
	return next, nil
}

// list reads all orders. One that is missing was deleted, unless it was read in an earlier
// epoch: then the store may have lost it, and its operator writes it again.
func (c *Controller) list(ctx context.Context) (revision.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	before := c.mixedServices()
	orders, at, err := c.orders.List(ctx)
	if err != nil {
		return revision.Revision{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, service := range before {
		c.mixed[service] = true
	}
	listed := map[string]bool{}
	for _, o := range orders {
		listed[o.Name] = true
		c.apply(o)
	}
	for _, r := range c.rollouts {
		r.checkedAt = c.now()
		if !listed[r.order.Name] && r.order.Revision.Epoch == at.Epoch {
			c.apply(Order{Name: r.order.Name, Revision: at, Removed: true})
		}
	}
	for name := range c.refused {
		if !listed[name] {
			delete(c.refused, name)
		}
	}
	c.known = true
	if at.IsZero() {
		// The next call waits for changes, whatever the store says of its revision.
		at.Number = 1
	}
	return at, nil
}

// mixedServices returns the services with several releases that the controller knows.
func (c *Controller) mixedServices() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.mixed))
}

// reread reads all orders when a service appears with several releases, until ctx ends.
func (c *Controller) reread(ctx context.Context) {
	c.repeat(ctx, c.unread, func() bool {
		_, err := c.list(ctx)
		return err == nil
	})
}

// write stores the states of the rollouts until ctx ends.
func (c *Controller) write(ctx context.Context) {
	c.repeat(ctx, c.unwritten, func() bool {
		written := c.writeAll(ctx)
		if !written {
			c.wakeWriter()
		}
		return written
	})
}

// repeat calls a function for each signal until ctx ends, and pauses after it has failed.
func (c *Controller) repeat(ctx context.Context, signals <-chan struct{}, succeeds func() bool) {
	delay := c.newBackOff()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		if succeeds() {
			delay.Reset()
			continue
		}
		_ = wait.For(ctx, delay.NextBackOff())
	}
}

// writeAll writes the states that the store does not have. It reports whether the store
// has all of them now.
func (c *Controller) writeAll(ctx context.Context) bool {
	written := true
	for _, r := range c.pending() {
		written = c.writeStatus(ctx, r) && written
	}
	return written
}

// pending returns the rollouts whose state must be written.
func (c *Controller) pending() []*controlled {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []*controlled
	for _, r := range c.rollouts {
		if r.mustWrite() {
			all = append(all, r)
		}
	}
	return all
}

// mustWrite reports whether the state has to be written. A final state that the store has
// is never written again, since a change of the order after it means a new order.
func (r *controlled) mustWrite() bool {
	return !r.number.IsZero() && !r.written.Final() && (r.check || r.wanted() != r.written)
}

// wanted returns the state that the store should have.
func (r *controlled) wanted() State {
	if r.complete {
		return Completed
	}
	return r.state
}

func (c *Controller) writeStatus(ctx context.Context, r *controlled) bool {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	c.mu.Lock()
	order, state, must := r.order, r.wanted(), r.mustWrite()
	c.mu.Unlock()
	if !must {
		return true
	}
	written, err := c.orders.WriteStatus(ctx, order, state)
	if errors.Is(err, ErrChanged) {
		// The watch may be waiting on a connection that stopped responding.
		_, err = c.list(ctx)
		c.mu.Lock()
		defer c.mu.Unlock()
		return err == nil && c.rollouts[order.Service] == r && r.wanted() == r.written
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		if !r.unreachable && !errors.Is(err, context.Canceled) {
			c.logger.Warnf("service %s: cannot write that release %s is %s, retrying: %v", order.Service, order.Release, state, err)
		}
		r.unreachable = true
		return false
	}
	r.written, r.check, r.checkedAt, r.unreachable = state, false, c.now(), false
	r.order.Revision = revision.Latest(r.order.Revision, written)
	if state == Completed && c.rollouts[order.Service] == r && r.state != Completed {
		// It holds, too, if the release turned out to be bad in the meantime: the other
		// servers are being stopped.
		c.end(r, Completed, fmt.Sprintf("all servers of other releases are idle: %d", r.progress.idle))
	}
	return r.wanted() == r.written
}
