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

// sweepInterval is the time between two deletions of expired claim shards.
const sweepInterval = decideclaim.BucketSpan

// newClaims returns the keeper of claims. Its incarnation is unique to this process: a restarted instance has another.
func newClaims(s api.Settings, p objects.Store, log hclog.Logger) *claim.Keeper {
	now, wall := claim.Clocks()
	return claim.New(p, claim.Config{
		Limits:      decideclaim.DefaultLimits(),
		Incarnation: fmt.Sprintf("%s.%s", s.Instance, uuid.NewString()),
		Now:         now,
		Wall:        wall,
	}, log)
}

// newStoredClaims returns the claims that the handler of commands uses, which are kept in the store.
func newStoredClaims(k *claim.Keeper, rec *explain.Recorder) command.Claims {
	return command.NewStoredClaims(k, rec)
}

// newClaimSweep returns a function that runs until its context ends. Every sweepInterval it deletes the expired claim
// shards that this instance owns, which no request can refer to any more.
func newClaimSweep(s api.Settings, claims *claim.Keeper, k *keeper.Keeper, log hclog.Logger) func(context.Context) {
	ownsShard := func(shard string) bool {
		var ids []string
		for _, i := range k.View().Instances {
			ids = append(ids, string(i.ID))
		}
		return rendezvous.Owner(shard, ids) == s.Instance
	}
	sweeper := claim.NewSweeper(claims, ownsShard)
	return func(ctx context.Context) {
		tick := time.NewTicker(sweepInterval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
			case <-ctx.Done():
				return
			}
			if n, err := sweeper.Sweep(ctx); n > 0 || (err != nil && ctx.Err() == nil) {
				log.Info("swept expired claim shards", "deleted", n, "error", err)
			}
		}
	}
}
