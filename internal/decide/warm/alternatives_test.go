package warm_test

import (
	"fmt"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/warm"
	"github.com/damaskshelf/damaskshelf/internal/rendezvous"
)

// engineName returns the name of engine u, by which its slots are assigned.
func engineName(u int) string { return fmt.Sprint("engine-", u) }

// localLimitPolicy reproduces the failure that the other policies prevent: each instance applies the full limit on its
// own.
type localLimitPolicy struct {
	sim   *simulation
	inUse map[int]int
}

// newLocalLimitPolicy returns a localLimitPolicy.
func newLocalLimitPolicy(sim *simulation, _ *instance) policy {
	return &localLimitPolicy{sim: sim, inUse: map[int]int{}}
}

func (p *localLimitPolicy) onInstanceList(uint64, []string, decide.Instant) {}
func (p *localLimitPolicy) tick()                                           {}
func (p *localLimitPolicy) release(u int)                                   { p.inUse[u]-- }
func (p *localLimitPolicy) acquire(u int) bool {
	if p.inUse[u] >= p.sim.limit {
		return false
	}
	p.inUse[u]++
	return true
}

// slotPolicy uses warm.Slots. With heartbeats, each tick sends the list's version to one other instance. These messages
// aren't counted, because the fleet sends heartbeats in any case.
type slotPolicy struct {
	sim       *simulation
	self      *instance
	slots     *warm.Slots
	inUse     map[int]int
	heartbeat bool
	version   uint64
	tickCount int
}

// newSlotPolicy returns a slotPolicy with heartbeats.
func newSlotPolicy(sim *simulation, n *instance) policy {
	return &slotPolicy{
		sim: sim, self: n, slots: warm.NewSlots(n.id, sim.params, sim.loop.Now()), inUse: map[int]int{}, heartbeat: true,
	}
}

// newSlotPolicyWithoutHeartbeats returns a slotPolicy without heartbeats.
func newSlotPolicyWithoutHeartbeats(sim *simulation, n *instance) policy {
	p := newSlotPolicy(sim, n).(*slotPolicy)
	p.heartbeat = false
	return p
}

// onInstanceList applies the list to the slots.
func (p *slotPolicy) onInstanceList(version uint64, instanceIDs []string, began decide.Instant) {
	p.version = max(p.version, version)
	p.slots.OnInstanceList(version, instanceIDs, began, p.sim.loop.Now())
}

// tick sends a heartbeat with the version of the list to the next instance in turn.
func (p *slotPolicy) tick() {
	p.tickCount++
	to := p.sim.instances[p.tickCount%len(p.sim.instances)]
	if !p.heartbeat || to == p.self || p.version == 0 {
		return
	}
	version, sent := p.version, p.sim.loop.Now()
	p.sim.loop.After(messageDelay, func() {
		if !to.stopped && !to.paused {
			to.policy.(*slotPolicy).slots.OnPeerVersion(version, sent)
		}
	})
}

func (p *slotPolicy) release(u int) { p.inUse[u]-- }
func (p *slotPolicy) acquire(u int) bool {
	n, _ := p.slots.Share(engineName(u), p.sim.limit, p.sim.loop.Now())
	if p.inUse[u] >= n {
		return false
	}
	p.inUse[u]++
	return true
}

// grantPolicy lets an upstream's owner instance grant each single dispatch for a limited time. A new owner waits for
// the settle time, as it doesn't know the grants of the former one.
type grantPolicy struct {
	sim         *simulation
	self        *instance
	members     []string
	lastTick    decide.Instant           // time of the latest tick
	ownerSince  map[int]decide.Instant   // since when this instance is the owner
	granted     map[int][]decide.Instant // as owner: when each grant expires
	grants      map[int][]decide.Instant // as holder: until when each grant may be used
	requestedAt map[int]decide.Instant   // as holder: when the pending request for a grant was sent
	inUse       map[int]int
}

const grantLifetime = time.Second // longest time from the request for a grant to its dispatch

