// Package bench measures the routing policy in virtual time. It runs the daemon's decision code against a service-time
// model of engines, with delayed reports, several instances that each see a part of the traffic, and fixed seeds. It
// does not simulate a network: every message takes the same fixed delay, and none is lost.
package bench

import (
	"fmt"
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/pick"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/vtime"
)

// Times of the model.
const (
	messageDelay       = time.Millisecond       // one way, between an instance and an engine
	reportInterval     = 500 * time.Millisecond // between two reports of an engine
	reportPollInterval = 200 * time.Millisecond // between two reads of an engine until its report times are known
	resizeInterval     = time.Second            // between two sizings of the lanes
	reserveTimeout     = time.Second            // of a group's reservation on one engine
	queueLength        = 512                    // the daemon's default
	eventLossPeriod    = 100                    // one in so many cache events is lost
	warmUp             = time.Minute            // left out of all figures
	// outageNoticeTime is how long instances may dispatch to an engine after its domain is taken out of service. They
	// notice it within resizeInterval, and a group may wait for its reservations for reserveTimeout before it is sent.
	outageNoticeTime = 3 * time.Second
)

// Names of the policies. PolicySharedPool is the policy under test without lanes, split prompts and priorities. The
// last two are baselines without a gate.
const (
	PolicyDamaskshelf = "damaskshelf"
	PolicySharedPool  = "shared-pool"
	PolicyLeastLoaded = "least-loaded"
	PolicyRoundRobin  = "round-robin"
)

// Policies lists all policies, the one under test first.
var Policies = []string{PolicyDamaskshelf, PolicySharedPool, PolicyLeastLoaded, PolicyRoundRobin}

// Config is the configuration of one run.
type Config struct {
	Deployment  *Deployment
	Instances   int
	Load        float64       // 1.0: the offered work keeps all engines busy
	Span        time.Duration // length of the run, warm-up included
	Seed        uint64
	Policy      string
	Profile     *pick.Profile // nil: the deployment's profile
	WithoutLong bool          // leave out the long prompts; the others are the same
	NoCache     bool          // instances read no cache events
	Outage      Outage
	Window      Window // arrivals that count; zero: all after the warm-up
}

// Outage is a time in which a failure domain is out of service. Instances send no new work there once they notice it,
// and work in flight continues.
type Outage struct {
	Domain   string // empty: no outage
	From, To time.Duration
}

// Window is a part of a run, by the time since its start.
type Window struct{ From, To time.Duration }

// profile returns the routing profile of the run.
func (c *Config) profile() pick.Profile {
	if c.Profile != nil {
		return *c.Profile
	}
	return pick.ProfileOf(c.Deployment.Profile)
}

// newPolicy returns the configured policy for an instance.
func (c *Config) newPolicy(inst *instance) policy {
	switch c.Policy {
	case PolicyDamaskshelf:
		return newGated(inst, c.profile(), pick.Default())
	case PolicySharedPool:
		p := c.profile()
		p.MaxLaneShare, p.MaxSplitRatio = 0, 0
		clear(p.Priority[:])
		return newGated(inst, p, pick.Default())
	case PolicyLeastLoaded:
		return newDirect(inst, LeastLoaded())
	default:
		return newDirect(inst, RoundRobin())
	}
}

// outOfService reports whether an engine is out of service now. Instances notice it within a second, when they size
// their lanes.
func (s *sim) outOfService(engine int) bool {
	o := s.config.Outage
	if o.Domain == "" {
		return false
	}
	domains := s.config.Deployment.Domains
	now := s.clock.Now().Sub(0)
	return o.Domain == domains[engine%len(domains)] && now >= o.From && now < o.To
}

// recordDispatch counts a dispatch to an engine that was out of service for longer than outageNoticeTime.
func (s *sim) recordDispatch(e *engine) {
	i := slices.Index(s.engines, e)
	if s.outOfService(i) && s.clock.Now().Sub(0) > s.config.Outage.From+outageNoticeTime {
		s.sentOutOfService++
	}
}

// isCounted reports whether a request counts in the figures of a run that ends at end.
func (s *sim) isCounted(r *request, end decide.Instant) bool {
	w, at := s.window(end), r.at.Sub(0)
	return at >= w.From && at < w.To && !end.Before(r.deadline)
}

// window returns the time in which arrivals count.
func (s *sim) window(end decide.Instant) Window {
	if s.config.Window.To == 0 {
		return Window{warmUp, end.Sub(0)}
	}
	return s.config.Window
}

// sim is the state of one run.
type sim struct {
	config           Config
	clock            vtime.Loop
	engines          []*engine
	byID             map[fleet.UpstreamID]*engine
	instances        []*instance
	requests         []*request
	memoryWaits      int // prompts without a reservation that arrived at an engine without enough free memory
	sentOutOfService int // prompts sent to engines that were out of service for longer than outageNoticeTime
}

func (s *sim) model() *EngineModel { return &s.engines[0].model }

// Run simulates a run and returns its figures.
func Run(c Config) *Result {
	w := newWorkload(c.Deployment, DefaultEngine, c.Instances, c.Seed)
	return simulate(c, w.generate(c.Load, c.Span))
}

// simulate runs the given arrivals and returns the figures.
func simulate(c Config, arrivals []arrival) *Result {
	s := newSim(c)
	for i := range arrivals {
		a := &arrivals[i]
		if c.WithoutLong && a.class.UsesLanes() {
			continue
		}
		r := &request{arrival: a, sim: s, instance: s.instances[a.instance]}
		s.requests = append(s.requests, r)
		s.clock.After(a.at.Sub(0), func() { r.instance.policy.submit(r) })
		s.clock.After(a.deadline.Sub(0), r.timeout)
	}
	end := decide.Instant(0).Add(c.Span)
	s.clock.RunUntil(end)
	return s.result(end)
}

// newSim returns a simulation with idle engines and schedules their reports, which are spread over reportInterval.
func newSim(c Config) *sim {
	s := &sim{config: c, byID: map[fleet.UpstreamID]*engine{}}
	for i := range c.Deployment.Engines {
		e := newEngine(fleet.UpstreamID(fmt.Sprintf("engine-%02d", i)), DefaultEngine, &s.clock)
		s.engines = append(s.engines, e)
		s.byID[e.id] = e
		s.clock.After(reportInterval*time.Duration(i)/time.Duration(c.Deployment.Engines), e.publishReport)
	}
	for i := range c.Instances {
		s.instances = append(s.instances, newInstance(s, i))
	}
	return s
}
