package execute_test

import (
	"context"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
)

// Get implements objects.Store.
func (p *participant) Get(ctx context.Context, key objects.Key) (wire.Object, error) {
	if p.sim.faultOccurs(p.sim.faults.storeFailure) {
		return wire.Object{}, objects.ErrUnavailable
	}
	return p.sim.store.Get(ctx, key)
}

// List implements objects.Store; it sometimes returns a stale list.
func (p *participant) List(ctx context.Context, kind string) (wire.List, error) {
	if p.sim.faultOccurs(p.sim.faults.storeFailure) {
		return wire.List{}, objects.ErrUnavailable
	}
	if p.sim.faultOccurs(p.sim.faults.staleRead) {
		return p.snapshot, nil
	}
	l, err := p.sim.store.List(ctx, kind)
	if p.sim.faultOccurs(2) {
		p.snapshot = l
	}
	return l, err
}

// Put implements objects.Store; responses are lost, and writes are delayed.
func (p *participant) Put(ctx context.Context, write objects.Write) (uint64, error) {
	if p.sim.faultOccurs(p.sim.faults.storeFailure) {
		return 0, objects.ErrUnavailable
	}
	if !p.sim.faultOccurs(p.sim.faults.lostResponse) {
		return p.sim.store.Put(ctx, write)
	}
	if p.sim.faults.maxDelay > 0 && p.sim.faultOccurs(2) {
		p.sim.deliverLater(func() { _, _ = p.sim.store.Put(ctx, write) })
	} else if p.sim.faultOccurs(2) {
		_, _ = p.sim.store.Put(ctx, write)
	}
	return 0, errLostResponse
}

// Watch implements objects.Store; the executor doesn't use it.
func (p *participant) Watch(context.Context, string, uint64, time.Duration) (wire.List, error) {
	return wire.List{}, objects.ErrUnavailable
}

// Delete implements objects.Store; the executor doesn't use it.
func (p *participant) Delete(context.Context, objects.Key, uint64) error {
	return objects.ErrUnavailable
}
