// Package wait pauses tasks without losing sight of their contexts.
package wait

import (
	"context"
	"time"
)

// For pauses for d, or returns the error of ctx if that ends first.
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
