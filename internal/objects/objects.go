// Package objects declares the interfaces of the object API and the instance list, which the platform provides to an
// instance. Package client implements them, and the weight store's client, over the network. Package memory implements
// the object API in one process for tests. The test suite of package conformance checks both against the same contract.
package objects

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
)

// Errors of the object API. After any other error of a write, its outcome is unknown: the caller reads the object back
// and compares the write id with its own (see ResolveWrite).
var (
	// ErrNotFound reports that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrTooOld reports that the store no longer keeps the changes since the watched version. The caller lists again.
	ErrTooOld = errors.New("watched version is no longer kept")
	// ErrUnavailable reports that the call had no effect: nothing of it was sent, or the store refused to process it.
	ErrUnavailable = errors.New("platform is unavailable")
)

// ConflictError reports that a conditional write was refused because the object has another version. The write had no
// effect.
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

// String returns kind/name.
func (k Key) String() string { return k.Kind + "/" + k.Name }

// Write is one conditional write. WriteID must be unique to it: after a lost response, it shows whether the write took
// effect.
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
	// Watch waits for changes after version, for up to wait. It returns an empty list if there are none.
	Watch(ctx context.Context, kind string, version uint64, wait time.Duration) (wire.List, error)
	// Put returns the object's new version. Its error is a *ConflictError, ErrUnavailable, or one after which the
	// outcome is unknown.
	Put(ctx context.Context, w Write) (uint64, error)
	// Delete removes the object if it has the version ifVersion. It returns the errors of Put, and ErrNotFound if there is
	// no such object.
	Delete(ctx context.Context, key Key, ifVersion uint64) error
}

// InstanceLister reads the instance list. The list lags behind the instances' actual state.
type InstanceLister interface {
	Instances(ctx context.Context) (wire.InstanceList, error)
}

// ResolveWrite finds out whether a write whose response was lost took effect, by reading the object back. It returns the
// version if the write is the object's current one, and a *ConflictError if the object has another write or doesn't
// exist. Any other error leaves the outcome unknown.
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
