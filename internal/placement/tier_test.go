package placement

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
	"github.com/damaskshelf/damaskshelf/internal/watch"
)

// unequalFleet returns n members in five failure domains, of which one in twenty is strong.
func unequalFleet(n int) []*catalog.Member {
	members := make([]*catalog.Member, n)
	for i := range members {
		m := &catalog.Member{ID: fleet.InstanceID(fmt.Sprintf("i-%d", i)), Domain: fleet.DomainID(fmt.Sprintf("d%d", i%5)), CPUShare: 0.2, LinkMbps: 20}
		if i%20 < 1 {
			m.Domain = fleet.DomainID(fmt.Sprintf("d%d", i/20%5))
			m.CPUShare, m.LinkMbps = 1.6, 1000
		}
		members[i] = m
	}
	return members
}

// Guards against a dispatcher whose sessions grow with the fleet, and against relays that have as many.
func TestSessionsOfOneInstanceGrowWithTheRootOfTheFleet(t *testing.T) {
	for _, n := range []int{300, 1000, 2000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			members := unequalFleet(n)
			var cache orderCache
			order := cache.get(members)
			sessions := map[fleet.InstanceID]int{}
			for _, m := range members {
				to := order.candidates(m.ID, m.Domain)[0]
				sessions[to.ID]++
				is.True(!to.asRelay || to.Domain == m.Domain || !hasRelay(order, m.Domain))
			}
			for id, got := range sessions {
				if got > int(6*math.Sqrt(float64(n))) {
					t.Errorf("%s has %d sessions", id, got)
				}
			}
		})
	}
}

// hasRelay reports whether a failure domain has a relay.
func hasRelay(o *cachedOrder, domain fleet.DomainID) bool {
	for _, m := range o.relays {
		if m.Domain == domain {
			return true
		}
	}
	return false
}

// Checks that the instances of a fleet of tens attach to the dispatcher directly, in dispatcher order.
func TestSmallFleetHasNoRelays(t *testing.T) {
	is := is.New(t)
	members := unequalFleet(minTieredFleet - 1)
	var cache orderCache
	for i, m := range cache.get(members).candidates("i-7", "d1") {
		is.Equal(m.ID, DispatcherOrder(members)[i].ID)
		is.True(!m.asRelay)
	}
}

// tieredFleet is a fleet with three relays, of which one is the dispatcher. The relays and one weak instance run; all other
// members are dead.
type tieredFleet struct {
	dispatcher, relay, weak *testClient // relay is the next dispatcher, and of the weak instance's failure domain
	members                 []wire.Object
}

// newTieredFleet starts a fleet in which every running instance knows all members.
func newTieredFleet(t *testing.T) *tieredFleet {
	t.Helper()
	f := &tieredFleet{}
	strong := map[fleet.InstanceID]*testClient{}
	var members []*catalog.Member
	for _, domain := range []fleet.DomainID{"d1", "d2", "d3"} {
		p := newTestClient(t, "strong-"+fleet.InstanceID(domain), domain)
		strong[p.self] = p
		members = append(members, &catalog.Member{ID: p.self, Domain: domain, CPUShare: 2})
		f.addMember(t, p.self, domain, p.addr, 2)
	}
	order := DispatcherOrder(members)
	f.dispatcher, f.relay = strong[order[0].ID], strong[order[1].ID]
	f.weak = newTestClient(t, "weak", order[1].Domain)
	f.addMember(t, f.weak.self, order[1].Domain, f.weak.addr, 0.2)
	for n := len(f.members); n < minTieredFleet; n++ {
		f.addMember(t, fleet.InstanceID(fmt.Sprintf("dead-%d", n)), "d9", deadAddr, 0.2)
	}
	for _, p := range append(slices.Collect(maps.Values(strong)), f.weak) {
		p.follower.ApplyChange(watch.Change{Kind: watch.KindMembers, Full: true, To: 1, Objects: f.members})
	}
	return f
}

// addMember adds an instance to the members.
func (f *tieredFleet) addMember(t *testing.T, id fleet.InstanceID, domain fleet.DomainID, addr string, cpuShare float64) {
	t.Helper()
	raw, err := json.Marshal(map[string]any{"peer_addr": addr, "cpu_share": cpuShare, "failure_domain": domain})
	if err != nil {
		t.Fatal(err)
	}
	f.members = append(f.members, wire.Object{Kind: watch.KindMembers, Name: string(id), Version: 1, Value: raw})
}

// setDomainsOut makes the dispatcher learn that failure domains are out, as of a revision.
func (f *tieredFleet) setDomainsOut(full bool, revision uint64, domains ...string) {
	c := watch.Change{Kind: "o", Full: full, To: revision}
	for _, d := range domains {
		c.Objects = append(c.Objects, wire.Object{Kind: "o", Name: d, Version: revision})
	}
	f.dispatcher.follower.ApplyChange(c)
}

// Guards against an instance of a large fleet that misses a change of the store, because the dispatcher sends changes to
// its relays only: a failure domain taken out would get work from it.
func TestRelaySendsTheStateOfTheStore(t *testing.T) {
	f := newTieredFleet(t)
	waitUntil(t, "attached through the relay", func() bool { return f.weak.Dispatcher() == f.relay.self && f.dispatcher.attached("weak") })
	current := func() *session {
		f.weak.Client.mu.Lock()
		defer f.weak.Client.mu.Unlock()
		return f.weak.Client.session
	}
	before := current()
	f.setDomainsOut(true, 2, "d7")
	waitUntil(t, "full copy", func() bool { return f.weak.snapshot().DomainsOut["d7"] })
	f.setDomainsOut(false, 3, "d8")
	waitUntil(t, "change", func() bool { return f.weak.snapshot().DomainsOut["d8"] })
	is.New(t).True(current() == before) // the changes came in the session, and not with a next one
}

