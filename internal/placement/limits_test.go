package placement

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/gateway"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
)

// Bounds on an upstream that advertises a limit: from limitEffectiveAfter on, it receives in any limitWindow at most
// one and a half times its limit, plus limitSlack requests.
const (
	limitEffectiveAfter = 3 * time.Second
	limitWindow         = 4 * time.Second
	limitSlack          = 5
)

// limitedFleet simulates instances and their dispatchers in virtual time, with two upstreams, one of which advertises
// a limit for a while.
type limitedFleet struct {
	rate       float64 // limit of the upstream "needy", in requests a second
	total      float64 // load of all callers, in requests a second
	sendsLimit atomic.Bool
	snapshot   atomic.Pointer[catalog.Snapshot]

	mu        sync.Mutex
	rand      *rand.Rand         // guarded by mu
	instances []*limitedInstance // guarded by mu
	arrived   []time.Time        // guarded by mu: arrival times at "needy"
}

// limitedInstance is an instance with its table of limits and its hub as a dispatcher.
type limitedInstance struct {
	fleet      *limitedFleet
	id         fleet.InstanceID
	hub        *hub
	limits     *limitTable
	local      *LocalPlacer
	dead       atomic.Bool
	dispatcher atomic.Pointer[hub] // nil: none
}

// newLimitedFleet returns n instances that are members, with the given limit and load in requests a second.
func newLimitedFleet(n int, rate, total float64, seed uint64) *limitedFleet {
	f := &limitedFleet{rate: rate, total: total, rand: rand.New(rand.NewPCG(seed, 1))}
	for i := range n {
		f.instances = append(f.instances, f.newInstance(i, f.snapshot.Load))
	}
	f.setMembers(n)
	return f
}

// setMembers sets the number of members that all instances know.
func (f *limitedFleet) setMembers(members int) { f.snapshot.Store(limitedSnapshot(members)) }

// limitedSnapshot returns a snapshot with that many members and the upstreams "needy" and "sound".
func limitedSnapshot(members int) *catalog.Snapshot {
	all := make([]*catalog.Member, members)
	for i := range all {
		all[i] = &catalog.Member{ID: fleet.InstanceID(fmt.Sprint("i", i)), CPUShare: 1, Domain: "d"}
	}
	upstreams := []*catalog.Upstream{
		{ID: "needy", Service: "s", Domain: "d", Slots: 16, StartTime: 1}, {ID: "sound", Service: "s", Domain: "d", Slots: 400, StartTime: 1},
	}
	return catalog.NewSnapshot(&catalog.Config{}, upstreams, nil, all, 1)
}

// newInstance returns the instance with number i, which knows the members of the snapshot.
func (f *limitedFleet) newInstance(i int, snapshot func() *catalog.Snapshot) *limitedInstance {
	log := hclog.NewNullLogger()
	w := newTestFollower()
	n := &limitedInstance{fleet: f, id: fleet.InstanceID(fmt.Sprint("i", i)), hub: newHub("self", w, log), limits: newLimitTable(log)}
	n.hub.snapshot = snapshot
	n.local = NewLocalPlacer(snapshot, n.limits.isLimited)
	return n
}

// randomDuration returns a random duration from 0 to below most.
func (f *limitedFleet) randomDuration(most time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.rand.Int64N(int64(most)))
}

// delayMessage waits for a message's random transit time, so that messages overtake each other.
func (f *limitedFleet) delayMessage() {
	time.Sleep(time.Millisecond + f.randomDuration(7*time.Millisecond))
}

// sendToDispatcher delivers a message to the current dispatcher, if there is one, after a random delay.
func (n *limitedInstance) sendToDispatcher(m *pb.FromEntry) {
	if h := n.dispatcher.Load(); h != nil {
		go func() {
			n.fleet.delayMessage()
			h.receive(n.id, n, m)
		}()
	}
}

// send implements sink.
func (n *limitedInstance) send(m *pb.ToEntry) {
	go func() {
		n.fleet.delayMessage()
		for _, l := range m.Limits {
			n.limits.record(n.limits.decode(l))
		}
		for _, p := range m.Places {
			go n.request(p.Id, fleet.UpstreamID(p.Upstream))
		}
	}()
}

