package revision

import (
	"context"
	"sync"
)

// Epochs holds the latest epoch that a daemon has heard of, from the store itself or from
// a peer. It is safe for concurrent use; a nil Epochs hears of none.
type Epochs struct {
	mu     sync.Mutex
	latest uint64
	// risen is closed and replaced when latest rises; nil if nobody waits.
	risen chan struct{}
}

// Observe records an epoch. It reports whether that is later than those before, and
// returns the latest one before it.
func (e *Epochs) Observe(epoch uint64) (before uint64, rose bool) {
	if e == nil {
		return 0, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	before = e.latest
	if epoch <= before {
		return before, false
	}
	e.latest = epoch
	if e.risen != nil {
		close(e.risen)
		e.risen = nil
	}
	return before, true
}

// Latest returns the latest epoch, or 0.
func (e *Epochs) Latest() uint64 {
	if e == nil {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.latest
}

// AwaitAfter waits until the latest epoch is after the given one and returns it, or an
// error if ctx ends first.
func (e *Epochs) AwaitAfter(ctx context.Context, epoch uint64) (uint64, error) {
	for {
		latest, risen := e.Watch()
		if latest > epoch {
			return latest, nil
		}
		select {
		case <-risen:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

// Watch returns the latest epoch and a channel that is closed when it rises.
func (e *Epochs) Watch() (uint64, <-chan struct{}) {
	if e == nil {
		return 0, nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.risen == nil {
		e.risen = make(chan struct{})
	}
	return e.latest, e.risen
}
