package watch

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// maxDepartures bounds the departures that are kept; the one that was noted first goes first.
const maxDepartures = 10_000

// departures are upstreams' processes that leave by another word than the store's: their own answers, or that of another
// process at their address. It is final: whatever the store says later of such a process is older, however late it comes. They
// outlive the upstream's entry, which can lapse while the store is away and come back as it was.
type departures struct {
	noted map[fleet.Process]time.Time
}

func newDepartures() *departures { return &departures{noted: map[fleet.Process]time.Time{}} }

func (d *departures) has(u *catalog.Upstream) bool {
	if len(d.noted) == 0 {
		return false
	}
	_, ok := d.noted[u.Process()]
	return ok
}

// note takes that a process leaves, and tells whether that is new.
func (d *departures) note(p fleet.Process, now time.Time) bool {
	if _, known := d.noted[p]; known {
		return false
	}
	if len(d.noted) >= maxDepartures {
		d.forgetFirst()
	}
	d.noted[p] = now
	return true
}

func (d *departures) forgetFirst() {
	var first fleet.Process
	var at time.Time
	for p, noted := range d.noted {
		if at.IsZero() || noted.Before(at) {
			first, at = p, noted
		}
	}
	delete(d.noted, first)
}

// forgetUnnamed drops the departure of an upstream whose start isn't known, as its entry is gone: another process under its
// id could not be told from it.
func (d *departures) forgetUnnamed(id fleet.UpstreamID) { delete(d.noted, fleet.Process{ID: id}) }

// Left notes that a process leaves, which can be known before the store says so: it gets no new work. by is the instance that
// found out. It tells whether that is news here.
func (f *Follower) MarkLeaving(p fleet.Process, sign string, by fleet.InstanceID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if !f.left.note(p, now) {
		return false
	}
	f.log.Info("upstream leaves by its own answer", "upstream", p.ID, "born", p.StartTime, "sign", sign, "heard_by", by)
	f.publish(f.deps.Kinds.Upstreams, now)
	return true
}

// Departures gives the processes that leave and that the store has as staying.
func (f *Follower) Departures() []fleet.Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []fleet.Process
	for p := range f.left.noted {
		if u := f.upstreams[p.ID]; u != nil && u.Process() == p && !u.Leaving {
			all = append(all, p)
		}
	}
	return all
}
