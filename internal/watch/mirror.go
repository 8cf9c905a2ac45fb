package watch

import (
	"slices"
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

// Change is what became different of a kind's objects between two revisions of the store, or all of them.
// It is not changed once it was made.
type Change struct {
	Kind       string
	Full       bool   // Objects are all there are
	From       uint64 // revision of the change before it: it applies to a copy as of then or later
	To         uint64
	Objects    []wire.Object
	Deleted    []string
	Lapsing    []string // gone from the store as of To, and still taken as there for lapseGrace
	EmptySpans []Span   // spans of revisions of which no object is left
}

// Span are the revisions after one and up to another.
type Span struct{ After, Through uint64 }

func (s Span) holds(revision uint64) bool { return s.After < revision && revision <= s.Through }

func (c *Change) empty() bool {
	return !c.Full && len(c.Objects) == 0 && len(c.Deleted) == 0 && len(c.Lapsing) == 0 && len(c.EmptySpans) == 0
}

// Join gives the change that c and the one after it make together.
func (c Change) Merge(next Change) Change {
	if next.Full {
		return next
	}
	all := Change{Kind: c.Kind, Full: c.Full, From: c.From, To: max(c.To, next.To), EmptySpans: slices.Concat(c.EmptySpans, next.EmptySpans)}
	gone := make(map[string]bool, len(next.Deleted))
	for _, name := range next.Deleted {
		gone[name] = true
	}
	later := make(map[string]bool, len(next.Objects))
	for _, o := range next.Objects {
		later[o.Name] = true
	}
	for _, o := range c.Objects {
		if !later[o.Name] && !gone[o.Name] {
			all.Objects = append(all.Objects, o)
		}
	}
	all.Objects = append(all.Objects, next.Objects...)
	for _, name := range c.Lapsing {
		if !later[name] && !gone[name] {
			all.Lapsing = append(all.Lapsing, name)
		}
	}
	all.Lapsing = append(all.Lapsing, next.Lapsing...)
	for _, name := range c.Deleted {
		if !later[name] && !gone[name] {
			all.Deleted = append(all.Deleted, name)
		}
	}
	if !c.Full {
		all.Deleted = append(all.Deleted, next.Deleted...)
	}
	return all
}

// mirror is a copy of one kind's objects, as of a revision of the store. It is not safe for concurrent use.
type mirror struct {
	kind     string
	objects  map[string]wire.Object
	deleted  map[string]uint64 // revisions as of which objects were known to be gone
	revision uint64
	latest   uint64    // revision of the last change of the copy
	known    bool      // a whole list was taken
	proven   time.Time // the copy was the store's newest at this moment
	failed   time.Time // first failed read since the last good one; zero: none
	due      time.Time // when the read under way must have been answered; zero: none is under way
	returned time.Time // when reads worked again after an outage
	lapsing  map[string]lapse
	grace    bool // whether vanished entries are kept for lapseGrace after an outage
}

// lapse is an entry that is gone from the store as of a revision, and taken as there until a moment.
type lapse struct {
	revision uint64
	until    time.Time
}

func newMirror(kind string, grace bool) *mirror {
	return &mirror{
		kind: kind, grace: grace,
		objects: map[string]wire.Object{}, deleted: map[string]uint64{}, lapsing: map[string]lapse{},
	}
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
	m.prove(began)
}

// failingFor is how long reads of the kind have failed, or hung; 0: they don't.
func (m *mirror) failingFor(now time.Time) time.Duration {
	if !m.failed.IsZero() {
		return now.Sub(m.failed)
	}
	if !m.due.IsZero() && now.Sub(m.due) > hangTime {
		return now.Sub(m.due)
	}
	return 0
}

// prove notes that the copy was the store's newest at a moment.
func (m *mirror) prove(at time.Time) {
	if at.After(m.proven) {
		m.proven = at
	}
}

// replace takes a whole list of the store, and gives what it changed. A list from before the copy's
// revision is a stale read and changes nothing.
func (m *mirror) replace(l wire.List, now time.Time) Change {
	c := Change{Kind: m.kind, From: m.latest, To: l.Version}
	if m.known && l.Version < m.revision {
		c.To = m.revision
		return c
	}
	listed := make(map[string]bool, len(l.Objects))
	for _, o := range l.Objects {
		listed[o.Name] = true
		m.set(&c, o)
	}
	for name := range m.objects {
		if !listed[name] {
			m.vanished(&c, name, l.Version, now)
		}
	}
	return m.learned(c)
}

// follow takes what a watch of the store saw after the copy's revision, and gives what it changed.
func (m *mirror) follow(l wire.List, now time.Time) Change {
	c := Change{Kind: m.kind, From: m.latest, To: max(m.revision, l.Version)}
	for _, o := range l.Objects {
		m.set(&c, o)
	}
	for _, name := range l.Deleted {
		m.vanished(&c, name, l.Version, now)
	}
	m.revision = c.To
	m.note(&c)
	return c
}

// offer takes a change that another instance made to its copy, and gives what it changed here. ok is false
// where changes before it are missing here.
func (m *mirror) offer(in Change, now time.Time) (c Change, ok bool) {
	c = Change{Kind: m.kind, From: m.latest, To: max(m.revision, in.To)}
	if !in.Full && (!m.known || m.revision < in.From) {
		return c, false
	}
	if in.Full && in.To < m.revision {
		return c, m.known // of before this copy: it holds what is gone here
	}
	m.dropWithout(&c, in)
	listed := map[string]bool{}
	for _, o := range in.Objects {
		listed[o.Name] = true
		m.set(&c, o)
	}
	for _, name := range in.Lapsing {
		m.lapse(&c, name, lapse{in.To, now.Add(lapseGrace)})
	}
	for _, name := range in.Deleted {
		m.remove(&c, name, in.To)
	}
	if in.Full {
		for name := range m.objects {
			if !listed[name] {
				m.remove(&c, name, in.To)
			}
		}
		return m.learned(c), true
	}
	m.revision = c.To
	m.note(&c)
	return c, true
}

// whole gives the copy as a change. From is the revision of the last change in it.
func (m *mirror) whole() Change {
	c := Change{Kind: m.kind, Full: true, From: m.latest, To: m.revision}
	for _, o := range m.objects {
		c.Objects = append(c.Objects, o)
	}
	for name := range m.lapsing {
		c.Lapsing = append(c.Lapsing, name)
	}
	return c
}

// learned ends a change by which the copy became whole. It is passed on whole: a list doesn't tell what came and went
// between this copy's revision and its own, and a copy in between holds that. Where it shows nothing new here, nothing that
// is left has a revision in between, and saying so is enough.
func (m *mirror) learned(c Change) Change {
	before := m.revision
	m.revision = c.To
	if m.known && c.empty() {
		if c.To > before {
			m.latest = c.To
			c.EmptySpans = []Span{{After: before, Through: c.To}}
		}
		return c
	}
	m.known = true
	m.latest = c.To
	return m.whole()
}

// dropWithout removes what is held of the spans of which a change says that no object is left.
func (m *mirror) dropWithout(c *Change, in Change) {
	for _, span := range in.EmptySpans {
		for name, o := range m.objects {
			if span.holds(o.Version) {
				m.remove(c, name, span.Through)
			}
		}
	}
	c.EmptySpans = in.EmptySpans
}

// set takes an object unless it is older than what is known of its name. What two readers of the store see
// reaches the copy in any order: the one that is behind must not bring back what the other saw go, or what was
// gone before this copy began.
func (m *mirror) set(c *Change, o wire.Object) {
	old, held := m.objects[o.Name]
	if o.Version <= m.deleted[o.Name] || !held && m.known && o.Version <= m.revision {
		return
	}
	if l, lapses := m.lapsing[o.Name]; lapses && o.Version <= l.revision {
		return // a copy of before it vanished
	}
	delete(m.lapsing, o.Name)
	if held && old.Version >= o.Version {
		return
	}
	m.objects[o.Name] = o
	c.Objects = append(c.Objects, o)
}

// vanished takes that the store no longer has the object as of a revision.
func (m *mirror) vanished(c *Change, name string, revision uint64, now time.Time) {
	if _, held := m.objects[name]; held && m.grace && now.Sub(m.returned) < lapseGrace {
		m.lapse(c, name, lapse{revision, m.returned.Add(lapseGrace)})
		return
	}
	m.remove(c, name, revision)
}

// lapse takes that an object is gone as of a revision, and keeps it for the grace. Each copy ends the grace by itself:
// whoever read the store may be gone by then, and the others would keep the object until the next list.
func (m *mirror) lapse(c *Change, name string, l lapse) {
	o, held := m.objects[name]
	if _, lapses := m.lapsing[name]; lapses || !held || o.Version > l.revision {
		return
	}
	m.lapsing[name] = l
	c.Lapsing = append(c.Lapsing, name)
}

// remove takes that an object is gone as of a revision. That of one not held here is passed on too: a copy
// that is behind may hold it.
func (m *mirror) remove(c *Change, name string, revision uint64) {
	o, held := m.objects[name]
	if held && o.Version > revision || !held && revision <= m.deleted[name] {
		return
	}
	m.deleted[name] = max(m.deleted[name], revision)
	delete(m.objects, name)
	delete(m.lapsing, name)
	c.Deleted = append(c.Deleted, name)
}

// expire drops the entries whose grace is over.
func (m *mirror) expire(now time.Time) Change {
	c := Change{Kind: m.kind, From: m.latest, To: m.revision}
	for name, l := range m.lapsing {
		if !now.Before(l.until) {
			m.remove(&c, name, l.revision)
		}
	}
	m.note(&c)
	return c
}

// note remembers when the copy last changed.
func (m *mirror) note(c *Change) {
	if !c.empty() {
		m.latest = c.To
	}
}
