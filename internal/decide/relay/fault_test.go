package relay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/pause"
	"github.com/damaskshelf/damaskshelf/internal/decide/relay"
)

// Limits of the guarantees: drainBound from the acceptance of a configuration, leavingBound from the first leaving
// sign.
const (
	drainBound   = 3 * time.Second
	leavingBound = 2 * time.Second
)

// checkNeverReverts checks that each instance's configurations came into force in ascending order.
func checkNeverReverts(t *testing.T, s *sim) {
	t.Helper()
	for _, x := range s.nodes {
		for i := 1; i < len(x.history); i++ {
			if x.history[i] <= x.history[i-1] {
				t.Errorf("%s went from version %d to %d", x.ID, x.history[i-1], x.history[i])
			}
		}
	}
}

// A lagging replica of the store answers a watcher's read with the previous version. A drained failure domain
// would get work again although no operator restored it.
func TestStaleReadDoesNotRevert(t *testing.T) {
	is := is.New(t)
	s := newSim(9, 3, 1, 0)
	s.run(5*second, nil)
	s.accept(2, s.nodes[0])
	is.True(s.run(10*second, func() bool { return s.inForceEverywhere(2) }))
	s.store.stale = 1 // reads return version 1 again
	s.run(40*second, nil)
	is.True(s.inForceEverywhere(2))
	is.True(s.reasons[relay.ConfigStale] > 0) // the stale reads arrived and were dropped
	checkNeverReverts(t, s)
}

// An operator confirms a plan and the command fails: the response to the write is lost, and the writing instance
// stops before it can read the object back. The write took effect, so it must come into force everywhere although
// no instance was notified of it.
func TestEffectiveWriteWithLostAnswerComesInForce(t *testing.T) {
	is := is.New(t)
	s := newSim(9, 3, 1, 0)
	s.store.lag = time.Hour // watches do not show the write either
	s.run(5*second, nil)
	s.nodes[0].dead = true
	s.accept(2, nil)
	is.True(s.run(5*second+decide.Instant(drainBound), func() bool { return s.inForceEverywhere(2) }))
	t.Logf("in force everywhere %v after a write whose instance stopped, with the watch hanging", s.Now().Sub(5*second))
	checkNeverReverts(t, s)
}

// An instance is replaced by one with the same id while a change propagates. The replacement must not bring the
// old version back, and late replies to the earlier incarnation must not count for it.
func TestInstanceReplacedDuringPropagation(t *testing.T) {
	is := is.New(t)
	s := newSim(100, 16, 4, 0.05)
	s.run(5*second, nil)
	s.accept(2, s.nodes[0])
	s.run(5*second+decide.Instant(60*time.Millisecond), nil)
	var replacements []*simNode
	for _, i := range s.list[:40] {
		replacements = append(replacements, s.start(i, 2))
	}
	s.accept(3, s.nodes[50])
	is.True(s.run(15*second, func() bool { return s.inForceEverywhere(3) }))
	s.run(20*second, nil)
	for _, x := range replacements {
		is.True(s.canSend(x)) // ready and trusted
	}
	is.True(s.reasons["peer_restarted"] > 0)
	checkNeverReverts(t, s)
}

// Instances are replaced one after the other during a long outage of the store. Each replacement must obtain the
// highest version from several peers in other failure domains, and serve.
func TestBootstrapFromPeersWhileTheStoreIsDown(t *testing.T) {
	is := is.New(t)
	s := newSim(9, 3, 1, 0)
	s.run(5*second, nil)
	s.accept(2, s.nodes[0])
	s.run(8*second, nil)
	s.store.down = true
	for i, inst := range s.list {
		s.run(decide.Instant(time.Duration(10+10*i)*time.Second), nil)
		s.start(inst, 2)
	}
	s.run(120*second, nil)
	is.Equal(s.reasons[relay.BootstrappedFromPeers], 9)
	for _, x := range s.running() {
		is.Equal(x.version, uint64(2))
		is.True(s.canSend(x))
	}
	checkNeverReverts(t, s)
}

