// Package wait holds the one wait that ends early with its context.
package wait

import (
	"context"
	"time"
)

// For waits for d, or until ctx ends, and tells whether it waited the whole time. Without a time to wait it
// tells whether ctx goes on.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
