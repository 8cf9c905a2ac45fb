package operate_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/objects/memory"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
)

// countingStore counts the calls to a store.
type countingStore struct {
	*memory.Store
	reads, writes int
}

// Get counts a read.
func (c *countingStore) Get(ctx context.Context, key objects.Key) (wire.Object, error) {
	c.reads++
	return c.Store.Get(ctx, key)
}

// Put counts a write.
func (c *countingStore) Put(ctx context.Context, w objects.Write) (uint64, error) {
	c.writes++
	return c.Store.Put(ctx, w)
}

// Delete counts a write.
func (c *countingStore) Delete(ctx context.Context, key objects.Key, ifVersion uint64) error {
	c.writes++
	return c.Store.Delete(ctx, key, ifVersion)
}

// A proposed and confirmed change causes a bounded number of store calls; docs/design/plans.md states these numbers.
func TestStoreCallsPerChange(t *testing.T) {
	is := is.New(t)
	store := &countingStore{Store: memory.New()}
	s := newTestServer(t, store)
	const changes = 10
	for i := range changes {
		p := s.propose(intentChange(6 - i%2))
		var c api.Confirmation
		is.Equal(s.call("POST", confirmPath(p), nil, &c), 200)
		s.view.Store(newView(p.After, c.ConfigVersion))
	}
	t.Logf("changes=%d store_reads=%d store_writes=%d", changes, store.reads, store.writes)
	is.True(store.reads <= 5*changes)
	is.True(store.writes <= 3*changes)
}
