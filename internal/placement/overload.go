package placement

import (
	"cmp"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// overload holds the settings for services whose engines are asked for more than they can do.
type overload struct {
	admission dispatch.Admission
	shares    map[fleet.WorkspaceID]dispatch.WorkspaceShare
}

// newOverload converts validated settings.
func newOverload(s api.Overload) overload {
	o := overload{shares: make(map[fleet.WorkspaceID]dispatch.WorkspaceShare, len(s.Workspaces))}
	if s.Admission == api.AdmissionForecast {
		o.admission = dispatch.ByForecast
	}
	for name, w := range s.Workspaces {
		o.shares[fleet.WorkspaceID(name)] = dispatch.WorkspaceShare{
			Weight: *cmp.Or(w.Weight, &dispatch.DefaultShare.Weight), Max: *cmp.Or(w.MaxShare, &dispatch.DefaultShare.Max),
		}
	}
	return o
}

// SetOverload changes the settings by which this instance dispatches while it is the dispatcher.
func (c *Client) SetOverload(s api.Overload) { c.hub.setOverload(newOverload(s)) }

// setOverload applies the settings to all services.
func (h *hub) setOverload(o overload) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.overload = o
	for name, st := range h.services {
		h.loadService(h.now(), name, st)
	}
}
