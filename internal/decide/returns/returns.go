// Package returns decides when a refused caller may return, and recognizes callers that do. Callers retry at another
// instance and under another request ID, so an attempt is recognized by the hash of its content.
//
// A promise states when a caller may return. Each promise uses a part of the room that is forecast for jobs of its kind,
// so that callers that were refused together do not return together. A caller that returns sooner keeps its promise and
// gets no other one.
//
// Table is pure: it reads no clock, and its methods return no errors.
package returns

import (
	"container/list"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/quarantine"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// MaxPromises is the number of promises that a Table holds at most.
const MaxPromises = 16_384

// Call is one attempt of a caller.
type Call struct {
	Key          quarantine.Key // of its content; 0: unknown, and no promise is stored
	Workspace    fleet.WorkspaceID
	ID           fleet.RequestID // of this attempt
	Kind         int             // of its prompt, below the number of kinds given to New
	Arrived      decide.Instant  // this attempt
	FirstArrived decide.Instant  // the first attempt, as far as it is known
	Deadline     decide.Instant  // of the request
}

// Status says how an attempt relates to a promise.
type Status uint8

// The statuses.
const (
	First    Status = iota // no promise, or the attempt is older than it
	Early                  // arrived sooner than promised
	Due                    // arrived when promised or later, and uses the promise
	Repeated               // as Due, but another attempt uses the promise
)

// promise states when a caller may return.
type promise struct {
	key          quarantine.Key
	kind         int
	firstArrived decide.Instant
	givenAt      decide.Instant
	due          decide.Instant
	deadline     decide.Instant  // of the first attempt, after which an attempt belongs to another request
	usedBy       fleet.RequestID // the attempt that uses it; empty: none

	owner     *owner
	byOwner   *list.Element // in owner.promises
	byDueTime *list.Element // in Table.expiry
}

// endedBy reports whether the promise has ended at the given time.
func (p *promise) endedBy(t decide.Instant) bool { return t > p.due.Add(retention) || t > p.deadline }

// Table holds the promises to the callers of one service. It is not safe for concurrent use.
type Table struct {
	promises  map[quarantine.Key]*promise
	owners    owners
	schedules []schedule // by kind
	expiry    [ringSize]list.List
	expired   int64 // latest time slice whose promises were removed
	used      uint64
}

// New returns an empty Table for the given number of kinds of prompts.
func New(kinds int) *Table {
	return &Table{
		promises:  map[quarantine.Key]*promise{},
		owners:    owners{byWorkspace: map[fleet.WorkspaceID]*owner{}},
		schedules: make([]schedule, kinds),
	}
}

// Len returns the number of promises.
func (t *Table) Len() int { return len(t.promises) }

// Used returns how many promises were used by callers that returned when due, or later.
func (t *Table) Used() uint64 { return t.used }

// Recognize returns how an attempt that has just arrived relates to a promise, and when the first attempt arrived. A Due
// attempt uses the promise. It stays Due if it is asked for again.
func (t *Table) Recognize(c Call) (Status, decide.Instant) {
	p := t.promises[c.Key]
	switch {
	case p == nil || c.Arrived < p.givenAt || p.endedBy(c.Arrived):
		return First, c.Arrived
	case p.usedBy != "" && p.usedBy == c.ID: // also if its arrival, which is sent as an age, seems a little earlier now
		return Due, p.firstArrived
	case c.Arrived < p.due:
		return Early, p.firstArrived
	case p.usedBy != "":
		return Repeated, p.firstArrived
	}
	p.usedBy = c.ID
	t.used++
	return Due, p.firstArrived
}

// Remaining returns the rest of the wait that was promised to the caller of a refused attempt. It returns false if there
// is no promise, or if the attempt or now is not before its due time.
func (t *Table) Remaining(now decide.Instant, c Call) (time.Duration, bool) {
	p := t.promises[c.Key]
	if p == nil || c.Arrived >= p.due || now >= p.due || p.endedBy(now) {
		return 0, false
	}
	return roundUp(p.due.Sub(now)), true
}

// Promise returns the wait after which the caller of a refused attempt may return, and stores it. room is the time until
// the forecast has room for a job of the kind; a room that is longer than callers wait means that there is none. A former
// promise to the caller is replaced, and its first arrival kept.
func (t *Table) Promise(now decide.Instant, c Call, room time.Duration) time.Duration {
	t.Advance(now)
	if p := t.promises[c.Key]; p != nil {
		if !p.endedBy(now) {
			c.FirstArrived, c.Deadline = min(c.FirstArrived, p.firstArrived), min(c.Deadline, p.deadline)
		}
		t.remove(p)
	}
	wait := t.schedules[c.Kind].wait(now, room, longestWait(now, c.Deadline))
	if due := now.Add(wait); c.Key != 0 && due < c.Deadline {
		t.add(&promise{key: c.Key, kind: c.Kind, firstArrived: c.FirstArrived, givenAt: now, due: due, deadline: c.Deadline}, c.Workspace)
	}
	return wait
}

// Started records that an attempt was placed. It ends the promise to its caller.
func (t *Table) Started(now decide.Instant, c Call) {
	t.schedules[c.Kind].starts.add(now)
	if p := t.promises[c.Key]; p != nil && c.Arrived >= p.givenAt {
		t.remove(p)
	}
}

// Advance removes the promises that ended some time before now. Its work is proportional to their number and to the time
// since the last call.
func (t *Table) Advance(now decide.Instant) {
	last := sliceAt(now.Add(-retention)) - 1
	if last <= t.expired {
		return
	}
	for n := max(t.expired+1, last-ringSize+1); n <= last && len(t.promises) > 0; n++ {
		for l := &t.expiry[ringIndex(n)]; l.Len() > 0; {
			t.remove(l.Front().Value.(*promise))
		}
	}
	t.expired = last
}

// add stores a promise. If the table is full, another promise is removed first.
func (t *Table) add(p *promise, workspace fleet.WorkspaceID) {
	if len(t.promises) >= MaxPromises {
		t.remove(t.owners.victim(workspace))
	}
	n := sliceAt(p.due)
	t.promises[p.key] = p
	t.owners.add(p, workspace)
	t.schedules[p.kind].promised[ringIndex(n)]++
	p.byDueTime = t.expiry[ringIndex(n)].PushBack(p)
}

// remove removes a promise.
func (t *Table) remove(p *promise) {
	n := sliceAt(p.due)
	delete(t.promises, p.key)
	t.owners.remove(p)
	t.schedules[p.kind].promised[ringIndex(n)]--
	t.expiry[ringIndex(n)].Remove(p.byDueTime)
}
