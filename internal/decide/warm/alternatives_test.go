package warm_test

import (
	"fmt"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/warm"
	"github.com/damaskshelf/damaskshelf/internal/rendezvous"
)

func engineName(u int) string { return fmt.Sprint("engine-", u) }

// ownLimit is the failure itself: each instance keeps the limit by itself.
type ownLimit struct {
	w     *world
	inUse map[int]int
}

func newOwnLimit(w *world, _ *instance) policy { return &ownLimit{w: w, inUse: map[int]int{}} }

func (p *ownLimit) onList(uint64, []string, decide.Instant) {}
func (p *ownLimit) tick()                                   {}
func (p *ownLimit) done(u int)                              { p.inUse[u]-- }
func (p *ownLimit) allow(u int) bool {
	if p.inUse[u] >= p.w.limit {
		return false
	}
	p.inUse[u]++
	return true
}

// slotPolicy drives the real Slots. With heartbeats each tick tells one other instance the list's version;
// those messages are the fleet's heartbeats, which are sent anyway, and are not counted.
type slotPolicy struct {
	w         *world
	self      *instance
	s         *warm.Slots
	inUse     map[int]int
	heartbeat bool
	version   uint64
	turn      int
}

func newSlotPolicy(w *world, n *instance) policy {
	return &slotPolicy{
		w: w, self: n, s: warm.NewSlots(n.id, w.params, w.loop.Now()), inUse: map[int]int{}, heartbeat: true,
	}
}

// newLonelySlots is newSlotPolicy without heartbeats.
func newLonelySlots(w *world, n *instance) policy {
	p := newSlotPolicy(w, n).(*slotPolicy)
	p.heartbeat = false
	return p
}

func (p *slotPolicy) onList(version uint64, live []string, began decide.Instant) {
	p.version = max(p.version, version)
	p.s.OnInstanceList(version, live, began, p.w.loop.Now())
}

func (p *slotPolicy) tick() {
	p.turn++
	to := p.w.instances[p.turn%len(p.w.instances)]
	if !p.heartbeat || to == p.self || p.version == 0 {
		return
	}
	version, sent := p.version, p.w.loop.Now()
	p.w.loop.After(hop, func() {
		if !to.dead && !to.paused {
			to.p.(*slotPolicy).s.OnPeerVersion(version, sent)
		}
	})
}

func (p *slotPolicy) done(u int) { p.inUse[u]-- }
func (p *slotPolicy) allow(u int) bool {
	n, _ := p.s.Share(engineName(u), p.w.limit, p.w.loop.Now())
	if p.inUse[u] >= n {
		return false
	}
	p.inUse[u]++
	return true
}

// grantPolicy: an upstream's home instance gives out each right to dispatch, for a bounded time. A new
// home waits the settle time, as it doesn't know what the former one gave.
type grantPolicy struct {
	w       *world
	self    *instance
	members []string
	seen    decide.Instant           // the latest tick
	homeFor map[int]decide.Instant   // since when this instance is home
	given   map[int][]decide.Instant // as home: when each right runs out
	have    map[int][]decide.Instant // as holder: until when each right may be used
	asked   map[int]decide.Instant   // as holder: a request is on its way since
	inUse   map[int]int
}

const grantLife = time.Second // from grant to dispatch

func newGrantPolicy(w *world, n *instance) policy {
	return &grantPolicy{
		w: w, self: n, homeFor: map[int]decide.Instant{}, given: map[int][]decide.Instant{},
		have: map[int][]decide.Instant{}, asked: map[int]decide.Instant{}, inUse: map[int]int{},
	}
}

func (p *grantPolicy) home(u int) string { return rendezvous.Owner(engineName(u), p.members) }

func (p *grantPolicy) onList(_ uint64, live []string, _ decide.Instant) {
	p.members = live
	for u := range p.w.engines {
		_, was := p.homeFor[u]
		switch is := p.home(u) == p.self.id; {
		case is && !was:
			p.homeFor[u] = p.w.loop.Now()
		case !is:
			delete(p.homeFor, u)
		}
	}
}

func (p *grantPolicy) tick() {
	now := p.w.loop.Now()
	if now.Sub(p.seen) > p.w.params.MaxPause {
		p.members, p.homeFor = nil, map[int]decide.Instant{}
		p.have, p.given = map[int][]decide.Instant{}, map[int][]decide.Instant{}
	}
	p.seen = now
}

func (p *grantPolicy) allow(u int) bool {
	now := p.w.loop.Now()
	for len(p.have[u]) > 0 {
		until := p.have[u][0]
		p.have[u] = p.have[u][1:]
		if now <= until {
			p.inUse[u]++
			return true
		}
	}
	if asked, ok := p.asked[u]; (ok && now.Sub(asked) < grantLife) || len(p.members) == 0 {
		return false
	}
	p.asked[u] = now
	p.send(p.home(u), func(h *grantPolicy) { h.request(u, p, now) })
	return false
}

