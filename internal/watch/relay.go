package watch

import (
	"time"
)

// Few instances read the store, and tell the others: every call is paid for and counts against a rate that
// all share, and it grows with the fleet. An instance that isn't told in time reads by itself.
const (
	// readers is how many instances read the store at any time: one, and another while the first is cut off.
	readers = 2
	// tellTime is how old the proof may be that an instance's copy is the store's newest before it reads by
	// itself: above a reader's wait with a lost answer.
	tellTime = 1500 * time.Millisecond
	// fleetTellTime is the same for the kinds with the longer wait.
	fleetTellTime = 2700 * time.Millisecond
	// failTime is the same once the readers say that they can't read.
	failTime = 200 * time.Millisecond
	// startTime is how long a starting instance waits to be told instead of reading. Meanwhile it only asks
	// for the other instances, startEvery: all may have started at the same moment.
	startTime  = 500 * time.Millisecond
	startEvery = 150 * time.Millisecond
	// rankTime spreads the instances that begin to read: those behind see that it was done.
	rankTime = 100 * time.Millisecond
	// mostRanks bounds that spread.
	mostRanks = 8
	// lookEvery is how often an instance that doesn't read looks whether it must.
	lookEvery = 50 * time.Millisecond
)

// Proof says as of when an instance's copy of a kind was the store's newest.
type Proof struct {
	Kind     string
	Known    bool
	Revision uint64 // as of which the copy is whole
	Latest   uint64 // revision of its last change
	Age      time.Duration
	Failing  time.Duration // how long the readers have failed to read it; 0: they don't
}

// reading tells whether this instance reads the kind from the store now.
func (f *Follower) reading(kind string, now time.Time) bool {
	if f.rank == nil {
		return true
	}
	rank := f.rank()
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.mirrors[kind]
	if alone := len(f.snapshot.Load().Members) < 2; now.Sub(f.started) < startTime && (alone || kind == KindMembers) {
		// Without the others' addresses nobody can tell anything.
		return alone && kind == KindMembers
	}
	if rank < readers {
		return true
	}
	spread := rankTime * time.Duration(min(rank-readers, mostRanks))
	if !m.known {
		return now.Sub(f.started) > startTime+spread
	}
	if since := f.failing[kind]; !since.IsZero() {
		return now.Sub(since) > failTime+spread && now.Sub(m.proven) > failTime+spread
	}
	bound := fleetTellTime
	if kind == f.deps.Kinds.Config {
		bound = tellTime
	}
	return now.Sub(m.proven) > bound+spread
}

// Proofs gives the proofs of every kind.
func (f *Follower) Proofs() []Proof {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]Proof, 0, len(f.mirrors))
	for kind, m := range f.mirrors {
		p := Proof{Kind: kind, Known: m.known, Revision: m.revision, Latest: m.latest, Age: now.Sub(m.proven)}
		if since := f.failing[kind]; !since.IsZero() {
			p.Failing = now.Sub(since)
		}
		all = append(all, p)
	}
	return all
}

// Prove takes another instance's proof. behind tells that its copy is newer than this one.
func (f *Follower) Prove(p Proof) (behind bool) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.mirrors[p.Kind]
	if m == nil || !p.Known {
		return false
	}
	if !m.known || m.revision < p.Latest {
		return true
	}
	if m.revision <= p.Revision {
		m.revision = p.Revision
		m.prove(now.Add(-p.Age))
	}
	switch {
	case p.Failing == 0:
		delete(f.failing, p.Kind)
	case f.failing[p.Kind].IsZero():
		f.failing[p.Kind] = now.Add(-p.Failing)
	}
	return false
}

// Offer takes a change that another instance made to its copy. missing tells that changes before it are
// missing here: all of the kind is needed.
func (f *Follower) Offer(in Change) (missing bool) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.mirrors[in.Kind]
	if m == nil {
		return false
	}
	c, ok := m.offer(in)
	if ok {
		f.changed(c, false, now)
	}
	return !ok
}

// Whole gives all of a kind; ok is false while it isn't known.
func (f *Follower) Whole(kind string) (c Change, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.mirrors[kind]
	if m == nil || !m.known {
		return Change{}, false
	}
	return m.whole(), true
}
