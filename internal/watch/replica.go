package watch

import (
	"bytes"
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
)

const (
	// lapseGrace is how long an entry that vanished during an outage of the store still counts as present. Entries
	// lapse while their upstreams can't renew them. According to the platform, the entries of running upstreams are
	// back about two seconds after the store is available again, and an upstream whose entry isn't back by then is
	// gone.
	lapseGrace = 2 * time.Second
	// restoreGrace is how long an object that is missing after the store came back from a copy still counts as present:
	// until whoever wrote it has noticed and has written it again.
	restoreGrace = 10 * time.Second
	// restoreWindow is how long after that an object isn't replaced by one that takes back what it stated.
	restoreWindow = 30 * time.Second
	// minOutage is the shortest unavailability of the store during which entries may lapse unseen. It is below the
	// time after which the platform removes the entry of an unresponsive upstream, and longer than one lost call
	// takes.
	minOutage = time.Second
)

// replica is this instance's copy of the objects of one kind, as of a revision of the store. It is not safe for
// concurrent use.
type replica struct {
	kind           string
	objects        map[string]wire.Object
	deletedAt      map[string]uint64 // by name: highest revision as of which the object was known to be deleted
	revision       uint64            // the copy includes every change up to this revision
	lastChange     uint64            // revision of the last change that modified the copy
	serial         uint64            // number of changes of the copy, also of several at one revision
	known          bool              // a full list has been applied
	provenAt       time.Time         // latest moment at which the copy is known to have been current
	failedSince    time.Time         // first failed read since the last successful one; zero: none
	readDue        time.Time         // when the pending read should have returned; zero: no read is pending
	availableSince time.Time         // when reads succeeded again after the last outage; zero: no outage yet
	lapsing        map[string]lapse  // by name: objects that are within their grace period
	retention      retention
	restoredAt     time.Time // when the store was last seen to have come back from a copy; zero: never
	leftOut        int       // objects that were left out because the copy had newer information
}

// lapse describes an object that is deleted from the store as of a revision and still treated as present until a
// moment.
type lapse struct {
	revision uint64
	until    time.Time
}

// newReplica returns an empty copy.
func newReplica(kind string, keeps retention) *replica {
	return &replica{
		kind: kind, retention: keeps,
		objects: map[string]wire.Object{}, deletedAt: map[string]uint64{}, lapsing: map[string]lapse{},
	}
}

// readFailed records a failed read.
func (r *replica) readFailed(now time.Time) {
	if r.failedSince.IsZero() {
		r.failedSince = now
	}
}

// readSucceeded records a successful read. The copy is proven to have been current when the read began.
func (r *replica) readSucceeded(began, now time.Time) {
	if !r.failedSince.IsZero() && now.Sub(r.failedSince) > minOutage {
		r.availableSince = now
	}
	r.failedSince = time.Time{}
	r.recordProof(began)
}

// failingFor returns how long reads of the kind have been failing or hanging; 0 means that they succeed.
func (r *replica) failingFor(now time.Time) time.Duration {
	if !r.failedSince.IsZero() {
		return now.Sub(r.failedSince)
	}
	if !r.readDue.IsZero() && now.Sub(r.readDue) > hangTimeout {
		return now.Sub(r.readDue)
	}
	return 0
}

// recordProof records that the copy was current at a moment.
func (r *replica) recordProof(at time.Time) {
	if at.After(r.provenAt) {
		r.provenAt = at
	}
}

// applyList applies a full list read from the store and returns what it changed. A list older than the copy is a stale
// read and changes nothing.
func (r *replica) applyList(l wire.List, now time.Time) Change {
	c := Change{Kind: r.kind, From: r.lastChange, To: l.Version}
	if r.known && l.Version < r.revision {
		c.To = r.revision
		return c
	}
	restored := r.noteRestore(l.Version, now)
	listed := make(map[string]bool, len(l.Objects))
	for _, o := range l.Objects {
		listed[o.Name] = true
		r.setObject(&c, o, now)
	}
	if restored {
		r.keepMissing(&c, listed, l.Version, now)
	}
	for _, name := range r.missingFrom(listed) {
		r.removedFromStore(&c, name, l.Version, now)
	}
	return r.finishFullList(c)
}

// applyWatch applies the changes that a watch of the store returned, and returns what they changed.
func (r *replica) applyWatch(l wire.List, now time.Time) Change {
	c := Change{Kind: r.kind, From: r.lastChange, To: max(r.revision, l.Version)}
	for _, o := range l.Objects {
		r.setObject(&c, o, now)
	}
	for _, name := range l.Deleted {
		r.removedFromStore(&c, name, l.Version, now)
	}
	r.revision = c.To
	r.recordChange(&c)
	return c
}

// applyChange applies a change that another instance made to its copy, and returns what it changed in this one. ok is
// false if this copy lacks changes that precede it.
func (r *replica) applyChange(in Change, now time.Time) (c Change, ok bool) {
	c = Change{Kind: r.kind, From: r.lastChange, To: max(r.revision, in.To)}
	if !in.Full && (!r.known || r.revision < in.From) {
		return c, false
	}
	if in.Full && in.To < r.revision {
		return c, r.known // older than this copy, so it may hold objects that have been deleted since
	}
	restored := r.noteRestore(in.To, now)
	r.clearEmptySpans(&c, in)
	listed := map[string]bool{}
	for _, o := range in.Objects {
		listed[o.Name] = true
		if slices.Contains(in.Lapsing, o.Name) {
			r.adoptLapsing(o)
		}
		r.setObject(&c, o, now)
	}
	for _, name := range in.Lapsing {
		r.startGrace(&c, name, lapse{in.To, now.Add(max(r.retention.outageGrace, r.retention.restoreGrace))})
	}
	for _, name := range in.Deleted {
		r.remove(&c, name, in.To)
	}
	if in.Full {
		if restored { // the sender may not have held them before
			r.keepMissing(&c, listed, in.To, now)
		}
		for _, name := range r.missingFrom(listed) {
			r.remove(&c, name, in.To)
		}
		return r.finishFullList(c), true
	}
	r.revision = c.To
	r.recordChange(&c)
	return c, true
}

