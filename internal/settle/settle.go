// Package settle makes conditional writes whose outcome is known for certain.
//
// A write whose answer is lost may have taken effect, and may still be on its way when the object is read
// back. Sending the same write again settles both: it is conditional on the same version, so at most one
// of the two takes effect, and whoever finds its own write id in the store has succeeded.
package settle

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/wait"
)

// Pauses between attempts.
const (
	firstPause = 50 * time.Millisecond
	maxPause   = time.Second
)

// ErrUnknown: the write may or may not have taken effect, and that could not be found out in time.
var ErrUnknown = errors.New("outcome of the write is unknown")

// Put makes the write and gives its version once it is known to have taken effect. Errors:
// *objects.ConflictError and objects.ErrUnavailable mean that it certainly had no effect; ErrUnknown
// means that it may have had, or may yet have, until ctx ended.
func Put(ctx context.Context, s objects.Store, w objects.Write) (uint64, error) {
	sent := false
	pause := firstPause
	for {
		version, err := s.Put(ctx, w)
		if err == nil {
			return version, nil
		}
		var conflict *objects.ConflictError
		switch {
		case errors.As(err, &conflict):
			return ours(conflict, w, sent)
		case errors.Is(err, objects.ErrUnavailable) && !sent:
			return 0, err
		case !errors.Is(err, objects.ErrUnavailable):
			sent = true
			if version, ok := readBack(ctx, s, w); ok {
				return version, nil
			}
		}
		if !wait.For(ctx, pause) {
			return 0, fmt.Errorf("%w: %w", ErrUnknown, err)
		}
		pause = min(2*pause, maxPause)
	}
}

// readBack looks for the write in the store. Writes whose every answer is lost while reads work are found
// only so. Not finding it means nothing: it may still be on its way.
func readBack(ctx context.Context, s objects.Store, w objects.Write) (uint64, bool) {
	o, err := s.Get(ctx, w.Key)
	if err != nil || o.WriteID != w.WriteID {
		return 0, false
	}
	return o.Version, true
}

// ours reads a conflict. Another writer's version on top of one of ours whose answer was lost hides
// whether ours took effect first, so that outcome stays unknown.
func ours(conflict *objects.ConflictError, w objects.Write, sent bool) (uint64, error) {
	if conflict.WriteID == w.WriteID {
		return conflict.Current, nil
	}
	if sent {
		return 0, fmt.Errorf("%w: %w", ErrUnknown, conflict)
	}
	return 0, conflict
}
