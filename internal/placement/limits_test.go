package placement

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
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
	"github.com/damaskshelf/damaskshelf/internal/vtime"
)

// Bounds on an upstream that advertises a limit: from limitEffectiveAfter on, it receives in any limitWindow at most
// one and a half times its limit, plus limitSlack requests.
const (
	limitEffectiveAfter = 3 * time.Second
	limitWindow         = 4 * time.Second
	limitSlack          = 5
)

// limitedFleet simulates instances and their dispatchers, with two upstreams, one of which advertises a limit for a while. All
// that happens is one sequence of events in virtual time, so that a seed always plays the same schedule.
type limitedFleet struct {
	rate       float64 // limit of the upstream "needy", in requests a second
	total      float64 // load of all callers, in requests a second
	sendsLimit bool
	snapshot   *catalog.Snapshot
	start      time.Time
	loop       vtime.Loop
	seed       uint64
	rand       *rand.Rand
	instances  []*limitedInstance
	arrived    []time.Time // arrival times at "needy"
	ended      bool        // callers send nothing any more
}

// limitedInstance is an instance with its table of limits and its hub as a dispatcher.
type limitedInstance struct {
	fleet   *limitedFleet
	id      fleet.InstanceID
	hub     *hub
	limits  *limitTable
	local   *LocalPlacer
	rand    *rand.Rand // of its own: messages to several instances are sent in any order
	dead    bool
	frozen  bool
	held    []func()        // what happens to it once it runs again
	session *limitedSession // nil: none
}

// whenRunning runs what happens to the instance, once it runs.
func (n *limitedInstance) whenRunning(event func()) {
	if n.frozen {
		n.held = append(n.held, event)
		return
	}
	event()
}

// limitedSession is a session of an instance with a dispatcher. What is sent to or by a dispatcher that has stopped is lost.
type limitedSession struct {
	of, with *limitedInstance
}

// newLimitedFleet returns n instances that are members, with the given limit and load in requests a second. It must be used in
// a bubble of synctest, by one goroutine.
func newLimitedFleet(n int, rate, total float64, seed uint64) *limitedFleet {
	f := &limitedFleet{rate: rate, total: total, start: time.Now(), seed: seed, rand: rand.New(rand.NewPCG(seed, 1))}
	for i := range n {
		f.instances = append(f.instances, f.newInstance(i, func() *catalog.Snapshot { return f.snapshot }))
	}
	f.setMembers(n)
	return f
}

// after runs what happens a time from now.
func (f *limitedFleet) after(d time.Duration, event func()) {
	f.loop.After(d, func() {
		time.Sleep(time.Until(f.start.Add(time.Duration(f.loop.Now()))))
		event()
	})
}

// run plays a span of time.
func (f *limitedFleet) run(span time.Duration) {
	end := f.loop.Now().Add(span)
	f.loop.RunUntil(end)
	time.Sleep(time.Until(f.start.Add(time.Duration(end))))
}

// setMembers sets the number of members that all instances know.
func (f *limitedFleet) setMembers(members int) { f.snapshot = limitedSnapshot(members) }

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
	n := &limitedInstance{
		fleet: f, id: fleet.InstanceID(fmt.Sprint("i", i)), hub: newHub("self", w, log), limits: newLimitTable(log),
		rand: rand.New(rand.NewPCG(f.seed, uint64(i)+2)),
	}
	n.hub.snapshot = snapshot
	n.local = NewLocalPlacer(snapshot, n.limits.isLimited)
	return n
}

// randomDuration returns a random duration from 0 to below most.
func (f *limitedFleet) randomDuration(most time.Duration) time.Duration {
	return time.Duration(f.rand.Int64N(int64(most)))
}

// afterTransit runs the arrival of a message after its random transit time, so that messages overtake each other.
func (n *limitedInstance) afterTransit(arrival func()) {
	n.fleet.after(time.Millisecond+time.Duration(n.rand.Int64N(int64(7*time.Millisecond))), arrival)
}

// sendToDispatcher delivers a message to the current dispatcher, if there is one, after a random delay.
func (n *limitedInstance) sendToDispatcher(m *pb.FromEntry) {
	if s := n.session; s != nil {
		n.afterTransit(func() {
			s.with.whenRunning(func() {
				if !s.with.dead {
					s.with.hub.receive(n.id, s, m)
				}
			})
		})
	}
}

