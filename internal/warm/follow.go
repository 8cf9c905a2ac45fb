package warm

import (
	"context"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/health"
	"github.com/damaskshelf/damaskshelf/internal/decide/warm"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// OnList takes a read of the instance list that began at began: the entry instances that are live.
func (l *Limits) OnInstanceList(version uint64, live []string, began time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	l.slots.OnInstanceList(version, live, now.Add(-time.Since(began)), now)
}

// OnPeerList notes that a peer went by that version of the list, not before at.
func (l *Limits) OnPeerVersion(version uint64, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slots.OnPeerVersion(version, l.cfg.Now().Add(-time.Since(at)))
}

// Settled tells whether this instance's slots are settled. Before that it can't send to cold upstreams.
func (l *Limits) Settled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.slots.Settled(l.cfg.Now())
}

// Run keeps the published caps in step with view and slots until ctx ends.
func (l *Limits) Run(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	last := l.cfg.Now()
	for {
		now := l.cfg.Now()
		shrink := now.Sub(last) >= shrinkEvery
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

// Tick works off a new view and deals the slots; shrink lets unused windows shrink as well.
func (l *Limits) Tick(shrink bool) {
	v := l.cfg.View()
	l.mu.Lock()
	defer l.mu.Unlock()
	if v != l.seen {
		l.follow(v)
	}
	l.seen = v
	now := l.cfg.Now()
	until := l.slots.ValidUntil()
	for _, u := range v.Upstreams {
		l.deal(u, now, until, shrink)
	}
}

// follow takes listed, leaving and unlisted upstreams; l.mu is held.
func (l *Limits) follow(v *fleet.View) {
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
	l.ups.Range(func(id, up any) bool { return l.unlisted(v, id.(fleet.UpstreamID), up.(*upstream)) })
}

// unlisted takes note of upstreams that the list no longer names. What is known of one is dropped at the
// next change of the view, when no request of the old view can come any more.
func (l *Limits) unlisted(v *fleet.View, id fleet.UpstreamID, up *upstream) bool {
	switch {
	case v.Upstream(id) != nil:
	case up.caps.Load().state != health.Gone:
		l.RecordEvidence(&fleet.Upstream{ID: id}, health.Unlisted)
	case up.inFlight.Load() == 0:
		l.ups.Delete(id)
	}
	return true
}

// deal gives one upstream its share of slots; l.mu is held.
func (l *Limits) deal(u *fleet.Upstream, now, until decide.Instant, shrink bool) {
	up := l.upstream(u)
	up.mu.Lock()
	defer up.mu.Unlock()
	state := up.machine.State()
	if shrink && state == health.Warm {
		up.growth.ShrinkWindow(int(up.inFlight.Load() - up.answered.Load()))
	}
	if u.Kind == fleet.Engine && state != health.Warm {
		share, reason := l.slots.Share(string(u.ID), up.coldLimit, now)
		if share != up.share {
			l.cfg.Explain.Record("slots", string(u.ID), reason, "share", share, "before", up.share, "limit", up.coldLimit)
		}
		up.share = share
	}
	p := &published{Caps: up.capsIn(state), state: state, until: until}
	if *up.caps.Load() != *p {
		up.caps.Store(p)
	}
}

// ParamsOf gives the slots' bounds for an instance that reads the list and hears from peers at these
// intervals. They must be the same on all instances, as their settings are.
func NewParams(list, heartbeat time.Duration) warm.Params {
	const (
		lagReads, leastLag     = 10, time.Second
		pauseBeats, leastPause = 3, 250 * time.Millisecond
	)
	p := warm.DefaultParams()
	p.ListLag = max(lagReads*list, leastLag)
	p.MaxPause = max(pauseBeats*heartbeat, leastPause)
	return p
}
