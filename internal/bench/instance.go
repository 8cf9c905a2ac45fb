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

// policy makes the decisions of one instance.
type policy interface {
	// submit handles a new request.
	submit(r *request)
	// reservationResult handles the outcome of the reservations of r.parts.
	reservationResult(r *request, granted bool)
	// requestEnded is called when a request has ended for any reason.
	requestEnded(r *request)
	// processQueues dispatches queued requests where possible. It is called after each report of an engine.
	processQueues()
}

// instance simulates one instance, with its own view of the engines and its own policy.
type instance struct {
	sim           *sim
	number        int
	rng           *rand.Rand
	views         []*pick.Engine
	byView        map[*pick.Engine]*engine
	pollSchedules []pace.Schedule // when to read each engine's report
	policy        policy
}

// newInstance returns an instance and schedules its first reads of the engines' reports at random offsets.
func newInstance(s *sim, number int) *instance {
	inst := &instance{
		sim: s, number: number, rng: rand.New(rand.NewPCG(s.config.Seed, uint64(1000+number))),
		byView: map[*pick.Engine]*engine{}, pollSchedules: make([]pace.Schedule, len(s.engines)),
	}
	for i, eng := range s.engines {
		v := pick.NewEngine(eng.id, cost.NewTable(eng.model.KVCacheTokens))
		inst.views = append(inst.views, v)
		inst.byView[v] = eng
		inst.pollSchedules[i].Phase = decide.Float(inst.rng)
		phase := time.Duration(decide.Float(inst.rng) * float64(reportPollInterval))
		s.clock.After(phase, func() { inst.poll(i) })
	}
	inst.policy = s.config.newPolicy(inst)
	return inst
}

// poll reads the report and cache events of the i-th engine, and schedules the next read.
func (inst *instance) poll(i int) {
	now, eng, view := inst.sim.clock.Now(), inst.sim.engines[i], inst.views[i]
	l := eng.report
	l.AgeMs = now.Sub(eng.reportedAt).Milliseconds()
	view.UpdateReport(pick.NewReport(&l, now))
	if !inst.sim.config.NoCache {
		view.Cache.Apply(eng.cacheEvents(view.Cache.NextSeq()), now)
	}
	inst.policy.processQueues()
	delay := inst.pollSchedules[i].Next(l.Seq, eng.reportedAt, now, reportPollInterval)
	inst.sim.clock.After(delay, func() { inst.poll(i) })
}

// gated is the policy under test, with the daemon's gate and pipeline.
type gated struct {
	instance  *instance
	profile   pick.Profile
	gate      *admit.Gate
	pool      *pick.Pool
	demand    lane.Demand
	sizer     lane.Sizer
	order     []fleet.UpstreamID          // order in which engines become lanes
	lanes     int                         // number of lanes
	requests  map[*admit.Request]*request // submitted and not ended
	decisions []admit.Decision            // buffer that processQueues reuses
	submitted int                         // number of requests, from which their ids come
}

// newGated returns a gated policy for an instance. It sets the number of lanes, which is updated every resizeInterval.
func newGated(inst *instance, profile pick.Profile, pipeline *pick.Pipeline) *gated {
	g := &gated{instance: inst, profile: profile, requests: map[*admit.Request]*request{}}
	g.gate = admit.NewGate(&g.profile, pipeline, queueLength)
	g.sizer = lane.Sizer{Headroom: profile.Headroom, MinLanes: g.minLanes(), MaxShare: profile.MaxLaneShare}
	var upstreams []*fleet.Upstream
	for i, eng := range inst.sim.engines {
		domains := inst.sim.config.Deployment.Domains
		upstreams = append(upstreams, &fleet.Upstream{ID: eng.id, Domain: fleet.DomainID(domains[i%len(domains)])})
	}
	g.order = lane.Order("model", upstreams)
	g.resize()
	return g
}

// minLanes returns the number of engines that hold the longest prompt, or 0 if the profile has no lanes.
func (g *gated) minLanes() int {
	if g.profile.MaxLaneShare == 0 {
		return 0
	}
	return maxPromptTokens/int(g.instance.sim.model().KVCacheTokens) + 1
}

