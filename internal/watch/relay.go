package watch

import (
	"slices"
	"strings"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
)

// Role is an instance's role in reading the store. Only a few instances read it and report changes to the others: every
// call is paid for and counts against a rate limit that all instances share, so the number of calls must not grow with
// the fleet.
type Role uint8

// Roles.
const (
	Unattached   Role = iota // no dispatcher has assigned a role yet
	Receiver                 // doesn't read; it receives changes from the dispatcher
	FirstReader              // reads the store and reports changes
	SecondReader             // the same with longer waits; covers the time until a failure of the first is detected
)

const (
	// maxJoinDelay bounds how long a starting instance waits to receive the other instances from a dispatcher
	// before it lists them itself. The delay is random, because all instances may start at the same moment.
	maxJoinDelay = 300 * time.Millisecond
	// unattachedDelay is how long an instance without a dispatcher waits before it reads the kinds other than the
	// instances by itself. It usually gets a role earlier: as soon as the instance finds its own entry among the
	// instances, it is its own dispatcher and so a reader.
	unattachedDelay = time.Second
	// readSpacing is the least time from the start of a successful read of a kind to the start of the next one. A
	// single change is received at once, and changes in quick succession are received several at a time. The second
	// reader's spacing is longer.
	readSpacing         = 100 * time.Millisecond
	secondReaderSpacing = 500 * time.Millisecond
	// recheckInterval is how often an instance that doesn't read checks whether it has to. A change of its role
	// triggers the check at once.
	recheckInterval = 500 * time.Millisecond
	// hangTimeout is how much longer than its wait a read may take before it counts as failing. A slow store, which
	// takes fifty times as long as usual, still answers within it.
	hangTimeout = 500 * time.Millisecond
)

// Proof states that an instance's copy of a kind was current at some moment.
type Proof struct {
	Kind       string
	Known      bool          // the instance has a copy of the kind
	Revision   uint64        // the copy includes every change up to this version
	LastChange uint64        // version of the last change that modified the copy
	Age        time.Duration // time since the copy was current
	FailingFor time.Duration // how long the readers have failed to read the kind; 0: they succeed
}

// SetRole sets the instance's role in reading the store.
func (f *Follower) SetRole(role Role) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if role == f.role {
		return
	}
	f.log.Info("part in reading the store", "role", role, "before", f.role)
	if !f.role.IsReader() || !role.IsReader() {
		f.readsSucceed = false
		for _, r := range f.replicas {
			r.failedSince = time.Time{} // other instances read from now on, or this one starts afresh
		}
	}
	if role == Unattached {
		f.unattachedSince = time.Now()
	}
	f.role = role
	f.wakeLoops()
}

// IsReader reports whether an instance with the role reads the store.
func (r Role) IsReader() bool { return r == FirstReader || r == SecondReader }

// String returns the role as it appears in log lines.
func (r Role) String() string {
	return [...]string{"unattached", "told", "first_reader", "second_reader"}[r]
}

// Role returns the instance's role in reading the store.
func (f *Follower) Role() Role {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.role
}

// shouldRead reports whether this instance has to read the kind from the store now. Until a read succeeds, only the
// first kind is tried: reads of the other kinds would fail too, and every call counts against the rate limit.
func (f *Follower) shouldRead(kind string, now time.Time) bool {
	if !f.sharesReads {
		return true
	}
	resumedAt, recent := f.resumedAt()
	f.mu.Lock()
	defer f.mu.Unlock()
	if kind != f.firstKind() && !f.readsSucceed {
		return false
	}
	if recent && f.unproven(kind, resumedAt) {
		return true // the dispatcher's next proof may be seconds away, and nothing is sent until then
	}
	switch f.role {
	case Receiver:
		return false
	case Unattached:
		return f.shouldReadUnattached(kind, now)
	}
	return true
}

// firstKind returns the kind that is read first. An instance without a dispatcher needs the addresses of the other
// instances most. mu is held.
func (f *Follower) firstKind() string {
	if f.role == Unattached {
		return KindMembers
	}
	return f.deps.Kinds.Config
}

