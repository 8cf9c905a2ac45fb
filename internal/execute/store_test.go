package execute_test

import (
	"context"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
)

// Get implements objects.Store.
func (p *party) Get(ctx context.Context, key objects.Key) (wire.Object, error) {
	if p.w.one(p.w.chaos.down) {
		return wire.Object{}, objects.ErrUnavailable
	}
	return p.w.store.Get(ctx, key)
}

// List implements objects.Store, at times with an old picture.
func (p *party) List(ctx context.Context, kind string) (wire.List, error) {
	if p.w.one(p.w.chaos.down) {
		return wire.List{}, objects.ErrUnavailable
	}
	if p.w.one(p.w.chaos.stale) {
		return p.snapshot, nil
	}
	l, err := p.w.store.List(ctx, kind)
	if p.w.one(2) {
		p.snapshot = l
	}
	return l, err
}

// Put implements objects.Store; answers are lost, and writes arrive late.
func (p *party) Put(ctx context.Context, write objects.Write) (uint64, error) {
	if p.w.one(p.w.chaos.down) {
		return 0, objects.ErrUnavailable
	}
	if !p.w.one(p.w.chaos.lost) {
		return p.w.store.Put(ctx, write)
	}
	if p.w.chaos.lateness > 0 && p.w.one(2) {
		p.w.late(func() { _, _ = p.w.store.Put(ctx, write) })
	} else if p.w.one(2) {
		_, _ = p.w.store.Put(ctx, write)
	}
	return 0, errLost
}

// Watch is not used by an executor.
func (p *party) Watch(context.Context, string, uint64, time.Duration) (wire.List, error) {
	return wire.List{}, objects.ErrUnavailable
}

// Delete is not used by an executor.
func (p *party) Delete(context.Context, objects.Key, uint64) error { return objects.ErrUnavailable }
