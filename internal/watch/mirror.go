package watch

import (
	"maps"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
)

const (
	// lapseGrace is how long an entry that vanished while the store was away is still taken as there. Entries
	// lapse while their upstreams can't write; the platform says that those of living upstreams are back about
	// two seconds after the store's return, and that one which isn't is gone.
	lapseGrace = 2 * time.Second
	// outage is how long the store must have been away for its entries to lapse unseen; it is below the time
	// after which the platform drops a silent upstream, and above a single lost call.
	outage = time.Second
)

// mirror is a copy of one kind's objects, as of a revision of the store. It is not safe for concurrent use.
type mirror struct {
	objects  map[string]wire.Object
	revision uint64
	known    bool      // a whole list was taken
	proven   time.Time // the copy was the store's newest at this moment
	failed   time.Time // first failed read since the last good one; zero: none
	returned time.Time // when reads worked again after an outage
	lapsing  map[string]bool
	grace    bool // whether vanished entries are kept for lapseGrace after an outage
}

func newMirror(grace bool) *mirror {
	return &mirror{objects: map[string]wire.Object{}, lapsing: map[string]bool{}, grace: grace}
}

// fail notes a failed read.
func (m *mirror) fail(now time.Time) {
	if m.failed.IsZero() {
		m.failed = now
	}
}

// succeed notes a good read that began at began.
func (m *mirror) succeed(began, now time.Time) {
	if !m.failed.IsZero() && now.Sub(m.failed) > outage {
		m.returned = now
	}
	m.failed = time.Time{}
	if began.After(m.proven) {
		m.proven = began
	}
}

// replace takes a whole list, and tells whether the copy changed. A list from before the copy's revision is
// a stale read.
func (m *mirror) replace(l wire.List, now time.Time) bool {
	if m.known && l.Version < m.revision {
		return false
	}
	changed := !m.known
	listed := make(map[string]bool, len(l.Objects))
	for _, o := range l.Objects {
		listed[o.Name] = true
		changed = m.set(o) || changed
	}
	for name := range maps.Clone(m.objects) {
		if !listed[name] {
			changed = m.remove(name, now) || changed
		}
	}
	m.known, m.revision = true, l.Version
	return changed
}

// apply takes the changes after the copy's revision, and tells whether the copy changed.
func (m *mirror) apply(l wire.List, now time.Time) bool {
	changed := false
	for _, o := range l.Objects {
		changed = m.set(o) || changed
	}
	for _, name := range l.Deleted {
		changed = m.remove(name, now) || changed
	}
	m.revision = max(m.revision, l.Version)
	return changed
}

func (m *mirror) set(o wire.Object) bool {
	delete(m.lapsing, o.Name)
	if old, ok := m.objects[o.Name]; ok && old.Version >= o.Version {
		return false
	}
	m.objects[o.Name] = o
	return true
}

func (m *mirror) remove(name string, now time.Time) bool {
	if _, ok := m.objects[name]; !ok {
		return false
	}
	if m.grace && now.Sub(m.returned) < lapseGrace {
		m.lapsing[name] = true
		return false
	}
	delete(m.objects, name)
	delete(m.lapsing, name)
	return true
}

// expire drops the entries whose grace is over, and tells whether there were any.
func (m *mirror) expire(now time.Time) bool {
	if len(m.lapsing) == 0 || now.Sub(m.returned) < lapseGrace {
		return false
	}
	for name := range m.lapsing {
		delete(m.objects, name)
	}
	clear(m.lapsing)
	return true
}
