package execute

import (
	"sync"

	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// Seen keeps what each engine was last seen to have loaded. It is safe for concurrent use.
type ObservedModels struct {
	mu      sync.RWMutex
	engines map[fleet.UpstreamID][]wire.LoadedModel // guarded by mu; the slices are never changed
}

// NewSeen gives a Seen that knows no engine.
func NewObservedModels() *ObservedModels {
	return &ObservedModels{engines: map[fleet.UpstreamID][]wire.LoadedModel{}}
}

// Put takes what an engine has loaded; the slice must not be changed afterwards.
func (s *ObservedModels) Set(id fleet.UpstreamID, loaded []wire.LoadedModel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engines[id] = loaded
}

// Loaded gives what an engine was last seen to have; not to be changed.
func (s *ObservedModels) Loaded(id fleet.UpstreamID) ([]wire.LoadedModel, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	loaded, ok := s.engines[id]
	return loaded, ok
}

// keep forgets the engines that the view no longer shows.
func (s *ObservedModels) keep(v *fleet.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.engines {
		if v.Upstream(id) == nil {
			delete(s.engines, id)
		}
	}
}