// newGrantPolicy returns a grantPolicy.
func newGrantPolicy(sim *simulation, n *instance) policy {
	return &grantPolicy{
		sim: sim, self: n, ownerSince: map[int]decide.Instant{}, granted: map[int][]decide.Instant{},
		grants: map[int][]decide.Instant{}, requestedAt: map[int]decide.Instant{}, inUse: map[int]int{},
	}
}

// owner returns the instance that owns engine u by the current list.
func (p *grantPolicy) owner(u int) string { return rendezvous.Owner(engineName(u), p.members) }

// onInstanceList updates the engines that this instance owns.
func (p *grantPolicy) onInstanceList(_ uint64, instanceIDs []string, _ decide.Instant) {
	p.members = instanceIDs
	for u := range p.sim.engines {
		_, wasOwner := p.ownerSince[u]
		switch isOwner := p.owner(u) == p.self.id; {
		case isOwner && !wasOwner:
			p.ownerSince[u] = p.sim.loop.Now()
		case !isOwner:
			delete(p.ownerSince, u)
		}
	}
}

// tick drops the list and all grants if the instance was paused since the last tick.
func (p *grantPolicy) tick() {
	now := p.sim.loop.Now()
	if now.Sub(p.lastTick) > p.sim.params.MaxPause {
		p.members, p.ownerSince = nil, map[int]decide.Instant{}
		p.grants, p.granted = map[int][]decide.Instant{}, map[int][]decide.Instant{}
	}
	p.lastTick = now
}

// acquire uses a valid grant, or requests one from the owner and returns false.
func (p *grantPolicy) acquire(u int) bool {
	now := p.sim.loop.Now()
	for len(p.grants[u]) > 0 {
		expiresAt := p.grants[u][0]
		p.grants[u] = p.grants[u][1:]
		if now <= expiresAt {
			p.inUse[u]++
			return true
		}
	}
	if requestedAt, ok := p.requestedAt[u]; (ok && now.Sub(requestedAt) < grantLifetime) || len(p.members) == 0 {
		return false
	}
	p.requestedAt[u] = now
	p.send(p.owner(u), func(peer *grantPolicy) { peer.handleRequest(u, p, now) })
	return false
}

// send delivers a message to an instance, unless it has stopped or is paused.
func (p *grantPolicy) send(to string, f func(*grantPolicy)) {
	p.sim.messages++
	p.sim.loop.After(messageDelay, func() {
		for _, n := range p.sim.instances {
			if n.id == to && !n.stopped && !n.paused {
				f(n.policy.(*grantPolicy))
			}
		}
	})
}

// handleRequest is the owner's part: it grants a dispatch if the limit allows. A grant counts until its dispatch must
// have ended.
func (p *grantPolicy) handleRequest(u int, from *grantPolicy, sent decide.Instant) {
	p.tick()
	now := p.sim.loop.Now()
	since, owner := p.ownerSince[u]
	if !owner || now.Sub(since) < p.sim.params.SettleTime() {
		return
	}
	var active []decide.Instant
	for _, expiresAt := range p.granted[u] {
		if expiresAt > now {
			active = append(active, expiresAt)
		}
	}
	p.granted[u] = active
	if len(active) >= p.sim.limit {
		return
	}
	p.granted[u] = append(active, now.Add(grantLifetime+p.sim.params.MaxPause+p.sim.params.MaxDispatch))
	p.send(from.self.id, func(peer *grantPolicy) {
		peer.grants[u] = append(peer.grants[u], sent.Add(grantLifetime))
		delete(peer.requestedAt, u)
	})
}

// release ends a dispatch and notifies the owner, which removes one grant.
func (p *grantPolicy) release(u int) {
	p.inUse[u]--
	if len(p.members) == 0 {
		return
	}
	p.send(p.owner(u), func(peer *grantPolicy) {
		if len(peer.granted[u]) > 0 {
			peer.granted[u] = peer.granted[u][1:]
		}
	})
}

// leaseObject holds the leases of one upstream in the object API.
type leaseObject struct {
	version int
	slots   map[string]lease
}

