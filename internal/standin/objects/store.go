package objects

import (
	"bytes"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
)

// DefaultHistory is the number of changes kept for watches.
const DefaultHistorySize = 4096

type key struct{ kind, name string }

type change struct {
	key
	version uint64
}

// Store is the object API's state. It is safe for concurrent use.
type Store struct {
	mu         sync.Mutex
	version    uint64
	objects    map[key]wire.Object
	tombstones map[key]wire.Object // of deleted objects: version and write id of the delete
	history    []change
	limit      int
	forgotten  uint64 // versions up to this one are no longer in history
	changed    chan struct{}
}

// NewStore makes an empty store that keeps limit changes for watches.
func NewStore(limit int) *Store {
	return &Store{
		objects: map[key]wire.Object{}, tombstones: map[key]wire.Object{},
		limit: limit, changed: make(chan struct{}),
	}
}

// Get gives an object. Of an absent one it gives the zero version with the write id of its delete, if any.
func (s *Store) Get(kind, name string) (wire.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.objects[key{kind, name}]
	if !found {
		return wire.Object{Kind: kind, Name: name, WriteID: s.tombstones[key{kind, name}].WriteID}, false
	}
	return o, true
}

// Put writes an object. Without a condition it always takes effect; otherwise only at that version, of
// which 0 means absent.
func (s *Store) Put(kind, name string, ifVersion *uint64, writeID string, value []byte) (wire.WriteResult, *wire.Conflict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key{kind, name}
	if c := s.conflict(k, ifVersion); c != nil {
		return wire.WriteResult{}, c
	}
	s.version++
	delete(s.tombstones, k)
	s.objects[k] = wire.Object{Kind: kind, Name: name, Version: s.version, WriteID: writeID, Value: bytes.Clone(value)}
	s.record(k)
	return wire.WriteResult{Version: s.version}, nil
}

// Delete removes an object under the same conditions as Put and leaves a tombstone. An absent object
// conflicts unless there is no condition.
func (s *Store) Delete(kind, name string, ifVersion *uint64, writeID string) (wire.WriteResult, *wire.Conflict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key{kind, name}
	if c := s.conflict(k, ifVersion); c != nil {
		return wire.WriteResult{}, c
	}
	if _, found := s.objects[k]; !found {
		return wire.WriteResult{Version: s.version}, nil
	}
	s.version++
	delete(s.objects, k)
	s.tombstones[k] = wire.Object{Version: s.version, WriteID: writeID}
	s.record(k)
	return wire.WriteResult{Version: s.version}, nil
}

func (s *Store) conflict(k key, ifVersion *uint64) *wire.Conflict {
	current, found := s.objects[k]
	if ifVersion == nil || *ifVersion == current.Version {
		return nil
	}
	if !found {
		return &wire.Conflict{WriteID: s.tombstones[k].WriteID}
	}
	return &wire.Conflict{Current: current.Version, WriteID: current.WriteID}
}

func (s *Store) record(k key) {
	s.history = append(s.history, change{k, s.version})
	if over := len(s.history) - s.limit; over > 0 {
		s.forgotten = s.history[over-1].version
		s.history = slices.Delete(s.history, 0, over)
	}
	s.signal()
}

// signal ends the waits for a change; mu is held.
func (s *Store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// wake ends the waits for a change without one.
func (s *Store) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.signal()
}

// List gives all objects of a kind, sorted by name.
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

// Changes gives the latest state of the objects of a kind that changed after version from. Until there is
// a change it gives an empty list and a channel that is closed at the store's next change.
func (s *Store) ChangesSince(kind string, from uint64) (wire.List, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := wire.List{Version: s.version, Objects: []wire.Object{}}
	if from < s.forgotten || from > s.version {
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

// Version is the version of the latest change.
func (s *Store) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Clone gives a copy that later writes to the store don't reach.
func (s *Store) Clone() *Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Store{
		version: s.version, objects: maps.Clone(s.objects), tombstones: maps.Clone(s.tombstones),
		history: slices.Clone(s.history), limit: s.limit, forgotten: s.forgotten, changed: make(chan struct{}),
	}
}

func sortByName(objects []wire.Object) {
	slices.SortFunc(objects, func(a, b wire.Object) int { return strings.Compare(a.Name, b.Name) })
}
