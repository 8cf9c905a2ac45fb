// Package observe reads what engines report: load, cache events, and what they serve. Reports lag; the
// age of each is passed on with it.
package observe

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/pace"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/upstream"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// Sink takes the reports. Its methods are called from one goroutine an upstream.
type Sink interface {
	OnLoad(u *fleet.Upstream, l wire.LoadReport, at time.Time)
	OnCache(u *fleet.Upstream, e wire.CacheEvents)
	OnState(u *fleet.Upstream, s wire.EngineState)
	OnReportMissed(u *fleet.Upstream, err error)
}

// stateEvery is the number of load reports to one reading of what an engine serves.
const stateEvery = 10

// Observer polls each engine in view.
type Observer struct {
	client   *upstream.Client
	sink     Sink
	log      hclog.Logger
	interval time.Duration
	view     func() *fleet.View
	start    time.Time

	wg      sync.WaitGroup
	asked   sync.Map // fleet.UpstreamID to struct{}: engines whose first round is over, answered or not
	mu      sync.Mutex
	running map[fleet.UpstreamID]context.CancelFunc // guarded by mu
}

// New gives an Observer that starts polling with Run. An engine is asked right after each renewal of its
// report; interval is the time between two calls while that is not known.
func New(client *upstream.Client, view func() *fleet.View, sink Sink, interval time.Duration, log hclog.Logger) *Observer {
	return &Observer{
		client: client, sink: sink, log: log.Named("observe"), interval: interval, view: view, start: time.Now(),
		running: map[fleet.UpstreamID]context.CancelFunc{},
	}
}

// Surveyed tells whether every engine in v was asked what it serves. An instance that is new doesn't know
// yet, and would refuse prompts to every model.
func (o *Observer) PolledAll(v *fleet.View) bool {
	for _, u := range v.Upstreams {
		if _, asked := o.asked.Load(u.ID); u.Kind == fleet.Engine && !asked {
			return false
		}
	}
	return true
}

// Run follows the view until ctx ends: one poller for each engine in it.
func (o *Observer) Run(ctx context.Context) {
	defer o.wg.Wait()
	tick := time.NewTicker(o.interval)
	defer tick.Stop()
	for {
		o.follow(ctx, o.view())
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// follow starts pollers of new engines and stops those of engines that are gone or moved.
func (o *Observer) follow(ctx context.Context, v *fleet.View) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, stop := range o.running {
		if v.Upstream(id) == nil {
			stop()
			delete(o.running, id)
			o.asked.Delete(id)
		}
	}
	for _, u := range v.Upstreams {
		if u.Kind != fleet.Engine || o.running[u.ID] != nil {
			continue
		}
		pollCtx, stop := context.WithCancel(ctx)
		o.running[u.ID] = stop
		o.wg.Add(1)
		go o.poll(pollCtx, u.ID)
	}
}

func (o *Observer) poll(ctx context.Context, id fleet.UpstreamID) {
	defer o.wg.Done()
	p := poller{Observer: o, wait: o.interval, pace: pace.Schedule{Phase: rand.Float64()}}
	for round := 0; ; round++ {
		u := o.view().Upstream(id)
		if u == nil {
			return
		}
		p.once(ctx, u, round%stateEvery == 0)
		o.asked.Store(id, struct{}{})
		t := time.NewTimer(p.wait)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return
		}
	}
}

// poller reads one engine's reports.
type poller struct {
	*Observer
	pace   pace.Schedule
	wait   time.Duration // until the next round
	bootID string
	next   uint64 // cache event to read from next
}

// once makes one round of calls. Cache events are asked for only when the load report tells of newer ones:
// most rounds need one call.
func (p *poller) once(ctx context.Context, u *fleet.Upstream, state bool) {
	p.wait = p.interval
	if state && !p.state(ctx, u) {
		return
	}
	asked := time.Now()
	l, err := p.client.Load(ctx, u.Addr)
	if err != nil {
		p.failed(ctx, u, err)
		return
	}
	made := asked.Add(-time.Duration(l.AgeMs) * time.Millisecond)
	p.sink.OnLoad(u, l, made)
	p.wait = p.pace.Next(l.Seq, p.instant(made), p.instant(time.Now()), p.interval)
	if l.BootID != p.bootID { // its sequence numbers begin anew
		p.bootID, p.next = l.BootID, 0
	}
	if l.CacheNext != 0 && l.CacheNext <= p.next {
		return
	}
	e, err := p.client.CacheEvents(ctx, u.Addr, p.next)
	if err != nil {
		p.failed(ctx, u, err)
		return
	}
	p.sink.OnCache(u, e)
	p.bootID, p.next = e.BootID, e.Next
}

// state reads what the engine serves, and tells whether it answered.
func (p *poller) state(ctx context.Context, u *fleet.Upstream) bool {
	s, err := p.client.State(ctx, u.Addr)
	if err != nil {
		p.failed(ctx, u, err)
		return false
	}
	slices.SortFunc(s.Loaded, func(a, b wire.LoadedModel) int { return strings.Compare(a.Model, b.Model) })
	p.sink.OnState(u, s)
	return true
}

func (o *Observer) instant(t time.Time) decide.Instant { return decide.Instant(t.Sub(o.start)) }

func (o *Observer) failed(ctx context.Context, u *fleet.Upstream, err error) {
	if ctx.Err() != nil {
		return
	}
	o.log.Debug("report missing", "upstream", u.ID, "error", err)
	o.sink.OnReportMissed(u, err)
}
