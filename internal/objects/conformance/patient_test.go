package conformance_test

import (
	"context"
	"errors"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
)

// patience is far longer than a busy machine starves a process.
const patience = time.Minute

// patient repeats calls that had no effect because nothing of them was sent. On a starved machine a dial
// over loopback can pass the client's second; that is an answer of the contract, and not a breach of it.
type patient struct{ store objects.Store }

func repeat[T any](call func() (T, error)) (T, error) {
	for limit := time.Now().Add(patience); ; {
		v, err := call()
		if !errors.Is(err, objects.ErrUnavailable) || time.Now().After(limit) {
			return v, err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (p patient) Get(ctx context.Context, key objects.Key) (wire.Object, error) {
	return repeat(func() (wire.Object, error) { return p.store.Get(ctx, key) })
}

func (p patient) List(ctx context.Context, kind string) (wire.List, error) {
	return repeat(func() (wire.List, error) { return p.store.List(ctx, kind) })
}

func (p patient) Watch(ctx context.Context, kind string, version uint64, wait time.Duration) (wire.List, error) {
	return repeat(func() (wire.List, error) { return p.store.Watch(ctx, kind, version, wait) })
}

func (p patient) Put(ctx context.Context, w objects.Write) (uint64, error) {
	return repeat(func() (uint64, error) { return p.store.Put(ctx, w) })
}

func (p patient) Delete(ctx context.Context, key objects.Key, ifVersion uint64) error {
	_, err := repeat(func() (struct{}, error) { return struct{}{}, p.store.Delete(ctx, key, ifVersion) })
	return err
}
