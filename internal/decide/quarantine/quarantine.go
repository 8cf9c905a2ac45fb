// Package quarantine decides which requests are held back because the upstreams that answer them end (poison requests).
//
// A request bears keys, which are hashes of what may be the cause: its whole content, and each part of its prompt that other
// requests share. An upstream that ends takes all its requests with it, and most of them are innocent. A request under which
// an upstream ended makes its keys suspect at first. Of the requests that bear a suspect key, one at a time is sent, to an
// upstream of its own. If it is answered, its keys are cleared. If upstreams end under several of them, one after the other,
// those are held back that bear the keys which all of them had and no answered request has. Ends at the same moment, as when a
// failure domain loses power, count once.
package quarantine

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

const (
	// MaxEnds is the number of upstreams that may end, one after the other, under requests with one key.
	MaxEnds = 3
	// maxEndsAnswered is the same for a key of requests that were answered a while ago: another key beside it is likelier to be
	// the cause.
	maxEndsAnswered = 2 * MaxEnds
	// ProvenAfter is how long after the first event of its answer a request counts as one that its upstream survives. A
	// process that ends while it begins to write needs some ms for it, and its connections close after that.
	ProvenAfter = 300 * time.Millisecond
	// tryInterval is how long the outcome of a request with a suspect key is awaited before the next one is sent. An upstream
	// that is silent must not keep requests with the key from all others.
	tryInterval = time.Second
	// settleTime is how long the reports on the end of one upstream are awaited, from all instances whose requests it held. Only
	// then is it known which of them may be the cause.
	settleTime = 100 * time.Millisecond
	// firstHold is how long requests are held back at first. One request is sent then, and the time doubles, up to maxHold, if
	// its upstream ends: the fault may have been mended meanwhile, and each try costs an upstream if not.
	firstHold = 30 * time.Second
	maxHold   = 10 * time.Minute
	// maxKeys bounds the keys of a request that are looked at.
	maxKeys = 17
)

// Key is a hash of something that requests have in common.
type Key uint64

// String returns the key as it appears in log lines.
func (k Key) String() string { return fmt.Sprintf("%016x", uint64(k)) }

// Keys are several keys.
type Keys []Key

// String returns the keys as they appear in log lines.
func (ks Keys) String() string {
	all := make([]string, len(ks))
	for i, k := range ks {
		all[i] = k.String()
	}
	return strings.Join(all, ",")
}

// Status is what may be done with a request now.
type Status uint8

// The statuses.
const (
	Free  Status = iota // it may be sent
	Alone               // it may be sent to an upstream that has no unproven request, and gets none until this one is proven
	Wait                // a request with the same suspect key is on its way, and its outcome is awaited
	Held                // it must not be sent
)

// Table holds suspects and verdicts. It is not safe for concurrent use.
type Table struct {
	runs      map[fleet.RequestID]*run
	writing   []*run // runs whose first event has arrived, in the order of their first events
	suspects  map[Key]*suspect
	late      map[Key]*lateSuspect
	answered  answeredKeys // of requests whose upstreams survived the beginning of the answer
	completed answeredKeys // of requests that were answered to their end
	ended     recentEnds
	failed    []failedRun // the latest last
	verdicts  verdicts
	changed   []Verdict
	reports   []EndReport

	busy       int            // upstreams that have requests: only their ends are seen
	firstStart decide.Instant // when the first request was sent; valid if started is set
	started    bool
}

// run is a request on its way.
type run struct {
	keys      []Key // the first one stands for the whole content
	startedAt decide.Instant
	writing   bool           // the first event has arrived
	firstAt   decide.Instant // of the first event; valid if writing is set
	proven    bool           // its upstream survived the beginning of its answer
	done      bool
	endedAt   decide.Instant // valid if done is set
	resumed   bool           // it continues an answer
	adopted   bool           // another dispatcher sent it, it isn't known when
	trialOf   []Key          // that are put to the test with it
	charged   bool           // its upstream's end counts against its keys, if it came late in an answer
	workspace fleet.WorkspaceID
	tries     []*verdict // on requests of other workspaces
}

// Request is what is known of a request that is to be sent.
type Request struct {
	Keys      []Key // the first one stands for the whole content
	Workspace fleet.WorkspaceID
	Resumed   bool // it continues an answer that broke off
}

// New returns an empty Table.
func New() *Table {
	return &Table{runs: map[fleet.RequestID]*run{}, suspects: map[Key]*suspect{}, late: map[Key]*lateSuspect{}, verdicts: verdicts{}, answered: newAnsweredKeys(), completed: newAnsweredKeys()}
}

// AddBusy changes the number of upstreams that have requests.
func (t *Table) AddBusy(n int) { t.busy += n }

