package relay_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/pause"
	"github.com/damaskshelf/damaskshelf/internal/decide/relay"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/vtime"
)

const (
	heartbeatTimeout = 400 * time.Millisecond // as in internal/peer
	pullTimeout      = time.Second            // as in internal/peer
	storeTimeout     = 2 * time.Second        // as in platform/client
	interval         = 500 * time.Millisecond // between heartbeats to one peer
)

// sim drives nodes under virtual time: calls take a fixed delay with jitter, messages are lost, failure domains
// are cut off, the store lags or is unavailable. It is a driver for the decisions, not a model of a network.
type sim struct {
	vtime.Loop
	rand       *rand.Rand
	nodes      []*simNode
	byID       map[fleet.InstanceID]*simNode
	loss       float64
	cutDomains map[fleet.DomainID]bool // cut off from all other failure domains and from the store
	list       []fleet.Instance
	store      simStore

	heartbeats, pulls, storeCalls int
	signsSent                     int // in heartbeats and their replies
	reasons                       map[decide.Reason]int
}

// simNode is one running or stopped instance.
type simNode struct {
	fleet.Instance
	node         *relay.Node
	dead         bool
	pausedUntil  decide.Instant // no event is handled before it
	isolated     bool           // cut off from all other instances and from the store
	version      uint64         // of the configuration in force
	history      []uint64       // versions in the order in which they came into force
	versionSince decide.Instant // when version came into force
	leaving      []relay.LeavingSign
	leavingSince decide.Instant // when the first sign came into force
}

// simStore is the state of the store.
type simStore struct {
	versions []simVersion
	down     bool
	lag      time.Duration // of watches
	stale    int           // how many writes reads lag behind
}

// simVersion is a configuration and when it was accepted by the store, or found reachable by a check.
type simVersion struct {
	config relay.Config
	at     decide.Instant
}

// newSim returns n instances spread over the failure domains, and these over the regions. Each instance has the
// whole instance list.
func newSim(n, domains, regions int, loss float64) *sim {
	return newSeededSim(n, domains, regions, loss, 0)
}

// newSeededSim is newSim with a seed for delays and losses.
func newSeededSim(n, domains, regions int, loss float64, seed uint64) *sim {
	s := &sim{
		rand: rand.New(rand.NewPCG(uint64(n)+seed<<32, uint64(loss*100))), loss: loss,
		byID: map[fleet.InstanceID]*simNode{}, cutDomains: map[fleet.DomainID]bool{}, reasons: map[decide.Reason]int{},
	}
	for i := range n {
		d := i % domains
		s.list = append(s.list, fleet.Instance{
			ID: fleet.InstanceID(fmt.Sprintf("entry-%03d", i)), PeerAddr: fmt.Sprint("addr-", i),
			Domain: fleet.DomainID(fmt.Sprint("domain-", d)), Region: fleet.RegionID(fmt.Sprint("region-", d%regions)),
		})
	}
	s.store.versions = []simVersion{{config: configOf(1)}}
	for _, i := range s.list {
		s.start(i, 1)
	}
	return s
}

// configOf returns a configuration with that version.
func configOf(version uint64) relay.Config {
	return relay.Config{Version: version, Packed: []byte{byte(version)}}
}

// start starts an instance and stops the one with the same id, if any.
func (s *sim) start(i fleet.Instance, incarnation uint64) *simNode {
	if old := s.byID[i.ID]; old != nil {
		old.dead = true
	}
	x := &simNode{Instance: i}
	x.node = relay.NewNode(s.Now(), relay.NewParams(i, incarnation, interval, s.rand))
	s.nodes = append(s.nodes, x)
	s.byID[i.ID] = x
	s.After(time.Duration(s.rand.IntN(int(relay.TickInterval))), func() {
		s.handle(x, func() []relay.Effect { return x.node.UpdateInstances(s.Now(), 1, s.list) })
		s.tick(x)
	})
	return x
}

