// Package settle makes conditional writes whose outcome is known for certain.
//
// A write whose answer is lost may have taken effect, and may still be in transit when the object is read back.
// Repeating the same write resolves both cases: both copies are conditional on the same version, so at most one of
// them takes effect, and a writer that finds its own write id in the store has succeeded.
package settle

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/wait"
)

// Backoff between attempts, doubled after each one.
const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
)

// ErrUnknown reports that the write may have taken effect and that the outcome could not be determined in time.
var ErrUnknown = errors.New("outcome of the write is unknown")

// Put makes the write and returns its version once the write is known to have taken effect. ErrUnknown means that
// the write may have taken effect or may still do so: ctx ended first, or another writer's version hides the outcome.
// *objects.ConflictError and objects.ErrUnavailable mean that the write had no effect, unless the error is also
// ErrUnknown, which can wrap either of them.
func Put(ctx context.Context, s objects.Store, w objects.Write) (uint64, error) {
	sent := false
	backoff := initialBackoff
	for {
		version, err := s.Put(ctx, w)
		if err == nil {
			return version, nil
		}
		var conflict *objects.ConflictError
		switch {
		case errors.As(err, &conflict):
			return resolveConflict(conflict, w, sent)
		case errors.Is(err, objects.ErrUnavailable) && !sent:
			return 0, err
		case !errors.Is(err, objects.ErrUnavailable):
			// The write may have reached the store although its answer was lost.
			sent = true
			if version, ok := readBack(ctx, s, w); ok {
				return version, nil
			}
		}
		if !wait.For(ctx, backoff) {
			return 0, fmt.Errorf("%w: %w", ErrUnknown, err)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// readBack looks for the write in the store and reports whether it found it. Only a read confirms the write while
// the answers of all writes are lost and reads succeed. A write that is not found may still be in transit.
func readBack(ctx context.Context, s objects.Store, w objects.Write) (uint64, bool) {
	o, err := s.Get(ctx, w.Key)
	if err != nil || o.WriteID != w.WriteID {
		return 0, false
	}
	return o.Version, true
}

// resolveConflict returns the result of a write that the store rejected with a conflict. sent reports that an
// earlier copy of the write was sent and its answer lost. If another writer's version then follows, it hides whether
// the earlier copy took effect first, and the outcome is unknown.
func resolveConflict(conflict *objects.ConflictError, w objects.Write, sent bool) (uint64, error) {
	if conflict.WriteID == w.WriteID {
		return conflict.Current, nil
	}
	if sent {
		return 0, fmt.Errorf("%w: %w", ErrUnknown, conflict)
	}
	return 0, conflict
}
