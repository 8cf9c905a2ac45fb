package client

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/storebudget"
	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
	"github.com/damaskshelf/damaskshelf/internal/wait"
)

// maxBudgetWait is how long a call waits for this instance's share of the rates before it is refused.
const maxBudgetWait = time.Second

// BudgetedStore is a store whose calls stay within this instance's share of the fleet's call rates. A call over the
// share waits for up to maxBudgetWait. While the store is unavailable, all calls except probes fail at once with
// ErrUnavailable, and nothing of them is sent.
type BudgetedStore struct {
	store         objects.Store
	instanceCount func() int // number of instances that share the limits
	start         time.Time  // origin of now

	mu     sync.Mutex
	budget *storebudget.Budget // guarded by mu
	rand   *rand.Rand          // guarded by mu
	counts Counts              // guarded by mu
}

// Counts holds the numbers of calls since the start.
type Counts struct {
	Reads   uint64 // including lists and watches
	Writes  uint64
	Refused uint64 // calls that were not sent
	Failed  uint64 // calls that were sent and counted as a failure of the store
}

var _ objects.Store = (*BudgetedStore)(nil)

// NewBudgetedStore returns a budgeted store over s. instances returns the number of instances that share the limits.
func NewBudgetedStore(s objects.Store, limits storebudget.Limits, instances func() int) *BudgetedStore {
	return &BudgetedStore{
		store: s, instanceCount: instances, start: time.Now(),
		budget: storebudget.New(0, limits, instances()),
		rand:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// now returns the time since start.
func (b *BudgetedStore) now() decide.Instant { return decide.Instant(time.Since(b.start)) }

// Counts returns the numbers of calls since the start.
func (b *BudgetedStore) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts
}

// awaitCall waits until the budget permits a call. It returns an error that wraps objects.ErrUnavailable if the wait
// would exceed maxBudgetWait, ctx ends or the store is unavailable.
func (b *BudgetedStore) awaitCall(ctx context.Context, c storebudget.Call) error {
	deadline := time.Now().Add(maxBudgetWait)
	for {
		reason, pause := b.tryCall(c)
		switch reason {
		case storebudget.Granted, storebudget.Probe:
			return nil
		case storebudget.OverBudget:
			if time.Now().Add(pause).Before(deadline) && wait.For(ctx, pause) {
				continue
			}
		}
		b.countRefused()
		return fmt.Errorf("%w: %s, again in %s", objects.ErrUnavailable, reason, pause.Round(time.Millisecond))
	}
}

// tryCall takes one call from the budget and counts it. If the budget refuses it, tryCall returns the reason and the
// time after which to try again.
func (b *BudgetedStore) tryCall(c storebudget.Call) (decide.Reason, time.Duration) {
	n := b.instanceCount()
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.budget.SetInstances(now, n)
	reason, wait := b.budget.Take(now, c)
	if reason == storebudget.Granted || reason == storebudget.Probe {
		if c == storebudget.Write {
			b.counts.Writes++
		} else {
			b.counts.Reads++
		}
	}
	return reason, wait
}

// countRefused counts a call that was not sent.
func (b *BudgetedStore) countRefused() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Refused++
}

// recordOutcome records the outcome of a call. A response of any kind shows that the store is available. A call that its
// caller canceled shows nothing about the store, but while the store counts as unavailable it is recorded as a failure,
// so that the next probe can be sent.
func (b *BudgetedStore) recordOutcome(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var conflict *objects.ConflictError
	if err == nil || errors.As(err, &conflict) || errors.Is(err, objects.ErrNotFound) || errors.Is(err, objects.ErrTooOld) {
		b.budget.RecordSuccess(b.now())
		return
	}
	if errors.Is(err, context.Canceled) && !b.budget.StoreUnavailable() {
		return
	}
	b.counts.Failed++
	b.budget.RecordFailure(b.now(), b.rand)
}

// Get implements objects.Store.
func (b *BudgetedStore) Get(ctx context.Context, key objects.Key) (wire.Object, error) {
	if err := b.awaitCall(ctx, storebudget.Read); err != nil {
		return wire.Object{}, err
	}
	o, err := b.store.Get(ctx, key)
	b.recordOutcome(err)
	return o, err
}

// List implements objects.Store.
func (b *BudgetedStore) List(ctx context.Context, kind string) (wire.List, error) {
	if err := b.awaitCall(ctx, storebudget.Read); err != nil {
		return wire.List{}, err
	}
	l, err := b.store.List(ctx, kind)
	b.recordOutcome(err)
	return l, err
}

// Watch implements objects.Store.
func (b *BudgetedStore) Watch(ctx context.Context, kind string, version uint64, wait time.Duration) (wire.List, error) {
	if err := b.awaitCall(ctx, storebudget.Read); err != nil {
		return wire.List{}, err
	}
	l, err := b.store.Watch(ctx, kind, version, wait)
	b.recordOutcome(err)
	return l, err
}

// Put implements objects.Store.
func (b *BudgetedStore) Put(ctx context.Context, w objects.Write) (uint64, error) {
	if err := b.awaitCall(ctx, storebudget.Write); err != nil {
		return 0, err
	}
	version, err := b.store.Put(ctx, w)
	b.recordOutcome(err)
	return version, err
}

// Delete implements objects.Store.
func (b *BudgetedStore) Delete(ctx context.Context, key objects.Key, ifVersion uint64) error {
	if err := b.awaitCall(ctx, storebudget.Write); err != nil {
		return err
	}
	err := b.store.Delete(ctx, key, ifVersion)
	b.recordOutcome(err)
	return err
}
