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
	"github.com/damaskshelf/damaskshelf/internal/watch"
)

// What the users allow an upstream that names a limit: from limitFrom on, in any limitWindow half as much again as it takes,
// and limitSlack more.
const (
	limitFrom   = 3 * time.Second
	limitWindow = 4 * time.Second
	limitSlack  = 5
)

// limitedFleet are instances with their dispatchers in virtual time, before two upstreams: one names a limit for a while.
type limitedFleet struct {
	rate  float64 // requests a second that "needy" takes
	total float64 // requests a second that callers send
	names atomic.Bool
	known atomic.Pointer[catalog.Snapshot]

	mu      sync.Mutex
	rand    *rand.Rand    // guarded by mu
	nodes   []*limitedOne // guarded by mu
	arrived []time.Time   // guarded by mu: at "needy"
}

// limitedOne is an instance: what it believes, and its side as a dispatcher.
type limitedOne struct {
	f      *limitedFleet
	id     fleet.InstanceID
	hub    *hub
	limits *limitTable
	local  *LocalPlacer
	dead   atomic.Bool
	with   atomic.Pointer[hub] // its dispatcher; nil: none
}

func newLimitedFleet(n int, rate, total float64, seed uint64) *limitedFleet {
	f := &limitedFleet{rate: rate, total: total, rand: rand.New(rand.NewPCG(seed, 1))}
	for i := range n {
		f.nodes = append(f.nodes, f.newOne(i, f.known.Load))
	}
	f.lists(n)
	return f
}

// lists has all know so many members.
func (f *limitedFleet) lists(members int) { f.known.Store(limitedSnapshot(members)) }

func limitedSnapshot(members int) *catalog.Snapshot {
	all := make([]*catalog.Member, members)
	for i := range all {
		all[i] = &catalog.Member{ID: fleet.InstanceID(fmt.Sprint("i", i)), CPUShare: 1, Domain: "d"}
	}
	upstreams := []*catalog.Upstream{
		{ID: "needy", Service: "s", Domain: "d", Slots: 16, Born: 1}, {ID: "sound", Service: "s", Domain: "d", Slots: 400, Born: 1},
	}
	return catalog.NewSnapshot(&catalog.Config{}, upstreams, nil, all, 1)
}

func (f *limitedFleet) newOne(i int, snapshot func() *catalog.Snapshot) *limitedOne {
	log := hclog.NewNullLogger()
	w := watch.New(watch.Deps{Kinds: watch.Kinds{Config: "c", Upstreams: "u", Out: "o"}, Log: log})
	n := &limitedOne{f: f, id: fleet.InstanceID(fmt.Sprint("i", i)), hub: newHub(w, log), limits: newLimitTable(log)}
	n.hub.snapshot = snapshot
	n.local = NewLocalPlacer(snapshot, n.limits.limited)
	return n
}

func (f *limitedFleet) draw(most time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.rand.Int64N(int64(most)))
}

// trip is how long a message is on its way: they overtake each other.
func (f *limitedFleet) trip() { time.Sleep(time.Millisecond + f.draw(7*time.Millisecond)) }

func (n *limitedOne) tell(m *pb.FromEntry) {
	if h := n.with.Load(); h != nil {
		go func() {
			n.f.trip()
			h.tell(n.id, n, m)
		}()
	}
}

// send implements sink.
func (n *limitedOne) send(m *pb.ToEntry) {
	go func() {
		n.f.trip()
		for _, l := range m.Limits {
			n.limits.take(n.limits.statement(l))
		}
		for _, p := range m.Places {
			go n.request(p.Id, fleet.UpstreamID(p.Upstream))
		}
	}()
}

// follow moves the instance to another dispatcher; the one before hears of it later.
func (n *limitedOne) follow(h *hub) {
	before := n.with.Swap(h)
	if before != nil {
		go func() {
			time.Sleep(n.f.draw(silence))
			before.detach(n.id, n)
		}()
	}
	h.attach(n.id, n, &pb.FromEntry{Entry: string(n.id), Domain: "d", Limits: n.limits.messages(n.f.known.Load())})
}

// ask is a caller's request.
func (n *limitedOne) ask(id string) {
	if n.with.Load() != nil {
		n.tell(&pb.FromEntry{Asks: []*pb.Ask{{Id: id, Service: "s", PatienceMs: 2500, DeadlineMs: 2500}}})
		return
	}
	if g, err := n.local.Place(context.Background(), gateway.Ask{Service: "s"}); err == nil {
		n.request(id, g.Upstream().ID)
		g.Done(gateway.Served, "")
	}
}

