package execute

import (
	"sync"

	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// Seen keeps what each engine was last seen to have loaded. It is safe for concurrent use.
type Seen struct {
	mu      sync.RWMutex
	engines map[fleet.UpstreamID]map[string]string // guarded by mu; the inner maps are never changed
}

// NewSeen gives a Seen that knows no engine.
func NewSeen() *Seen { return &Seen{engines: map[fleet.UpstreamID]map[string]string{}} }

// Put takes an engine's state.
func (s *Seen) Put(id fleet.UpstreamID, loaded []wire.Loaded) {
	versions := make(map[string]string, len(loaded))
	for _, l := range loaded {
		versions[l.Model] = l.Version
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engines[id] = versions
}

// Versions gives the versions by model; not to be changed.
func (s *Seen) Versions(id fleet.UpstreamID) (map[string]string, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	versions, ok := s.engines[id]
	return versions, ok
}

// keep forgets the engines that the view no longer shows.
func (s *Seen) keep(v *fleet.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.engines {
		if v.Upstream(id) == nil {
			delete(s.engines, id)
		}
	}
}