// send implements sink.
func (s *limitedSession) send(m *pb.ToEntry) {
	if !s.with.dead {
		s.of.afterTransit(func() { s.of.whenRunning(func() { s.receive(m) }) })
	}
}

// receive handles a message of the dispatcher. An instance that has left the dispatcher has closed the session.
func (s *limitedSession) receive(m *pb.ToEntry) {
	n := s.of
	if n.session != s {
		return
	}
	for _, l := range m.Limits {
		n.limits.record(n.limits.decode(l))
	}
	for _, p := range m.Places {
		n.request(p.Id, fleet.UpstreamID(p.Upstream))
	}
}

// follow moves the instance to another dispatcher. The previous dispatcher detaches it after a random delay.
func (n *limitedInstance) follow(to *limitedInstance) {
	if before := n.session; before != nil {
		n.fleet.after(n.fleet.randomDuration(sessionTimeout), func() {
			before.with.whenRunning(func() {
				before.with.hub.detach(n.id, before, causeReplaced)
				n.fleet.step(before.with)
			})
		})
	}
	n.session = &limitedSession{of: n, with: to}
	if to.frozen {
		return // nobody answers
	}
	to.hub.attach(n.id, n.session, &pb.FromEntry{Entry: string(n.id), Domain: "d", Limits: n.limits.messages(n.fleet.snapshot)})
}

