package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
	"github.com/damaskshelf/damaskshelf/internal/watch"
)

// Guards against every instance reading the store by itself, so that the calls grow with the fleet. Two of the
// attached instances read, and another one replaces a reader that detaches.
func TestDispatcherChoosesTwoReaders(t *testing.T) {
	first, second, third, _ := newConnectedClients(t)
	all := []*testClient{first, second, third}
	roles := func() (reading, notReading int) {
		for _, p := range all {
			switch {
			case p.follower.Role().IsReader():
				reading++
			case p.follower.Role() == watch.Receiver:
				notReading++
			}
		}
		return reading, notReading
	}
	waitUntil(t, "two instances read", func() bool {
		reading, notReading := roles()
		return reading == 2 && notReading == 1 && first.follower.Role() == watch.FirstReader
	})
	all = []*testClient{first, second}
	if third.follower.Role().IsReader() {
		all = []*testClient{first, third}
	}
	gone := all[1]
	gone.mu.Lock()
	s := gone.session
	gone.mu.Unlock()
	gone.listener.resetAll()
	s.end()
	waitUntil(t, "two instances read again", func() bool {
		reading := 0
		for _, p := range []*testClient{first, second, third} {
			if p.follower.Role().IsReader() {
				reading++
			}
		}
		return reading == 2
	})
}

// Guards against starting instances that know no members for as long as the store refuses their reads, which can affect
// a third of the machines. The dispatcher sees in the store that they join, or knows them from before, and sends them
// its address.
func TestInstanceWithoutMembersIsInvited(t *testing.T) {
	p, newcomer, _ := newTestClients(t)
	p.setMembers(t, 1, map[fleet.InstanceID]string{p.self: p.addr})
	waitUntil(t, "the instance dispatches for itself", func() bool { return p.Dispatcher() == p.self })
	if newcomer.Dispatcher() != "" {
		t.Fatal("the newcomer has a dispatcher without knowing any member")
	}
	p.setMembers(t, 2, map[fleet.InstanceID]string{p.self: p.addr, newcomer.self: newcomer.addr})
	waitUntil(t, "the newcomer is attached and knows the members", func() bool {
		return newcomer.Dispatcher() == p.self && len(newcomer.dispatcherOrder()) == 2
	})
}

// Guards against repeated invitations from hundreds of instances that are partitioned from each other. Only members
// that have just joined are invited, a few times each.
func TestOnlyNewMembersAreInvited(t *testing.T) {
	is := is.New(t)
	v := invitations{}
	members := []*catalog.Member{{ID: "i1", Incarnation: 1}, {ID: "i2", Incarnation: 1}}
	attached := func(id fleet.InstanceID) bool { return id == "i1" }
	now := time.Now()
	invited := 0
	for range 1000 {
		invited += len(v.due(now, members, attached))
		now = now.Add(inviteInterval)
	}
	is.Equal(invited, maxInviteAttempts)
	is.Equal(len(v.due(now, members, func(fleet.InstanceID) bool { return false })), 0) // it lost its session, and is not new
	members = []*catalog.Member{members[0], {ID: "i2", Incarnation: 2}}
	is.Equal(len(v.due(now, members, attached)), 1) // it has restarted
}

// Guards against hundreds of messages a second to each instance while thousands of upstreams start. Each message
// makes an instance examine all upstreams, so pending changes are merged into one message.
func TestBurstOfChangesIsMerged(t *testing.T) {
	is := is.New(t)
	var items []update
	for i := range 100 {
		revision := uint64(i + 2)
		items = append(items, update{own: true, change: &watch.Change{Kind: "u", From: revision - 1, To: revision, Objects: []wire.Object{
			{Kind: "u", Name: fmt.Sprint("u", i%60), Version: revision},
		}}})
	}
	items = append(items, update{change: &watch.Change{Kind: "o", From: 1, To: 102, Deleted: []string{"north"}}})
	changes, own, proofs := mergeUpdates(items)
	is.Equal(len(changes), 2)
	is.Equal(len(own), 1)
	is.Equal(len(proofs), 0)
	is.Equal(len(changes[0].Objects), 60)
	is.Equal(changes[0].From, uint64(1))
	is.Equal(changes[0].To, uint64(101))
}

// Guards against heartbeats that carry the proofs of all kinds, which cost every instance a KB a second even without
// any change.
func TestHeartbeatRotatesProofsAndIncludesChangedKinds(t *testing.T) {
	is := is.New(t)
	rotation := &proofRotation{sentRevision: map[string]uint64{}}
	all := []watch.Proof{{Kind: "c", Known: true, LastChange: 1}, {Kind: "o", Known: true, LastChange: 1}, {Kind: "u", Known: true, LastChange: 1}}
	is.Equal(len(rotation.dueProofs(all)), 3) // no proof has been sent yet
	seen := map[string]int{}
	for range 30 {
		due := rotation.dueProofs(all)
		is.Equal(len(due), 1) // never zero, since the proofs are the heartbeat
		seen[due[0].Kind]++
	}
	is.Equal(seen, map[string]int{"c": 10, "o": 10, "u": 10})
	all[0].LastChange = 2
	kinds := map[string]bool{}
	for _, p := range rotation.dueProofs(all) {
		kinds[p.Kind] = true
	}
	is.True(kinds["c"]) // at once
}

// Guards against hundreds of instances that each send a full copy to a dispatcher that missed a change.
func TestFewInstancesCatchUpDispatcher(t *testing.T) {
	is := is.New(t)
	p := newTestClient(t, "i-last", "d")
	addrs := map[fleet.InstanceID]string{"i-last": p.addr}
	for i := range 200 {
		addrs[fleet.InstanceID(fmt.Sprint("i", i))] = deadAddr
	}
	p.setMembers(t, 1, addrs)
	p.follower.ApplyChange(watch.Change{Kind: "o", Full: true, To: 9})
	first := p.dispatcherOrder()[:catchUpSenders]
	for _, m := range first {
		is.True(m.ID != "i-last") // precondition of this test
	}
	sent := make(chan *pb.FromEntry, 10)
	p.mu.Lock()
	p.session = &session{peerID: "i0", send: func(m *pb.FromEntry) { sent <- m }, end: func() {}, done: make(chan struct{})}
	p.mu.Unlock()
	lacks := []*pb.Proof{{Kind: "o", Known: true, Revision: 1}}
	p.catchUpDispatcher(lacks)
	time.Sleep(maxDispatcherLag + 10*time.Millisecond)
	p.catchUpDispatcher(lacks)
	is.Equal(len(sent), 0)
}
