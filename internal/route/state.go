package route

import (
	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/decide/lane"
	"github.com/damaskshelf/damaskshelf/internal/decide/pick"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// routingState is what the router derives from one view. It is immutable. The first request that sees a view builds it
// and publishes it through an atomic pointer.
type routingState struct {
	view       *fleet.View
	instances  int // instances that share the upstreams, this one included
	workspaces map[fleet.WorkspaceID]api.Workspace
}

// state returns the routing state of the current view.
func (r *Router) state() *routingState {
	v := r.view()
	if s := r.currentState.Load(); s != nil && s.view == v {
		return s
	}
	s := &routingState{view: v, workspaces: make(map[fleet.WorkspaceID]api.Workspace, len(v.Config.Intent.Workspaces))}
	for _, w := range v.Config.Intent.Workspaces {
		s.workspaces[fleet.WorkspaceID(w.Name)] = w
	}
	for _, i := range v.Instances {
		if !i.Leaving {
			s.instances++
		}
	}
	s.instances = max(s.instances, 1)
	r.currentState.Store(s)
	return s
}

// modelPool is a model's pool of engines for one view and one number of lanes.
type modelPool struct {
	view        *fleet.View
	lanes       int
	pool        *pick.Pool
	engineCount int
}

// unboundedMemory, in tokens, stands for the memory of engines while none is known.
const unboundedMemory = 1 << 40

// pool returns the model's pool for the view. The first request that sees a new view or number of lanes builds the
// pool, without a lock. Concurrent requests may build it more than once, with the same result.
func (m *model) pool(v *fleet.View) *modelPool {
	lanes := int(m.lanes.Load())
	if p := m.currentPool.Load(); p != nil && p.view == v && p.lanes == lanes {
		return p
	}
	var engines []*pick.Engine
	var available []*fleet.Upstream
	memory := int64(unboundedMemory)
	for _, u := range v.Engines(m.name) {
		if !u.AcceptsWork() {
			continue
		}
		available = append(available, u)
		engines = append(engines, m.router.engine(u))
		if u.KVCacheTokens > 0 {
			memory = min(memory, u.KVCacheTokens)
		}
	}
	p := &modelPool{view: v, lanes: lanes, engineCount: len(available)}
	p.pool = pick.NewPool(engines, laneOrder(m.name, available)[:min(lanes, len(available))], memory)
	m.currentPool.Store(p)
	return p
}

// laneOrder returns the engines in the order in which they become lanes. Those with the long role come first.
func laneOrder(model string, available []*fleet.Upstream) []fleet.UpstreamID {
	var long, others []*fleet.Upstream
	for _, u := range available {
		if u.LongLane {
			long = append(long, u)
		} else {
			others = append(others, u)
		}
	}
	return append(lane.Order(model, long), lane.Order(model, others)...)
}