// request sends a request to an upstream and takes the answer.
func (n *limitedOne) request(id string, to fleet.UpstreamID) {
	if n.dead.Load() {
		return
	}
	sent := time.Now()
	n.f.trip()
	if to == "needy" {
		n.f.mu.Lock()
		n.f.arrived = append(n.f.arrived, time.Now())
		n.f.mu.Unlock()
	}
	time.Sleep(5 * time.Millisecond)
	a := gateway.Answer{Sealed: true}
	if to == "needy" && n.f.names.Load() {
		a.Limited, a.Limit = true, n.f.rate
	}
	n.f.trip()
	if news := n.limits.answered(n.f.known.Load().Upstream(to), a, sent, n.id); news != nil {
		n.tell(&pb.FromEntry{Limits: []*pb.Limit{news}})
	}
	n.tell(&pb.FromEntry{Ended: []*pb.Ended{{Id: id, How: pb.Ended_WHOLE}}})
}

// living gives the instances that live, in the order in which they dispatch.
func (f *limitedFleet) living() []*limitedOne {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.nodes), func(n *limitedOne) bool { return n.dead.Load() })
}

// start has every instance serve callers and the first one dispatch, until ctx ends.
func (f *limitedFleet) start(ctx context.Context) {
	for _, n := range f.living() {
		go n.hub.run(ctx, func() {})
		n.follow(f.nodes[0].hub)
	}
	go func() {
		for i := 0; ctx.Err() == nil; i++ {
			time.Sleep(f.draw(time.Duration(2 * float64(time.Second) / f.total)))
			all := f.living()
			go all[int(f.draw(time.Duration(len(all))))].ask(fmt.Sprint("r", i))
		}
	}()
}

// end ends the load, and waits until nothing is under way.
func (f *limitedFleet) end(cancel context.CancelFunc) {
	cancel()
	time.Sleep(10 * time.Second)
}

// lose ends the dispatcher. The others miss it after a silence, each at another moment.
func (f *limitedFleet) lose() {
	all := f.living()
	if len(all) < 3 {
		return
	}
	gone := all[0]
	gone.dead.Store(true)
	for _, n := range all[1:] {
		if n.with.Load() == gone.hub {
			go func() {
				time.Sleep(silence/2 + f.draw(silence/2))
				n.with.Store(nil)
				time.Sleep(f.draw(50 * time.Millisecond))
				n.follow(all[1].hub)
			}()
		}
	}
}

// part has some instances go by another dispatcher for a while, as when they can't reach the first.
func (f *limitedFleet) part(share float64, long time.Duration) {
	all := f.living()
	if len(all) < 3 {
		return
	}
	cut := all[len(all)-max(1, int(share*float64(len(all)))):]
	for _, n := range cut {
		go func() {
			time.Sleep(f.draw(silence))
			n.follow(cut[0].hub)
			time.Sleep(long)
			if first := f.living()[0]; !n.dead.Load() {
				n.follow(first.hub)
			}
		}()
	}
}

// join adds an instance. It knows the others at once and dispatches for itself at first; they know it a second later.
func (f *limitedFleet) join(ctx context.Context) {
	f.mu.Lock()
	members := len(f.nodes) + 1
	f.mu.Unlock()
	n := f.newOne(members-1, func() *catalog.Snapshot { return limitedSnapshot(members) })
	go n.hub.run(ctx, func() {})
	n.follow(n.hub)
	f.mu.Lock()
	f.nodes = append(f.nodes, n)
	f.mu.Unlock()
	time.Sleep(f.draw(time.Second))
	n.follow(f.living()[0].hub)
	time.Sleep(f.draw(time.Second))
	f.lists(members)
}

// worst is the greatest number of arrivals in any window that begins between two moments.
func (f *limitedFleet) worst(from, to time.Time) int {
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

func (f *limitedFleet) allowed() float64 { return 1.5*f.rate*limitWindow.Seconds() + limitSlack }

// longestEvent is the longest pause between two events, and the longest time for which instances go by two dispatchers, in ms.
const longestEvent = 5000

// Guards against the sum over all instances growing past an upstream's limit while dispatchers end, instances go by two of
// them, and others join.
func TestALimitHoldsWhoeverDispatches(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.SampledFrom([]int{7, 76, 195}).Draw(r, "instances")
		rate := math.Exp(rapid.Float64Range(math.Log(0.2), math.Log(50)).Draw(r, "requests a second"))
		seed := rapid.Uint64().Draw(r, "seed")
		events := rapid.SliceOfN(rapid.IntRange(0, 2), 0, 5).Draw(r, "events")
		pauses := rapid.SliceOfN(rapid.IntRange(0, longestEvent), 5, 5).Draw(r, "pauses in ms")
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			f := newLimitedFleet(n, rate, 5*rate+20, seed)
			f.start(ctx)
			time.Sleep(time.Second)
			f.names.Store(true)
			from := time.Now().Add(limitFrom)
			for i, e := range events {
				pause := time.Duration(pauses[i]) * time.Millisecond
				time.Sleep(pause)
				switch e {
				case 0:
					f.lose()
				case 1:
					f.part(0.1+0.8*float64(pauses[i])/longestEvent, pause)
				case 2:
					go f.join(ctx)
				}
			}
			time.Sleep(time.Until(from.Add(2 * limitWindow)))
			f.end(cancel)
			if got := f.worst(from, time.Now()); float64(got) > f.allowed() {
				t.Errorf("%d requests in %s reach an upstream that takes %.2f a second, allowed %.0f", got, limitWindow, rate, f.allowed())
			}
		})
		if t.Failed() {
			r.FailNow()
		}
	})
}

