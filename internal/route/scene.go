package route

import (
	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/decide/lane"
	"github.com/damaskshelf/damaskshelf/internal/decide/pick"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// scene is what routing derives from one view: immutable, made once a view by whichever request sees the
// view first, and published through an atomic pointer.
type scene struct {
	view    *fleet.View
	entries int // instances that share the upstreams, this one included
	spaces  map[fleet.WorkspaceID]api.Workspace
}

// scene gives the scene of the current view.
func (r *Router) scene() *scene {
	v := r.view()
	if s := r.current.Load(); s != nil && s.view == v {
		return s
	}
	s := &scene{view: v, spaces: make(map[fleet.WorkspaceID]api.Workspace, len(v.Config.Intent.Workspaces))}
	for _, w := range v.Config.Intent.Workspaces {
		s.spaces[fleet.WorkspaceID(w.Name)] = w
	}
	for _, i := range v.Instances {
		if !i.Leaving {
			s.entries++
		}
	}
	s.entries = max(s.entries, 1)
	r.current.Store(s)
	return s
}

// pooled is a model's pool for one view and number of lanes.
type pooled struct {
	view  *fleet.View
	lanes int
	pool  *pick.Pool
	size  int // engines in it
}

// unboundedMemory stands for an engine's memory that nothing has told yet.
const unboundedMemory = 1 << 40

// pool gives the model's pool for the view: made by whichever request sees a new view or number of lanes
// first, without a lock. Two that see it at once make it twice.
func (m *model) pool(v *fleet.View) *pooled {
	lanes := int(m.lanes.Load())
	if p := m.current.Load(); p != nil && p.view == v && p.lanes == lanes {
		return p
	}
	var engines []*pick.Engine
	var taking []*fleet.Upstream
	memory := int64(unboundedMemory)
	for _, u := range v.Engines(m.name) {
		if !u.Takes() {
			continue
		}
		taking = append(taking, u)
		engines = append(engines, m.router.engine(u))
		if u.Memory > 0 {
			memory = min(memory, u.Memory)
		}
	}
	p := &pooled{view: v, lanes: lanes, size: len(taking)}
	p.pool = pick.NewPool(engines, laneOrder(m.name, taking)[:min(lanes, len(taking))], memory)
	m.current.Store(p)
	return p
}

// laneOrder puts the engines that operators gave the long role first.
func laneOrder(model string, taking []*fleet.Upstream) []fleet.UpstreamID {
	var long, others []*fleet.Upstream
	for _, u := range taking {
		if u.Long {
			long = append(long, u)
		} else {
			others = append(others, u)
		}
	}
	return append(lane.Order(model, long), lane.Order(model, others)...)
}