// Check returns what may be done with a request. If it is held back, Check also returns for how long; if it has to wait, for how
// long at the most.
func (t *Table) Check(now decide.Instant, q Request) (Status, time.Duration) {
	if len(t.suspects)+len(t.late)+len(t.verdicts) == 0 {
		return Free, 0
	}
	keys := bounded(q.Keys)
	for _, v := range t.verdicts.on(keys, q.Workspace) {
		if r := t.runs[v.try.id]; r.outlives(now, v.AnsweredFor) && r.mayRefute(v) {
			t.free(now, v, r.keys)
			continue
		}
		if left := v.Until.Sub(now); left > 0 {
			return Held, left
		}
		if wait := v.awaits(now, v.try); wait > 0 {
			return Wait, wait
		}
		return Alone, 0
	}
	status, left := t.checkTrials(now, keys, q.Workspace)
	for _, v := range t.verdicts.elsewhere(keys, q.Workspace) {
		status = max(status, Alone)
		if wait := v.awaits(now, v.otherTry); wait > 0 {
			status, left = Wait, max(left, wait)
		}
	}
	if status == Wait {
		return status, left
	}
	for _, k := range keys {
		s := t.suspects[k]
		if s == nil || !s.owners.concerns(q.Workspace) || s.rounds <= t.answered.tolerance(k) {
			continue
		}
		if s.awaitsOutcome(now) {
			return Wait, tryInterval
		}
		if !s.wholeContent || s.rounds > 1 { // many requests are on an upstream that ends, and most contents are innocent
			status = Alone
		}
	}
	return status, 0
}

// HeldBack reports whether a verdict applies to a workspace's request that bears keys, and for how much longer nothing is to be
// sent; 0: one request may be sent.
func (t *Table) HeldBack(now decide.Instant, keys []Key, workspace fleet.WorkspaceID) (left time.Duration, listed bool) {
	for _, v := range t.verdicts.on(bounded(keys), workspace) {
		left, listed = max(left, v.Until.Sub(now)), true
	}
	return max(0, left), listed
}

// bounded returns the keys that are looked at.
func bounded(keys []Key) []Key { return keys[:min(len(keys), maxKeys)] }

// Start records that a request is sent.
func (t *Table) Start(now decide.Instant, id fleet.RequestID, q Request) {
	t.Done(id)
	if len(q.Keys) == 0 {
		return
	}
	r := &run{keys: bounded(q.Keys), startedAt: now, resumed: q.Resumed, workspace: q.Workspace}
	t.runs[id] = r
	if !t.started {
		t.started, t.firstStart = true, now
	}
	t.startTrial(r)
	t.startOtherTries(now, id, r)
	for _, v := range t.verdicts.on(r.keys, r.workspace) {
		v.try = try{id, now}
	}
	for _, k := range r.keys {
		if s := t.suspects[k]; s != nil {
			s.unproven[id], s.lastSent = true, now
		}
	}
}

// Began records that the first event of a request's answer arrived.
func (t *Table) Began(now decide.Instant, id fleet.RequestID) {
	if r := t.runs[id]; r != nil && !r.writing {
		r.writing, r.firstAt = true, now
		t.writing = append(t.writing, r)
	}
}

// Adopted records that a request was sent before it was known here, and whether the first event of its answer had arrived.
func (t *Table) Adopted(now decide.Instant, id fleet.RequestID, writing bool) {
	r := t.runs[id]
	if r == nil {
		return
	}
	r.adopted = true
	if writing {
		r.writing, r.proven, r.firstAt = true, true, now
	}
}

// Advance clears the keys of requests that have been answered for ProvenAfter, and decides on the ends whose reports are in.
func (t *Table) Advance(now decide.Instant) {
	n := 0
	for n < len(t.writing) && (t.writing[n].done || now.Sub(t.writing[n].firstAt) >= ProvenAfter) {
		if r := t.writing[n]; !r.done {
			r.proven = true
			t.clear(now, r)
		}
		n++
	}
	t.writing = slices.Delete(t.writing, 0, n)
	for _, e := range t.ended.unsettled() {
		if now.Sub(e.at) >= settleTime {
			t.settle(now, e)
		}
	}
}

// Served records that a request was answered completely. The upstream survived it. If it was known before that the upstream
// survived the beginning, only the ends of upstreams that come later in an answer are refuted.
func (t *Table) Served(now decide.Instant, id fleet.RequestID) {
	if r := t.runs[id]; r != nil {
		if !r.proven {
			t.clear(now, r)
		}
		if !r.resumed {
			t.clearLate(now, r)
		}
	}
	t.Done(id)
}

// Done records that a request is no longer on its way, which shows nothing of its keys.
func (t *Table) Done(id fleet.RequestID) {
	r := t.runs[id]
	if r == nil {
		return
	}
	r.done = true
	delete(t.runs, id)
	for _, k := range r.keys {
		if s := t.suspects[k]; s != nil {
			delete(s.unproven, id)
		}
	}
	for _, k := range r.trialOf {
		if s := t.late[k]; s != nil && s.trial == r {
			s.trial = nil
		}
	}
	for _, v := range t.verdicts.on(r.keys, r.workspace) {
		v.try.end(id)
	}
	for _, v := range r.tries {
		v.otherTry.end(id)
	}
}