// ask simulates a caller's request.
func (n *limitedInstance) ask(id string) {
	if n.session != nil {
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
	if n.dead {
		return
	}
	f, sent := n.fleet, time.Now()
	n.afterTransit(func() {
		if to == "needy" {
			f.arrived = append(f.arrived, time.Now())
		}
		f.after(5*time.Millisecond, func() {
			a := gateway.Answer{Sealed: true}
			if to == "needy" && f.sendsLimit {
				a.HasLimit, a.Limit = true, f.rate
			}
			n.afterTransit(func() { n.whenRunning(func() { n.finish(id, to, a, sent) }) })
		})
	})
}

// finish processes the answer to a request.
func (n *limitedInstance) finish(id string, to fleet.UpstreamID, a gateway.Answer, sent time.Time) {
	if limit := n.limits.recordAnswer(n.fleet.snapshot.Upstream(to), a, sent, n.id); limit != nil {
		n.sendToDispatcher(&pb.FromEntry{Limits: []*pb.Limit{limit}})
	}
	n.sendToDispatcher(&pb.FromEntry{Ended: []*pb.Ended{{Id: id, How: pb.Ended_WHOLE}}})
}

// live returns the live instances in dispatcher order.
func (f *limitedFleet) live() []*limitedInstance {
	return slices.DeleteFunc(slices.Clone(f.instances), func(n *limitedInstance) bool { return n.dead })
}

// step makes a dispatcher's decisions that are due.
func (f *limitedFleet) step(n *limitedInstance) {
	if n.dead || n.frozen {
		return
	}
	n.hub.mu.Lock()
	defer n.hub.mu.Unlock()
	now := n.hub.now()
	n.hub.refresh(now)
	n.hub.step(now)
}

// runHub makes an instance's decisions as a dispatcher from now on.
func (f *limitedFleet) runHub(n *limitedInstance) {
	f.step(n)
	f.after(n.hub.maxIdleWait(), func() { f.runHub(n) })
}

// serve makes every instance serve callers, and the first one dispatch.
func (f *limitedFleet) serve() {
	for _, n := range f.live() {
		f.runHub(n)
		n.follow(f.instances[0])
	}
	f.sendRequest(0)
}

// sendRequest sends the callers' request with number i after a random pause, and those after it.
func (f *limitedFleet) sendRequest(i int) {
	f.after(f.randomDuration(time.Duration(2*float64(time.Second)/f.total)), func() {
		if f.ended {
			return
		}
		all := f.live()
		n := all[f.rand.IntN(len(all))]
		n.whenRunning(func() { n.ask(fmt.Sprint("r", i)) })
		f.sendRequest(i + 1)
	})
}

// first returns the live instance that dispatches.
func (f *limitedFleet) first() *limitedInstance {
	all := f.live()
	return all[max(0, slices.IndexFunc(all, func(n *limitedInstance) bool { return !n.frozen }))]
}

// stopDispatcher stops the dispatcher.
func (f *limitedFleet) stopDispatcher() {
	if len(f.live()) < 3 {
		return
	}
	gone := f.first()
	gone.dead = true
	f.loseDispatcher(gone)
}

// freezeDispatcher makes the dispatcher stand still for a while. Then it goes on with what it knew.
func (f *limitedFleet) freezeDispatcher(long time.Duration) {
	still := f.first()
	still.frozen = true
	f.loseDispatcher(still)
	f.after(long, func() {
		still.frozen = false
		held := still.held
		still.held = nil
		for _, event := range held {
			event()
		}
		for _, n := range f.live() {
			f.after(f.randomDuration(sessionTimeout), func() {
				if first := f.first(); !n.dead && !n.frozen && (n.session == nil || n.session.with != first) {
					n.follow(first)
				}
			})
		}
	})
}

// loseDispatcher makes the instances that follow a dispatcher detect that it is gone, within sessionTimeout, each at another time.
// They then follow the one that comes next at that time.
func (f *limitedFleet) loseDispatcher(gone *limitedInstance) {
	for _, n := range f.live() {
		s := n.session
		if n == gone || s == nil || s.with != gone {
			continue
		}
		f.after(sessionTimeout/2+f.randomDuration(sessionTimeout/2), func() {
			if n.session != s || !gone.dead && !gone.frozen {
				return // it has left that dispatcher, or has heard of it again
			}
			n.session = nil
			gone.whenRunning(func() { gone.hub.detach(n.id, s, causeReplaced) })
			f.after(f.randomDuration(50*time.Millisecond), func() {
				if n.session == nil {
					n.follow(f.first())
				}
			})
		})
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
		f.after(f.randomDuration(sessionTimeout), func() {
			if n.dead || isolated[0].dead {
				return
			}
			n.follow(isolated[0])
			f.after(long, func() {
				if !n.dead {
					n.follow(f.first())
				}
			})
		})
	}
}

// join adds an instance. It knows the other members at once and dispatches for itself at first; the others know it
// about a second later.
func (f *limitedFleet) join() {
	members := len(f.instances) + 1
	n := f.newInstance(members-1, func() *catalog.Snapshot { return limitedSnapshot(members) })
	f.runHub(n)
	n.follow(n)
	f.instances = append(f.instances, n)
	f.after(f.randomDuration(time.Second), func() {
		n.follow(f.first())
		f.after(f.randomDuration(time.Second), func() { f.setMembers(max(members, len(f.snapshot.Members))) })
	})
}

// maxArrivals returns the largest number of arrivals in any window that begins between two times.
func (f *limitedFleet) maxArrivals(from, to time.Time) int {
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

// limitCase is a load on an upstream with a limit and a series of changes of dispatcher.
type limitCase struct {
	instances int
	rate      float64 // requests a second
	seed      uint64
	events    []int // 0: the dispatcher stops; 1: some instances follow another one for a while; 2: an instance joins; 3: the dispatcher freezes
	pausesMs  []int // before each event, and how long an event 1 or 3 lasts
}

// play plays the case. It returns the most requests that reach the upstream in a limitWindow, and how many are allowed.
func (c limitCase) play(t *testing.T) (got int, allowed float64) {
	synctest.Test(t, func(*testing.T) {
		f := newLimitedFleet(c.instances, c.rate, 5*c.rate+20, c.seed)
		f.serve()
		f.run(time.Second)
		f.sendsLimit = true
		from := time.Now().Add(limitEffectiveAfter)
		for i, e := range c.events {
			pause := time.Duration(c.pausesMs[i]) * time.Millisecond
			f.run(pause)
			switch e {
			case 0:
				f.stopDispatcher()
			case 1:
				f.partition(0.1+0.8*float64(c.pausesMs[i])/maxEventMs, pause)
			case 2:
				f.join()
			case 3:
				f.freezeDispatcher(pause)
			}
		}
		f.run(time.Until(from.Add(2 * limitWindow)))
		f.ended = true
		f.run(10 * time.Second)
		got, allowed = f.maxArrivals(from, time.Now()), f.allowedArrivals()
	})
	return got, allowed
}

// Guards against the sum over all instances exceeding an upstream's limit while dispatchers stop or freeze, instances follow
// two dispatchers, or others join.
func TestUpstreamLimitHoldsAcrossDispatcherChanges(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := limitCase{
			instances: rapid.SampledFrom([]int{7, 76, 195}).Draw(r, "instances"),
			rate:      math.Exp(rapid.Float64Range(math.Log(0.2), math.Log(50)).Draw(r, "requests a second")),
			seed:      rapid.Uint64().Draw(r, "seed"),
			events:    rapid.SliceOfN(rapid.IntRange(0, 3), 0, 5).Draw(r, "events"),
			pausesMs:  rapid.SliceOfN(rapid.IntRange(0, maxEventMs), 5, 5).Draw(r, "pauses in ms"),
		}
		if got, allowed := c.play(t); float64(got) > allowed {
			r.Fatalf("%d requests in %s reach the upstream, allowed %.0f; case %+v", got, limitWindow, allowed, c)
		}
	})
}

