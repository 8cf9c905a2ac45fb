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

// roleLong is the role that puts an engine in a long lane.
const roleLong = "long"

// sink hands engines' reports to the router and what they serve to the keeper.
type sink struct {
	*route.Router
	keeper   *keeper.Keeper
	follower *follow.Follower
	limits   *warm.Limits
	seen     *execute.ObservedModels
}

var _ observe.Sink = sink{}

// OnLoad takes an engine's load report, which also tells its boot and whether it is leaving.
func (s sink) OnLoad(u *fleet.Upstream, l wire.LoadReport, at time.Time) {
	s.follower.OnLoad(u, l.BootID, l.Leaving)
	s.limits.OnLoad(u, l, at)
	s.Router.OnLoad(u, l, at)
}

// OnSilent takes note that an engine did not report.
func (s sink) OnReportMissed(u *fleet.Upstream, err error) {
	s.limits.OnSilent(u, err)
	s.Router.OnReportMissed(u, err)
}

// OnState takes what an engine serves.
func (s sink) OnState(u *fleet.Upstream, st wire.EngineState) {
	served := keeper.ServingState{LongLane: st.Role == roleLong}
	for _, l := range st.Loaded {
		served.Models = append(served.Models, l.Model)
	}
	s.keeper.SetServingState(u.ID, served)
	s.seen.Set(u.ID, st.Loaded)
}
