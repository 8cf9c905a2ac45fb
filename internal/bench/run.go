// Package bench measures the routing policy under virtual time: the real decisions, driven through the
// types that the daemon uses, against a service-time model of engines, with lagging reports, several
// entries that each see a part, and fixed seeds. It is no network simulator: every message takes one fixed
// delay and none is lost.
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
	messageDelay  = time.Millisecond       // one way, entry to engine
	reportRenewal = 500 * time.Millisecond // between two reports of an engine
	reportPoll    = 200 * time.Millisecond // between an entry's two reads of an engine whose renewals it does not know yet
	resizeEvery   = time.Second
	reserveWait   = time.Second // of a group for one engine's memory
	queueLength   = 512         // the daemon's default
	lostEvery     = 100         // one cache event in so many is lost
	warmUp        = time.Minute // left out of all figures
	// heardIn is how long after its domain is taken out an engine may still be sent to: entries hear of it
	// within resizeEvery, and a group may have held its memory for reserveWait before it is sent.
	heardIn = 3 * time.Second
)

// Names of the policies.
const (
	PolicyDamaskshelf = "damaskshelf"
	PolicySharedPool  = "shared-pool"
	PolicyLeastLoaded = "least-loaded"
	PolicyRoundRobin  = "round-robin"
)

// Policies lists all of them, the one under test first.
var Policies = []string{PolicyDamaskshelf, PolicySharedPool, PolicyLeastLoaded, PolicyRoundRobin}

// Config is one run.
type Config struct {
	Deployment  *Deployment
	Instances   int
	Load        float64       // 1.0: the offered work keeps all engines busy
	Span        time.Duration // of arrivals, warm-up included
	Seed        uint64
	Policy      string
	Profile     *pick.Profile // nil: the deployment's
	WithoutLong bool          // the same short prompts alone
	NoCache     bool          // entries learn nothing of prefixes
	Outage      Outage
	Window      Window // of arrivals that count; zero: all after the warm-up
}

// Outage takes a failure domain out of service for a while: entries send nothing new there from the
// moment that they hear of it, and work under way goes on.
type Outage struct {
	Domain   string // empty: none
	From, To time.Duration
}

// Window is a part of a run.
type Window struct{ From, To time.Duration }

func (c *Config) profile() pick.Profile {
	if c.Profile != nil {
		return *c.Profile
	}
	return pick.ProfileOf(c.Deployment.Profile)
}

func (c *Config) policy(e *entry) policy {
	switch c.Policy {
	case PolicyDamaskshelf:
		return newGated(e, c.profile(), pick.Default())
	case PolicySharedPool:
		p := c.profile()
		p.MaxLaneShare, p.MaxSplitRatio = 0, 0
		clear(p.Priority[:])
		return newGated(e, p, pick.Default())
	case PolicyLeastLoaded:
		return newDirect(e, LeastLoaded())
	default:
		return newDirect(e, RoundRobin())
	}
}

// out tells whether an engine is out of service, as entries know by now: they hear of it within a second.
func (s *sim) out(engine int) bool {
	o := s.config.Outage
	if o.Domain == "" {
		return false
	}
	domains := s.config.Deployment.Domains
	now := s.clock.Now().Sub(0)
	return o.Domain == domains[engine%len(domains)] && now >= o.From && now < o.To
}

// sent notes that an entry sends a prompt to the engine.
func (s *sim) sent(e *engine) {
	i := slices.Index(s.engines, e)
	if s.out(i) && s.clock.Now().Sub(0) > s.config.Outage.From+heardIn {
		s.strays++
	}
}

// counts tells whether a request belongs to the figures.
func (s *sim) counts(r *request, end decide.Instant) bool {
	w, at := s.window(end), r.at.Sub(0)
	return at >= w.From && at < w.To && !end.Before(r.deadline)
}

func (s *sim) window(end decide.Instant) Window {
	if s.config.Window.To == 0 {
		return Window{warmUp, end.Sub(0)}
	}
	return s.config.Window
}

// sim is one run under way.
type sim struct {
	config      Config
	clock       vtime.Loop
	engines     []*engine
	byID        map[fleet.UpstreamID]*engine
	entries     []*entry
	requests    []*request
	memoryWaits int // unreserved prompts that found no memory at their engine
	strays      int // prompts sent to an engine that had been out of service for longer than heardIn
}

func (s *sim) model() *EngineModel { return &s.engines[0].model }

// Run carries a run out and gives its figures.
func Run(c Config) *Result {
	w := newWorkload(c.Deployment, DefaultEngine, c.Instances, c.Seed)
	return simulate(c, w.make(c.Load, c.Span))
}

func simulate(c Config, arrivals []arrival) *Result {
	s := newSim(c)
	for i := range arrivals {
		a := &arrivals[i]
		if c.WithoutLong && a.class.UsesLanes() {
			continue
		}
		r := &request{arrival: a, sim: s, entry: s.entries[a.entry]}
		s.requests = append(s.requests, r)
		s.clock.After(a.at.Sub(0), func() { r.entry.policy.offer(r) })
		s.clock.After(a.deadline.Sub(0), r.timeout)
	}
	end := decide.Instant(0).Add(c.Span)
	s.clock.RunUntil(end)
	return s.result(end)
}

func newSim(c Config) *sim {
	s := &sim{config: c, byID: map[fleet.UpstreamID]*engine{}}
	for i := range c.Deployment.Engines {
		e := newEngine(fleet.UpstreamID(fmt.Sprintf("engine-%02d", i)), DefaultEngine, &s.clock)
		s.engines = append(s.engines, e)
		s.byID[e.id] = e
		s.clock.After(reportRenewal*time.Duration(i)/time.Duration(c.Deployment.Engines), e.renew)
	}
	for i := range c.Instances {
		s.entries = append(s.entries, newEntry(s, i))
	}
	return s
}