// Guards against the same for dispatchers that stop one right after the other, before all instances have noticed the first.
func TestUpstreamLimitHoldsThroughQuickStops(t *testing.T) {
	for _, c := range []limitCase{
		{76, 13.758495158667328, 6822862146911645064, []int{2, 2, 0, 0, 0}, []int{16, 2463, 3588, 274, 309}},
		{76, 11.885336451387161, 17901103740759720783, []int{0, 0, 2, 0, 0}, []int{39, 272, 36, 290, 130}},
		{76, 17.223321756951293, 387614815910539645, []int{0, 0, 0, 1, 1}, []int{47, 285, 182, 1467, 675}},
		{76, 13.995727765406144, 6485106055477983660, []int{2, 1, 0, 2, 0}, []int{1569, 182, 2667, 133, 138}},
	} {
		if got, allowed := c.play(t); float64(got) > allowed {
			t.Errorf("%d requests in %s reach the upstream, allowed %.0f; case %+v", got, limitWindow, allowed, c)
		}
	}
}

// Guards against a schedule that differs between two plays of one seed, so that a failure can't be played again.
func TestLimitedFleetPlaysSameScheduleAgain(t *testing.T) {
	is := is.New(t)
	c := limitCase{instances: 76, rate: 20, seed: 7, events: []int{1, 0, 2, 3}, pausesMs: []int{100, 900, 50, 700}}
	first, _ := c.play(t)
	for range 3 {
		again, _ := c.play(t)
		is.Equal(again, first)
	}
}

// Guards against a limit that is known only to the instance that received it, so that every other instance has to
// send the upstream a request to receive the limit.
func TestLimitReachesAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitedFleet(7, 1, 10, 1)
		f.serve()
		f.run(time.Second)
		needy := f.snapshot.Upstream("needy")
		f.instances[5].sendToDispatcher(&pb.FromEntry{Limits: []*pb.Limit{f.instances[5].limits.recordAnswer(needy, gateway.Answer{HasLimit: true, Limit: 1}, time.Now(), "i5")}})
		f.run(50 * time.Millisecond)
		for _, n := range f.instances {
			is.True(n.limits.isLimited(needy))
		}
		is.Equal(len(f.instances[0].hub.rates("s")), 1)
		late := f.newInstance(7, func() *catalog.Snapshot { return f.snapshot })
		late.follow(f.instances[0])
		f.run(50 * time.Millisecond)
		is.True(late.limits.isLimited(needy)) // it attached after the broadcast
	})
}

// Guards against an upstream that gets no requests, or stays limited forever, after it advertised a limit once.
func TestLimitIsUsedAndExpires(t *testing.T) {
	for _, rate := range []float64{0.2, 1.4, 20} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newLimitedFleet(7, rate, 100, 1)
				f.serve()
				f.run(time.Second)
				f.sendsLimit = true
				f.run(time.Second)
				before := len(f.arrived)
				f.run(20 * time.Second)
				got := float64(len(f.arrived)-before) / 20
				t.Logf("%.2f requests a second", got)
				is.True(got >= 0.7*rate && got <= 1.1*rate)
				f.sendsLimit = false
				f.run(20 * time.Second)
				before = len(f.arrived)
				f.run(5 * time.Second)
				is.True(float64(len(f.arrived)-before)/5 > 30) // half of the load, without a limit
				is.Equal(f.instances[3].limits.isLimited(f.snapshot.Upstream("needy")), false)
			})
		})
	}
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
