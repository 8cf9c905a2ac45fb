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

// longestWait is how long a call waits for the instance's cut before it is refused.
const longestWait = time.Second

// Budgeted is a store whose calls keep to this instance's cut of the fleet's rates. A call over the cut
// waits a moment; while the store is lost, calls but for the probes fail at once with ErrUnavailable, and
// nothing of them is sent.
type BudgetedStore struct {
	store     objects.Store
	instances func() int
	start     time.Time

	mu     sync.Mutex
	budget *storebudget.Budget // guarded by mu
	rand   *rand.Rand          // guarded by mu
	counts Counts              // guarded by mu
}

// Counts are the calls since the start.
type Counts struct {
	Reads   uint64 // watches among them
	Writes  uint64
	Refused uint64 // not sent
	Failed  uint64 // sent, and found the store unavailable
}

var _ objects.Store = (*BudgetedStore)(nil)

// NewBudgeted gives a budgeted store; instances tells how many share the limits.
func NewBudgetedStore(s objects.Store, limits storebudget.Limits, instances func() int) *BudgetedStore {
	return &BudgetedStore{
		store: s, instances: instances, start: time.Now(),
		budget: storebudget.New(0, limits, instances()),
		rand:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

func (b *BudgetedStore) now() decide.Instant { return decide.Instant(time.Since(b.start)) }

// Counts gives the calls since the start.
func (b *BudgetedStore) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts
}

// take waits for the right to one call.
func (b *BudgetedStore) take(ctx context.Context, c storebudget.Call) error {
	deadline := time.Now().Add(longestWait)
	for {
		reason, pause := b.ask(c)
		switch reason {
		case storebudget.Granted, storebudget.Probe:
			return nil
		case storebudget.OverBudget:
			if time.Now().Add(pause).Before(deadline) && wait.For(ctx, pause) {
				continue
			}
		}
		b.refused()
		return fmt.Errorf("%w: %s, again in %s", objects.ErrUnavailable, reason, pause.Round(time.Millisecond))
	}
}

func (b *BudgetedStore) ask(c storebudget.Call) (decide.Reason, time.Duration) {
	n := b.instances()
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

func (b *BudgetedStore) refused() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Refused++
}

// done takes a call's outcome. An answer of any kind shows that the store is there; a caller that gave
// up shows nothing, and frees the probe as a failure would.
func (b *BudgetedStore) done(err error) {
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
	if err := b.take(ctx, storebudget.Read); err != nil {
		return wire.Object{}, err
	}
	o, err := b.store.Get(ctx, key)
	b.done(err)
	return o, err
}

// List implements objects.Store.
func (b *BudgetedStore) List(ctx context.Context, kind string) (wire.List, error) {
	if err := b.take(ctx, storebudget.Read); err != nil {
		return wire.List{}, err
	}
	l, err := b.store.List(ctx, kind)
	b.done(err)
	return l, err
}

// Watch implements objects.Store.
func (b *BudgetedStore) Watch(ctx context.Context, kind string, version uint64, wait time.Duration) (wire.List, error) {
	if err := b.take(ctx, storebudget.Read); err != nil {
		return wire.List{}, err
	}
	l, err := b.store.Watch(ctx, kind, version, wait)
	b.done(err)
	return l, err
}

// Put implements objects.Store.
func (b *BudgetedStore) Put(ctx context.Context, w objects.Write) (uint64, error) {
	if err := b.take(ctx, storebudget.Write); err != nil {
		return 0, err
	}
	version, err := b.store.Put(ctx, w)
	b.done(err)
	return version, err
}

// Delete implements objects.Store.
func (b *BudgetedStore) Delete(ctx context.Context, key objects.Key, ifVersion uint64) error {
	if err := b.take(ctx, storebudget.Write); err != nil {
		return err
	}
	err := b.store.Delete(ctx, key, ifVersion)
	b.done(err)
	return err
}
