package bench

import (
	"math/rand/v2"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/admit"
	"github.com/damaskshelf/damaskshelf/internal/decide/cost"
	"github.com/damaskshelf/damaskshelf/internal/decide/lane"
	"github.com/damaskshelf/damaskshelf/internal/decide/pace"
	"github.com/damaskshelf/damaskshelf/internal/decide/pick"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// policy decides for one entry.
type policy interface {
	offer(r *request)
	reserved(r *request, granted bool)
	ended(r *request)
	// wake is called when a report came in.
	wake()
}

// entry is one entry instance: its own view of the engines and its own policy.
type entry struct {
	sim    *sim
	number int
	rng    *rand.Rand
	views  []*pick.Engine
	byView map[*pick.Engine]*engine
	paces  []pace.Schedule // of the engines' reports
	policy policy
}

func newEntry(s *sim, number int) *entry {
	e := &entry{
		sim: s, number: number, rng: rand.New(rand.NewPCG(s.config.Seed, uint64(1000+number))),
		byView: map[*pick.Engine]*engine{}, paces: make([]pace.Schedule, len(s.engines)),
	}
	for i, eng := range s.engines {
		v := pick.NewEngine(eng.id, cost.NewTable(eng.model.KVCacheTokens))
		e.views = append(e.views, v)
		e.byView[v] = eng
		e.paces[i].Phase = decide.Float(e.rng)
		phase := time.Duration(decide.Float(e.rng) * float64(reportPoll))
		s.clock.After(phase, func() { e.poll(i) })
	}
	e.policy = s.config.policy(e)
	return e
}

// poll reads one engine's report and cache events.
func (e *entry) poll(i int) {
	now, eng, view := e.sim.clock.Now(), e.sim.engines[i], e.views[i]
	l := eng.report
	l.AgeMs = now.Sub(eng.reported).Milliseconds()
	view.UpdateReport(pick.NewReport(&l, now))
	if !e.sim.config.NoCache {
		view.Cache.Apply(eng.cacheEvents(view.Cache.NextSeq()), now)
	}
	e.policy.wake()
	wait := e.paces[i].Next(l.Seq, eng.reported, now, reportPoll)
	e.sim.clock.After(wait, func() { e.poll(i) })
}

// gated is the policy under test: the daemon's gate and pipeline.
type gated struct {
	e       *entry
	profile pick.Profile
	gate    *admit.Gate
	pool    *pick.Pool
	demand  lane.Demand
	sizer   lane.Sizer
	order   []fleet.UpstreamID
	lanes   int
	waiting map[*admit.Request]*request
	out     []admit.Decision
	number  int
}

func newGated(e *entry, profile pick.Profile, pipeline *pick.Pipeline) *gated {
	g := &gated{e: e, profile: profile, waiting: map[*admit.Request]*request{}}
	g.gate = admit.NewGate(&g.profile, pipeline, queueLength)
	g.sizer = lane.Sizer{Headroom: profile.Headroom, MinLanes: g.leastLanes(), MaxShare: profile.MaxLaneShare}
	var upstreams []*fleet.Upstream
	for i, eng := range e.sim.engines {
		domains := e.sim.config.Deployment.Domains
		upstreams = append(upstreams, &fleet.Upstream{ID: eng.id, Domain: fleet.DomainID(domains[i%len(domains)])})
	}
	g.order = lane.Order("model", upstreams)
	g.resize()
	return g
}

// leastLanes is enough engines for the longest prompt; none where the profile has no lanes.
func (g *gated) leastLanes() int {
	if g.profile.MaxLaneShare == 0 {
		return 0
	}
	return maxPrompt/int(g.e.sim.model().KVCacheTokens) + 1
}

// resize sizes the lanes from the demand that this entry has seen, as often as the daemon does.
func (g *gated) resize() {
	now := g.e.sim.clock.Now()
	fleetDemand := g.demand.BusyEngines(now) * float64(g.e.sim.config.Instances)
	views, order := g.inService()
	size, _ := g.sizer.Resize(fleetDemand, len(order), now)
	g.lanes = size
	g.pool = pick.NewPool(views, order[:size], g.e.sim.model().KVCacheTokens)
	g.e.sim.clock.After(resizeEvery, g.resize)
}

// inService gives the engines that may take new work, and the order in which they become lanes.
func (g *gated) inService() (views []*pick.Engine, order []fleet.UpstreamID) {
	gone := map[fleet.UpstreamID]bool{}
	for i, v := range g.e.views {
		if g.e.sim.out(i) {
			gone[v.ID] = true
			continue
		}
		views = append(views, v)
	}
	for _, id := range g.order {
		if !gone[id] {
			order = append(order, id)
		}
	}
	return views, order
}

func (g *gated) world() *admit.View {
	return &admit.View{Pool: g.pool, Instances: g.e.sim.config.Instances, Now: g.e.sim.clock.Now(), Rand: g.e.rng}
}

func (g *gated) offer(r *request) {
	g.number++
	r.gated = r.gate(g.number*100 + g.e.number)
	r.priority = g.profile.Priority[r.class]
	if r.class.UsesLanes() {
		g.demand.Add(laneWork(&r.prompt, r.class, g.e.sim.model(), r.gated.DecodeTime), g.e.sim.clock.Now())
	}
	g.waiting[r.gated] = r
	w := g.world()
	d, ok := g.gate.TryDispatch(r.gated, w)
	if !ok {
		d = g.gate.Admit(r.gated, w)
	}
	g.carry(d)
}

func (g *gated) carry(d admit.Decision) {
	r := g.waiting[d.Request]
	switch d.Verb {
	case admit.Enqueue:
	case admit.Refuse:
		r.refusal = d.Reason
		r.finish(refused)
	case admit.Dispatch:
		r.sent = []sentPart{{d.Choice.Engine, int64(d.Choice.Estimate.Cost), r.prompt.MemoryTokens()}}
		r.dispatch(g.e.byView[d.Choice.Engine], false)
	case admit.Reserve:
		r.reserve(d.Plan.Parts)
	}
}

func (g *gated) reserved(r *request, granted bool) {
	plan := pick.Plan{Parts: r.parts}
	d := g.gate.ReservationResult(r.gated, &plan, granted, g.world())
	if !granted {
		r.group, r.parts = nil, nil
		g.carry(d)
		return
	}
	for _, p := range r.parts {
		r.sent = append(r.sent, sentPart{p.Engine, p.Tokens, p.Tokens})
	}
	if len(r.parts) == 1 {
		r.dispatch(g.e.byView[r.parts[0].Engine], true)
		return
	}
	r.dispatchGroup()
}

func (g *gated) ended(r *request) {
	g.gate.Cancel(r.gated.ID)
	delete(g.waiting, r.gated)
	g.wake()
}

func (g *gated) wake() {
	if g.gate.QueueLength(cost.Short)+g.gate.QueueLength(cost.Medium)+g.gate.QueueLength(cost.Long) == 0 {
		return
	}
	decisions := g.gate.ProcessQueues(g.world(), g.out[:0])
	g.out = nil // carrying a decision out may wake the gate again
	for _, d := range decisions {
		g.carry(d)
	}
	g.out = decisions
}
