// Package objects states what an instance asks of the platform: the object API, the instance list and
// the weight store. Package client speaks the wire; package memory keeps everything in one process for
// tests. Package conformance's suite holds both to the same contract.
package objects

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
)

// Errors of the object API. Any other error of a write leaves its outcome unknown: the caller reads the
// object back and compares its own write id (see Settle).
var (
	// ErrNotFound: no such object.
	ErrNotFound = errors.New("object not found")
	// ErrTooOld: the watched version is no longer kept; list again.
	ErrTooOld = errors.New("watched version is no longer kept")
	// ErrUnavailable: the call certainly had no effect; nothing of it was sent.
	ErrUnavailable = errors.New("platform is unavailable")
)

// ConflictError is a conditional write refused because the object's version differs. It had no effect.
type ConflictError struct {
	Key     Key
	Current uint64 // version in the store; 0: absent
	WriteID string // of the current version
}

// Error names the object and its current version.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %s is at version %d", e.Key, e.Current)
}

// Key names an object.
type Key struct {
	Kind string
	Name string
}

// String gives kind/name.
func (k Key) String() string { return k.Kind + "/" + k.Name }

// Write is one conditional write. WriteID must be unique to this write: it settles lost answers.
type Write struct {
	Key       Key
	IfVersion uint64 // 0: create if absent
	WriteID   string
	Value     []byte // JSON, at most a megabyte
}

// Store is the object API. All methods may block until ctx ends.
type Store interface {
	Get(ctx context.Context, key Key) (wire.Object, error)
	List(ctx context.Context, kind string) (wire.List, error)
	// Watch waits up to wait for changes after version; an empty list with the same version means none.
	Watch(ctx context.Context, kind string, version uint64, wait time.Duration) (wire.List, error)
	// Put gives the new version, a *ConflictError, or an error with outcome unknown.
	Put(ctx context.Context, w Write) (uint64, error)
	// Delete removes the object at that version, with Put's errors; absent is ErrNotFound.
	Delete(ctx context.Context, key Key, ifVersion uint64) error
}

// Instances is the instance list. It lags.
type InstanceLister interface {
	Instances(ctx context.Context) (wire.InstanceList, error)
}

// Settle finds out whether a write whose answer was lost took effect, by reading the object back.
// It gives the version if the write is the current one, a *ConflictError if another write stands there,
// and any other error while that can't be known.
func ResolveWrite(ctx context.Context, s Store, w Write) (uint64, error) {
	o, err := s.Get(ctx, w.Key)
	if errors.Is(err, ErrNotFound) {
		return 0, &ConflictError{Key: w.Key}
	}
	if err != nil {
		return 0, err
	}
	if o.WriteID == w.WriteID {
		return o.Version, nil
	}
	return 0, &ConflictError{Key: w.Key, Current: o.Version, WriteID: o.WriteID}
}