// run advances virtual time until done holds after an event or until the given instant, and reports whether done
// held.
func (s *sim) run(until decide.Instant, done func() bool) bool {
	for s.Step(until) {
		if done != nil && done() {
			return true
		}
	}
	return false
}

// tick ticks a node now and from then on at TickInterval.
func (s *sim) tick(x *simNode) {
	if x.dead {
		return
	}
	s.handle(x, func() []relay.Effect { return x.node.Tick(s.Now()) })
	s.After(relay.TickInterval, func() { s.tick(x) })
}

// handle passes an event to a node and performs the effects. A paused node handles it when it resumes.
func (s *sim) handle(x *simNode, event func() []relay.Effect) {
	switch {
	case x.dead:
	case s.Now().Before(x.pausedUntil):
		s.After(x.pausedUntil.Sub(s.Now()), func() { s.handle(x, event) })
	default:
		for _, e := range event() {
			s.perform(x, e)
		}
	}
}

// perform carries out an effect of a node.
func (s *sim) perform(x *simNode, e relay.Effect) {
	switch e := e.(type) {
	case relay.SendHeartbeat:
		s.heartbeat(x, e)
	case relay.PullConfig:
		s.pull(x, e)
	case relay.ReadStore:
		s.read(x, e)
	case relay.WatchStore:
		s.storeCalls++
		s.watch(x, e, s.Now().Add(e.Wait))
	case relay.ApplyConfig:
		x.version, x.versionSince = e.Config.Version, s.Now()
		x.history = append(x.history, e.Config.Version)
	case relay.SetLeaving:
		if len(x.leaving) == 0 && len(e.Signs) > 0 {
			x.leavingSince = s.Now()
		}
		x.leaving = e.Signs
	case relay.Event:
		s.reasons[e.Reason]++
	}
}

// delay returns a random one-way delay between two instances.
func (s *sim) delay(a, b fleet.RegionID) time.Duration {
	jitter := time.Duration(s.rand.IntN(int(2 * time.Millisecond)))
	if a != b {
		return 40*time.Millisecond + 20*jitter
	}
	return 300*time.Microsecond + jitter
}

// dropped reports whether a message from a to b gets lost.
func (s *sim) dropped(a, b *simNode) bool {
	return b == nil || b.dead || s.Now().Before(b.pausedUntil) || a.isolated || b.isolated ||
		(a.Domain != b.Domain && (s.cutDomains[a.Domain] || s.cutDomains[b.Domain])) || s.rand.Float64() < s.loss
}

// exchange delivers a call from a to another instance and, later, its response to a. If either message is lost, a
// handles timedOut once the timeout is over.
func (s *sim) exchange(a *simNode, to fleet.InstanceID, timeout time.Duration, deliver func(b *simNode) func() []relay.Effect, timedOut func() []relay.Effect) {
	b := s.byID[to]
	fail := func(elapsed time.Duration) {
		s.After(max(0, timeout-elapsed), func() { s.handle(a, timedOut) })
	}
	if s.dropped(a, b) {
		fail(0)
		return
	}
	latency := s.delay(a.Region, b.Region)
	s.After(latency, func() {
		if b.dead {
			fail(latency)
			return
		}
		respond := deliver(b)
		if s.dropped(b, a) {
			fail(latency)
			return
		}
		s.After(s.delay(b.Region, a.Region), func() { s.handle(a, respond) })
	})
}

// heartbeat exchanges digests between two nodes.
func (s *sim) heartbeat(a *simNode, e relay.SendHeartbeat) {
	s.heartbeats++
	s.signsSent += len(e.Digest.Leaving)
	s.exchange(a, e.To.ID, heartbeatTimeout, func(b *simNode) func() []relay.Effect {
		var answer relay.Digest
		s.handle(b, func() []relay.Effect {
			var effects []relay.Effect
			answer, effects = b.node.HeartbeatReceived(s.Now(), e.Digest)
			s.signsSent += len(answer.Leaving)
			return effects
		})
		return func() []relay.Effect { return a.node.HeartbeatDone(s.Now(), e, answer, true) }
	}, func() []relay.Effect { return a.node.HeartbeatDone(s.Now(), e, relay.Digest{}, false) })
}