// shouldReadUnattached reports whether an instance without a dispatcher has to read the kind. mu is held.
func (f *Follower) shouldReadUnattached(kind string, now time.Time) bool {
	switch {
	case kind != KindMembers:
		return now.Sub(f.unattachedSince) > unattachedDelay
	case f.replicas[kind].known:
		return now.Sub(f.unattachedSince) > maxJoinDelay
	default:
		return now.Sub(f.started) >= f.joinDelay
	}
}

// ListMembersNow makes a starting instance list the other instances at once. It is called when one of them has
// connected to this instance because it considers it the dispatcher.
func (f *Follower) ListMembersNow() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.joinDelay > 0 {
		f.joinDelay = 0
		f.wakeLoops()
	}
}

// ReaderProofs returns the proofs of every kind if this instance is a reader, and nil otherwise. FailingFor is how long
// its own reads have failed.
func (f *Follower) ReaderProofs() []Proof {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.role.IsReader() {
		return nil
	}
	proofs := f.proofs(now)
	for i := range proofs {
		proofs[i].FailingFor = f.replicas[proofs[i].Kind].failingFor(now)
	}
	return proofs
}

// Proofs returns the proofs of every kind, sorted by kind.
func (f *Follower) Proofs() []Proof {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.proofs(time.Now())
}

// proofs implements Proofs; mu is held.
func (f *Follower) proofs(now time.Time) []Proof {
	proofs := make([]Proof, 0, len(f.replicas))
	for kind, r := range f.replicas {
		p := Proof{Kind: kind, Known: r.known, Revision: r.revision, LastChange: r.lastChange, Age: now.Sub(r.provenAt)}
		if !f.outageSince.IsZero() {
			p.FailingFor = now.Sub(f.outageSince)
		}
		proofs = append(proofs, p)
	}
	slices.SortFunc(proofs, func(a, b Proof) int { return strings.Compare(a.Kind, b.Kind) })
	return proofs
}

// ApplyProof applies the proof of another instance to this instance's copy, and records how long the readers have been
// failing. It reports whether this copy is behind, so that it needs the other's changes.
func (f *Follower) ApplyProof(p Proof) (behind bool) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.replicas[p.Kind]
	if r == nil || !p.Known {
		return false
	}
	if !r.known || r.revision < p.LastChange {
		return true
	}
	if r.revision <= p.Revision {
		f.noteEra(p.Revision)
		r.revision = p.Revision
		r.recordProof(now.Add(-p.Age))
	}
	if p.FailingFor > 0 {
		f.recordOutage(now.Add(-p.FailingFor))
	} else {
		f.endOutage(now)
	}
	return false
}

// recordOutage records since when no instance has been able to read the store, unless an outage is recorded already. mu
// is held.
func (f *Follower) recordOutage(since time.Time) {
	if f.outageSince.IsZero() {
		f.outageSince = since
	}
}

// endOutage records that the store is read again, by this instance or by the readers that report to it. After an outage
// of more than minOutage, every copy records the time of its end. If this instance becomes a reader next, it then keeps
// entries that lapsed unseen for lapseGrace. mu is held.
func (f *Follower) endOutage(now time.Time) {
	if !f.outageSince.IsZero() && now.Sub(f.outageSince) > minOutage {
		for _, r := range f.replicas {
			r.availableSince = now
		}
	}
	f.outageSince = time.Time{}
}

// ApplyChange applies a change that another instance made to its copy. It reports whether this copy lacks changes that
// precede it, in which case a full copy of the kind is needed.
func (f *Follower) ApplyChange(in Change) (missing bool) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.replicas[in.Kind]
	if r == nil {
		return false
	}
	f.noteEra(in.To)
	c, ok := r.applyChange(in, now)
	if ok {
		f.publishChange(c, false, now)
	}
	return !ok
}

// Object returns an object from the copy of its kind.
func (f *Follower) Object(kind, name string) (wire.Object, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.replicas[kind]
	if r == nil || !r.known {
		return wire.Object{}, false
	}
	o, ok := r.objects[name]
	return o, ok
}

// FullCopy returns all objects of a kind as a change. ok is false if no copy of the kind is known yet.
func (f *Follower) FullCopy(kind string) (c Change, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.replicas[kind]
	if r == nil || !r.known {
		return Change{}, false
	}
	return r.fullCopy(), true
}