// Guards against a limit that only the instance knows which heard it, until each has spent a request on learning it.
func TestALimitIsToldToAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		f := newLimitedFleet(7, 1, 10, 1)
		defer f.end(cancel)
		f.start(ctx)
		time.Sleep(time.Second)
		needy := f.known.Load().Upstream("needy")
		f.nodes[5].tell(&pb.FromEntry{Limits: []*pb.Limit{f.nodes[5].limits.answered(needy, gateway.Answer{Limited: true, Limit: 1}, time.Now(), "i5")}})
		time.Sleep(50 * time.Millisecond)
		for _, n := range f.nodes {
			is.True(n.limits.limited(needy))
		}
		is.Equal(len(f.nodes[0].hub.rates("s")), 1)
		late := f.newOne(7, f.known.Load)
		late.follow(f.nodes[0].hub)
		time.Sleep(50 * time.Millisecond)
		is.True(late.limits.limited(needy)) // it attached after all this
	})
}

// Guards against an upstream that gets nothing, or for ever only its limit, for having been in need once.
func TestALimitIsUsedAndEnds(t *testing.T) {
	for _, rate := range []float64{0.2, 1.4, 20} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				f := newLimitedFleet(7, rate, 100, 1)
				defer f.end(cancel)
				f.start(ctx)
				time.Sleep(time.Second)
				f.names.Store(true)
				time.Sleep(time.Second)
				before := f.count()
				time.Sleep(20 * time.Second)
				got := float64(f.count()-before) / 20
				t.Logf("%.2f requests a second", got)
				is.True(got >= 0.7*rate && got <= 1.1*rate)
				f.names.Store(false)
				time.Sleep(20 * time.Second)
				before = f.count()
				time.Sleep(5 * time.Second)
				is.True(float64(f.count()-before)/5 > 30) // half of what comes, without a limit
				is.Equal(f.nodes[3].limits.limited(f.known.Load().Upstream("needy")), false)
			})
		})
	}
}

func (f *limitedFleet) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.arrived)
}

// Guards against a limit that each instance without a dispatcher uses up for itself.
func TestWithoutADispatcherALimitedUpstreamGetsNothing(t *testing.T) {
	is := is.New(t)
	needy := true
	l := NewLocalPlacer(func() *catalog.Snapshot { return limitedSnapshot(1) }, func(u *catalog.Upstream) bool { return needy && u.ID == "needy" })
	for range 4 {
		g, err := l.Place(t.Context(), gateway.Ask{Service: "s"})
		is.NoErr(err)
		is.Equal(g.Upstream().ID, fleet.UpstreamID("sound"))
	}
	_, err := l.Place(t.Context(), gateway.Ask{Service: "s", Avoid: []fleet.UpstreamID{"sound"}})
	is.True(err != nil)
	needy = false
	g, err := l.Place(t.Context(), gateway.Ask{Service: "s"})
	is.NoErr(err)
	is.Equal(g.Upstream().ID, fleet.UpstreamID("needy"))
}

// Guards against work and memory on every answer while no upstream names a limit.
func TestAnswersWithoutALimitCostNothing(t *testing.T) {
	b := newLimitTable(hclog.NewNullLogger())
	u := &catalog.Upstream{ID: "u", Service: "s"}
	sent := time.Now()
	if n := testing.AllocsPerRun(100, func() { b.answered(u, gateway.Answer{Sealed: true}, sent, "i") }); n > 0 {
		t.Errorf("%.0f allocations an answer", n)
	}
}

// Guards against a new dispatcher that doesn't know a limit which its instances heard before.
func TestASessionBeginsWithTheLimitsThatAreKnown(t *testing.T) {
	is := is.New(t)
	c := NewClient("i1", "d", followerOf("x", "y"), hclog.NewNullLogger())
	c.ObserveAnswer(c.snapshot().Upstream("x"), gateway.Answer{Limited: true, Limit: 2}, time.Now())
	c.ObserveAnswer(&catalog.Upstream{ID: "gone", Born: 7}, gateway.Answer{Limited: true, Limit: 2}, time.Now())
	first := c.first()
	is.Equal(len(first.Limits), 1)
	is.Equal(first.Limits[0].Upstream, "x")
	h := newHub(followerOf("x", "y"), hclog.NewNullLogger())
	h.attach("i1", &told{}, first)
	is.Equal(h.rates("s"), map[fleet.UpstreamID]float64{"x": 2})
}
