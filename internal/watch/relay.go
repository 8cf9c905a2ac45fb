package watch

import (
	"slices"
	"strings"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
)

// Role is an instance's part in reading the store. Few instances read it and tell the others: every call is paid for
// and counts against a rate that all share, so that the calls must not grow with the fleet.
type Role uint8

// The roles.
const (
	Unattached   Role = iota // no dispatcher has given it a part yet
	Receiver                 // it reads nothing: the dispatcher tells it
	FirstReader              // it reads, and tells
	SecondReader             // the same, with longer waits: for the time in which the first is cut off and not known to be
)

const (
	// joinTime is the longest wait of a starting instance to be told the other instances before it lists them. All
	// may start at one moment: each waits for a part of it that it draws.
	joinTime = 300 * time.Millisecond
	// aloneTime is how long an instance without a dispatcher waits before it reads the other kinds by itself: as soon
	// as it knows itself as a member it is its own dispatcher, and a reader.
	aloneTime = time.Second
	// spacing is the least time between two reads of a kind that bring changes: a lone change is seen at once, and of
	// many in quick succession some at a time. The second reader's is longer.
	spacing       = 100 * time.Millisecond
	secondSpacing = 500 * time.Millisecond
	// lookEvery is how often an instance that doesn't read looks whether it must; a change of its role wakes it.
	lookEvery = 500 * time.Millisecond
	// hangTime is how much longer than its wait a read may take: a slow store answers after fifty times the usual.
	hangTime = 500 * time.Millisecond
)

// Proof says as of when an instance's copy of a kind was the store's newest.
type Proof struct {
	Kind       string
	Known      bool
	Revision   uint64 // as of which the copy is whole
	LastChange uint64 // revision of its last change
	Age        time.Duration
	FailingFor time.Duration // how long the readers have failed to read it; 0: they don't
}

// SetRole gives the instance its part in reading the store.
func (f *Follower) SetRole(r Role) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r == f.role {
		return
	}
	f.log.Info("part in reading the store", "role", r, "before", f.role)
	if !f.role.IsReader() || !r.IsReader() {
		f.led = false
		for _, m := range f.mirrors {
			m.failed = time.Time{} // others read from now on, or this one anew
		}
	}
	if r == Unattached {
		f.unattached = time.Now()
	}
	f.role = r
	f.wake()
}

// Reads tells whether an instance with the role reads the store.
func (r Role) IsReader() bool { return r == FirstReader || r == SecondReader }

// String gives the role as it stands in log lines.
func (r Role) String() string {
	return [...]string{"unattached", "told", "first_reader", "second_reader"}[r]
}

// Role is the instance's part in reading the store.
func (f *Follower) Role() Role {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.role
}

// reading tells whether this instance reads the kind from the store now. While reads fail, one kind alone is tried:
// the others would fail with it, and each call counts.
func (f *Follower) reading(kind string, now time.Time) bool {
	if !f.shares {
		return true
	}
	awake, doubts := f.awake()
	f.mu.Lock()
	defer f.mu.Unlock()
	if kind != f.lead() && !f.led {
		return false
	}
	if doubts && f.unproven(kind, awake) {
		return true // the dispatcher's next proof may be seconds away, and nothing is sent until then
	}
	switch f.role {
	case Receiver:
		return false
	case Unattached:
		return f.readingAlone(kind, now)
	}
	return true
}

// lead is the kind that is read first: without a dispatcher the others' addresses are wanted most.
func (f *Follower) lead() string {
	if f.role == Unattached {
		return KindMembers
	}
	return f.deps.Kinds.Config
}

// readingAlone tells whether an instance without a dispatcher reads the kind; mu is held.
func (f *Follower) readingAlone(kind string, now time.Time) bool {
	switch {
	case kind != KindMembers:
		return now.Sub(f.unattached) > aloneTime
	case f.mirrors[kind].known:
		return now.Sub(f.unattached) > joinTime
	default:
		return now.Sub(f.started) >= f.joinDelay
	}
}

// ListNow has a starting instance list the others at once: one of them has found it, and takes it for the dispatcher.
func (f *Follower) ListMembersNow() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.joinDelay > 0 {
		f.joinDelay = 0
		f.wake()
	}
}

// Reads gives how new what this instance reads from the store itself is, and how long it has failed to; nil: it reads
// nothing.
func (f *Follower) ReaderProofs() []Proof {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.role.IsReader() {
		return nil
	}
	all := f.proofs(now)
	for i := range all {
		all[i].FailingFor = f.mirrors[all[i].Kind].failingFor(now)
	}
	return all
}

// Proofs gives the proofs of every kind.
func (f *Follower) Proofs() []Proof {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.proofs(time.Now())
}

// proofs gives the proofs of every kind, in the order of their names; mu is held.
func (f *Follower) proofs(now time.Time) []Proof {
	all := make([]Proof, 0, len(f.mirrors))
	for kind, m := range f.mirrors {
		p := Proof{Kind: kind, Known: m.known, Revision: m.revision, LastChange: m.latest, Age: now.Sub(m.proven)}
		if !f.failing.IsZero() {
			p.FailingFor = now.Sub(f.failing)
		}
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b Proof) int { return strings.Compare(a.Kind, b.Kind) })
	return all
}

// Prove takes another instance's proof. behind tells that its copy is newer than this one.
func (f *Follower) ApplyProof(p Proof) (behind bool) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.mirrors[p.Kind]
	if m == nil || !p.Known {
		return false
	}
	if !m.known || m.revision < p.LastChange {
		return true
	}
	if m.revision <= p.Revision {
		m.revision = p.Revision
		m.prove(now.Add(-p.Age))
	}
	if p.FailingFor > 0 {
		f.failed(now.Add(-p.FailingFor))
	} else {
		f.regained(now)
	}
	return false
}

// failed takes since when nobody can read the store; mu is held.
func (f *Follower) failed(since time.Time) {
	if f.failing.IsZero() {
		f.failing = since
	}
}

// regained takes that the store is read again, here or by those who tell; mu is held. Whoever reads it next knows from
// it that entries may have lapsed unseen.
func (f *Follower) regained(now time.Time) {
	if !f.failing.IsZero() && now.Sub(f.failing) > outage {
		for _, m := range f.mirrors {
			m.returned = now
		}
	}
	f.failing = time.Time{}
}

// Offer takes a change that another instance made to its copy. missing tells that changes before it are
// missing here: all of the kind is needed.
func (f *Follower) ApplyChange(in Change) (missing bool) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.mirrors[in.Kind]
	if m == nil {
		return false
	}
	c, ok := m.offer(in, now)
	if ok {
		f.changed(c, false, now)
	}
	return !ok
}

// Object gives an object as the copy holds it.
func (f *Follower) Object(kind, name string) (wire.Object, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.mirrors[kind]
	if m == nil || !m.known {
		return wire.Object{}, false
	}
	o, ok := m.objects[name]
	return o, ok
}

// Whole gives all of a kind; ok is false while it isn't known.
func (f *Follower) FullCopy(kind string) (c Change, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.mirrors[kind]
	if m == nil || !m.known {
		return Change{}, false
	}
	return m.whole(), true
}