// fullCopy returns the whole copy as a change. Its From is the revision of the last change that modified the copy.
func (r *replica) fullCopy() Change {
	c := Change{Kind: r.kind, Full: true, Serial: r.serial, From: r.lastChange, To: r.revision}
	for _, o := range r.objects {
		c.Objects = append(c.Objects, o)
	}
	for name := range r.lapsing {
		c.Lapsing = append(c.Lapsing, name)
	}
	return c
}

// finishFullList completes a change that was made from a full list, and returns the change to pass on. That is normally
// a full copy. The list doesn't show objects that were created and deleted between the copy's revision and the list's,
// but the copy of another instance, as of a revision in between, may hold such an object. If the list changed nothing
// here, no existing object has a revision in between, and an empty span is enough.
func (r *replica) finishFullList(c Change) Change {
	before := r.revision
	r.revision = c.To
	if r.known && c.empty() {
		if c.To > before {
			r.noteChange(c.To)
			c.EmptySpans = []Span{{After: before, Through: c.To}}
		}
		return c
	}
	r.known = true
	r.noteChange(c.To)
	return r.fullCopy()
}

// clearEmptySpans removes the objects whose revision is within one of the empty spans of a change.
func (r *replica) clearEmptySpans(c *Change, in Change) {
	for _, span := range in.EmptySpans {
		for name, o := range r.objects {
			if span.contains(o.Version) {
				r.remove(c, name, span.Through)
			}
		}
	}
	c.EmptySpans = in.EmptySpans
}

// setObject stores an object unless the copy has newer information about its name. Two readers of the store can deliver
// their results in any order. The one that is behind must not restore an object whose deletion the other has seen, or
// one that was deleted before this copy's first list.
//
// After the store came back from a copy, an object keeps the value that it had if the one read takes back what that
// stated: it was lost with the store and will be written again.
func (r *replica) setObject(c *Change, o wire.Object, now time.Time) {
	old, held := r.objects[o.Name]
	if o.Version <= r.deletedAt[o.Name] || !held && r.known && o.Version <= r.revision {
		r.leftOut++
		return
	}
	if l, lapsing := r.lapsing[o.Name]; lapsing && o.Version <= l.revision {
		return // this version precedes the deletion
	}
	delete(r.lapsing, o.Name)
	switch {
	case held && old.Version > o.Version:
		r.leftOut++
		return
	case held && old.Version == o.Version:
		// Another instance may have kept a value that this one never had.
		if bytes.Equal(old.Value, o.Value) || !r.takesBack(o, old) {
			return
		}
	case held && now.Sub(r.restoredAt) < restoreWindow && r.takesBack(old, o):
		o.Value = old.Value
	}
	r.objects[o.Name] = o
	c.Objects = append(c.Objects, o)
}

// removedFromStore records that the store has no such object as of a revision. Shortly after an outage, an object of a
// replica that keeps lapsed entries starts its grace period. Any other object is removed at once.
func (r *replica) removedFromStore(c *Change, name string, revision uint64, now time.Time) {
	if _, held := r.objects[name]; held && now.Sub(r.availableSince) < r.retention.outageGrace {
		r.startGrace(c, name, lapse{revision, r.availableSince.Add(r.retention.outageGrace)})
		return
	}
	r.remove(c, name, revision)
}

// startGrace records that an object is deleted as of a revision, and keeps it for the grace period. Every copy ends the
// grace period by itself. If that depended on the instance that read the store, the other instances would keep the
// object until the next full list whenever that instance has stopped.
func (r *replica) startGrace(c *Change, name string, l lapse) {
	o, held := r.objects[name]
	if _, lapsing := r.lapsing[name]; lapsing || !held || o.Version > l.revision {
		return
	}
	r.lapsing[name] = l
	c.Lapsing = append(c.Lapsing, name)
}

// remove deletes an object as of a revision. The deletion of an object that this copy doesn't hold is passed on too,
// because a copy that is behind may hold it.
func (r *replica) remove(c *Change, name string, revision uint64) {
	o, held := r.objects[name]
	if held && o.Version > revision || !held && revision <= r.deletedAt[name] {
		return
	}
	r.deletedAt[name] = max(r.deletedAt[name], revision)
	delete(r.objects, name)
	delete(r.lapsing, name)
	c.Deleted = append(c.Deleted, name)
}

// endGracePeriods removes the objects whose grace period has ended.
func (r *replica) endGracePeriods(now time.Time) Change {
	c := Change{Kind: r.kind, From: r.lastChange, To: r.revision}
	for name, l := range r.lapsing {
		if !now.Before(l.until) {
			r.remove(&c, name, l.revision)
		}
	}
	r.recordChange(&c)
	return c
}

// noteChange records that the copy has changed, as of a revision.
func (r *replica) noteChange(revision uint64) {
	r.lastChange = revision
	r.serial++
}

// recordChange records a change of the copy unless it is empty.
func (r *replica) recordChange(c *Change) {
	if !c.empty() {
		r.noteChange(c.To)
	}
}