// follow moves the instance to another dispatcher. The previous dispatcher detaches it after a random delay.
func (n *limitedInstance) follow(h *hub) {
	before := n.dispatcher.Swap(h)
	if before != nil {
		go func() {
			time.Sleep(n.fleet.randomDuration(sessionTimeout))
			before.detach(n.id, n, causeReplaced)
		}()
	}
	h.attach(n.id, n, &pb.FromEntry{Entry: string(n.id), Domain: "d", Limits: n.limits.messages(n.fleet.snapshot.Load())})
}

// ask simulates a caller's request.
func (n *limitedInstance) ask(id string) {
	if n.dispatcher.Load() != nil {
		n.sendToDispatcher(&pb.FromEntry{Asks: []*pb.Ask{{Id: id, Service: "s", PatienceMs: 2500, DeadlineMs: 2500}}})
		return
	}
	if g, err := n.local.Place(context.Background(), gateway.PlacementRequest{Service: "s"}); err == nil {
		n.request(id, g.Upstream().ID)
		g.Release(gateway.Served, "")
	}
}

// request sends a request to an upstream and processes the answer.
func (n *limitedInstance) request(id string, to fleet.UpstreamID) {
	if n.dead.Load() {
		return
	}
	sent := time.Now()
	n.fleet.delayMessage()
	if to == "needy" {
		n.fleet.mu.Lock()
		n.fleet.arrived = append(n.fleet.arrived, time.Now())
		n.fleet.mu.Unlock()
	}
	time.Sleep(5 * time.Millisecond)
	a := gateway.Answer{Sealed: true}
	if to == "needy" && n.fleet.sendsLimit.Load() {
		a.HasLimit, a.Limit = true, n.fleet.rate
	}
	n.fleet.delayMessage()
	if limit := n.limits.recordAnswer(n.fleet.snapshot.Load().Upstream(to), a, sent, n.id); limit != nil {
		n.sendToDispatcher(&pb.FromEntry{Limits: []*pb.Limit{limit}})
	}
	n.sendToDispatcher(&pb.FromEntry{Ended: []*pb.Ended{{Id: id, How: pb.Ended_WHOLE}}})
}

// live returns the live instances in dispatcher order.
func (f *limitedFleet) live() []*limitedInstance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.instances), func(n *limitedInstance) bool { return n.dead.Load() })
}

// start makes every instance serve callers, and the first one dispatch, until ctx ends.
func (f *limitedFleet) start(ctx context.Context) {
	for _, n := range f.live() {
		go n.hub.run(ctx, func() {})
		n.follow(f.instances[0].hub)
	}
	go func() {
		for i := 0; ctx.Err() == nil; i++ {
			time.Sleep(f.randomDuration(time.Duration(2 * float64(time.Second) / f.total)))
			all := f.live()
			go all[int(f.randomDuration(time.Duration(len(all))))].ask(fmt.Sprint("r", i))
		}
	}()
}

// drain ends the load, and waits until no request is in flight.
func (f *limitedFleet) drain(cancel context.CancelFunc) {
	cancel()
	time.Sleep(10 * time.Second)
}

// stopDispatcher stops the dispatcher. The other instances detect that within sessionTimeout, each at another time.
func (f *limitedFleet) stopDispatcher() {
	all := f.live()
	if len(all) < 3 {
		return
	}
	gone := all[0]
	gone.dead.Store(true)
	for _, n := range all[1:] {
		if n.dispatcher.Load() == gone.hub {
			go func() {
				time.Sleep(sessionTimeout/2 + f.randomDuration(sessionTimeout/2))
				n.dispatcher.Store(nil)
				time.Sleep(f.randomDuration(50 * time.Millisecond))
				n.follow(all[1].hub)
			}()
		}
	}
}

// partition makes some instances follow another dispatcher for a while, as if they could not reach the first one.
func (f *limitedFleet) partition(share float64, long time.Duration) {
	all := f.live()
	if len(all) < 3 {
		return
	}
	isolated := all[len(all)-max(1, int(share*float64(len(all)))):]
	for _, n := range isolated {
		go func() {
			time.Sleep(f.randomDuration(sessionTimeout))
			n.follow(isolated[0].hub)
			time.Sleep(long)
			if first := f.live()[0]; !n.dead.Load() {
				n.follow(first.hub)
			}
		}()
	}
}

