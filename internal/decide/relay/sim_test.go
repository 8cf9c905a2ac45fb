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
	heartbeatTimeout = 400 * time.Millisecond // internal/peer's
	pullTimeout      = time.Second            // internal/peer's
	storeTimeout     = 2 * time.Second        // platform/client's
	interval         = 500 * time.Millisecond
)

// sim drives nodes under virtual time: fixed delays with jitter, lost messages, domains that are cut off,
// a store that lags or is down. It is a driver of the decisions, no model of a network.
type sim struct {
	vtime.Loop
	rand  *rand.Rand
	nodes []*simNode
	byID  map[fleet.InstanceID]*simNode
	loss  float64
	cut   map[fleet.DomainID]bool // cut off from all else, the store too
	list  []fleet.Instance
	store simStore

	heartbeats, pulls, storeCalls int
	signs                         int // carried by heartbeats
	reasons                       map[decide.Reason]int
}

type simNode struct {
	fleet.Instance
	node    *relay.Node
	dead    bool
	paused  decide.Instant // no event is handled before it
	lonely  bool           // cut off from all else
	version uint64         // in force
	history []uint64
	since   decide.Instant // when version came in force
	leaving []relay.LeavingSign
	left    decide.Instant // when a sign was first in force
}

type simStore struct {
	versions []simVersion
	down     bool
	lag      time.Duration // of watches
	stale    int           // reads give the version that many writes ago
}

type simVersion struct {
	config relay.Config
	at     decide.Instant
}

// newSim gives n instances over that many domains in regions, each with the whole instance list.
func newSim(n, domains, regions int, loss float64) *sim {
	return newSeededSim(n, domains, regions, loss, 0)
}

func newSeededSim(n, domains, regions int, loss float64, seed uint64) *sim {
	s := &sim{
		rand: rand.New(rand.NewPCG(uint64(n)+seed<<32, uint64(loss*100))), loss: loss,
		byID: map[fleet.InstanceID]*simNode{}, cut: map[fleet.DomainID]bool{}, reasons: map[decide.Reason]int{},
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

func configOf(version uint64) relay.Config {
	return relay.Config{Version: version, Packed: []byte{byte(version)}}
}

// start begins an instance, in place of one with the same id.
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

// run lets virtual time pass until done holds after an event, at most until the instant; it tells whether
// done held.
func (s *sim) run(until decide.Instant, done func() bool) bool {
	for s.Step(until) {
		if done != nil && done() {
			return true
		}
	}
	return false
}

func (s *sim) tick(x *simNode) {
	if x.dead {
		return
	}
	s.handle(x, func() []relay.Effect { return x.node.Tick(s.Now()) })
	s.After(relay.TickInterval, func() { s.tick(x) })
}

// handle runs an event on a node; one that is paused handles it when it wakes.
func (s *sim) handle(x *simNode, on func() []relay.Effect) {
	switch {
	case x.dead:
	case s.Now().Before(x.paused):
		s.After(x.paused.Sub(s.Now()), func() { s.handle(x, on) })
	default:
		for _, e := range on() {
			s.carryOut(x, e)
		}
	}
}

func (s *sim) carryOut(x *simNode, e relay.Effect) {
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
		x.version, x.since = e.Config.Version, s.Now()
		x.history = append(x.history, e.Config.Version)
	case relay.SetLeaving:
		if len(x.leaving) == 0 && len(e.Signs) > 0 {
			x.left = s.Now()
		}
		x.leaving = e.Signs
	case relay.Event:
		s.reasons[e.Reason]++
	}
}

// delay is one way between two instances.
func (s *sim) delay(a, b fleet.RegionID) time.Duration {
	jitter := time.Duration(s.rand.IntN(int(2 * time.Millisecond)))
	if a != b {
		return 40*time.Millisecond + 20*jitter
	}
	return 300*time.Microsecond + jitter
}

func (s *sim) lost(a, b *simNode) bool {
	return b == nil || b.dead || s.Now().Before(b.paused) || a.lonely || b.lonely ||
		(a.Domain != b.Domain && (s.cut[a.Domain] || s.cut[b.Domain])) || s.rand.Float64() < s.loss
}

// exchange carries a call there and its answer back; either may be lost, which shows by the timeout.
func (s *sim) exchange(a *simNode, to fleet.InstanceID, timeout time.Duration, there func(b *simNode) func() []relay.Effect, failed func() []relay.Effect) {
	b := s.byID[to]
	fail := func(spent time.Duration) {
		s.After(max(0, timeout-spent), func() { s.handle(a, failed) })
	}
	if s.lost(a, b) {
		fail(0)
		return
	}
	one := s.delay(a.Region, b.Region)
	s.After(one, func() {
		if b.dead {
			fail(one)
			return
		}
		back := there(b)
		if s.lost(b, a) {
			fail(one)
			return
		}
		s.After(s.delay(b.Region, a.Region), func() { s.handle(a, back) })
	})
}

func (s *sim) heartbeat(a *simNode, e relay.SendHeartbeat) {
	s.heartbeats++
	s.signs += len(e.Digest.Leaving)
	s.exchange(a, e.To.ID, heartbeatTimeout, func(b *simNode) func() []relay.Effect {
		var answer relay.Digest
		s.handle(b, func() []relay.Effect {
			var effects []relay.Effect
			answer, effects = b.node.HeartbeatReceived(s.Now(), e.Digest)
			s.signs += len(answer.Leaving)
			return effects
		})
		return func() []relay.Effect { return a.node.HeartbeatDone(s.Now(), e, answer, true) }
	}, func() []relay.Effect { return a.node.HeartbeatDone(s.Now(), e, relay.Digest{}, false) })
}

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

func (s *sim) storeGone(x *simNode) bool { return s.store.down || s.cut[x.Domain] || x.lonely }

func (s *sim) read(x *simNode, e relay.ReadStore) {
	s.storeCalls++
	if s.storeGone(x) {
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

// watch looks every 20 ms for a version that the watch shows by now.
func (s *sim) watch(x *simNode, e relay.WatchStore, until decide.Instant) {
	done := func(c relay.Config, a relay.StoreAnswer) {
		s.handle(x, func() []relay.Effect { return x.node.WatchDone(s.Now(), e, c, a) })
	}
	if s.storeGone(x) {
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

// accept writes a version to the store; through tells the instance that wrote it, unless it is nil.
func (s *sim) accept(version uint64, through *simNode) {
	c := configOf(version)
	s.store.versions = append(s.store.versions, simVersion{config: c, at: s.Now()})
	if through != nil {
		s.handle(through, func() []relay.Effect { return through.node.ConfigAccepted(s.Now(), c) })
	}
}

// live gives the instances that run.
func (s *sim) live() []*simNode {
	var out []*simNode
	for _, x := range s.nodes {
		if !x.dead {
			out = append(out, x)
		}
	}
	return out
}

// everywhere tells whether all that run have that version in force.
func (s *sim) everywhere(version uint64) bool {
	for _, x := range s.nodes {
		if !x.dead && x.version < version {
			return false
		}
	}
	return true
}

// sends tells whether the instance would send new work now, if a request ran now.
func (s *sim) sends(x *simNode) bool {
	_, reason := x.node.Guard().Ask(s.Now())
	return !x.dead && reason != pause.Paused && x.node.Ready() && !x.node.TrustedUntil().Before(s.Now())
}
