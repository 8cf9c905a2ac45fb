package watch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
)

// event is a change in the modelled store: a new version of an object, or its removal.
type event struct {
	name    string
	version uint64
	removed bool
}

// modelStore models the store. Its revision is the number of its events.
type modelStore struct{ log []event }

// revision returns the current revision.
func (s *modelStore) revision() uint64 { return uint64(len(s.log)) }

// at returns the versions of the objects as of a revision, by name.
func (s *modelStore) at(revision uint64) map[string]uint64 {
	all := map[string]uint64{}
	for _, e := range s.log[:revision] {
		if e.removed {
			delete(all, e.name)
		} else {
			all[e.name] = e.version
		}
	}
	return all
}

// since returns the answer of a watch that covers the revisions after from, up to to: the last event of each object.
func (s *modelStore) since(from, to uint64) wire.List {
	last := map[string]event{}
	for _, e := range s.log[from:to] {
		last[e.name] = e
	}
	l := wire.List{Version: to}
	for name, e := range last {
		if e.removed {
			l.Deleted = append(l.Deleted, name)
		} else {
			l.Objects = append(l.Objects, object(name, e.version))
		}
	}
	return l
}

// list returns all objects as of a revision.
func (s *modelStore) list(revision uint64) wire.List {
	l := wire.List{Version: revision}
	for name, version := range s.at(revision) {
		l.Objects = append(l.Objects, object(name, version))
	}
	return l
}

// modelFleet is a few copies that read the store and send each other their changes, over links that lose, duplicate and
// reorder messages.
type modelFleet struct {
	store        modelStore
	copies       []*replica
	now          time.Time
	pendingReads []func()                   // for each copy, applies the answer of its pending read; nil: no read is pending
	messages     []Change                   // in transit; any copy may receive them
	lastSeen     []map[string]observedState // for each copy, by object name
}

// observedState is the last state of an object in a copy.
type observedState struct {
	version uint64
	deleted bool
}

// send puts a change in transit unless it is empty.
func (f *modelFleet) send(c Change) {
	if !c.empty() {
		f.messages = append(f.messages, c)
	}
}

// step executes one random step of the model on a random copy.
func (f *modelFleet) step(t *rapid.T) {
	i := rapid.IntRange(0, len(f.copies)-1).Draw(t, "copy")
	r, now := f.copies[i], f.now
	switch rapid.SampledFrom([]string{"put", "remove", "list", "watch", "answer", "answer", "tell", "tell", "lose", "forget", "outage", "expire"}).Draw(t, "step") {
	case "put":
		name := fmt.Sprint("o", rapid.IntRange(0, 3).Draw(t, "object"))
		f.store.log = append(f.store.log, event{name: name, version: f.store.revision() + 1})
	case "remove":
		name := fmt.Sprint("o", rapid.IntRange(0, 3).Draw(t, "object"))
		if _, exists := f.store.at(f.store.revision())[name]; exists {
			f.store.log = append(f.store.log, event{name: name, removed: true})
		}
	case "list":
		l := f.store.list(f.store.revision())
		f.pendingReads[i] = func() { f.send(r.applyList(l, now)) }
	case "watch":
		if r.known {
			l := f.store.since(r.revision, f.store.revision())
			f.pendingReads[i] = func() { f.send(r.applyWatch(l, now)) }
		}
	case "answer":
		if f.pendingReads[i] != nil {
			f.pendingReads[i]()
			f.pendingReads[i] = nil
		}
	case "tell": // a message stays in transit, so it may arrive again or at another copy
		if len(f.messages) > 0 {
			if c, ok := r.applyChange(f.messages[rapid.IntRange(0, len(f.messages)-1).Draw(t, "message")], now); ok {
				f.send(c)
			}
		}
	case "lose":
		if len(f.messages) > 0 {
			f.messages = f.messages[1:]
		}
	case "forget": // the store has dropped its history, so the next read is a list
		r.known, f.pendingReads[i] = false, nil
	case "outage": // an outage ends, during which entries may have lapsed
		r.availableSince = now
	case "expire": // time passes
		f.now = now.Add(lapseGrace / 2)
		f.send(r.endGracePeriods(f.now))
	}
}

// check fails the test if an object of a copy has returned to an earlier state, or if checkComplete fails for a copy.
func (f *modelFleet) check(t *rapid.T) {
	for i, r := range f.copies {
		for name, o := range r.objects {
			last := f.lastSeen[i][name]
			if o.Version < last.version || last.deleted && o.Version == last.version {
				t.Fatalf("copy %d went back: %s is at version %d after version %d, deleted: %t", i, name, o.Version, last.version, last.deleted)
			}
			f.lastSeen[i][name] = observedState{version: o.Version}
		}
		for name, last := range f.lastSeen[i] {
			if _, exists := r.objects[name]; !exists {
				f.lastSeen[i][name] = observedState{version: last.version, deleted: true}
			}
		}
		if r.known {
			f.checkComplete(t, i, r)
		}
	}
}

// checkComplete fails the test if a copy differs from the store's state as of the copy's revision, other than by newer
// changes and lapsing objects.
func (f *modelFleet) checkComplete(t *rapid.T, i int, r *replica) {
	stored := f.store.at(r.revision)
	for name, version := range stored {
		if o, exists := r.objects[name]; exists && o.Version < version || !exists && !f.removedAfter(name, version) {
			t.Fatalf("copy %d is at revision %d and lacks %s at version %d", i, r.revision, name, version)
		}
	}
	for name, o := range r.objects {
		_, exists := stored[name]
		_, lapsing := r.lapsing[name]
		if !exists && !lapsing && o.Version <= r.revision {
			t.Fatalf("copy %d is at revision %d and holds %s at version %d, which is deleted", i, r.revision, name, o.Version)
		}
	}
}

// removedAfter reports whether the object was removed after the version was written.
func (f *modelFleet) removedAfter(name string, version uint64) bool {
	for _, e := range f.store.log[version:] {
		if e.name == name && e.removed {
			return true
		}
	}
	return false
}

// Guards against copies of the store that disagree, so that a revoked API key is accepted again or a leaving upstream
// gets work. Reads are answered and messages arrive in any order, and messages are lost and duplicated. A copy must
// never return to an earlier state, must include everything up to its revision, and must equal the store once it has
// read it.
func TestCopiesNeverGoBack(t *testing.T) { checkCopies(t, false) }

// The same with entries that lapsed during an outage and are kept for a grace period. Guards against a copy that never
// removes a lapsed entry, so that the fleet keeps sending to upstreams that are gone. Each copy records which entries
// have lapsed, and removes them at the end of the grace period.
func TestCopiesWithLapsedEntriesNeverGoBack(t *testing.T) { checkCopies(t, true) }

// checkCopies checks random steps on three copies. The grace argument states whether they keep lapsed entries for a
// grace period.
func checkCopies(t *testing.T, grace bool) {
	rapid.Check(t, func(t *rapid.T) {
		f := &modelFleet{now: time.Now()}
		for range 3 {
			f.copies = append(f.copies, newTestReplica(grace))
			f.lastSeen = append(f.lastSeen, map[string]observedState{})
		}
		f.pendingReads = make([]func(), len(f.copies))
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			f.step(t)
			f.check(t)
		}
		for i, r := range f.copies {
			r.applyList(f.store.list(f.store.revision()), f.now)
			f.check(t)
			r.endGracePeriods(f.now.Add(2 * lapseGrace))
			if want := f.store.at(f.store.revision()); len(r.objects) != len(want) {
				t.Fatalf("copy %d holds %d objects, the store %d", i, len(r.objects), len(want))
			}
		}
	})
}
