package placement

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// holdoffs are the upstreams that turned a request of this instance away and asked it to stay away for a while. They bind this
// instance alone: what it asks a dispatcher for leaves them out, so that no place there is given to it, whoever dispatches. It
// is safe for concurrent use.
type holdoffs struct {
	log   hclog.Logger
	count atomic.Int32 // kept ones, read on a request's path

	mu    sync.Mutex
	until map[fleet.Process]time.Time // guarded by mu
}

func newHoldoffs(log hclog.Logger) *holdoffs {
	return &holdoffs{log: log, until: map[fleet.Process]time.Time{}}
}

// hold takes that an upstream wants nothing from here until a moment.
func (h *holdoffs) hold(u *catalog.Upstream, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := u.Process()
	if !until.After(h.until[p]) {
		return
	}
	h.until[p] = until
	h.count.Store(int32(len(h.until)))
	h.log.Info("upstream wants nothing from here", "upstream", u.ID, "born", u.Born, "for_ms", time.Until(until).Milliseconds())
}

// held tells whether an upstream wants nothing from here now.
func (h *holdoffs) held(u *catalog.Upstream) bool {
	if h.count.Load() == 0 {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Now().Before(h.until[u.Process()])
}

// added gives the upstreams to avoid with those added that want nothing from here now.
func (h *holdoffs) added(avoid []fleet.UpstreamID) []fleet.UpstreamID {
	if h.count.Load() == 0 {
		return avoid
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	all := slices.Clone(avoid)
	now := time.Now()
	for p, until := range h.until {
		switch {
		case !now.Before(until):
			delete(h.until, p)
		case !slices.Contains(all, p.ID):
			all = append(all, p.ID)
		}
	}
	h.count.Store(int32(len(h.until)))
	return all
}
