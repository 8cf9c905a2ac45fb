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

// holdoffs holds the upstreams that rejected a request of this instance and asked it to hold off. A holdoff binds
// this instance alone. Its placement requests name these upstreams as ones to avoid, so that no dispatcher assigns it
// a place there. It is safe for concurrent use.
type holdoffs struct {
	log   hclog.Logger
	count atomic.Int32 // number of entries in until, read on the request path without the lock

	mu    sync.Mutex
	until map[fleet.Process]time.Time // guarded by mu
}

// newHoldoffs returns holdoffs without any entry.
func newHoldoffs(log hclog.Logger) *holdoffs {
	return &holdoffs{log: log, until: map[fleet.Process]time.Time{}}
}

// set records that an upstream asked for no requests from this instance before until. It never shortens a holdoff.
func (h *holdoffs) set(u *catalog.Upstream, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := u.Process()
	if !until.After(h.until[p]) {
		return
	}
	h.until[p] = until
	h.count.Store(int32(len(h.until)))
	h.log.Info("upstream wants nothing from here", "upstream", u.ID, "born", u.StartTime, "for_ms", time.Until(until).Milliseconds())
}

// active reports whether a holdoff of an upstream is in effect now.
func (h *holdoffs) active(u *catalog.Upstream) bool {
	if h.count.Load() == 0 {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Now().Before(h.until[u.Process()])
}

// addTo returns avoid with all upstreams added whose holdoff is in effect. It removes holdoffs that are over.
func (h *holdoffs) addTo(avoid []fleet.UpstreamID) []fleet.UpstreamID {
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
