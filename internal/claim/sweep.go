package claim

import (
	"context"
	"errors"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide/claim"
	"github.com/damaskshelf/damaskshelf/internal/objects"
)

const (
	// firstSweep is how far back a new sweeper looks for shards that an earlier one left behind. An
	// outage of all owners that is longer leaves objects behind; they cost room and break no promise.
	firstSweep = time.Hour
	sweepPause = 50 * time.Millisecond // between two calls, so that a sweep never crowds out requests
)

// Sweeper deletes time shards that no request can ask for any more: keys that old are refused by every
// instance for their own time, so whether the shard is there changes no answer. Two sweepers of one shard
// do no harm.
type Sweeper struct {
	keeper *Keeper
	own    func(shard string) bool // the caller's share, by rendezvous
	swept  claim.WallTime          // all that was dead then is done; 0: nothing yet
}

// NewSweeper gives a Sweeper of the shards for which own says yes.
func NewSweeper(k *Keeper, own func(shard string) bool) *Sweeper {
	return &Sweeper{keeper: k, own: own}
}

// Sweep deletes what has died since the last Sweep and gives the number of deleted objects. After an error
// the next one starts over.
func (s *Sweeper) Sweep(ctx context.Context) (int, error) {
	wall := s.keeper.cfg.Wall()
	span := firstSweep
	if s.swept > 0 {
		span = time.Duration(wall-s.swept) * time.Millisecond
	}
	deleted := 0
	for _, name := range s.keeper.cfg.Limits.ExpiredShards(wall, span) {
		if !s.own(name) {
			continue
		}
		gone, err := s.drop(ctx, objects.Key{Kind: claim.ObjectKind, Name: name})
		if err != nil {
			return deleted, err
		}
		if gone {
			deleted++
		}
		select {
		case <-time.After(sweepPause):
		case <-ctx.Done():
			return deleted, ctx.Err()
		}
	}
	s.swept = wall
	return deleted, nil
}

func (s *Sweeper) drop(ctx context.Context, key objects.Key) (bool, error) {
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
		return false, nil // another sweeper was first, or a late outcome came: the next sweep sees
	}
	return err == nil, err
}
