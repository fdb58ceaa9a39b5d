package reader_test

import (
	"context"
	"sync"
	"time"

	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/reader"
)

// pausable holds back the calls of a daemon that is paused.
type pausable struct {
	reader.Leases
	mu     sync.Mutex
	resume chan struct{}
}

func (p *pausable) set(paused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if paused {
		p.resume = make(chan struct{})
		return
	}
	close(p.resume)
	p.resume = nil
}

func (p *pausable) Acquire(ctx context.Context, name string, holder member.ServerID, ttl time.Duration) error {
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
	return p.Leases.Acquire(ctx, name, holder, ttl)
}
