package node

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/decide/storebudget"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/follow"
	"github.com/damaskshelf/damaskshelf/internal/keeper"
	"github.com/damaskshelf/damaskshelf/internal/objects"
	platformclient "github.com/damaskshelf/damaskshelf/internal/objects/client"
	"github.com/damaskshelf/damaskshelf/internal/warm"
)

// newStore returns the object API, with calls limited to this instance's share of the rates that all instances share.
func newStore(p *platformclient.Client, k *keeper.Keeper) objects.Store {
	instanceCount := func() int { return len(k.View().Instances) }
	return platformclient.NewBudgetedStore(p, storebudget.DefaultLimits, instanceCount)
}

// newFollower returns the follower of the configuration and the instance list. Each read of the list also goes to l.
func newFollower(s api.Settings, p *platformclient.Client, store objects.Store, k *keeper.Keeper, l *warm.Limits,
	log hclog.Logger) (*follow.Follower, error) {
	return follow.New(follow.Deps{
		Self: fleet.Instance{
			ID: fleet.InstanceID(s.Instance), Domain: fleet.DomainID(s.FailureDomain), Region: fleet.RegionID(s.Region),
		},
		Store: store, Instances: listObserver{p, l}, Keeper: k, Log: log,
		ListInterval: time.Duration(s.Intervals.InstanceList), HeartbeatInterval: time.Duration(s.Intervals.Heartbeat), OnPeerListVersion: l.OnPeerVersion,
	})
}
