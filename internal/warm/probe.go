package warm

import (
	"context"
	"sync"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/health"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Pinger asks an upstream for a sign of life over a new connection; upstream.Client does.
type Pinger interface {
	Ping(ctx context.Context, addr string, wait time.Duration) error
}

const (
	probeWait   = time.Second
	probesAtOne = 16               // probes at once
	provenAfter = 10 * time.Second // of answered probes, for a plain service that turned cold
)

// Probe asks plain services that are not warm for a sign of life at each interval until ctx ends. Engines
// make load reports instead.
func (l *Limits) RunProbes(ctx context.Context, p Pinger, every time.Duration) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		l.probeAll(ctx, p)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (l *Limits) probeAll(ctx context.Context, p Pinger) {
	var wg sync.WaitGroup
	defer wg.Wait()
	places := make(chan struct{}, probesAtOne)
	for _, u := range l.cfg.View().Upstreams {
		if s := l.State(u); u.Kind != fleet.Service || s == health.Warm || !s.AcceptsWork() {
			continue
		}
		places <- struct{}{}
		wg.Go(func() {
			defer func() { <-places }()
			sent := l.cfg.Now()
			l.probed(ctx, u, sent, p.Ping(ctx, u.Addr, probeWait))
		})
	}
}

// probed takes a probe's result.
func (l *Limits) probed(ctx context.Context, u *fleet.Upstream, sent decide.Instant, err error) {
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		l.OnNoReply(u, err)
		return
	}
	up := l.upstream(u)
	up.mu.Lock()
	newer := up.machine.AcceptsEvidence(sent)
	proven := up.machine.State() == health.Cold && l.cfg.Now().Sub(up.machine.Since()) >= provenAfter
	up.mu.Unlock()
	switch {
	case proven:
		l.RecordEvidence(u, health.ProbationPassed)
	case newer:
		l.RecordEvidence(u, health.ProbeAnswered)
	}
}
