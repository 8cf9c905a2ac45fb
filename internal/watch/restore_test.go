package watch

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
)

// restoringStore models a store that can come back from a copy. The value of an object is its rank, which only rises: like
// the version of a configuration.
type restoringStore struct {
	era, revision uint64
	objects       map[string]wire.Object
	copied        []restoringStore // states from which it may come back
	changes       []wire.Object    // of this era; an object without a value was removed
}

// version returns the present version.
func (s *restoringStore) version() uint64 { return objects.NewVersion(s.era, s.revision) }

// put writes an object with a rank.
func (s *restoringStore) put(name string, rank byte) {
	s.revision++
	o := wire.Object{Name: name, Version: s.version(), Value: []byte{rank}}
	s.objects[name] = o
	s.changes = append(s.changes, o)
}

// remove deletes an object if it exists.
func (s *restoringStore) remove(name string) {
	if _, ok := s.objects[name]; !ok {
		return
	}
	s.revision++
	delete(s.objects, name)
	s.changes = append(s.changes, wire.Object{Name: name, Version: s.version()})
}

// copyState keeps a copy from which the store may come back.
func (s *restoringStore) copyState() {
	s.copied = append(s.copied, restoringStore{revision: s.revision, objects: maps.Clone(s.objects)})
}

// restore replaces the state by a copy.
func (s *restoringStore) restore(i int) {
	c := s.copied[i]
	s.era++
	s.revision, s.changes, s.objects = c.revision, nil, map[string]wire.Object{}
	for name, o := range c.objects {
		o.Version = objects.NewVersion(s.era, objects.Revision(o.Version))
		s.objects[name] = o
	}
}

// list returns the answer to a list.
func (s *restoringStore) list() wire.List {
	l := wire.List{Version: s.version()}
	for _, o := range s.objects {
		l.Objects = append(l.Objects, o)
	}
	return l
}

// watch returns the answer to a watch from a version; ok is false if the store doesn't have it.
func (s *restoringStore) watch(from uint64) (l wire.List, ok bool) {
	if objects.Era(from) != s.era || objects.Revision(from) > s.revision {
		return l, false
	}
	last := map[string]wire.Object{}
	for _, o := range s.changes {
		if o.Version > from {
			last[o.Name] = o
		}
	}
	l.Version = s.version()
	for name, o := range last {
		if o.Value == nil {
			l.Deleted = append(l.Deleted, name)
		} else {
			l.Objects = append(l.Objects, o)
		}
	}
	return l, true
}

// restoreModel is a store, what its writers want it to hold, and the copies of a few instances.
type restoreModel struct {
	store      restoringStore
	wanted     map[string]byte // ranks by name
	ranks      map[string]byte // highest rank of each name so far
	created    map[string]byte // ranks with which the wanted objects were created
	copies     []*replica
	shown      []map[string]byte // for each copy, the ranks that it has shown of the objects that still exist
	pending    []func()          // for each copy, applies the answer of its pending read; nil: none
	messages   []Change
	now        time.Time
	restoredAt time.Time
}

// newRestoreReplica returns an empty copy of objects whose rank must not fall.
func newRestoreReplica() *replica {
	return newReplica("k", retention{restoreGrace: restoreGrace, takesBack: func(before, read wire.Object) bool {
		return read.Value[0] < before.Value[0]
	}})
}

// send puts a change in transit unless it is empty.
func (m *restoreModel) send(c Change) {
	if !c.empty() {
		m.messages = append(m.messages, c)
	}
}

// rewrite makes the store hold what its writers want.
func (m *restoreModel) rewrite() {
	for name, rank := range m.wanted {
		if o, ok := m.store.objects[name]; !ok || o.Value[0] != rank {
			m.store.put(name, rank)
		}
	}
	for name := range m.store.objects {
		if _, ok := m.wanted[name]; !ok {
			m.store.remove(name)
		}
	}
}

// rewriteDelay is the longest time until the writers have written again what the store lost.
const rewriteDelay = restoreGrace / 2