// lease is one instance's lease of slots, with the number of its renewals.
type lease struct{ slots, renewals int }

// leasePolicy lets each instance hold slots through a lease in the upstream's object, which it renews before it
// expires. The other instances count a lease as free once it hasn't been renewed, by their own clocks, for the sum of
// the lease duration, the longest pause and the longest dispatch.
type leasePolicy struct {
	sim         *simulation
	self        *instance
	expiresAt   map[int]decide.Instant
	slots       map[int]int
	nextRenewal map[int]decide.Instant
	observed    map[string]observedLease
	inUse       map[int]int
}

// observedLease is another instance's lease: its number of renewals, and since when that has been the same.
type observedLease struct {
	renewals int
	since    decide.Instant
}

const leaseDuration = 9 * time.Second // a lease is renewed after a third of it

// newLeasePolicy returns a leasePolicy.
func newLeasePolicy(sim *simulation, n *instance) policy {
	return &leasePolicy{
		sim: sim, self: n, expiresAt: map[int]decide.Instant{}, slots: map[int]int{}, nextRenewal: map[int]decide.Instant{},
		observed: map[string]observedLease{}, inUse: map[int]int{},
	}
}

func (p *leasePolicy) onInstanceList(uint64, []string, decide.Instant) {}
func (p *leasePolicy) release(u int)                                   { p.inUse[u]-- }

// acquire uses one of the slots of this instance's lease, unless that has expired.
func (p *leasePolicy) acquire(u int) bool {
	if p.sim.loop.Now() > p.expiresAt[u] || p.inUse[u] >= p.slots[u] {
		return false
	}
	p.inUse[u]++
	return true
}

// tick renews the leases that are due while the store is available, except those of warm engines.
func (p *leasePolicy) tick() {
	now := p.sim.loop.Now()
	for u, e := range p.sim.engines {
		if now < p.nextRenewal[u] || p.sim.storeUnavailable || e.warmAt > 0 {
			continue
		}
		p.nextRenewal[u] = now.Add(leaseDuration / 3)
		p.sim.loop.After(messageDelay, func() { p.renew(u, now) })
	}
}

// renew renews this instance's lease by a read and a conditional write of the upstream's object.
func (p *leasePolicy) renew(u int, began decide.Instant) {
	o := p.sim.store[u]
	if o == nil {
		o = &leaseObject{slots: map[string]lease{}}
		p.sim.store[u] = o
	}
	version, slotsOfOthers := o.version, p.slotsOfOthers(u, o)
	ownLease := o.slots[p.self.id]
	share := max(1, p.sim.limit/len(p.sim.instances))
	if free := p.sim.limit - slotsOfOthers; ownLease.slots == 0 {
		ownLease.slots = min(free, share)
	}
	if ownLease.slots <= 0 {
		return
	}
	ownLease.renewals++
	p.sim.loop.After(2*messageDelay, func() {
		p.sim.writes++
		if o.version != version || p.sim.storeUnavailable {
			p.nextRenewal[u] = p.sim.loop.Now() // retry at the next tick
			return
		}
		o.version++
		o.slots[p.self.id] = ownLease
		p.sim.loop.After(messageDelay, func() { p.slots[u], p.expiresAt[u] = ownLease.slots, began.Add(leaseDuration) })
	})
}

// slotsOfOthers returns the number of slots held by other instances, without those of expired leases.
func (p *leasePolicy) slotsOfOthers(u int, o *leaseObject) int {
	now, n := p.sim.loop.Now(), 0
	for id, l := range o.slots {
		if id == p.self.id {
			continue
		}
		key := fmt.Sprint(u, id)
		if k, ok := p.observed[key]; !ok || k.renewals != l.renewals {
			p.observed[key] = observedLease{renewals: l.renewals, since: now}
		}
		if now.Sub(p.observed[key].since) > leaseDuration+p.sim.params.MaxPause+p.sim.params.MaxDispatch {
			continue
		}
		n += l.slots
	}
	return n
}