// send delivers a message to an instance that runs.
func (p *grantPolicy) send(to string, f func(*grantPolicy)) {
	p.w.messages++
	p.w.loop.After(hop, func() {
		for _, n := range p.w.instances {
			if n.id == to && !n.dead && !n.paused {
				f(n.p.(*grantPolicy))
			}
		}
	})
}

// request is the home's part. A right counts until its dispatch must be over.
func (p *grantPolicy) request(u int, from *grantPolicy, sent decide.Instant) {
	p.tick()
	now := p.w.loop.Now()
	since, home := p.homeFor[u]
	if !home || now.Sub(since) < p.w.params.SettleTime() {
		return
	}
	var open []decide.Instant
	for _, until := range p.given[u] {
		if until > now {
			open = append(open, until)
		}
	}
	p.given[u] = open
	if len(open) >= p.w.limit {
		return
	}
	p.given[u] = append(open, now.Add(grantLife+p.w.params.MaxPause+p.w.params.MaxDispatch))
	p.send(from.self.id, func(h *grantPolicy) {
		h.have[u] = append(h.have[u], sent.Add(grantLife))
		delete(h.asked, u)
	})
}

func (p *grantPolicy) done(u int) {
	p.inUse[u]--
	if len(p.members) == 0 {
		return
	}
	p.send(p.home(u), func(h *grantPolicy) {
		if len(h.given[u]) > 0 {
			h.given[u] = h.given[u][1:]
		}
	})
}

// leaseObject is one upstream's leases in the object API.
type leaseObject struct {
	version int
	slots   map[string]lease
}

type lease struct{ slots, renewed int }

// leasePolicy: each instance holds slots by a lease in the upstream's object, renewed while it lasts.
// Others take them when it was not renewed for the lease time and the longest work, by their own clocks.
type leasePolicy struct {
	w     *world
	self  *instance
	until map[int]decide.Instant
	slots map[int]int
	next  map[int]decide.Instant
	known map[string]watched
	inUse map[int]int
}

type watched struct {
	renewed int
	since   decide.Instant
}

const leaseTime = 9 * time.Second

func newLeasePolicy(w *world, n *instance) policy {
	return &leasePolicy{
		w: w, self: n, until: map[int]decide.Instant{}, slots: map[int]int{}, next: map[int]decide.Instant{},
		known: map[string]watched{}, inUse: map[int]int{},
	}
}

func (p *leasePolicy) onList(uint64, []string, decide.Instant) {}
func (p *leasePolicy) done(u int)                              { p.inUse[u]-- }

func (p *leasePolicy) allow(u int) bool {
	if p.w.loop.Now() > p.until[u] || p.inUse[u] >= p.slots[u] {
		return false
	}
	p.inUse[u]++
	return true
}

func (p *leasePolicy) tick() {
	now := p.w.loop.Now()
	for u, e := range p.w.engines {
		if now < p.next[u] || p.w.storeDown || e.warmAt > 0 {
			continue
		}
		p.next[u] = now.Add(leaseTime / 3)
		p.w.loop.After(hop, func() { p.renew(u, now) })
	}
}

// renew is a read and a conditional write of the upstream's object.
func (p *leasePolicy) renew(u int, began decide.Instant) {
	o := p.w.store[u]
	if o == nil {
		o = &leaseObject{slots: map[string]lease{}}
		p.w.store[u] = o
	}
	version, taken := o.version, p.taken(u, o)
	mine := o.slots[p.self.id]
	share := max(1, p.w.limit/len(p.w.instances))
	if free := p.w.limit - taken; mine.slots == 0 {
		mine.slots = min(free, share)
	}
	if mine.slots <= 0 {
		return
	}
	mine.renewed++
	p.w.loop.After(2*hop, func() {
		p.w.writes++
		if o.version != version || p.w.storeDown {
			p.next[u] = p.w.loop.Now() // again at the next tick
			return
		}
		o.version++
		o.slots[p.self.id] = mine
		p.w.loop.After(hop, func() { p.slots[u], p.until[u] = mine.slots, began.Add(leaseTime) })
	})
}

// taken counts the others' slots, without those whose holder did not renew for too long.
func (p *leasePolicy) taken(u int, o *leaseObject) int {
	now, n := p.w.loop.Now(), 0
	for id, l := range o.slots {
		if id == p.self.id {
			continue
		}
		key := fmt.Sprint(u, id)
		if k, ok := p.known[key]; !ok || k.renewed != l.renewed {
			p.known[key] = watched{renewed: l.renewed, since: now}
		}
		if now.Sub(p.known[key].since) > leaseTime+p.w.params.MaxPause+p.w.params.MaxDispatch {
			continue
		}
		n += l.slots
	}
	return n
}
