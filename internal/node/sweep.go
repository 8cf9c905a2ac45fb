package node

import (
	"github.com/hashicorp/go-hclog"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/decide/reserve"
	"github.com/damaskshelf/damaskshelf/internal/explain"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/follow"
	"github.com/damaskshelf/damaskshelf/internal/keeper"
	"github.com/damaskshelf/damaskshelf/internal/metrics"
	"github.com/damaskshelf/damaskshelf/internal/route"
	"github.com/damaskshelf/damaskshelf/internal/sweep"
	"github.com/damaskshelf/damaskshelf/internal/upstream"
)

// newSweeper returns the sweeper, which releases reservations on engines that no holder will release.
func newSweeper(s api.Settings, r *route.Router, k *keeper.Keeper, f *follow.Follower, c *upstream.Client,
	rec *explain.Recorder, m *metrics.Registry, log hclog.Logger) *sweep.Sweeper {
	return sweep.New(sweep.Deps{
		Self: reserve.Holder{Instance: fleet.InstanceID(s.Instance), Incarnation: r.Incarnation()},
		View: k.View, CheckUsable: f.Usable, Engines: c, Explain: rec, Metrics: m, Log: log.Named("sweep"),
	})
}
