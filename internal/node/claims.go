package node

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/claim"
	decideclaim "github.com/damaskshelf/damaskshelf/internal/decide/claim"
	"github.com/damaskshelf/damaskshelf/internal/entry/command"
	"github.com/damaskshelf/damaskshelf/internal/explain"
	"github.com/damaskshelf/damaskshelf/internal/keeper"
	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/rendezvous"
)

// sweepEvery is the pause between two sweeps of dead claim shards.
const sweepEvery = decideclaim.BucketSpan

func newClaims(s api.Settings, p objects.Store, log hclog.Logger) *claim.Keeper {
	now, wall := claim.Clocks()
	return claim.New(p, claim.Config{
		Limits:      decideclaim.DefaultLimits(),
		Incarnation: fmt.Sprintf("%s.%s", s.Instance, uuid.NewString()),
		Now:         now,
		Wall:        wall,
	}, log)
}

func newStoredClaims(k *claim.Keeper, rec *explain.Recorder) command.Claims {
	return command.NewStoredClaims(k, rec)
}

// sweepClaims deletes the claim shards that this instance owns and that nobody asks for any more.
func sweepClaims(s api.Settings, claims *claim.Keeper, k *keeper.Keeper, log hclog.Logger) func(context.Context) {
	own := func(shard string) bool {
		var ids []string
		for _, i := range k.View().Instances {
			ids = append(ids, string(i.ID))
		}
		return rendezvous.Owner(shard, ids) == s.Instance
	}
	sweeper := claim.NewSweeper(claims, own)
	return func(ctx context.Context) {
		tick := time.NewTicker(sweepEvery)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
			case <-ctx.Done():
				return
			}
			if n, err := sweeper.Sweep(ctx); n > 0 || (err != nil && ctx.Err() == nil) {
				log.Info("claims swept", "deleted", n, "error", err)
			}
		}
	}
}
