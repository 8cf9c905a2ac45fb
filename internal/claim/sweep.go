package claim

import (
	"context"
	"errors"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide/claim"
	"github.com/damaskshelf/damaskshelf/internal/objects"
)

const (
	// firstSweepSpan is how far back a new sweeper looks for expired shards that an earlier one did not delete. An
	// outage of all owners that lasts longer leaves objects behind. They only occupy storage.
	firstSweepSpan = time.Hour
	sweepPause     = 50 * time.Millisecond // between two shards, so that a sweep leaves the store to requests
)

// Sweeper deletes expired shards of keys that carry an issue time. Every instance refuses keys of that age because of
// their issue time, whether the shard exists or not, so the deletion changes no answer. Several sweepers may work on
// one shard.
type Sweeper struct {
	keeper     *Keeper
	owns       func(shard string) bool // reports whether this instance sweeps the shard, by rendezvous hashing
	sweptUntil claim.WallTime          // shards expired at this time are deleted; 0: no sweep completed yet
}

// NewSweeper returns a Sweeper of the shards for which owns returns true.
func NewSweeper(k *Keeper, owns func(shard string) bool) *Sweeper {
	return &Sweeper{keeper: k, owns: owns}
}

// Sweep deletes the shards that expired since the last complete Sweep and returns the number of deleted objects. After
// an error the next Sweep covers the same time again.
func (s *Sweeper) Sweep(ctx context.Context) (int, error) {
	now := s.keeper.cfg.Wall()
	span := firstSweepSpan
	if s.sweptUntil > 0 {
		span = time.Duration(now-s.sweptUntil) * time.Millisecond
	}
	deleted := 0
	for _, name := range s.keeper.cfg.Limits.ExpiredShards(now, span) {
		if !s.owns(name) {
			continue
		}
		removed, err := s.deleteShard(ctx, objects.Key{Kind: claim.ObjectKind, Name: name})
		if err != nil {
			return deleted, err
		}
		if removed {
			deleted++
		}
		select {
		case <-time.After(sweepPause):
		case <-ctx.Done():
			return deleted, ctx.Err()
		}
	}
	s.sweptUntil = now
	return deleted, nil
}

// deleteShard deletes one shard object and reports whether it was there and this call deleted it.
func (s *Sweeper) deleteShard(ctx context.Context, key objects.Key) (bool, error) {
	o, err := s.keeper.store.Get(ctx, key)
	if errors.Is(err, objects.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	err = s.keeper.store.Delete(ctx, key, o.Version)
	var conflict *objects.ConflictError
	if errors.Is(err, objects.ErrNotFound) || errors.As(err, &conflict) {
		return false, nil // deleted by another sweeper, or changed by a late outcome
	}
	return err == nil, err
}
