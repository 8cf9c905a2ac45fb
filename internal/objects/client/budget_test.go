package client_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide/storebudget"
	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/objects/client"
	"github.com/damaskshelf/damaskshelf/internal/objects/memory"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
)

// failingStore is a store that can be made unavailable. It counts the calls that reach it.
type failingStore struct {
	objects.Store
	mu    sync.Mutex
	down  bool
	calls int
}

// Get implements objects.Store.
func (l *failingStore) Get(ctx context.Context, key objects.Key) (wire.Object, error) {
	l.mu.Lock()
	l.calls++
	down := l.down
	l.mu.Unlock()
	if down {
		return wire.Object{}, errors.New("connection reset")
	}
	return l.Store.Get(ctx, key)
}

// setDown makes the store unavailable or available.
func (l *failingStore) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// The store becomes unavailable while callers continue to send calls. The calls must fail at once with ErrUnavailable,
// because nothing was sent, instead of waiting for a timeout each. Only probes may be sent.
func TestCallsFailAtOnceWhileTheStoreIsLost(t *testing.T) {
	is := is.New(t)
	ctx, key := context.Background(), objects.Key{Kind: "k", Name: "n"}
	s := &failingStore{Store: memory.New()}
	b := client.NewBudgetedStore(s, storebudget.DefaultLimits, func() int { return 1 })
	_, err := b.Get(ctx, key)
	is.True(errors.Is(err, objects.ErrNotFound))
	s.setDown(true)
	unavailable := 0
	for range 500 {
		if _, err := b.Get(ctx, key); errors.Is(err, objects.ErrUnavailable) {
			unavailable++
		}
	}
	is.True(unavailable > 400)
	is.Equal(unavailable, int(b.Counts().Refused))
	is.Equal(s.calls, 501-unavailable) // refused calls are not sent
	s.setDown(false)
	for {
		_, err := b.Get(ctx, key)
		if errors.Is(err, objects.ErrNotFound) {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	is.True(b.Counts().Failed > 0)
}

// A conflict or a missing object is a valid response. It must not count as an outage of the store.
func TestErrorResponsesAreNotOutages(t *testing.T) {
	is := is.New(t)
	ctx, key := context.Background(), objects.Key{Kind: "k", Name: "n"}
	b := client.NewBudgetedStore(memory.New(), storebudget.DefaultLimits, func() int { return 1 })
	_, err := b.Put(ctx, objects.Write{Key: key, WriteID: "w", Value: []byte(`1`)})
	is.NoErr(err)
	for range 20 {
		_, err := b.Put(ctx, objects.Write{Key: key, WriteID: "w", Value: []byte(`1`)})
		var conflict *objects.ConflictError
		is.True(errors.As(err, &conflict))
		is.True(errors.Is(b.Delete(ctx, objects.Key{Kind: "k", Name: "none"}, 1), objects.ErrNotFound))
	}
	is.Equal(b.Counts().Failed, uint64(0))
	is.Equal(b.Counts().Refused, uint64(0))
}
