package rollout

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"fescuehoist.example/mesh/wait"
)

// readRetryMin and readRetryMax bound the pause after a failed call that reads the orders at
// the start.
const (
	readRetryMin = 100 * time.Millisecond
	readRetryMax = 500 * time.Millisecond
)

// Run reads the orders once, so that a starting daemon leaves out the releases that get no
// requests before the first directions tell it so. It gives up after settleTime.
func (f *Follower) Run(ctx context.Context) error {
	defer f.started.Store(true)
	if f.Orders == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = readRetryMin, readRetryMax
	for ctx.Err() == nil {
		orders, _, err := f.Orders.List(ctx)
		if err == nil {
			f.assume(orders)
			return nil
		}
		_ = wait.For(ctx, delay.NextBackOff())
	}
	return nil
}

// assume follows the stored states of orders until directions come. Where an order has not
// ended, its release gets no requests.
func (f *Follower) assume(orders []Order) {
	latest := map[string]Order{}
	for _, o := range orders {
		if held, found := latest[o.Service]; o.Err == nil && (!found || o.Revision.After(held.Revision)) {
			latest[o.Service] = o
		}
	}
	var list []Direction
	for _, o := range latest {
		list = append(list, Direction{Service: o.Service, Release: o.Release, State: max(o.Status, Running)})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmedAt.Load() == 0 {
		f.follow(f.merge(list, false))
	}
}

// assumed reports whether no controller has issued the direction: it has the stored state of
// an order, whose number is not known.
func (a *Active) assumed() bool { return a.Order.IsZero() }
