package objects

import (
	"bytes"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
)

// DefaultHistorySize is the default number of changes that a store keeps for watches.
const DefaultHistorySize = 4096

// key identifies an object.
type key struct{ kind, name string }

// change is the version at which an object was written or deleted.
type change struct {
	key
	version uint64
}

// Store is the object API's state. It is safe for concurrent use.
type Store struct {
	mu             sync.Mutex
	version        uint64
	objects        map[key]wire.Object
	tombstones     map[key]wire.Object // of deleted objects: the version and the write id of the deletion
	history        []change            // oldest first
	historyLimit   int                 // maximum length of history
	droppedVersion uint64              // changes up to this version are no longer in history
	changed        chan struct{}       // closed and replaced at each change
}

// NewStore returns an empty store that keeps the latest limit changes for watches.
func NewStore(limit int) *Store {
	return &Store{
		objects: map[key]wire.Object{}, tombstones: map[key]wire.Object{},
		historyLimit: limit, changed: make(chan struct{}),
	}
}

// Get returns an object and reports whether it exists. For an absent object it returns version 0 and the write id of its
// deletion, if any.
func (s *Store) Get(kind, name string) (wire.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.objects[key{kind, name}]
	if !found {
		return wire.Object{Kind: kind, Name: name, WriteID: s.tombstones[key{kind, name}].WriteID}, false
	}
	return o, true
}

// Put writes an object. If ifVersion is not nil and differs from the object's version, which is 0 for an absent object, Put
// returns a conflict and changes nothing.
func (s *Store) Put(kind, name string, ifVersion *uint64, writeID string, value []byte) (wire.WriteResult, *wire.Conflict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key{kind, name}
	if c := s.checkCondition(k, ifVersion); c != nil {
		return wire.WriteResult{}, c
	}
	s.version++
	delete(s.tombstones, k)
	s.objects[k] = wire.Object{Kind: kind, Name: name, Version: s.version, WriteID: writeID, Value: bytes.Clone(value)}
	s.recordChange(k)
	return wire.WriteResult{Version: s.version}, nil
}

// Delete removes an object under the same condition as Put and leaves a tombstone. Deleting an absent object without a
// condition, or with version 0, changes nothing and succeeds.
func (s *Store) Delete(kind, name string, ifVersion *uint64, writeID string) (wire.WriteResult, *wire.Conflict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key{kind, name}
	if c := s.checkCondition(k, ifVersion); c != nil {
		return wire.WriteResult{}, c
	}
	if _, found := s.objects[k]; !found {
		return wire.WriteResult{Version: s.version}, nil
	}
	s.version++
	delete(s.objects, k)
	s.tombstones[k] = wire.Object{Version: s.version, WriteID: writeID}
	s.recordChange(k)
	return wire.WriteResult{Version: s.version}, nil
}

// checkCondition returns the conflict of a write conditional on ifVersion, or nil if the condition holds. It is called
// with mu held.
func (s *Store) checkCondition(k key, ifVersion *uint64) *wire.Conflict {
	current, found := s.objects[k]
	if ifVersion == nil || *ifVersion == current.Version {
		return nil
	}
	if !found {
		return &wire.Conflict{WriteID: s.tombstones[k].WriteID}
	}
	return &wire.Conflict{Current: current.Version, WriteID: current.WriteID}
}

// recordChange appends a change at the current version to the history and wakes the watches. It is called with mu held.
func (s *Store) recordChange(k key) {
	s.history = append(s.history, change{k, s.version})
	if excess := len(s.history) - s.historyLimit; excess > 0 {
		s.droppedVersion = s.history[excess-1].version
		s.history = slices.Delete(s.history, 0, excess)
	}
	s.notifyChange()
}

// notifyChange wakes all watches. It is called with mu held.
func (s *Store) notifyChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// wakeWatches wakes all watches although nothing has changed.
func (s *Store) wakeWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyChange()
}

// List returns all objects of a kind, sorted by name.
func (s *Store) List(kind string) wire.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := wire.List{Version: s.version, Objects: []wire.Object{}}
	for k, o := range s.objects {
		if k.kind == kind {
			list.Objects = append(list.Objects, o)
		}
	}
	sortByName(list.Objects)
	return list
}

// ChangesSince returns the latest state of the objects of a kind that changed after version from, and a channel that is
// closed at the store's next change. The list is empty if none has changed. It is marked as too old if the history does
// not reach back to from, or if from is later than the store's version.
func (s *Store) ChangesSince(kind string, from uint64) (wire.List, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := wire.List{Version: s.version, Objects: []wire.Object{}}
	if from < s.droppedVersion || from > s.version {
		list.TooOld = true
		return list, s.changed
	}
	seen := map[key]bool{}
	for _, c := range s.history {
		if c.kind != kind || c.version <= from || seen[c.key] {
			continue
		}
		seen[c.key] = true
		if o, found := s.objects[c.key]; found {
			list.Objects = append(list.Objects, o)
			continue
		}
		list.Deleted = append(list.Deleted, c.name)
	}
	sortByName(list.Objects)
	slices.Sort(list.Deleted)
	return list, s.changed
}

// Version returns the version of the latest change.
func (s *Store) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Clone returns a copy that later writes to s don't change. Its watches wait on a channel of its own.
func (s *Store) Clone() *Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Store{
		version: s.version, objects: maps.Clone(s.objects), tombstones: maps.Clone(s.tombstones),
		history: slices.Clone(s.history), historyLimit: s.historyLimit, droppedVersion: s.droppedVersion, changed: make(chan struct{}),
	}
}

func sortByName(objects []wire.Object) {
	slices.SortFunc(objects, func(a, b wire.Object) int { return strings.Compare(a.Name, b.Name) })
}
