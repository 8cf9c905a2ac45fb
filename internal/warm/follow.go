package warm

import (
	"context"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/health"
	"github.com/damaskshelf/damaskshelf/internal/decide/warm"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// OnInstanceList applies a version of the instance list, the ids of the live instances, from a read that began at began.
func (l *Limits) OnInstanceList(version uint64, live []string, began time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	l.slots.OnInstanceList(version, live, now.Add(-time.Since(began)), now)
}

// OnPeerVersion records that a peer used that version of the instance list at the time at or later.
func (l *Limits) OnPeerVersion(version uint64, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slots.OnPeerVersion(version, l.cfg.Now().Add(-time.Since(at)))
}

// Settled reports whether this instance's slots are settled. Until then it can't send requests to cold engines.
func (l *Limits) Settled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.slots.Settled(l.cfg.Now())
}

// Run updates the published caps from the view and the slots until ctx is done.
func (l *Limits) Run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	last := l.cfg.Now()
	for {
		now := l.cfg.Now()
		shrink := now.Sub(last) >= shrinkInterval
		if shrink {
			last = now
		}
		l.Tick(shrink)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// Tick applies a new view and updates every upstream's share of slots and caps. If shrink is set, it also reduces the
// windows that are not used.
func (l *Limits) Tick(shrink bool) {
	v := l.cfg.View()
	l.mu.Lock()
	defer l.mu.Unlock()
	if v != l.lastView {
		l.applyView(v)
	}
	l.lastView = v
	now := l.cfg.Now()
	validUntil := l.slots.ValidUntil()
	for _, u := range v.Upstreams {
		l.updateShare(u, now, validUntil, shrink)
	}
}

// applyView records which upstreams are listed, leaving and no longer listed. The caller holds l.mu.
func (l *Limits) applyView(v *fleet.View) {
	for _, u := range v.Upstreams {
		switch state := l.State(u); {
		case !u.AcceptsWork() && state != health.Leaving:
			l.RecordEvidence(u, health.Listed)
			l.RecordEvidence(u, health.IsLeaving)
		case u.AcceptsWork() && state == health.Leaving:
			l.RecordEvidence(u, health.IsBack)
		case u.AcceptsWork() && state == health.Gone:
			l.RecordEvidence(u, health.Listed)
		}
	}
	l.upstreams.Range(func(id, up any) bool { return l.handleUnlisted(v, id.(fleet.UpstreamID), up.(*upstream)) })
}

// handleUnlisted records that an upstream is no longer in the view. A later change of the view deletes its state, once
// it has no requests in flight; by then no request of the old view can arrive. It returns true, so that the iteration
// over the upstreams continues.
func (l *Limits) handleUnlisted(v *fleet.View, id fleet.UpstreamID, up *upstream) bool {
	switch {
	case v.Upstream(id) != nil:
	case up.caps.Load().state != health.Gone:
		l.RecordEvidence(&fleet.Upstream{ID: id}, health.Unlisted)
	case up.inFlight.Load() == 0:
		l.upstreams.Delete(id)
	}
	return true
}

// updateShare updates this instance's share of the upstream's slots, and the published caps. The caller holds l.mu.
func (l *Limits) updateShare(u *fleet.Upstream, now, validUntil decide.Instant, shrink bool) {
	up := l.upstream(u)
	up.mu.Lock()
	defer up.mu.Unlock()
	state := up.machine.State()
	if shrink && state == health.Warm {
		up.growth.ShrinkWindow(int(up.inFlight.Load() - up.streaming.Load()))
	}
	if u.Kind == fleet.Engine && state != health.Warm {
		share, reason := l.slots.Share(string(u.ID), up.coldLimit, now)
		if share != up.slotShare {
			l.cfg.Explain.Record("slots", string(u.ID), reason, "share", share, "before", up.slotShare, "limit", up.coldLimit)
		}
		up.slotShare = share
	}
	p := &publishedCaps{Caps: up.computeCaps(state), state: state, validUntil: validUntil}
	if *up.caps.Load() != *p {
		up.caps.Store(p)
	}
}

// NewParams returns the bounds of the slots for an instance that reads the instance list and receives heartbeats at
// these intervals. All instances must have the same bounds, and therefore the same intervals in their settings.
func NewParams(listInterval, heartbeatInterval time.Duration) warm.Params {
	const (
		readsPerListLag, minListLag  = 10, time.Second
		heartbeatsPerPause, minPause = 3, 250 * time.Millisecond
	)
	params := warm.DefaultParams()
	params.ListLag = max(readsPerListLag*listInterval, minListLag)
	params.MaxPause = max(heartbeatsPerPause*heartbeatInterval, minPause)
	return params
}
