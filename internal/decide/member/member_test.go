package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/member"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// newInstances returns n instances spread over the failure domains.
func newInstances(n, domains int) []fleet.Instance {
	all := make([]fleet.Instance, n)
	for i := range all {
		all[i] = fleet.Instance{
			ID: fleet.InstanceID(fmt.Sprintf("entry-%03d", i)), PeerAddr: fmt.Sprint("addr-", i),
			Domain: fleet.DomainID(fmt.Sprint("domain-", i%domains)),
		}
	}
	return all
}

// sizes lists the fleets that the tests use.
var sizes = []struct{ n, domains int }{{9, 3}, {100, 16}, {930, 16}}

// Regression bound: the cost of membership for an instance is its peers and callers, and neither number grows with
// the fleet. Every instance also has callers, and peers in several failure domains.
func TestPeersAndCallersAreBounded(t *testing.T) {
	for _, z := range sizes {
		t.Run(fmt.Sprint(z.n), func(t *testing.T) {
			is := is.New(t)
			all := newInstances(z.n, z.domains)
			callers := map[fleet.InstanceID]int{}
			outside := 0
			for _, self := range all {
				peers := member.ChoosePeers(self, all, member.DefaultFanout)
				is.Equal(len(peers), member.DefaultFanout)
				for _, p := range peers {
					is.True(p.ID != self.ID)
					callers[p.ID]++
					if p.Domain != self.Domain {
						outside++
					}
				}
			}
			most, least := 0, z.n
			for _, i := range all {
				most, least = max(most, callers[i.ID]), min(least, callers[i.ID])
			}
			t.Logf("peers %d, callers %d to %d, in other domains %.0f%%",
				member.DefaultFanout, least, most, 100*float64(outside)/float64(z.n*member.DefaultFanout))
			is.True(most <= 12)
			is.True(least >= 2)
			is.True(outside*2 >= z.n*member.DefaultFanout) // at least half of the peers are in other failure domains
		})
	}
}

// A few instances come and go every minute. If each one changed the peers of all others, all connections would be
// dialed again each time.
func TestRemovingOneInstanceChangesFewPeers(t *testing.T) {
	is := is.New(t)
	all := newInstances(930, 16)
	remaining := append(append([]fleet.Instance(nil), all[:100]...), all[101:]...)
	changed := 0
	for _, self := range remaining {
		before := member.ChoosePeers(self, all, member.DefaultFanout)
		for _, p := range member.ChoosePeers(self, remaining, member.DefaultFanout) {
			kept := false
			for _, b := range before {
				kept = kept || b.ID == p.ID
			}
			if !kept {
				changed++
			}
		}
	}
	t.Logf("one of 930 instances removed: %d of %d peers changed", changed, 929*member.DefaultFanout)
	is.True(changed <= 12)
}

// newMembers returns the membership of the first of n instances, with list version 5.
func newMembers(n int) (*member.Members, []fleet.Instance) {
	all := newInstances(n, 3)
	m := member.New(member.NewParams(all[0], 500*time.Millisecond))
	m.UpdateInstances(0, 5, all)
	return m, all
}

// A lagging replica returns a list from before an instance was replaced. The address of that instance belongs to
// another one by now, so the older list must not bring it back.
func TestStaleListIsIgnored(t *testing.T) {
	is := is.New(t)
	m, all := newMembers(9)
	is.Equal(m.UpdateInstances(0, 4, all[:2]), member.ListStale)
	is.Equal(len(m.Peers()), member.DefaultFanout)
	is.Equal(m.UpdateInstances(0, 6, all[:2]), member.ListApplied)
	is.Equal(len(m.Peers()), 1)
	is.Equal(m.TrustedUntil(), decide.Instant(0)) // an entry in the list is no contact
}

// An instance restarts, and a late reply of its earlier incarnation arrives after one of the new incarnation. The
// late reply must not count as contact, nor restore the status of the earlier incarnation.
func TestLateReplyOfEarlierIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	m, _ := newMembers(9)
	p := m.Peers()[1]
	answer := func(from fleet.InstanceID, incarnation, version uint64) (decide.Reason, bool) {
		return m.ReplyReceived(0, member.Reply{
			To: p.ID, Status: member.Status{From: from, Incarnation: incarnation, ConfigVersion: version},
		})
	}
	reason, counts := answer(p.ID, 1, 7)
	is.True(counts)
	is.Equal(reason, member.PeerReachable)
	reason, counts = answer(p.ID, 2, 0)
	is.True(counts)
	is.Equal(reason, member.PeerRestarted)
	is.Equal(p.ConfigVersion, uint64(0))
	reason, counts = answer(p.ID, 1, 7)
	is.True(!counts)
	is.Equal(reason, member.LateReply)
	is.Equal(p.ConfigVersion, uint64(0))
	reason, counts = answer("entry-999", 9, 9) // another instance at its address
	is.True(!counts)
	is.Equal(reason, member.PeerReplaced)
}

// Heartbeats to a peer that is down but still listed must become less frequent, and the peer must be reachable
// again when it returns.
func TestHeartbeatsToUnreachablePeerBackOff(t *testing.T) {
	is := is.New(t)
	m, _ := newMembers(9)
	p := m.Peers()[0]
	sent := 0
	now := decide.Instant(0)
	for ; now < decide.Instant(time.Minute); now = now.Add(100 * time.Millisecond) {
		for _, due := range m.Due(now, 0) {
			if due.ID == p.ID {
				sent++
				m.HeartbeatFailed(now, p.ID)
				continue
			}
			m.ReplyReceived(now, member.Reply{To: due.ID, Status: member.Status{From: due.ID, Incarnation: 1}})
		}
	}
	is.True(sent < 30) // of 120 to a reachable peer
	m.ReplyReceived(now, member.Reply{To: p.ID, Status: member.Status{From: p.ID, Incarnation: 1}})
	is.True(p.Reachable)
}

// Each failure domain has two watchers, whichever instance computes them.
func TestTwoWatchersPerFailureDomain(t *testing.T) {
	is := is.New(t)
	all := newInstances(930, 16)
	watchers := map[fleet.DomainID]int{}
	for _, self := range all {
		if member.IsWatcher("config/current", self, all, 2) {
			watchers[self.Domain]++
		}
	}
	is.Equal(len(watchers), 16)
	for _, n := range watchers {
		is.Equal(n, 2)
	}
}

// BenchmarkChoose measures the choice of one instance's peers for each size of the fleet.
func BenchmarkChoose(b *testing.B) {
	for _, z := range sizes {
		b.Run(fmt.Sprint(z.n), func(b *testing.B) {
			all := newInstances(z.n, z.domains)
			b.ReportAllocs()
			for b.Loop() {
				member.ChoosePeers(all[0], all, member.DefaultFanout)
			}
		})
	}
}