// resize sets the number of lanes by the demand of this instance, as often as the daemon does. It assumes that all
// instances have the same demand.
func (g *gated) resize() {
	now := g.instance.sim.clock.Now()
	fleetDemand := g.demand.BusyEngines(now) * float64(g.instance.sim.config.Instances)
	views, order := g.inService()
	size, _ := g.sizer.Resize(fleetDemand, len(order), now)
	g.lanes = size
	g.pool = pick.NewPool(views, order[:size], g.instance.sim.model().KVCacheTokens)
	g.instance.sim.clock.After(resizeInterval, g.resize)
}

// inService returns the engines that accept new work, and the order in which they become lanes.
func (g *gated) inService() (views []*pick.Engine, order []fleet.UpstreamID) {
	outOfService := map[fleet.UpstreamID]bool{}
	for i, v := range g.instance.views {
		if g.instance.sim.outOfService(i) {
			outOfService[v.ID] = true
			continue
		}
		views = append(views, v)
	}
	for _, id := range g.order {
		if !outOfService[id] {
			order = append(order, id)
		}
	}
	return views, order
}

// view returns the gate's input.
func (g *gated) view() *admit.View {
	return &admit.View{Pool: g.pool, Instances: g.instance.sim.config.Instances, Now: g.instance.sim.clock.Now(), Rand: g.instance.rng}
}

// submit implements policy. The gate dispatches, queues or refuses the request, or reserves memory for it. If the queue
// is full, the gate may instead queue it and refuse another request.
func (g *gated) submit(r *request) {
	g.submitted++
	r.admission = r.newAdmission(g.submitted*100 + g.instance.number)
	r.priority = g.profile.Priority[r.class]
	if r.class.UsesLanes() {
		g.demand.Add(laneEngineSeconds(&r.prompt, r.class, g.instance.sim.model(), r.admission.DecodeTime), g.instance.sim.clock.Now())
	}
	g.requests[r.admission] = r
	view := g.view()
	d, ok := g.gate.TryDispatch(r.admission, view)
	if !ok {
		d = g.gate.Admit(r.admission, view)
	}
	g.apply(d)
}

// apply carries out a decision of the gate.
func (g *gated) apply(d admit.Decision) {
	r := g.requests[d.Request]
	switch d.Verb {
	case admit.Enqueue:
	case admit.Refuse:
		r.refusal = d.Reason
		r.finish(refused)
	case admit.Dispatch:
		r.dispatches = []dispatchRecord{{d.Choice.Engine, int64(d.Choice.Estimate.Cost), r.prompt.MemoryTokens()}}
		r.dispatch(g.instance.byView[d.Choice.Engine], false)
	case admit.Reserve:
		r.reserve(d.Plan.Parts)
	}
}

// reservationResult implements policy. A request whose reservation is granted is dispatched. After a refusal the gate
// decides again.
func (g *gated) reservationResult(r *request, granted bool) {
	plan := pick.Plan{Parts: r.parts}
	d := g.gate.ReservationResult(r.admission, &plan, granted, g.view())
	if !granted {
		r.group, r.parts = nil, nil
		g.apply(d)
		return
	}
	for _, p := range r.parts {
		r.dispatches = append(r.dispatches, dispatchRecord{p.Engine, p.Tokens, p.Tokens})
	}
	if len(r.parts) == 1 {
		r.dispatch(g.instance.byView[r.parts[0].Engine], true)
		return
	}
	r.dispatchGroup()
}

// requestEnded implements policy. It removes the request from the gate, which may free capacity for queued requests.
func (g *gated) requestEnded(r *request) {
	g.gate.Cancel(r.admission.ID)
	delete(g.requests, r.admission)
	g.processQueues()
}

// processQueues implements policy.
func (g *gated) processQueues() {
	if g.gate.QueueLength(cost.Short)+g.gate.QueueLength(cost.Medium)+g.gate.QueueLength(cost.Long) == 0 {
		return
	}
	decisions := g.gate.ProcessQueues(g.view(), g.decisions[:0])
	g.decisions = nil // apply may call processQueues again, which must not reuse the buffer
	for _, d := range decisions {
		g.apply(d)
	}
	g.decisions = decisions
}
