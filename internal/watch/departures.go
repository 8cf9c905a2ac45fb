package watch

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// maxDepartures bounds the number of departures that are kept, and so the memory that they use. Departures of processes
// with a known start time aren't removed otherwise. The oldest one is evicted first.
const maxDepartures = 10_000

// departures records upstream processes that are known to be leaving from a source other than the store: from their own
// answers, or from the answer of another process at their address. A departure is final for its process. A later entry
// of that process in the store is older information, however late it arrives. A departure outlives the upstream's
// entry, because the entry can lapse while the store is unavailable and then be restored unchanged.
type departures struct {
	markedAt map[fleet.Process]time.Time // when each process was marked
}

// newDepartures returns an empty set of departures.
func newDepartures() *departures { return &departures{markedAt: map[fleet.Process]time.Time{}} }

// has reports whether the process of the upstream is marked as leaving.
func (d *departures) has(u *catalog.Upstream) bool {
	if len(d.markedAt) == 0 {
		return false
	}
	_, ok := d.markedAt[u.Process()]
	return ok
}

// mark records that a process is leaving, and reports whether this is a new departure.
func (d *departures) mark(p fleet.Process, now time.Time) bool {
	if _, known := d.markedAt[p]; known {
		return false
	}
	if len(d.markedAt) >= maxDepartures {
		d.evictOldest()
	}
	d.markedAt[p] = now
	return true
}

// evictOldest removes the departure that was marked first.
func (d *departures) evictOldest() {
	var oldest fleet.Process
	var oldestAt time.Time
	for p, at := range d.markedAt {
		if oldestAt.IsZero() || at.Before(oldestAt) {
			oldest, oldestAt = p, at
		}
	}
	delete(d.markedAt, oldest)
}

// removeWithoutStartTime removes the departure of an upstream whose start time is unknown. It is called when the
// upstream's entry is gone: another process under the same id couldn't be distinguished from the one that left.
func (d *departures) removeWithoutStartTime(id fleet.UpstreamID) {
	delete(d.markedAt, fleet.Process{ID: id})
}

// MarkLeaving records that a process is leaving, possibly before its entry in the store shows this. The process gets no
// new work. The sign states how this was detected, and by is the instance that detected it. MarkLeaving reports whether
// this instance hadn't recorded the departure before.
func (f *Follower) MarkLeaving(p fleet.Process, sign string, by fleet.InstanceID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if !f.departures.mark(p, now) {
		return false
	}
	f.log.Info("upstream leaves by its own answer", "upstream", p.ID, "born", p.StartTime, "sign", sign, "heard_by", by)
	f.publish(f.deps.Kinds.Upstreams, now)
	return true
}

// Departures returns the processes that are marked as leaving while the store doesn't list them as leaving.
func (f *Follower) Departures() []fleet.Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	var leaving []fleet.Process
	for p := range f.departures.markedAt {
		if u := f.upstreams[p.ID]; u != nil && u.Process() == p && !u.Leaving {
			leaving = append(leaving, p)
		}
	}
	return leaving
}