// join adds an instance. It knows the other members at once and dispatches for itself at first; the others know it
// about a second later.
func (f *limitedFleet) join(ctx context.Context) {
	f.mu.Lock()
	members := len(f.instances) + 1
	f.mu.Unlock()
	n := f.newInstance(members-1, func() *catalog.Snapshot { return limitedSnapshot(members) })
	go n.hub.run(ctx, func() {})
	n.follow(n.hub)
	f.mu.Lock()
	f.instances = append(f.instances, n)
	f.mu.Unlock()
	time.Sleep(f.randomDuration(time.Second))
	n.follow(f.live()[0].hub)
	time.Sleep(f.randomDuration(time.Second))
	f.setMembers(members)
}

// maxArrivals returns the largest number of arrivals in any window that begins between two times.
func (f *limitedFleet) maxArrivals(from, to time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	worst := 0
	for i, first := range f.arrived {
		if first.Before(from) || first.After(to) {
			continue
		}
		n := 0
		for _, at := range f.arrived[i:] {
			if at.Sub(first) < limitWindow && !at.After(to) {
				n++
			}
		}
		worst = max(worst, n)
	}
	return worst
}

// allowedArrivals returns the largest number of arrivals allowed in a limitWindow.
func (f *limitedFleet) allowedArrivals() float64 {
	return 1.5*f.rate*limitWindow.Seconds() + limitSlack
}

// maxEventMs is the longest pause between two events, and the longest time with two dispatchers, in ms.
const maxEventMs = 5000

// Guards against the sum over all instances exceeding an upstream's limit while dispatchers stop, instances follow
// two dispatchers, or others join.
func TestUpstreamLimitHoldsAcrossDispatcherChanges(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.SampledFrom([]int{7, 76, 195}).Draw(r, "instances")
		rate := math.Exp(rapid.Float64Range(math.Log(0.2), math.Log(50)).Draw(r, "requests a second"))
		seed := rapid.Uint64().Draw(r, "seed")
		events := rapid.SliceOfN(rapid.IntRange(0, 2), 0, 5).Draw(r, "events")
		pauses := rapid.SliceOfN(rapid.IntRange(0, maxEventMs), 5, 5).Draw(r, "pauses in ms")
		var got int
		var allowed float64
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			f := newLimitedFleet(n, rate, 5*rate+20, seed)
			f.start(ctx)
			time.Sleep(time.Second)
			f.sendsLimit.Store(true)
			from := time.Now().Add(limitEffectiveAfter)
			for i, e := range events {
				pause := time.Duration(pauses[i]) * time.Millisecond
				time.Sleep(pause)
				switch e {
				case 0:
					f.stopDispatcher()
				case 1:
					f.partition(0.1+0.8*float64(pauses[i])/maxEventMs, pause)
				case 2:
					go f.join(ctx)
				}
			}
			time.Sleep(time.Until(from.Add(2 * limitWindow)))
			f.drain(cancel)
			got, allowed = f.maxArrivals(from, time.Now()), f.allowedArrivals()
		})
		if float64(got) > allowed {
			r.Fatalf("%d requests in %s reach an upstream that takes %.2f a second, allowed %.0f; instances %d, seed %d, events %v, pauses in ms %v",
				got, limitWindow, rate, allowed, n, seed, events, pauses)
		}
	})
}

// Guards against a limit that is known only to the instance that received it, so that every other instance has to
// send the upstream a request to receive the limit.
func TestLimitReachesAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		f := newLimitedFleet(7, 1, 10, 1)
		defer f.drain(cancel)
		f.start(ctx)
		time.Sleep(time.Second)
		needy := f.snapshot.Load().Upstream("needy")
		f.instances[5].sendToDispatcher(&pb.FromEntry{Limits: []*pb.Limit{f.instances[5].limits.recordAnswer(needy, gateway.Answer{HasLimit: true, Limit: 1}, time.Now(), "i5")}})
		time.Sleep(50 * time.Millisecond)
		for _, n := range f.instances {
			is.True(n.limits.isLimited(needy))
		}
		is.Equal(len(f.instances[0].hub.rates("s")), 1)
		late := f.newInstance(7, f.snapshot.Load)
		late.follow(f.instances[0].hub)
		time.Sleep(50 * time.Millisecond)
		is.True(late.limits.isLimited(needy)) // it attached after the broadcast
	})
}

