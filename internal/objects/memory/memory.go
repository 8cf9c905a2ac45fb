// Package memory is the object API in one process's memory, for tests and as the reference of the
// conformance suite.
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

// keptDeletions bounds the tombstones that a watch can still report.
const keptDeletions = 4096

// Store is an in-memory object API. The zero value is not usable; see New.
type Store struct {
	mu      sync.Mutex
	version uint64                      // guarded by mu
	objects map[objects.Key]wire.Object // guarded by mu
	deleted []deletion                  // guarded by mu, oldest first
	floor   uint64                      // guarded by mu: watches from below it are too old
	changed chan struct{}               // guarded by mu: closed at the next change
}

type deletion struct {
	key     objects.Key
	version uint64
}

// New gives an empty store.
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

// since gives the kind's objects above version, and the deletions above it unless version is 0.
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
	for _, d := range s.deleted {
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
		if version < s.floor {
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
	s.bump()
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
	s.bump()
	delete(s.objects, key)
	s.deleted = append(s.deleted, deletion{key: key, version: s.version})
	if extra := len(s.deleted) - keptDeletions; extra > 0 {
		s.floor = s.deleted[extra-1].version
		s.deleted = slices.Delete(s.deleted, 0, extra)
	}
	return nil
}

// bump makes a new version and wakes the watches; mu is held.
func (s *Store) bump() {
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
}
