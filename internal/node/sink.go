package node

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/execute"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/follow"
	"github.com/damaskshelf/damaskshelf/internal/keeper"
	"github.com/damaskshelf/damaskshelf/internal/observe"
	"github.com/damaskshelf/damaskshelf/internal/route"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
	"github.com/damaskshelf/damaskshelf/internal/warm"
)

// longLaneRole is the role of an engine that belongs to the long lane.
const longLaneRole = "long"

// sink distributes the reports of engines to the parts that use them. The embedded router receives the cache events.
type sink struct {
	*route.Router
	keeper   *keeper.Keeper
	follower *follow.Follower
	limits   *warm.Limits
	observed *execute.ObservedModels
}

var _ observe.Sink = sink{}

// OnLoad passes on an engine's load report. The follower uses its boot id and whether the engine is leaving.
func (s sink) OnLoad(u *fleet.Upstream, l wire.LoadReport, at time.Time) {
	s.follower.OnLoad(u, l.BootID, l.Leaving)
	s.limits.OnLoad(u, l, at)
	s.Router.OnLoad(u, l, at)
}

// OnReportMissed passes on that an engine's report could not be read.
func (s sink) OnReportMissed(u *fleet.Upstream, err error) {
	s.limits.OnNoReply(u, err)
	s.Router.OnReportMissed(u, err)
}

// OnState passes on an engine's state: its models and its lane go to the keeper, the loaded versions to the executor.
func (s sink) OnState(u *fleet.Upstream, st wire.EngineState) {
	serving := keeper.ServingState{LongLane: st.Role == longLaneRole}
	for _, l := range st.Loaded {
		serving.Models = append(serving.Models, l.Model)
	}
	s.keeper.SetServingState(u.ID, serving)
	s.observed.Set(u.ID, st.Loaded)
}