// finish is Done for a request whose upstream ended or failed it.
func (t *Table) finish(now decide.Instant, id fleet.RequestID) {
	r := t.runs[id]
	r.endedAt = now
	t.Done(id)
	for _, k := range r.trialOf {
		if s := t.late[k]; s != nil {
			s.trialFailed = now
		}
	}
}

// Ended records that the upstream of a request ended before the request was proven.
func (t *Table) Ended(now decide.Instant, id fleet.RequestID, upstream fleet.Process) {
	t.recordEnd(now, id, upstream, t.blame)
}

// recordEnd records the end of a request's upstream, and blames the request for it.
func (t *Table) recordEnd(now decide.Instant, id fleet.RequestID, upstream fleet.Process, blame func(decide.Instant, *run, *end)) {
	r := t.runs[id]
	if r == nil {
		return
	}
	t.finish(now, id)
	e := t.ended.record(now, upstream)
	blame(now, r, e)
	t.blameFailed(now, upstream, e)
}

// blame records that a request may be the cause of an upstream's end, unless a verdict explains it.
func (t *Table) blame(now decide.Instant, r *run, e *end) {
	e.explained = e.explained || t.prolong(now, r)
	if e.explained {
		return
	}
	e.requests = append(e.requests, r)
	for _, k := range r.keys {
		t.charge(now, k, r, e)
	}
}

// prolong prolongs the verdicts that apply to a request whose upstream ended, if it was sent to try again. It reports whether a
// verdict explains the end.
func (t *Table) prolong(now decide.Instant, r *run) bool {
	applying := t.verdicts.on(r.keys, r.workspace)
	for _, v := range applying {
		if r.startedAt >= v.Until {
			v.Ends++
			v.Tries++
			v.holdFrom(now)
			t.changed = append(t.changed, v.Verdict)
		}
	}
	return len(applying) > 0
}

// clear records that a request's upstream survived the beginning of its answer.
func (t *Table) clear(now decide.Instant, r *run) {
	for _, k := range r.keys {
		if s := t.suspects[k]; s != nil && s.owners.concerns(r.workspace) {
			delete(t.suspects, k)
		}
	}
	for _, k := range r.keys[1:] { // other requests don't share the whole content
		t.answered.add(now, k)
	}
	t.exempt(r, false)
	for _, v := range t.verdicts.withAny(r.keys) {
		if v.AnsweredFor == 0 && v.concerns(r.workspace) {
			t.free(now, v, r.keys)
		}
	}
}

// clearLate records that a request's upstream survived it to the end of its answer.
func (t *Table) clearLate(now decide.Instant, r *run) {
	for _, k := range r.keys {
		if s := t.late[k]; s != nil && s.owners.concerns(r.workspace) {
			t.removeLate(now, k)
		}
	}
	for _, k := range r.keys[1:] {
		t.completed.add(now, k)
	}
	t.exempt(r, true)
	for _, v := range t.verdicts.withAny(r.keys) {
		if v.AnsweredFor > 0 && r.mayRefute(v) && v.concerns(r.workspace) {
			t.free(now, v, r.keys)
		}
	}
}

// free ends a verdict of which some keys were refuted. It goes on without them.
func (t *Table) free(now decide.Instant, v *verdict, refuted []Key) {
	freed := &verdict{Verdict: v.Verdict}
	freed.Freed, freed.ChangedAt = true, now
	t.enact(freed)
	rest := slices.DeleteFunc(slices.Clone(v.Keys), func(k Key) bool { return slices.Contains(refuted, k) })
	if len(rest) > 0 {
		narrower := &verdict{Verdict: v.Verdict}
		narrower.Keys, narrower.ChangedAt = rest, now
		t.enact(narrower)
	}
}

// enact puts a verdict that was reached here in force, and makes it known.
func (t *Table) enact(v *verdict) {
	t.verdicts.put(v)
	t.changed = append(t.changed, v.Verdict)
}

// Merge records a verdict that was reached elsewhere, unless a later one on the same keys is known. It reports whether it
// changed anything.
func (t *Table) Merge(v Verdict) bool {
	v.Keys = sortedKeys(bounded(v.Keys))
	if v.OnTrial() && len(v.Keys) == 1 && t.late[v.Keys[0]] != nil {
		return false // more is known here
	}
	if known := t.verdicts.get(v.Keys); len(v.Keys) == 0 || known != nil && !known.precedes(v) {
		return false
	}
	t.verdicts.put(&verdict{Verdict: v})
	return true
}

// Verdicts returns all verdicts, freed ones included.
func (t *Table) Verdicts() []Verdict {
	all := t.verdicts.all()
	out := make([]Verdict, len(all))
	for i, v := range all {
		out[i] = v.Verdict
	}
	return out
}

// Size returns the number of suspect keys, and of verdicts in force.
func (t *Table) Size() (suspects, heldBack int) {
	for _, v := range t.verdicts.all() {
		if !v.Freed && !v.OnTrial() {
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
