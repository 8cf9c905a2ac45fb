package execute

import (
	"sync"

	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// ObservedModels holds the models that each engine reported as loaded when it was last read. It is safe for concurrent
// use.
type ObservedModels struct {
	mu      sync.RWMutex
	engines map[fleet.UpstreamID][]wire.LoadedModel // guarded by mu; the slices are never modified
}

// NewObservedModels returns an ObservedModels without engines.
func NewObservedModels() *ObservedModels {
	return &ObservedModels{engines: map[fleet.UpstreamID][]wire.LoadedModel{}}
}

// Set records the models that an engine reports as loaded. The slice must not be modified afterwards.
func (s *ObservedModels) Set(id fleet.UpstreamID, loaded []wire.LoadedModel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engines[id] = loaded
}

// Loaded returns the models that an engine reported last, and whether it has been read at all. The slice must not be
// modified.
func (s *ObservedModels) Loaded(id fleet.UpstreamID) ([]wire.LoadedModel, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	loaded, ok := s.engines[id]
	return loaded, ok
}

// retain removes the engines that are not in the view.
func (s *ObservedModels) retain(v *fleet.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.engines {
		if v.Upstream(id) == nil {
			delete(s.engines, id)
		}
	}
}