// step executes one random step.
func (m *restoreModel) step(t *rapid.T) {
	i := rapid.IntRange(0, len(m.copies)-1).Draw(t, "copy")
	name := fmt.Sprint("o", rapid.IntRange(0, 2).Draw(t, "object"))
	r, now := m.copies[i], m.now
	steps := []string{"put", "remove", "copy", "restore", "list", "watch", "watch", "answer", "answer", "tell", "tell", "lose", "rewrite", "time", "start"}
	switch rapid.SampledFrom(steps).Draw(t, "step") {
	case "put":
		m.ranks[name]++
		if _, exists := m.wanted[name]; !exists {
			m.created[name] = m.ranks[name]
		}
		m.wanted[name] = m.ranks[name]
		m.store.put(name, m.ranks[name])
	case "remove":
		delete(m.wanted, name)
		for _, shown := range m.shown {
			delete(shown, name)
		}
		m.store.remove(name)
	case "copy":
		m.store.copyState()
	case "restore":
		if n := len(m.store.copied); n > 0 {
			m.rewriteIfDue(0)
			m.store.restore(rapid.IntRange(0, n-1).Draw(t, "of"))
			m.restoredAt = now
		}
	case "list":
		l := m.store.list()
		m.pending[i] = func() { m.send(r.applyList(l, m.now)) }
	case "watch":
		l, ok := m.store.watch(r.revision)
		switch {
		case !r.known:
		case ok:
			m.pending[i] = func() { m.send(r.applyWatch(l, m.now)) }
		default:
			r.known, m.pending[i] = false, nil
		}
	case "answer":
		if m.pending[i] != nil {
			m.pending[i]()
			m.pending[i] = nil
		}
	case "tell":
		if len(m.messages) > 0 {
			if c, ok := r.applyChange(m.messages[rapid.IntRange(0, len(m.messages)-1).Draw(t, "message")], now); ok {
				m.send(c)
			}
		}
	case "lose":
		if len(m.messages) > 0 {
			m.messages = m.messages[1:]
		}
	case "rewrite":
		m.rewrite()
	case "time":
		m.now = now.Add(restoreGrace / 8)
		m.rewriteIfDue(rewriteDelay)
		for _, r := range m.copies {
			m.send(r.endGracePeriods(m.now))
		}
	case "start": // the instance starts anew
		m.copies[i], m.shown[i], m.pending[i] = newRestoreReplica(), map[string]byte{}, nil
	}
}

// rewriteIfDue writes again what was lost if that was longer than a time ago. The copies then read it.
func (m *restoreModel) rewriteIfDue(after time.Duration) {
	if m.restoredAt.IsZero() || m.now.Sub(m.restoredAt) < after {
		return
	}
	m.rewrite()
	m.restoredAt = time.Time{}
	for i, r := range m.copies {
		m.pending[i] = nil
		m.send(r.applyList(m.store.list(), m.now))
	}
}

// check fails the test if a copy has taken back a rank, or lacks an object that it has shown and that nobody removed.
func (m *restoreModel) check(t *rapid.T) {
	for i, r := range m.copies {
		for name, rank := range m.shown[i] {
			o, held := r.objects[name]
			if !held || o.Value[0] < rank {
				t.Fatalf("copy %d has shown %s at rank %d; held now: %t, %v", i, name, rank, held, o.Value)
			}
		}
		for name, o := range r.objects {
			if _, wanted := m.wanted[name]; wanted && o.Value[0] >= m.created[name] {
				m.shown[i][name] = o.Value[0]
			}
		}
	}
}

// Guards against copies that take back what they have shown, or stay behind for good, after the store came back from a
// copy: once or several times, while reads of the era before are answered late, messages arrive in any order, and
// instances start.
func TestCopiesSurviveRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &restoreModel{
			store:  restoringStore{era: 1, revision: 1, objects: map[string]wire.Object{}},
			wanted: map[string]byte{}, ranks: map[string]byte{}, created: map[string]byte{}, now: time.Now(), pending: make([]func(), 3),
		}
		for range 3 {
			m.copies = append(m.copies, newRestoreReplica())
			m.shown = append(m.shown, map[string]byte{})
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			m.step(t)
			m.check(t)
		}
		m.rewrite()
		for i, r := range m.copies {
			r.applyList(m.store.list(), m.now)
			r.endGracePeriods(m.now.Add(2 * restoreGrace))
			for name, rank := range m.wanted {
				if o, held := r.objects[name]; !held || o.Value[0] != rank {
					t.Fatalf("copy %d: %s has rank %d in the store; held: %t, %v", i, name, rank, held, o.Value)
				}
			}
			if len(r.objects) != len(m.wanted) {
				t.Fatalf("copy %d holds %d objects, the store %d", i, len(r.objects), len(m.wanted))
			}
		}
	})
}

// Guards against an instance that starts while objects are missing in the store and takes them for gone, although the
// others keep them: it sends work to a failure domain that is out of service.
func TestStartingInstanceAdoptsKeptObjects(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	kept := wire.Object{Name: "o", Version: objects.NewVersion(1, 20), Value: []byte{5}}
	newer := wire.Object{Name: "p", Version: objects.NewVersion(1, 21), Value: []byte{5}}
	other, started := newRestoreReplica(), newRestoreReplica()
	other.applyList(wire.List{Version: objects.NewVersion(1, 30), Objects: []wire.Object{kept, newer}}, now)
	restored := wire.List{Version: objects.NewVersion(2, 10), Objects: []wire.Object{{Name: "p", Version: objects.NewVersion(2, 9), Value: []byte{4}}}}
	started.applyList(restored, now)
	copied := other.applyList(restored, now)
	c, ok := started.applyChange(copied, now)
	is.True(ok)
	is.Equal(started.objects["o"].Value, kept.Value)
	is.Equal(started.objects["p"].Value, newer.Value)
	is.True(!c.empty())
	ended := started.endGracePeriods(now.Add(2 * restoreGrace))
	is.Equal(ended.Deleted, []string{"o"})
	_, ok = started.applyChange(copied, now)
	is.True(ok)
	_, held := started.objects["o"]
	is.True(!held) // not adopted again
}
