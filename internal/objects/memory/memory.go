// Package memory implements the object API in the memory of one process, for tests and as the reference implementation
// of the conformance suite.
package memory

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
)

// maxDeletions bounds the deletions that are kept for watches, and so the memory that they use. A watch that would need
// an older one returns objects.ErrTooOld.
const maxDeletions = 4096

// Store is an in-memory object store. The zero value is not usable; see New.
type Store struct {
	mu          sync.Mutex
	version     uint64                      // guarded by mu
	objects     map[objects.Key]wire.Object // guarded by mu
	deletions   []deletion                  // guarded by mu, oldest first
	oldestWatch uint64                      // guarded by mu; a watch of a lower version is too old
	changed     chan struct{}               // guarded by mu; closed at the next change
}

// deletion records that an object was deleted, and the store's version after it.
type deletion struct {
	key     objects.Key
	version uint64
}

// New returns an empty store.
func New() *Store {
	return &Store{objects: map[objects.Key]wire.Object{}, changed: make(chan struct{})}
}

var _ objects.Store = (*Store)(nil)

// Get implements objects.Store.
func (s *Store) Get(_ context.Context, key objects.Key) (wire.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	if !ok {
		return wire.Object{}, objects.ErrNotFound
	}
	return o, nil
}

// List implements objects.Store; objects are sorted by name.
func (s *Store) List(_ context.Context, kind string) (wire.List, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.since(kind, 0), nil
}

// since returns the kind's objects with a higher version than version, sorted by name, and unless version is 0, the
// later deletions. The caller holds mu.
func (s *Store) since(kind string, version uint64) wire.List {
	l := wire.List{Version: s.version}
	for key, o := range s.objects {
		if key.Kind == kind && o.Version > version {
			l.Objects = append(l.Objects, o)
		}
	}
	slices.SortFunc(l.Objects, func(a, b wire.Object) int { return strings.Compare(a.Name, b.Name) })
	if version == 0 {
		return l
	}
	for _, d := range s.deletions {
		if d.key.Kind == kind && d.version > version {
			l.Deleted = append(l.Deleted, d.key.Name)
		}
	}
	return l
}

// Watch implements objects.Store.
func (s *Store) Watch(ctx context.Context, kind string, version uint64, wait time.Duration) (wire.List, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if version < s.oldestWatch {
			s.mu.Unlock()
			return wire.List{}, objects.ErrTooOld
		}
		l, changed := s.since(kind, version), s.changed
		s.mu.Unlock()
		if len(l.Objects) > 0 || len(l.Deleted) > 0 {
			return l, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return l, nil
		case <-ctx.Done():
			return wire.List{}, ctx.Err()
		}
	}
}

// Put implements objects.Store.
func (s *Store) Put(_ context.Context, w objects.Write) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[w.Key]; o.Version != w.IfVersion {
		return 0, &objects.ConflictError{Key: w.Key, Current: o.Version, WriteID: o.WriteID}
	}
	s.nextVersion()
	s.objects[w.Key] = wire.Object{
		Kind: w.Key.Kind, Name: w.Key.Name, Version: s.version, WriteID: w.WriteID, Value: slices.Clone(w.Value),
	}
	return s.version, nil
}

// Delete implements objects.Store.
func (s *Store) Delete(_ context.Context, key objects.Key, ifVersion uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	if !ok {
		return objects.ErrNotFound
	}
	if o.Version != ifVersion {
		return &objects.ConflictError{Key: key, Current: o.Version, WriteID: o.WriteID}
	}
	s.nextVersion()
	delete(s.objects, key)
	s.deletions = append(s.deletions, deletion{key: key, version: s.version})
	if extra := len(s.deletions) - maxDeletions; extra > 0 {
		s.oldestWatch = s.deletions[extra-1].version
		s.deletions = slices.Delete(s.deletions, 0, extra)
	}
	return nil
}

// nextVersion increments the store's version and wakes the watches. The caller holds mu.
func (s *Store) nextVersion() {
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
}
