package readers

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

func candidates(n int) []Candidate {
	all := make([]Candidate, n)
	for i := range all {
		all[i] = Candidate{ID: fleet.InstanceID(fmt.Sprint("i", i)), Domain: fleet.DomainID(fmt.Sprint("d", i%5))}
	}
	return all
}

const beat = 100 * time.Millisecond

// play has the readers chosen and reports for a while. reads tells whether an instance can read; turns counts how often
// an instance became a reader.
func play(s *Selector, from decide.Instant, long time.Duration, all []Candidate, reads func(fleet.InstanceID) bool) (end decide.Instant, chosen []fleet.InstanceID, turns int) {
	failing := map[fleet.InstanceID]decide.Instant{}
	for now := from; now < from.Add(long); now = now.Add(beat) {
		before := chosen
		chosen = s.Choose(now, all)
		for _, id := range chosen {
			if !slices.Contains(before, id) {
				turns++
				failing[id] = now
			}
			if reads(id) {
				s.HandleReport(now, id, Report{ProofAge: 0})
				continue
			}
			s.HandleReport(now, id, Report{FailingFor: max(1, now.Sub(failing[id])), ProofAge: time.Hour})
		}
		end = now
	}
	return end, chosen, turns
}

// In quiet times two read, of two failure domains, and nobody else has a turn.
func TestTwoRead(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1, 2, 30, 930} {
		s := &Selector{}
		_, chosen, turns := play(s, 1, time.Minute, candidates(n), func(fleet.InstanceID) bool { return true })
		is.Equal(turns, min(2, n))
		is.Equal(len(chosen), min(2, n))
		is.Equal(s.OutageDuration(decide.Instant(time.Minute)), time.Duration(0))
	}
}

// The first in the order are all of one failure domain, and a cut of it leaves the fleet without news for seconds: the
// second reader is of another one.
func TestTheSecondReaderIsOfAnotherDomain(t *testing.T) {
	is := is.New(t)
	all := candidates(10)
	all[1].Domain = all[0].Domain
	chosen := (&Selector{}).Choose(1, all)
	is.Equal(chosen, []fleet.InstanceID{"i0", "i2"})
}

// Instances of one failure domain are attached before the dispatcher is and before the others: they would go on reading,
// the dispatcher would tell each change a trip later, and a cut of their domain would leave nobody who reads.
func TestWhoIsAttachedFirstDoesNotReadForEver(t *testing.T) {
	is := is.New(t)
	all := candidates(6) // the last is of the first one's domain
	s, other := &Selector{}, candidates(3)[1:]
	other[1].Domain = other[0].Domain
	is.Equal(s.Choose(1, other), []fleet.InstanceID{"i1", "i2"})
	all[2].Domain = all[1].Domain
	is.Equal(s.Choose(2, append(other, all[3])), []fleet.InstanceID{"i1", "i3"})
	is.Equal(s.Choose(3, append(slices.Clone(all[:1]), append(other, all[3])...)), []fleet.InstanceID{"i0", "i1"})
	_, _, turns := play(s, 4, time.Minute, all, func(fleet.InstanceID) bool { return true })
	is.Equal(turns, 2) // those two, who go on
}

// The store turns a third of the instances away, the first in the order, and nobody hears news although the others could
// read: whoever is turned away gives its turn to another one, drawn from all.
func TestWhoIsTurnedAwayGivesItsTurnAway(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{30, 100, 300, 930} {
		s, all := &Selector{}, candidates(n)
		end, _, _ := play(s, 1, time.Second, all, func(fleet.InstanceID) bool { return true })
		refused := func(id fleet.InstanceID) bool {
			i := slices.IndexFunc(all, func(c Candidate) bool { return c.ID == id })
			return i < n/3
		}
		reads := func(id fleet.InstanceID) bool { return !refused(id) }
		end, chosen, _ := play(s, end, 2*time.Second, all, reads)
		is.True(reads(chosen[0]) || reads(chosen[1])) // somebody reads
		_, chosen, _ = play(s, end, 10*time.Second, all, reads)
		is.True(reads(chosen[0]) && reads(chosen[1]))
	}
}

// The store is down for ten seconds, and the fleet's calls grow with its instances just then: turns get longer while
// nobody can read, so that their number doesn't.
func TestTurnsDontGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{2, 30, 100, 300, 930} {
		s := &Selector{}
		end, _, _ := play(s, 1, time.Second, candidates(n), func(fleet.InstanceID) bool { return true })
		end, _, turns := play(s, end, 10*time.Second, candidates(n), func(fleet.InstanceID) bool { return false })
		is.True(turns <= 2*10*1000/int(longestTurn.Milliseconds())+6) // both readers' turns, with the first short ones
		is.True(s.OutageDuration(end) > 9*time.Second)
		end, _, _ = play(s, end, time.Second, candidates(n), func(fleet.InstanceID) bool { return true })
		is.Equal(s.OutageDuration(end), time.Duration(0)) // it is back
	}
}

// A reader is cut off and the dispatcher believes that nobody reads, though the other one does.
func TestOneWhoReadsIsEnough(t *testing.T) {
	is := is.New(t)
	s := &Selector{}
	all := candidates(2)
	end, _, _ := play(s, 1, time.Second, all, func(fleet.InstanceID) bool { return true })
	end, _, _ = play(s, end, 3*time.Second, all, func(id fleet.InstanceID) bool { return id == "i1" })
	is.Equal(s.OutageDuration(end), time.Duration(0))
}

// What an instance that has no turn says of reads that were under way when it lost it does not count.
func TestOnlyReadersReport(t *testing.T) {
	is := is.New(t)
	s := &Selector{}
	s.Choose(1, candidates(3))
	s.HandleReport(2, "i2", Report{FailingFor: time.Second})
	is.Equal(s.OutageDuration(3), time.Duration(0))
}
