// Package wait provides sleeps that end early if their context ends.
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

// Until calls ok every interval until it returns true, and reports whether it did by end and before ctx ended.
func Until(ctx context.Context, end time.Time, interval time.Duration, ok func() bool) bool {
	for !ok() {
		if time.Now().After(end) || !For(ctx, interval) {
			return false
		}
	}
	return true
}
