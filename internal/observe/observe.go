// Package observe polls the reports of engines: their load, their cache events, and the models that they serve. Reports
// lag behind the engines, so each load report is passed on with the time at which it was made.
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

// Sink receives the reports. All calls for one upstream come from the same goroutine while it stays in view.
type Sink interface {
	// OnLoad receives a load report and the time at which it was made.
	OnLoad(u *fleet.Upstream, l wire.LoadReport, at time.Time)
	// OnCache receives the cache events that follow those of the previous call, or the first ones kept of a new boot.
	// Events that the engine no longer keeps are missing.
	OnCache(u *fleet.Upstream, e wire.CacheEvents)
	// OnState receives an engine's state, with its loaded models sorted by name.
	OnState(u *fleet.Upstream, s wire.EngineState)
	// OnReportMissed receives the error of a report that could not be read.
	OnReportMissed(u *fleet.Upstream, err error)
}

// roundsPerState is the number of polling rounds for each read of an engine's state.
const roundsPerState = 10

// Observer polls every engine in view.
type Observer struct {
	client   *upstream.Client
	sink     Sink
	log      hclog.Logger
	interval time.Duration
	view     func() *fleet.View
	start    time.Time // zero of decide.Instant

	wg      sync.WaitGroup
	polled  sync.Map // fleet.UpstreamID to struct{}: engines whose first round is over, answered or not
	mu      sync.Mutex
	cancels map[fleet.UpstreamID]context.CancelFunc // guarded by mu: stops the poller of each engine
}

// New returns an Observer. It starts to poll with Run. Each engine is polled right after it renews its load report;
// interval is the time between two calls while the time of the renewal is unknown.
func New(client *upstream.Client, view func() *fleet.View, sink Sink, interval time.Duration, log hclog.Logger) *Observer {
	return &Observer{
		client: client, sink: sink, log: log.Named("observe"), interval: interval, view: view, start: time.Now(),
		cancels: map[fleet.UpstreamID]context.CancelFunc{},
	}
}

// PolledAll reports whether each engine in v has been polled at least once, with or without an answer. Before that, a
// new instance doesn't know which models the engines serve and would refuse prompts for them.
func (o *Observer) PolledAll(v *fleet.View) bool {
	for _, u := range v.Upstreams {
		if _, polled := o.polled.Load(u.ID); u.Kind == fleet.Engine && !polled {
			return false
		}
	}
	return true
}

// Run polls until ctx ends, with one poller for each engine in view. It returns once all pollers have stopped.
func (o *Observer) Run(ctx context.Context) {
	defer o.wg.Wait()
	tick := time.NewTicker(o.interval)
	defer tick.Stop()
	for {
		o.updatePollers(ctx, o.view())
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// updatePollers starts a poller for each new engine in v and stops those of engines that v no longer holds.
func (o *Observer) updatePollers(ctx context.Context, v *fleet.View) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, stop := range o.cancels {
		if v.Upstream(id) == nil {
			stop()
			delete(o.cancels, id)
			o.polled.Delete(id)
		}
	}
	for _, u := range v.Upstreams {
		if u.Kind != fleet.Engine || o.cancels[u.ID] != nil {
			continue
		}
		pollCtx, stop := context.WithCancel(ctx)
		o.cancels[u.ID] = stop
		o.wg.Add(1)
		go o.runPoller(pollCtx, u.ID)
	}
}

// runPoller polls one engine until ctx ends or the engine is no longer in view.
func (o *Observer) runPoller(ctx context.Context, id fleet.UpstreamID) {
	defer o.wg.Done()
	p := poller{Observer: o, delay: o.interval, pace: pace.Schedule{Phase: rand.Float64()}}
	for round := 0; ; round++ {
		u := o.view().Upstream(id)
		if u == nil {
			return
		}
		p.pollOnce(ctx, u, round%roundsPerState == 0)
		o.polled.Store(id, struct{}{})
		t := time.NewTimer(p.delay)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return
		}
	}
}

// poller polls one engine.
type poller struct {
	*Observer
	pace      pace.Schedule
	delay     time.Duration // until the next round
	bootID    string        // of the engine's last answer
	nextEvent uint64        // sequence number of the first cache event to read next
}

// pollOnce makes one round of calls: the engine's state if state is true, the load report, and cache events. Cache
// events are read only if the load report shows that there are new ones, so most rounds need one call.
func (p *poller) pollOnce(ctx context.Context, u *fleet.Upstream, state bool) {
	p.delay = p.interval
	if state && !p.readState(ctx, u) {
		return
	}
	sentAt := time.Now()
	l, err := p.client.Load(ctx, u.Addr)
	if err != nil {
		p.reportMissed(ctx, u, err)
		return
	}
	reportedAt := sentAt.Add(-time.Duration(l.AgeMs) * time.Millisecond)
	p.sink.OnLoad(u, l, reportedAt)
	p.delay = p.pace.Next(l.Seq, p.instant(reportedAt), p.instant(time.Now()), p.interval)
	if l.BootID != p.bootID { // sequence numbers start again with each boot
		p.bootID, p.nextEvent = l.BootID, 0
	}
	if l.CacheNext != 0 && l.CacheNext <= p.nextEvent {
		return
	}
	e, err := p.client.CacheEvents(ctx, u.Addr, p.nextEvent)
	if err != nil {
		p.reportMissed(ctx, u, err)
		return
	}
	p.sink.OnCache(u, e)
	p.bootID, p.nextEvent = e.BootID, e.Next
}

// readState reads the engine's state, passes it on, and reports whether the engine answered.
func (p *poller) readState(ctx context.Context, u *fleet.Upstream) bool {
	s, err := p.client.State(ctx, u.Addr)
	if err != nil {
		p.reportMissed(ctx, u, err)
		return false
	}
	slices.SortFunc(s.Loaded, func(a, b wire.LoadedModel) int { return strings.Compare(a.Model, b.Model) })
	p.sink.OnState(u, s)
	return true
}

func (o *Observer) instant(t time.Time) decide.Instant { return decide.Instant(t.Sub(o.start)) }

// reportMissed logs and passes on a failed call, unless the call failed because ctx has ended.
func (o *Observer) reportMissed(ctx context.Context, u *fleet.Upstream, err error) {
	if ctx.Err() != nil {
		return
	}
	o.log.Debug("report missing", "upstream", u.ID, "error", err)
	o.sink.OnReportMissed(u, err)
}
