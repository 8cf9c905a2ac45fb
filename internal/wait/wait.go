// Package wait provides a sleep that ends early if its context ends.
package wait

import (
	"context"
	"time"
)

// For waits for d or until ctx ends, and reports whether it waited for all of d. If d is not positive, it returns at once
// and reports whether ctx has not ended.
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
