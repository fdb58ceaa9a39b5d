package reader_test

import (
	"context"
	"sync"

	"fescuehoist.example/mesh/reader"
)

// pausableLeases blocks the Acquire calls of a daemon while it is paused.
type pausableLeases struct {
	reader.Leases
	mu     sync.Mutex
	resume chan struct{}
}

func (p *pausableLeases) setPaused(paused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if paused {
		p.resume = make(chan struct{})
		return
	}
	close(p.resume)
	p.resume = nil
}

func (p *pausableLeases) Acquire(ctx context.Context, c reader.Claim) error {
	p.mu.Lock()
	resume := p.resume
	p.mu.Unlock()
	if resume != nil {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-resume:
		}
	}
	return p.Leases.Acquire(ctx, c)
}