// The whole fleet is replaced at once during an outage of the store, so that no instance has a configuration. No
// instance may become ready, so that requests are refused as not run, and no old version may come into force. Once
// the store is available, all instances apply its highest version.
func TestWholeFleetReplacedDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	s := newSim(9, 3, 1, 0)
	s.run(5*second, nil)
	s.accept(2, s.nodes[0])
	s.run(8*second, nil)
	s.store.down = true
	for _, inst := range s.list {
		s.start(inst, 2)
	}
	s.run(60*second, nil)
	for _, x := range s.running() {
		is.True(!x.node.Ready())
		is.Equal(x.version, uint64(0))
	}
	s.store.down = false
	is.True(s.run(70*second, func() bool { return s.inForceEverywhere(2) }))
	t.Logf("in force everywhere %v after the store became available", s.Now().Sub(60*second))
	s.run(75*second, nil)
	for _, x := range s.running() {
		is.True(s.canSend(x))
	}
	checkNeverReverts(t, s)
}

// A failure domain is cut off from everything while a change is accepted elsewhere, and then reconnected. Its
// instances must stop sending work within the bound, and must have the change before they send again.
func TestPartitionedDomainReturns(t *testing.T) {
	for _, z := range sizes {
		t.Run(fmt.Sprint(z.n), func(t *testing.T) {
			is := is.New(t)
			s := newSim(z.n, z.domains, z.regions, 0.05)
			s.run(4*second, nil)
			s.cutDomains["domain-1"] = true
			s.run(5*second, nil)
			s.accept(2, s.nodes[0])
			s.run(5*second+decide.Instant(drainBound), nil)
			for _, x := range s.nodes {
				is.True(!s.canSend(x) || x.version == 2) // no instance sends work with the old version
				is.Equal(x.version == 1, x.Domain == "domain-1")
			}
			s.run(12*second, nil)
			s.cutDomains["domain-1"] = false
			var isolated []*simNode // the only instances that lack the change
			for _, x := range s.nodes {
				if x.Domain == "domain-1" {
					isolated = append(isolated, x)
				}
			}
			converged := func() bool {
				for _, x := range isolated {
					if s.canSend(x) && x.version < 2 {
						t.Errorf("%s sends work with version %d after it was reconnected", x.ID, x.version)
						return true
					}
				}
				return s.inForceEverywhere(2)
			}
			is.True(s.run(30*second, converged))
			t.Logf("in force everywhere %v after the domain was reconnected", s.Now().Sub(12*second))
			checkNeverReverts(t, s)
		})
	}
}

// fault is a way in which the propagation of a change can be delayed.
type fault struct {
	name   string
	inject func(*sim)
}

// faults lists the faults under which the bounds are checked; the last one is the worst.
var faults = []fault{
	{"none", func(*sim) {}},
	{"the store's watch lags", func(s *sim) { s.store.lag = 10 * time.Second }},
	{"an instance is cut off", func(s *sim) { s.nodes[5].isolated = true }},
	{"a fifth of the messages is lost", func(s *sim) { s.loss = 0.2 }},
	{"the watch lags and a fifth is lost", func(s *sim) { s.loss, s.store.lag = 0.2, 10*time.Second }},
}

// faultsFor returns all faults for small fleets, and only the worst one for the largest, which takes longest to
// simulate.
func faultsFor(z size) []fault {
	if z.n > 100 {
		return faults[len(faults)-1:]
	}
	return faults
}

// A failure domain is drained. An instance that is cut off, or whose watch lags, must not send requests there
// after the guaranteed few seconds.
func TestDrainedDomainGetsNoWorkWithinBound(t *testing.T) {
	for _, z := range sizes {
		for _, h := range faultsFor(z) {
			t.Run(fmt.Sprintf("%d/%s", z.n, h.name), func(t *testing.T) {
				is := is.New(t)
				s := newSim(z.n, z.domains, z.regions, 0)
				s.run(4*second, nil)
				h.inject(s)
				s.accept(2, s.nodes[0]) // an isolated instance was in contact until this moment
				last := s.lastStaleSend(4*second+decide.Instant(drainBound), func(x *simNode) bool { return x.version < 2 })
				t.Logf("last instance that could send there: %v after acceptance", last.Sub(4*second))
				is.True(last.Sub(4*second) < drainBound)
			})
		}
	}
}

