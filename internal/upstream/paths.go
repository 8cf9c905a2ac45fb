package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/singleflight"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/reach"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/metrics"
	"github.com/damaskshelf/damaskshelf/internal/wait"
)

const (
	// bypassDelay is how long a direct connection may take before another instance is asked to connect as well: a few
	// round trips to the farthest failure domain. A lost opening packet is sent again only after a second.
	bypassDelay = 60 * time.Millisecond
	// maxHedges bounds the direct connections that another instance is asked to open as well because they take long. On a
	// machine that is short of processor time all of them do, and more work would make it worse.
	maxHedges = 32
	// probeCheckInterval is how often it is checked, while paths are failed, whether one is due for a probe.
	probeCheckInterval = 50 * time.Millisecond
)

// Dialer connects to an upstream's address.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// Bypass connects to upstreams through other instances. The connections that it returns are Tunneled.
type Bypass interface {
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// Tunneled is a connection to an upstream through another instance.
type Tunneled interface {
	net.Conn
	// Via returns the instance that is connected to the upstream.
	Via() fleet.InstanceID
}

// viaInstance returns the instance that a connection goes through, or "" if it is direct.
func viaInstance(c net.Conn) fleet.InstanceID {
	if t, ok := c.(Tunneled); ok {
		return t.Via()
	}
	return ""
}

// paths opens connections to upstreams: directly, or through another instance while the direct path fails. An instance
// that is cut off from upstreams which the others reach would otherwise fail the requests of its callers. It is safe
// for concurrent use.
type paths struct {
	direct Dialer
	bypass Bypass // nil: none
	pool   *pool  // whose idle connections are excluded when their path fails
	start  time.Time
	log    hclog.Logger
	stats  *metrics.Registry
	failed chan struct{} // holds a token when a path has failed, for probe
	hedges atomic.Int64  // attempts through other instances because a direct one takes long

	lostChecks    singleflight.Group // of lost, by address
	refusalChecks singleflight.Group // of refuses, by address

	mu     sync.Mutex
	state  *reach.Paths // guarded by mu
	cutOff bool         // guarded by mu: as last logged
}

// newPaths returns paths that all count as working, for the connections of a pool.
func newPaths(o Options, p *pool) *paths {
	return &paths{
		direct: dialOrderly(o.Dial), bypass: o.Bypass, pool: p, start: time.Now(), log: o.Log.Named("paths"), stats: o.Metrics,
		failed: make(chan struct{}, 1), state: reach.New(),
	}
}

// now returns the time since the start.
func (p *paths) now() decide.Instant { return decide.Instant(time.Since(p.start)) }

// order returns the order in which the ways to addr are tried.
func (p *paths) order(addr string) reach.Order {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Order(addr)
}

// dial connects to the upstream at addr.
func (p *paths) dial(ctx context.Context, addr string) (net.Conn, error) {
	if p.bypass == nil {
		return p.direct(ctx, addr)
	}
	a := &attempts{p: p, addr: addr, results: make(chan attempt, 2)}
	defer func() { go a.finish() }()
	var other <-chan time.Time
	switch p.order(addr) {
	case reach.DirectFirst:
		a.startDirect(ctx)
		timer := time.NewTimer(bypassDelay)
		defer timer.Stop()
		other = timer.C
	case reach.Both:
		a.startDirect(ctx)
		a.startBypass(ctx)
	case reach.ThroughOther:
		a.startBypass(ctx)
	}
	for {
		select {
		case r := <-a.results:
			a.record(r)
			if r.err == nil {
				return r.conn, nil
			}
			a.startDirect(ctx)
			a.startBypass(ctx)
			if a.pending == 0 {
				return nil, a.directErr
			}
		case <-other:
			if p.hedges.Add(1) <= maxHedges {
				a.startBypass(ctx)
			}
			defer p.hedges.Add(-1)
			other = nil
		case <-ctx.Done():
			return nil, fmt.Errorf("connect to %s: %w", addr, ctx.Err())
		}
	}
}

// ErrPathFailed reports that the direct path to an upstream is known to fail.
var ErrPathFailed = errors.New("direct path to the upstream has failed")

// dialDirect connects to the upstream at addr directly, unless that path is known to fail.
func (p *paths) dialDirect(ctx context.Context, addr string) (net.Conn, error) {
	if p.order(addr) == reach.ThroughOther {
		return nil, ErrPathFailed
	}
	c, err := p.direct(ctx, addr)
	if err == nil {
		p.connected(addr)
	}
	return c, err
}

// connected records that a direct connection to the upstream at addr opened.
func (p *paths) connected(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state.Connected(p.now(), addr) {
		p.log.Info("path to upstream works again", "addr", addr, "failed_paths", p.state.FailedCount())
	}
	p.update()
}

// pathFailed records that the direct path to the upstream at addr failed with err while another instance connected. If
// new connections hang, open ones do too, and each would cost a request the time until its silence is noticed. If they
// are refused, open ones may go on.
func (p *paths) pathFailed(addr string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state.Failed(p.now(), addr) {
		p.log.Info("path to upstream failed; other instances reach it", "addr", addr, "error", err, "failed_paths", p.state.FailedCount())
	}
	newlyCutOff := p.update()
	if isTimeout(err) {
		p.pool.invalidate(addr)
		if newlyCutOff {
			p.pool.invalidateAll()
		}
	}
	select {
	case p.failed <- struct{}{}:
	default:
	}
}

// update logs whether the instance is cut off if that has changed, and sets the metrics; mu is held. It reports whether
// the instance is cut off and was not before.
func (p *paths) update() (newlyCutOff bool) {
	p.stats.Gauge("paths_failed").Update(int64(p.state.FailedCount()))
	cutOff := p.state.CutOff()
	if cutOff == p.cutOff {
		return false
	}
	p.cutOff = cutOff
	if !cutOff {
		p.log.Info("this instance reaches upstreams directly again", "failed_paths", p.state.FailedCount())
		return false
	}
	p.log.Warn("this instance is cut off from upstreams; other instances connect to them", "failed_paths", p.state.FailedCount())
	return true
}

// lost reports whether the direct path to the upstream at addr has failed while another instance reaches it. Unless that
// is known, it opens a connection to find out.
func (p *paths) lost(ctx context.Context, addr string) bool {
	if p.bypass == nil {
		return false
	}
	if p.order(addr) == reach.ThroughOther {
		return true
	}
	return shareCheck(ctx, &p.lostChecks, addr, p.needsOther)
}

// needsOther connects to the upstream at addr, and reports whether that takes another instance.
func (p *paths) needsOther(addr string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	c, err := p.dial(ctx, addr)
	if err != nil {
		return false
	}
	lost := viaInstance(c) != ""
	p.pool.putNew(addr, c)
	return lost
}

// probe opens connections over failed paths from time to time, until ctx ends, to find out when they work again. Paths
// to upstreams that are not known any more are forgotten.
func (p *paths) probe(ctx context.Context, known func(addr string) bool) {
	for {
		select {
		case <-p.failed:
		case <-ctx.Done():
			return
		}
		for p.probeNext(ctx, known) && wait.For(ctx, probeCheckInterval) {
		}
	}
}

// probeNext probes the failed path that is due, if there is one. It reports whether any path is failed.
func (p *paths) probeNext(ctx context.Context, known func(addr string) bool) bool {
	p.mu.Lock()
	p.state.Forget(known)
	p.update()
	addr, due := p.state.NextProbe(p.now())
	failed := p.state.FailedCount()
	p.mu.Unlock()
	if !due {
		return failed > 0
	}
	dialCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	if c, err := p.direct(dialCtx, addr); err == nil {
		p.connected(addr)
		p.pool.putNew(addr, c)
	}
	return true
}
