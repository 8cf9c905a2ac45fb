// Package quarantine decides which requests are held back because the upstreams that answer them end (poison requests).
//
// A request bears keys: hashes of what may be the cause. An upstream that ends takes all its requests with it, and most of them
// are innocent. A request under which an upstream ended is therefore suspect at first, and so is every other one that bears a
// suspect key: of these, one at a time is sent, or one each tryInterval while its outcome isn't known. If it is answered, the key is cleared. If upstreams end under several of them,
// one after the other, requests with the key are held back. Ends at the same moment, as when a failure domain loses power,
// count once.
package quarantine

import (
	"fmt"
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

const (
	// MaxEnds is the number of upstreams that may end, one after the other, under requests with one key.
	MaxEnds = 3
	// ProvenAfter is how long after the first event of its answer a request counts as one that its upstream survives. A
	// process that ends while it begins to write needs some ms for it, and its connections close after that.
	ProvenAfter = 300 * time.Millisecond
	// tryInterval is how long the outcome of a request with a suspect key is awaited before the next one is sent. An upstream
	// that is silent must not keep requests with the key from all others.
	tryInterval = time.Second
	// firstHold is how long requests with a key are held back at first. One request is sent then, and the time doubles, up to
	// maxHold, if its upstream ends: the fault may have been mended meanwhile, and each try costs an upstream if not.
	firstHold = 30 * time.Second
	maxHold   = time.Hour
	// suspectRetention is how long a key stays suspect without a further end.
	suspectRetention = 10 * time.Minute
	// freedRetention is how long the end of a verdict is remembered, so that an older copy of it isn't believed.
	freedRetention = 10 * time.Minute
	// maxSuspects and maxVerdicts bound what is kept. The suspect whose last end, or the verdict whose last change, is longest
	// ago is evicted first.
	maxSuspects = 4096
	maxVerdicts = 1024
)

// Key is a hash of something that requests have in common, such as their whole content.
type Key uint64

// String returns the key as it appears in log lines.
func (k Key) String() string { return fmt.Sprintf("%016x", uint64(k)) }

// Status is what may be done with a request now.
type Status uint8

// The statuses.
const (
	Free Status = iota // it may be sent
	Wait               // a request with the same suspect key is on its way, and its outcome is awaited
	Held               // it must not be sent
)

// Verdict is the decision to hold back requests with a key.
type Verdict struct {
	Key       Key
	Ends      int // upstreams that ended one after the other
	Tries     int // requests that were sent after a hold, and whose upstreams ended
	Since     decide.Instant
	Until     decide.Instant // one request may be sent then
	ChangedAt decide.Instant // of two versions of a verdict, the later one counts
	Freed     bool           // requests with the key are no longer held back
}

// Table holds suspects and verdicts. It is not safe for concurrent use.
type Table struct {
	runs     map[fleet.RequestID]*run
	writing  []*run // runs whose first event has arrived, in the order of their first events
	suspects map[Key]*suspect
	verdicts map[Key]*Verdict
	changed  []Verdict
}

// run is a request on its way.
type run struct {
	id        fleet.RequestID
	keys      []Key
	startedAt decide.Instant
	firstAt   decide.Instant // of the first event; valid if it is in Table.writing
	ended     bool
}

// suspect is a key whose requests may end their upstreams.
type suspect struct {
	ends     int // upstreams that ended one after the other
	lastEnd  decide.Instant
	lastSent decide.Instant           // of the requests in unproven
	unproven map[fleet.RequestID]bool // requests on their way whose outcome isn't known
}

// awaitsOutcome reports whether the next request with the key must wait.
func (s *suspect) awaitsOutcome(now decide.Instant) bool {
	return len(s.unproven) > 0 && now.Sub(s.lastSent) < tryInterval
}

// New returns an empty Table.
func New() *Table {
	return &Table{runs: map[fleet.RequestID]*run{}, suspects: map[Key]*suspect{}, verdicts: map[Key]*Verdict{}}
}

// Check returns what may be done with a request that bears keys. If it is held back, it also returns for how long.
func (t *Table) Check(now decide.Instant, keys []Key) (Status, time.Duration) {
	if len(t.suspects)+len(t.verdicts) == 0 {
		return Free, 0
	}
	if left, listed := t.HeldBack(now, keys); left > 0 {
		return Held, left
	} else if listed {
		t.tryAgain(now, keys)
	}
	for _, k := range keys {
		if s := t.suspects[k]; s != nil && s.awaitsOutcome(now) {
			return Wait, 0
		}
	}
	return Free, 0
}

// HeldBack reports whether a verdict applies to a request that bears keys, and for how much longer nothing is to be sent; 0:
// one request may be sent.
func (t *Table) HeldBack(now decide.Instant, keys []Key) (left time.Duration, listed bool) {
	for _, k := range keys {
		if v := t.verdicts[k]; v != nil && !v.Freed {
			left, listed = max(left, v.Until.Sub(now)), true
		}
	}
	return max(0, left), listed
}

// tryAgain makes keys whose hold is over suspect, so that one request is sent and a single end holds them back again.
func (t *Table) tryAgain(now decide.Instant, keys []Key) {
	for _, k := range keys {
		if v := t.verdicts[k]; v != nil && !v.Freed && t.suspects[k] == nil {
			t.addSuspect(now, k).ends = MaxEnds - 1 // a single end holds the key back again
		}
	}
}

// Start records that a request is sent.
func (t *Table) Start(now decide.Instant, id fleet.RequestID, keys []Key) {
	t.Done(id)
	if len(keys) == 0 {
		return
	}
	t.runs[id] = &run{id: id, keys: keys, startedAt: now}
	for _, k := range keys {
		if s := t.suspects[k]; s != nil {
			s.unproven[id], s.lastSent = true, now
		}
	}
}

// Began records that the first event of a request's answer arrived.
func (t *Table) Began(now decide.Instant, id fleet.RequestID) {
	if r := t.runs[id]; r != nil && !slices.Contains(t.writing, r) {
		r.firstAt = now
		t.writing = append(t.writing, r)
	}
}

// Advance clears the keys of requests that have been answered for ProvenAfter.
func (t *Table) Advance(now decide.Instant) {
	n := 0
	for n < len(t.writing) && (t.writing[n].ended || now.Sub(t.writing[n].firstAt) >= ProvenAfter) {
		if r := t.writing[n]; !r.ended {
			t.clear(now, r)
		}
		n++
	}
	t.writing = slices.Delete(t.writing, 0, n)
}

// Served records that a request was answered completely. The upstream survived it.
func (t *Table) Served(now decide.Instant, id fleet.RequestID) {
	if r := t.runs[id]; r != nil {
		t.clear(now, r)
	}
	t.Done(id)
}

// Done records that a request is no longer on its way, which shows nothing of its keys.
func (t *Table) Done(id fleet.RequestID) {
	r := t.runs[id]
	if r == nil {
		return
	}
	r.ended = true
	delete(t.runs, id)
	for _, k := range r.keys {
		if s := t.suspects[k]; s != nil {
			delete(s.unproven, id)
		}
	}
}

// Ended records that the upstream of a request ended before the request was proven.
func (t *Table) Ended(now decide.Instant, id fleet.RequestID) {
	r := t.runs[id]
	if r == nil {
		return
	}
	t.Done(id)
	for _, k := range r.keys {
		s := t.suspects[k]
		switch v := t.verdicts[k]; {
		case s != nil && r.startedAt < s.lastEnd, v != nil && r.startedAt < v.ChangedAt:
			continue // sent before what was known last
		case s == nil:
			s = t.addSuspect(now, k)
		}
		s.ends, s.lastEnd = s.ends+1, now
		if s.ends >= MaxEnds {
			t.hold(now, k, s)
		}
	}
}

// hold holds back requests with a suspect key.
func (t *Table) hold(now decide.Instant, k Key, s *suspect) {
	v := &Verdict{Key: k, Ends: s.ends, Since: now}
	if old := t.verdicts[k]; old != nil && !old.Freed {
		v.Ends, v.Tries, v.Since = old.Ends+1, old.Tries+1, old.Since
	}
	v.Until, v.ChangedAt = now.Add(min(firstHold<<min(v.Tries, 8), maxHold)), now
	delete(t.suspects, k)
	t.put(v)
	t.changed = append(t.changed, *v)
}

// clear records that a request's upstream survived it.
func (t *Table) clear(now decide.Instant, r *run) {
	for _, k := range r.keys {
		delete(t.suspects, k)
		if v := t.verdicts[k]; v != nil && !v.Freed {
			freed := *v
			freed.Freed, freed.ChangedAt = true, now
			t.put(&freed)
			t.changed = append(t.changed, freed)
		}
	}
}

// addSuspect makes a key suspect. Requests with the key that are on their way are unproven.
func (t *Table) addSuspect(now decide.Instant, k Key) *suspect {
	if len(t.suspects) >= maxSuspects {
		t.evictSuspects(now)
	}
	s := &suspect{lastEnd: now, unproven: map[fleet.RequestID]bool{}}
	for id, r := range t.runs {
		if slices.Contains(r.keys, k) {
			s.unproven[id], s.lastSent = true, max(s.lastSent, r.startedAt)
		}
	}
	t.suspects[k] = s
	return s
}

// evictSuspects removes the suspects that are out of date, or else the one whose last end is longest ago.
func (t *Table) evictSuspects(now decide.Instant) {
	var oldest Key
	for k, s := range t.suspects {
		if now.Sub(s.lastEnd) > suspectRetention {
			delete(t.suspects, k)
		} else if o := t.suspects[oldest]; o == nil || s.lastEnd < o.lastEnd {
			oldest = k
		}
	}
	if len(t.suspects) >= maxSuspects {
		delete(t.suspects, oldest)
	}
}

// put stores a verdict.
func (t *Table) put(v *Verdict) {
	if t.verdicts[v.Key] == nil && len(t.verdicts) >= maxVerdicts {
		t.evictVerdicts(v.ChangedAt)
	}
	t.verdicts[v.Key] = v
}

// evictVerdicts removes the freed verdicts that are out of date, or else the one whose last change is longest ago.
func (t *Table) evictVerdicts(now decide.Instant) {
	var oldest *Verdict
	for k, v := range t.verdicts {
		if v.Freed && now.Sub(v.ChangedAt) > freedRetention {
			delete(t.verdicts, k)
		} else if oldest == nil || v.ChangedAt < oldest.ChangedAt {
			oldest = v
		}
	}
	if len(t.verdicts) >= maxVerdicts {
		delete(t.verdicts, oldest.Key)
	}
}

// Merge records a verdict that was reached elsewhere, unless a later one on the same key is known. It reports whether it
// changed anything.
func (t *Table) Merge(v Verdict) bool {
	known := t.verdicts[v.Key]
	if known != nil && (known.ChangedAt > v.ChangedAt.Add(mergeSlack) || known.Freed == v.Freed && known.Tries == v.Tries) {
		return false
	}
	t.put(&v)
	delete(t.suspects, v.Key)
	return true
}

// mergeSlack is by how much the times differ that two instances state of one change: messages take a while.
const mergeSlack = 500 * time.Millisecond

// Verdicts returns all verdicts, freed ones included.
func (t *Table) Verdicts() []Verdict {
	all := make([]Verdict, 0, len(t.verdicts))
	for _, v := range t.verdicts {
		all = append(all, *v)
	}
	return all
}

// Size returns the number of suspect keys, and of keys whose requests are held back.
func (t *Table) Size() (suspects, heldBack int) {
	for _, v := range t.verdicts {
		if !v.Freed {
			heldBack++
		}
	}
	return len(t.suspects), heldBack
}

// TakeChanges returns the verdicts that have changed here since the last call.
func (t *Table) TakeChanges() []Verdict {
	changed := t.changed
	t.changed = nil
	return changed
}