// An upstream reports to one instance that it is leaving. The other instances must stop sending work to it within the
// bound.
func TestLeavingUpstreamGetsNoWorkWithinBound(t *testing.T) {
	for _, z := range sizes {
		for _, h := range faultsFor(z) {
			t.Run(fmt.Sprintf("%d/%s", z.n, h.name), func(t *testing.T) {
				is := is.New(t)
				s := newSim(z.n, z.domains, z.regions, 0)
				s.run(4*second, nil)
				h.inject(s)
				x := s.nodes[0]
				s.handle(x, func() []relay.Effect { return x.node.UpstreamLeaving(s.Now(), "engine-1", "boot-1") })
				last := s.lastStaleSend(4*second+decide.Instant(leavingBound), func(x *simNode) bool {
					return !relay.IsLeaving(x.leaving, "engine-1", "boot-1")
				})
				t.Logf("last instance that could send there: %v after the first sign", last.Sub(4*second))
				is.True(last.Sub(4*second) < leavingBound)
			})
		}
	}
}

// lastStaleSend advances time to the bound and returns the last moment at which an instance with a stale state
// could still send new work.
func (s *sim) lastStaleSend(bound decide.Instant, stale func(*simNode) bool) decide.Instant {
	const step = 10 * time.Millisecond
	last := s.Now()
	for ; s.Now() < bound; s.run(s.Now().Add(step), nil) {
		for _, x := range s.nodes {
			if s.canSend(x) && stale(x) {
				last = s.Now()
				break
			}
		}
	}
	for _, x := range s.nodes {
		if s.canSend(x) && stale(x) {
			return bound
		}
	}
	return last
}

// Leaving signs must expire: instances that exchange them could otherwise keep an upstream without work forever. A
// restarted upstream has another boot, to which the sign doesn't apply.
func TestSignsEndEverywhere(t *testing.T) {
	is := is.New(t)
	s := newSim(9, 3, 1, 0.05)
	s.run(5*second, nil)
	x := s.nodes[0]
	s.handle(x, func() []relay.Effect { return x.node.UpstreamLeaving(s.Now(), "engine-1", "boot-1") })
	s.run(10*second, nil)
	for _, x := range s.nodes {
		is.True(relay.IsLeaving(x.leaving, "engine-1", "boot-1"))
		is.True(!relay.IsLeaving(x.leaving, "engine-1", "boot-2"))
	}
	s.run(5*second+decide.Instant(relay.LeavingSignTTL)+5*second, nil)
	for _, x := range s.nodes {
		is.Equal(len(x.leaving), 0)
	}
}

// An upstream takes longer to leave than a sign lasts, and one instance polls it. The sign must not lapse on other
// instances in between, as these would send work to the upstream again for a moment. Known signs must not enlarge
// every heartbeat either.
func TestSignLastsWhileSourceReportsIt(t *testing.T) {
	is := is.New(t)
	s := newSim(9, 3, 1, 0.05)
	s.run(5*second, nil)
	x := s.nodes[0]
	var observe func()
	observe = func() {
		s.handle(x, func() []relay.Effect { return x.node.UpstreamLeaving(s.Now(), "engine-1", "boot-1") })
		s.After(time.Second, observe)
	}
	observe()
	s.run(8*second, nil)
	s.signsSent, s.heartbeats = 0, 0
	s.run(8*second+3*decide.Instant(relay.LeavingSignTTL), func() bool {
		for _, x := range s.nodes {
			if !relay.IsLeaving(x.leaving, "engine-1", "boot-1") {
				t.Errorf("%s: the sign lapsed at %v", x.ID, s.Now())
				return true
			}
		}
		return false
	})
	t.Logf("%d signs in %d heartbeats", s.signsSent, s.heartbeats)
	is.True(s.signsSent*50 < s.heartbeats)
}

