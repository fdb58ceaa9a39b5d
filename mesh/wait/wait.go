// Package wait provides a context-aware sleep and jitter.
package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

// For sleeps for d. If ctx ends first, it returns the error of ctx.
func For(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// Jitter returns a random duration from d/2 up to 3d/2. d must be positive.
func Jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
