package warm

import (
	"context"
	"sync"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide/health"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/route"
)

// Prompter sends a prompt of a few tokens and reads its whole answer; upstream.Client does.
type Prompter interface {
	WarmUp(ctx context.Context, addr, model string, wait time.Duration) error
}

// warmUpWait bounds one prompt that warms an engine up.
const warmUpWait = 5 * time.Second

// WarmUp sends small prompts of the lowest priority to cold engines in this instance's own slots, until ctx
// ends. An engine gets warm by work, and a good choice of engine avoids one that is cold as long as there
// are others: without this, one that came back under load would stay cold for ever.
func (l *Limits) RunWarmUp(ctx context.Context, p Prompter, every time.Duration) {
	var wg sync.WaitGroup
	defer wg.Wait()
	tick := time.NewTicker(every)
	defer tick.Stop()
	var busy sync.Map // fleet.UpstreamID to nothing: one at a time
	for {
		for _, u := range l.cfg.View().Upstreams {
			if u.Kind != fleet.Engine || len(u.Models) == 0 || l.State(u) != health.Cold {
				continue
			}
			if _, on := busy.LoadOrStore(u.ID, struct{}{}); on {
				continue
			}
			wg.Go(func() {
				defer busy.Delete(u.ID)
				l.warmUp(ctx, p, u)
			})
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (l *Limits) warmUp(ctx context.Context, p Prompter, u *fleet.Upstream) {
	if !l.Acquire(u) {
		return
	}
	outcome := route.OK
	if err := p.WarmUp(ctx, u.Addr, u.Models[0], min(warmUpWait, l.cfg.Params.MaxDispatch)); err != nil {
		outcome = route.Failed
		l.cfg.Log.Debug("warm-up prompt failed", "upstream", u.ID, "error", err)
	}
	if ctx.Err() != nil {
		outcome = route.Cancelled
	}
	l.Release(u, outcome)
}
