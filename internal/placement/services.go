package placement

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
)

// forEachState calls f for the states of all services; mu is held. Messages about a running request don't name its
// service, and the other states ignore an unknown request.
func (h *hub) forEachState(f func(*dispatch.State)) {
	for _, st := range h.services {
		f(st)
	}
}

// serviceState returns the state of a service, and creates it if necessary; mu is held.
func (h *hub) serviceState(service string) *dispatch.State {
	name := catalog.ServiceName(service)
	st := h.services[name]
	if st == nil {
		st = dispatch.New(nil, dispatch.DefaultParams())
		st.SetOrderKey(string(h.self))
		st.SetQuarantine(h.quarantine)
		for instance, at := range h.ends {
			st.SetInstanceEnd(instance, at)
		}
		h.services[name] = st
		h.loadService(h.now(), name, st)
	}
	return st
}

// refresh updates the states if the snapshot has changed; mu is held.
func (h *hub) refresh(now decide.Instant) {
	snap := h.snapshot()
	if snap == h.lastSnapshot {
		return
	}
	h.lastSnapshot = snap
	for name, st := range h.services {
		h.loadService(now, name, st)
	}
}

// loadService updates a service's state with the model, upstreams and limits of the last snapshot; mu is held.
func (h *hub) loadService(now decide.Instant, name catalog.ServiceName, st *dispatch.State) {
	snap := h.lastSnapshot
	if snap == nil || snap.Config == nil {
		return
	}
	p := dispatch.DefaultParams()
	p.Admission, p.Shares = h.overload.admission, h.overload.shares
	if s := snap.Config.Service(name); s != nil {
		p.ColdRequestsPerSecond = s.ColdPerSecond * coldShare
		st.SetModel(dispatchModel(s), p)
	}
	var open []dispatch.Upstream
	wallNow := time.Now()
	for _, u := range snap.Upstreams(name) {
		if snap.AcceptsWork(u) {
			open = append(open, dispatch.Upstream{
				ID: u.ID, Domain: u.Domain, Slots: u.Slots, StartTime: u.StartTime, ColdUntil: now.Add(u.ColdUntil.Sub(wallNow)),
			})
		}
	}
	st.SetUpstreams(open)
	st.SetLimits(now, h.rates(name))
}

// coldShare is the fraction of a cold upstream's limit that one dispatcher uses. Two dispatchers may place at one time
// during a takeover. Together they use 1.4 times the limit, which may be exceeded by a half.
const coldShare = 0.7
