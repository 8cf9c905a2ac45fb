package warm

import (
	"context"
	"sync"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide/health"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/route"
)

// Prompter sends a prompt of a few tokens and reads the whole answer. upstream.Client implements it.
type Prompter interface {
	WarmUp(ctx context.Context, addr, model string, timeout time.Duration) error
}

// warmUpTimeout is the timeout of one warm-up prompt.
const warmUpTimeout = 5 * time.Second

// RunWarmUp sends small prompts of the lowest priority to cold engines, within this instance's share of slots, until
// ctx is done. An engine warms up only by work, but routing avoids a cold engine while there are others. Without these
// prompts an engine that returns under load would stay cold forever.
func (l *Limits) RunWarmUp(ctx context.Context, p Prompter, interval time.Duration) {
	var wg sync.WaitGroup
	defer wg.Wait()
	tick := time.NewTicker(interval)
	defer tick.Stop()
	var active sync.Map // keys are fleet.UpstreamID; at most one prompt per engine runs at a time
	for {
		for _, u := range l.cfg.View().Upstreams {
			if u.Kind != fleet.Engine || len(u.Models) == 0 || l.State(u) != health.Cold {
				continue
			}
			if _, running := active.LoadOrStore(u.ID, struct{}{}); running {
				continue
			}
			wg.Go(func() {
				defer active.Delete(u.ID)
				l.sendWarmUp(ctx, p, u)
			})
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// sendWarmUp sends one warm-up prompt to the engine if this instance has a free slot there.
func (l *Limits) sendWarmUp(ctx context.Context, p Prompter, u *fleet.Upstream) {
	if !l.Acquire(u) {
		return
	}
	outcome := route.OK
	if err := p.WarmUp(ctx, u.Addr, u.Models[0], min(warmUpTimeout, l.cfg.Params.MaxDispatch)); err != nil {
		outcome = route.Failed
		l.cfg.Log.Debug("warm-up prompt failed", "upstream", u.ID, "error", err)
	}
	if ctx.Err() != nil {
		outcome = route.Cancelled
	}
	l.Release(u, outcome)
}
