package warm

import (
	"context"
	"sync"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/health"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Pinger probes an upstream over a new connection. upstream.Client implements it.
type Pinger interface {
	Ping(ctx context.Context, addr string, timeout time.Duration) error
}

const (
	probeTimeout        = time.Second      // of one probe including its connection
	maxConcurrentProbes = 16               // limits the connections that one round of probes opens at once
	probationTime       = 10 * time.Second // an answered probe ends state Cold of a plain service after this time
)

// RunProbes probes the plain services that are not warm at each interval until ctx is done. Engines send load reports
// instead.
func (l *Limits) RunProbes(ctx context.Context, p Pinger, interval time.Duration) {
	tick := time.NewTicker(interval)
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

// probeAll probes each plain service that accepts work and is not warm, and waits for the results.
func (l *Limits) probeAll(ctx context.Context, p Pinger) {
	var wg sync.WaitGroup
	defer wg.Wait()
	semaphore := make(chan struct{}, maxConcurrentProbes)
	for _, u := range l.cfg.View().Upstreams {
		if s := l.State(u); u.Kind != fleet.Service || s == health.Warm || !s.AcceptsWork() {
			continue
		}
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			sent := l.cfg.Now()
			l.handleProbeResult(ctx, u, sent, p.Ping(ctx, u.Addr, probeTimeout))
		})
	}
}

// handleProbeResult records the result of a probe sent at sent. It ignores probes canceled through ctx.
func (l *Limits) handleProbeResult(ctx context.Context, u *fleet.Upstream, sent decide.Instant, err error) {
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		l.OnNoReply(u, err)
		return
	}
	up := l.upstream(u)
	up.mu.Lock()
	accepted := up.machine.AcceptsEvidence(sent)
	probationPassed := up.machine.State() == health.Cold && l.cfg.Now().Sub(up.machine.Since()) >= probationTime
	up.mu.Unlock()
	switch {
	case probationPassed:
		l.RecordEvidence(u, health.ProbationPassed)
	case accepted:
		l.RecordEvidence(u, health.ProbeAnswered)
	}
}