// An instance is paused, for a minute or only slightly longer than the pause threshold, while a failure domain is
// drained. When it resumes, it must not send a request that it accepted earlier to that domain. It must first
// complete an exchange with a peer.
func TestPausedInstanceAwaitsExchange(t *testing.T) {
	for _, gap := range []time.Duration{1150 * time.Millisecond, time.Minute} {
		t.Run(gap.String(), func(t *testing.T) {
			for i := range 8 {
				checkPausedInstance(t, i+1, gap)
			}
		})
	}
}

// checkPausedInstance pauses the i-th instance for that long and checks what it sends after it resumes.
func checkPausedInstance(t *testing.T, i int, gap time.Duration) {
	is := is.New(t)
	s := newSim(9, 3, 1, 0)
	s.run(10*second, nil)
	x, resumesAt := s.nodes[i], (10 * second).Add(gap)
	x.pausedUntil = resumesAt
	s.accept(2, s.nodes[0])
	s.run(resumesAt-1, nil) // the next event is its first one after the pause
	is.Equal(x.version, uint64(1))
	_, reason := x.node.Guard().Check(s.Now())
	is.Equal(reason, pause.Paused) // detected before any event of its own
	resumed := s.run(resumesAt.Add(time.Second), func() bool {
		if s.canSend(x) && x.version < 2 {
			t.Error("sends work with the old version after its pause")
		}
		return s.canSend(x)
	})
	is.True(resumed)
	t.Logf("sends work again %v after it resumed", s.Now().Sub(resumesAt))
	is.Equal(x.version, uint64(2))
	is.True(s.reasons[pause.Paused] > 0)
}

// A long outage of the store alone must not stop service: instances that exchange heartbeats go on.
func TestStoreOutageDoesNotStopService(t *testing.T) {
	s := newSim(9, 3, 1, 0.05)
	s.run(10*second, nil)
	s.store.down = true
	s.run(11*second, nil)
	s.run(600*second, func() bool {
		for _, x := range s.nodes {
			if !s.canSend(x) {
				t.Errorf("%s stopped at %v", x.ID, s.Now())
				return true
			}
		}
		return false
	})
}

// During an outage of the store the network fails everywhere for several seconds and every instance stops sending.
// Afterwards no instance is trusted, so none can restore the trust of another in the usual way. Service must still
// resume, except on an instance that remains isolated.
func TestFleetWideLossDuringStoreOutage(t *testing.T) {
	for _, z := range sizes[:3] {
		t.Run(fmt.Sprint(z.n), func(t *testing.T) {
			is := is.New(t)
			s := newSim(z.n, z.domains, z.regions, 0.05)
			s.run(5*second, nil)
			s.store.down = true
			s.run(8*second, nil)
			for _, x := range s.nodes {
				x.isolated = true
			}
			s.run(13*second, nil)
			for _, x := range s.nodes {
				is.True(!s.canSend(x))
				x.isolated = x == s.nodes[1]
			}
			all := func() bool {
				n := 0
				for _, x := range s.nodes {
					if s.canSend(x) {
						n++
					}
				}
				return n == z.n-1
			}
			is.True(s.run(23*second, all))
			t.Logf("all but the isolated instance send again %v after the network recovered", s.Now().Sub(13*second))
			s.run(60*second, nil)
			is.True(!s.canSend(s.nodes[1]))
		})
	}
}

// Regression bound: store calls for the configuration, per minute in all and per instance.
func TestCallsToTheStore(t *testing.T) {
	for _, z := range sizes {
		is := is.New(t)
		s := newSim(z.n, z.domains, z.regions, 0)
		s.run(4*second, nil)
		s.storeCalls = 0
		s.run(14*second, nil)
		s.storeCalls *= 6
		perInstance := float64(s.storeCalls) / float64(z.n)
		t.Logf("%d instances: %d calls a minute, %.1f an instance", z.n, s.storeCalls, perInstance)
		is.True(s.storeCalls <= 80*min(z.n, 2*z.domains)) // only the watchers call
	}
}
