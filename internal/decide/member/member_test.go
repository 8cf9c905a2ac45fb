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

func list(n, domains int) []fleet.Instance {
	all := make([]fleet.Instance, n)
	for i := range all {
		all[i] = fleet.Instance{
			ID: fleet.InstanceID(fmt.Sprintf("entry-%03d", i)), PeerAddr: fmt.Sprint("addr-", i),
			Domain: fleet.DomainID(fmt.Sprint("domain-", i%domains)),
		}
	}
	return all
}

var sizes = []struct{ n, domains int }{{9, 3}, {100, 16}, {930, 16}}

// Regression bound: what membership costs a node is its peers and its callers, and neither grows with
// the fleet. Every instance is also heard by somebody, and peers are in several failure domains.
func TestPeersAndCallersAreBounded(t *testing.T) {
	for _, z := range sizes {
		t.Run(fmt.Sprint(z.n), func(t *testing.T) {
			is := is.New(t)
			all := list(z.n, z.domains)
			callers := map[fleet.InstanceID]int{}
			foreign := 0
			for _, self := range all {
				peers := member.ChoosePeers(self, all, member.DefaultFanout)
				is.Equal(len(peers), member.DefaultFanout)
				for _, p := range peers {
					is.True(p.ID != self.ID)
					callers[p.ID]++
					if p.Domain != self.Domain {
						foreign++
					}
				}
			}
			most, least := 0, z.n
			for _, i := range all {
				most, least = max(most, callers[i.ID]), min(least, callers[i.ID])
			}
			t.Logf("peers %d, callers %d to %d, in other domains %.0f%%",
				member.DefaultFanout, least, most, 100*float64(foreign)/float64(z.n*member.DefaultFanout))
			is.True(most <= 12)
			is.True(least >= 2)
			is.True(foreign*2 >= z.n*member.DefaultFanout) // half of the peers or more are in other domains
		})
	}
}

// A few instances come and go every minute; if each moved everybody's peers, all connections would be
// dialed anew each time.
func TestOneInstanceMovesFewPeers(t *testing.T) {
	is := is.New(t)
	all := list(930, 16)
	without := append(append([]fleet.Instance(nil), all[:100]...), all[101:]...)
	moved := 0
	for _, self := range without {
		before := member.ChoosePeers(self, all, member.DefaultFanout)
		for _, p := range member.ChoosePeers(self, without, member.DefaultFanout) {
			kept := false
			for _, b := range before {
				kept = kept || b.ID == p.ID
			}
			if !kept {
				moved++
			}
		}
	}
	t.Logf("one instance gone of 930: %d of %d peers moved", moved, 929*member.DefaultFanout)
	is.True(moved <= 12)
}

func newMembers(n int) (*member.Members, []fleet.Instance) {
	all := list(n, 3)
	m := member.New(member.NewParams(all[0], 500*time.Millisecond))
	m.UpdateInstances(0, 5, all)
	return m, all
}

// A lagging replica answers with a list from before an instance was replaced; its address is somebody
// else's by now. The older list must not bring it back.
func TestAnOlderListIsNotTaken(t *testing.T) {
	is := is.New(t)
	m, all := newMembers(9)
	is.Equal(m.UpdateInstances(0, 4, all[:2]), member.ListStale)
	is.Equal(len(m.Peers()), member.DefaultFanout)
	is.Equal(m.UpdateInstances(0, 6, all[:2]), member.ListApplied)
	is.Equal(len(m.Peers()), 1)
	is.Equal(m.TrustedUntil(), decide.Instant(0)) // being listed is no contact
}

// An instance was restarted and a late answer of its former self arrives after the new one's: it must not
// count as a sign of life, nor bring back what the former self knew.
func TestALateAnswerOfAFormerSelf(t *testing.T) {
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

// A peer that is dead but still listed must cost less and less, and be found again when it returns.
func TestADeadPeerIsAskedMoreRarely(t *testing.T) {
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
	is.True(sent < 30) // of 120 that a live one gets
	m.ReplyReceived(now, member.Reply{To: p.ID, Status: member.Status{From: p.ID, Incarnation: 1}})
	is.True(p.Reachable)
}

// Two watchers a failure domain, whoever asks; the next in line takes over when one leaves.
func TestWatchersAreFew(t *testing.T) {
	is := is.New(t)
	all := list(930, 16)
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

func BenchmarkChoose(b *testing.B) {
	for _, z := range sizes {
		b.Run(fmt.Sprint(z.n), func(b *testing.B) {
			all := list(z.n, z.domains)
			b.ReportAllocs()
			for b.Loop() {
				member.ChoosePeers(all[0], all, member.DefaultFanout)
			}
		})
	}
}
