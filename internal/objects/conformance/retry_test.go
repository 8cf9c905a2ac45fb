package conformance_test

import (
	"context"
	"errors"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
)

// retryTimeout is far longer than a busy machine delays a process.
const retryTimeout = time.Minute

// retryingStore retries calls that fail with ErrUnavailable, of which nothing was sent. On an overloaded machine,
// connecting over loopback can exceed the client's timeout of one second. The contract permits this error.
type retryingStore struct{ store objects.Store }

// retryUnavailable calls call until it returns another error than ErrUnavailable, or none, or retryTimeout has passed.
func retryUnavailable[T any](call func() (T, error)) (T, error) {
	for limit := time.Now().Add(retryTimeout); ; {
		v, err := call()
		if !errors.Is(err, objects.ErrUnavailable) || time.Now().After(limit) {
			return v, err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Get implements objects.Store.
func (s retryingStore) Get(ctx context.Context, key objects.Key) (wire.Object, error) {
	return retryUnavailable(func() (wire.Object, error) { return s.store.Get(ctx, key) })
}

// List implements objects.Store.
func (s retryingStore) List(ctx context.Context, kind string) (wire.List, error) {
	return retryUnavailable(func() (wire.List, error) { return s.store.List(ctx, kind) })
}

// Watch implements objects.Store.
func (s retryingStore) Watch(ctx context.Context, kind string, version uint64, wait time.Duration) (wire.List, error) {
	return retryUnavailable(func() (wire.List, error) { return s.store.Watch(ctx, kind, version, wait) })
}

// Put implements objects.Store.
func (s retryingStore) Put(ctx context.Context, w objects.Write) (uint64, error) {
	return retryUnavailable(func() (uint64, error) { return s.store.Put(ctx, w) })
}

// Delete implements objects.Store.
func (s retryingStore) Delete(ctx context.Context, key objects.Key, ifVersion uint64) error {
	_, err := retryUnavailable(func() (struct{}, error) { return struct{}{}, s.store.Delete(ctx, key, ifVersion) })
	return err
}