// pull returns the configuration of another node if it is above the requested version.
func (s *sim) pull(a *simNode, e relay.PullConfig) {
	s.pulls++
	s.exchange(a, e.From.ID, pullTimeout, func(b *simNode) func() []relay.Effect {
		c := b.node.Config()
		if c.Version <= e.Above {
			c.Packed = nil
		}
		return func() []relay.Effect { return a.node.PullDone(s.Now(), e, c, true) }
	}, func() []relay.Effect { return a.node.PullDone(s.Now(), e, relay.Config{}, false) })
}

// storeUnreachable reports whether an instance cannot reach the store.
func (s *sim) storeUnreachable(x *simNode) bool {
	return s.store.down || s.cutDomains[x.Domain] || x.isolated
}

// read returns the newest version in the store, or an older one while reads are stale.
func (s *sim) read(x *simNode, e relay.ReadStore) {
	s.storeCalls++
	if s.storeUnreachable(x) {
		s.After(storeTimeout, func() {
			s.handle(x, func() []relay.Effect { return x.node.ReadDone(s.Now(), e, relay.Config{}, relay.StoreFailed) })
		})
		return
	}
	s.After(2*time.Millisecond, func() {
		i := len(s.store.versions) - 1 - s.store.stale
		c, a := relay.Config{}, relay.StoreAbsent
		if i >= 0 {
			c, a = s.store.versions[i].config, relay.StoreFound
		}
		s.handle(x, func() []relay.Effect { return x.node.ReadDone(s.Now(), e, c, a) })
	})
}

// watch checks every 20 ms whether the watch shows a newer version by now.
func (s *sim) watch(x *simNode, e relay.WatchStore, until decide.Instant) {
	done := func(c relay.Config, a relay.StoreAnswer) {
		s.handle(x, func() []relay.Effect { return x.node.WatchDone(s.Now(), e, c, a) })
	}
	if s.storeUnreachable(x) {
		s.After(storeTimeout, func() { done(relay.Config{}, relay.StoreFailed) })
		return
	}
	for i := len(s.store.versions) - 1; i >= 0; i-- {
		v := s.store.versions[i]
		if v.config.Version > e.Above && !s.Now().Before(v.at.Add(s.store.lag)) {
			done(v.config, relay.StoreFound)
			return
		}
	}
	if s.Now().Before(until) {
		s.After(20*time.Millisecond, func() { s.watch(x, e, until) })
		return
	}
	done(relay.Config{}, relay.StoreAbsent)
}

// accept writes a version to the store. The writer, unless it is nil, receives the confirmation.
func (s *sim) accept(version uint64, writer *simNode) {
	c := configOf(version)
	s.store.versions = append(s.store.versions, simVersion{config: c, at: s.Now()})
	if writer != nil {
		s.handle(writer, func() []relay.Effect { return writer.node.ConfigAccepted(s.Now(), c) })
	}
}

// running returns the nodes that have not been stopped.
func (s *sim) running() []*simNode {
	var out []*simNode
	for _, x := range s.nodes {
		if !x.dead {
			out = append(out, x)
		}
	}
	return out
}

// inForceEverywhere reports whether all running nodes have at least that version in force.
func (s *sim) inForceEverywhere(version uint64) bool {
	for _, x := range s.nodes {
		if !x.dead && x.version < version {
			return false
		}
	}
	return true
}

// canSend reports whether the instance would send new work for a request that arrives now.
func (s *sim) canSend(x *simNode) bool {
	_, reason := x.node.Guard().Check(s.Now())
	return !x.dead && reason != pause.Paused && x.node.Ready() && !x.node.TrustedUntil().Before(s.Now())
}