// Guards against an upstream that gets no requests, or stays limited forever, after it advertised a limit once.
func TestLimitIsUsedAndExpires(t *testing.T) {
	for _, rate := range []float64{0.2, 1.4, 20} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				f := newLimitedFleet(7, rate, 100, 1)
				defer f.drain(cancel)
				f.start(ctx)
				time.Sleep(time.Second)
				f.sendsLimit.Store(true)
				time.Sleep(time.Second)
				before := f.arrivals()
				time.Sleep(20 * time.Second)
				got := float64(f.arrivals()-before) / 20
				t.Logf("%.2f requests a second", got)
				is.True(got >= 0.7*rate && got <= 1.1*rate)
				f.sendsLimit.Store(false)
				time.Sleep(20 * time.Second)
				before = f.arrivals()
				time.Sleep(5 * time.Second)
				is.True(float64(f.arrivals()-before)/5 > 30) // half of the load, without a limit
				is.Equal(f.instances[3].limits.isLimited(f.snapshot.Load().Upstream("needy")), false)
			})
		})
	}
}

// arrivals returns the number of requests that have arrived at "needy".
func (f *limitedFleet) arrivals() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.arrived)
}

// Guards against every instance without a dispatcher using up a limit by itself.
func TestLocalPlacerSkipsLimitedUpstreams(t *testing.T) {
	is := is.New(t)
	needy := true
	l := NewLocalPlacer(func() *catalog.Snapshot { return limitedSnapshot(1) }, func(u *catalog.Upstream) bool { return needy && u.ID == "needy" })
	for range 4 {
		g, err := l.Place(t.Context(), gateway.PlacementRequest{Service: "s"})
		is.NoErr(err)
		is.Equal(g.Upstream().ID, fleet.UpstreamID("sound"))
	}
	_, err := l.Place(t.Context(), gateway.PlacementRequest{Service: "s", Avoid: []fleet.UpstreamID{"sound"}})
	is.True(err != nil)
	needy = false
	g, err := l.Place(t.Context(), gateway.PlacementRequest{Service: "s"})
	is.NoErr(err)
	is.Equal(g.Upstream().ID, fleet.UpstreamID("needy"))
}

// Guards against cost in time and memory on every answer while no upstream advertises a limit.
func TestAnswerWithoutLimitDoesNotAllocate(t *testing.T) {
	b := newLimitTable(hclog.NewNullLogger())
	u := &catalog.Upstream{ID: "u", Service: "s"}
	sent := time.Now()
	if n := testing.AllocsPerRun(100, func() { b.recordAnswer(u, gateway.Answer{Sealed: true}, sent, "i") }); n > 0 {
		t.Errorf("%.0f allocations an answer", n)
	}
}

// Guards against a new dispatcher that doesn't know a limit that its instances received earlier.
func TestFirstMessageHoldsKnownLimits(t *testing.T) {
	is := is.New(t)
	c := NewClient("i1", "d", followerWithUpstreams("x", "y"), hclog.NewNullLogger())
	c.ObserveAnswer(c.snapshot().Upstream("x"), gateway.Answer{HasLimit: true, Limit: 2}, time.Now())
	c.ObserveAnswer(&catalog.Upstream{ID: "gone", StartTime: 7}, gateway.Answer{HasLimit: true, Limit: 2}, time.Now())
	first := c.firstMessage()
	is.Equal(len(first.Limits), 1)
	is.Equal(first.Limits[0].Upstream, "x")
	h := newHub("self", followerWithUpstreams("x", "y"), hclog.NewNullLogger())
	h.attach("i1", &recordingSink{}, first)
	is.Equal(h.rates("s"), map[fleet.UpstreamID]float64{"x": 2})
}