// Guards against a relay that places for the instances attached to it, without the work of all others, in the time in
// which it has lost its dispatcher.
func TestRelayWithoutDispatcherPlacesForNobody(t *testing.T) {
	is := is.New(t)
	p := newTestClient(t, "lone", "d")
	_, _, err := p.admit("weak", &pb.FromEntry{Entry: "weak", ViaRelay: true})
	is.True(isTransient(err))
	_, _, err = p.admit("weak", &pb.FromEntry{Entry: "weak"})
	is.NoErr(err) // as the dispatcher
}

// withoutDispatcher returns the members without the dispatcher.
func (f *tieredFleet) withoutDispatcher() []wire.Object {
	return slices.DeleteFunc(slices.Clone(f.members), func(o wire.Object) bool { return o.Name == string(f.dispatcher.self) })
}

// setMembers sets the members that the relay and the weak instance know, as of a revision.
func (f *tieredFleet) setMembers(members []wire.Object, revision uint64) {
	members = slices.Clone(members)
	for i := range members {
		members[i].Version = revision
	}
	for _, p := range []*testClient{f.relay, f.weak} {
		p.follower.ApplyChange(watch.Change{Kind: watch.KindMembers, Full: true, To: revision, Objects: members})
	}
}

// Guards against instances that lose their places when a relay becomes the dispatcher: they attach to it again.
func TestInstancesStayWithARelayThatBecomesTheDispatcher(t *testing.T) {
	f := newTieredFleet(t)
	waitUntil(t, "attached through the relay", func() bool { return f.weak.Dispatcher() == f.relay.self && f.dispatcher.attached("weak") })
	f.setMembers(f.withoutDispatcher(), 2)
	waitUntil(t, "attached to the next dispatcher", func() bool {
		return f.relay.Dispatcher() == f.relay.self && f.weak.Dispatcher() == f.relay.self && f.relay.attached("weak")
	})
}

// Guards against two dispatchers on the same engines for good, which makes answers late: a relay was the dispatcher for a
// time, and goes on placing for the instances that attached to it then, because it stays the first that they try.
func TestRelayStopsDispatchingOnceItHasADispatcher(t *testing.T) {
	f := newTieredFleet(t)
	f.setMembers(f.withoutDispatcher(), 2)
	waitUntil(t, "the relay dispatches", func() bool { return f.relay.Dispatcher() == f.relay.self && f.relay.attached("weak") })
	f.setMembers(f.members, 3)
	waitUntil(t, "attached to the returned dispatcher", func() bool { return f.relay.Dispatcher() == f.dispatcher.self })
	waitUntil(t, "attached through the relay", func() bool { return f.dispatcher.attached("weak") && !f.relay.attached("weak") })
}

// Guards against an instance that gets no places for good: it attaches to its relay again while its first connection is
// still open there, and when that ends, the dispatcher takes the instance for gone.
func TestSecondSessionAtARelaySurvivesTheFirst(t *testing.T) {
	f := newTieredFleet(t)
	waitUntil(t, "the relay is attached", func() bool { return f.relay.Dispatcher() == f.dispatcher.self })
	open := func() *rawInstance {
		r, err := attachRaw(t, f.relay, &pb.FromEntry{Entry: "again", Domain: "d1", ViaRelay: true})
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	first := open()
	waitUntil(t, "attached", func() bool { return f.dispatcher.attached("again") })
	second := open()
	_ = first.stream.Close()
	for range 20 {
		time.Sleep(heartbeatInterval / 2)
		if err := second.stream.Send(&pb.FromEntry{}); err != nil {
			t.Fatal(err)
		}
	}
	is.New(t).True(f.dispatcher.attached("again"))
}

// Guards against an instance that gets no places for good: it has changed its relay, and the dispatcher hears the old relay
// after the new one.
func TestSessionOverAnOldRelayIsIgnored(t *testing.T) {
	is := is.New(t)
	h := newHub("self", newTestFollower(), hclog.NewNullLogger())
	passed := func(number uint64, ended bool) []*pb.Passed {
		if ended {
			return []*pb.Passed{{Entry: "w", Ended: true}}
		}
		return []*pb.Passed{{Entry: "w", Message: &pb.FromEntry{Entry: "w", Process: 7, Session: number}}}
	}
	oldRelay, newRelay := &recordingSink{}, &recordingSink{}
	h.receiveRelayed(newRelay, passed(2, false))
	h.receiveRelayed(oldRelay, passed(1, false))
	h.receiveRelayed(oldRelay, passed(1, true))
	is.True(h.attached("w"))
	h.receiveRelayed(newRelay, passed(2, true))
	is.True(!h.attached("w"))
}

// Guards against an instance whose requests get no answer because the dispatcher has dropped the session that the instance
// and its relay take for live.
func TestUnknownRelayedSessionIsEnded(t *testing.T) {
	is := is.New(t)
	h := newHub("self", newTestFollower(), hclog.NewNullLogger())
	relay := &recordingSink{}
	h.receiveRelayed(relay, []*pb.Passed{{Entry: "w", Message: &pb.FromEntry{Began: []string{"r"}}}})
	is.Equal(len(relay.sent), 1)
	is.Equal(len(relay.sent[0].Back), 1)
	is.True(relay.sent[0].Back[0].Message == nil)
	ended := make(chan struct{})
	p := newTestClient(t, "relay", "d")
	p.Client.mu.Lock()
	p.relayed["w"] = &remoteSink{out: newOutbox[*pb.ToEntry](), disconnect: func() { close(ended) }}
	p.Client.mu.Unlock()
	p.deliverRelayed(relay.sent[0].Back)
	<-ended
}
