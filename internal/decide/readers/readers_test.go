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

// candidates returns n candidates spread over five failure domains.
func candidates(n int) []Candidate {
	all := make([]Candidate, n)
	for i := range all {
		all[i] = Candidate{ID: fleet.InstanceID(fmt.Sprint("i", i)), Domain: fleet.DomainID(fmt.Sprint("d", i%5))}
	}
	return all
}

// reportInterval is the time between two reports of a reader.
const reportInterval = 100 * time.Millisecond

// simulate chooses readers and handles their reports for a duration. canRead reports whether an instance can read.
// turns counts how often an instance became a reader.
func simulate(s *Selector, from decide.Instant, duration time.Duration, all []Candidate, canRead func(fleet.InstanceID) bool) (end decide.Instant, chosen []fleet.InstanceID, turns int) {
	failingSince := map[fleet.InstanceID]decide.Instant{}
	for now := from; now < from.Add(duration); now = now.Add(reportInterval) {
		before := chosen
		chosen = s.Choose(now, all)
		for _, id := range chosen {
			if !slices.Contains(before, id) {
				turns++
				failingSince[id] = now
			}
			if canRead(id) {
				s.HandleReport(now, id, Report{ProofAge: 0})
				continue
			}
			s.HandleReport(now, id, Report{FailingFor: max(1, now.Sub(failingSince[id])), ProofAge: time.Hour})
		}
		end = now
	}
	return end, chosen, turns
}

// While reads succeed, two instances of different failure domains read, and no other gets a turn.
func TestReadersStayWhileReadsSucceed(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1, 2, 30, 930} {
		s := &Selector{}
		_, chosen, turns := simulate(s, 1, time.Minute, candidates(n), func(fleet.InstanceID) bool { return true })
		is.Equal(turns, min(2, n))
		is.Equal(len(chosen), min(2, n))
		is.Equal(s.OutageDuration(decide.Instant(time.Minute)), time.Duration(0))
	}
}

// The first candidates may all be in one failure domain. If both readers were, a cut of that domain would leave
// the fleet without changes for seconds.
func TestSecondReaderIsInAnotherDomain(t *testing.T) {
	is := is.New(t)
	all := candidates(10)
	all[1].Domain = all[0].Domain
	chosen := (&Selector{}).Choose(1, all)
	is.Equal(chosen, []fleet.InstanceID{"i0", "i2"})
}

// Instances of one failure domain are attached before the dispatcher and before the others. If they kept their
// turns, the dispatcher would pass on each change one network trip later, and a cut of their domain would leave no
// reader.
func TestEarlyReadersAreReplacedByPreferredOnes(t *testing.T) {
	is := is.New(t)
	all := candidates(6) // the last one is in the first one's failure domain
	s, other := &Selector{}, candidates(3)[1:]
	other[1].Domain = other[0].Domain
	is.Equal(s.Choose(1, other), []fleet.InstanceID{"i1", "i2"})
	all[2].Domain = all[1].Domain
	is.Equal(s.Choose(2, append(other, all[3])), []fleet.InstanceID{"i1", "i3"})
	is.Equal(s.Choose(3, append(slices.Clone(all[:1]), append(other, all[3])...)), []fleet.InstanceID{"i0", "i1"})
	_, _, turns := simulate(s, 4, time.Minute, all, func(fleet.InstanceID) bool { return true })
	is.Equal(turns, 2) // the two current readers, which continue
}

// The store refuses a third of the instances, the first in the order. The fleet would get no changes although the
// others could read, so a refused reader must be replaced by one drawn from all candidates.
func TestRefusedReadersAreReplaced(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{30, 100, 300, 930} {
		s, all := &Selector{}, candidates(n)
		end, _, _ := simulate(s, 1, time.Second, all, func(fleet.InstanceID) bool { return true })
		refused := func(id fleet.InstanceID) bool {
			i := slices.IndexFunc(all, func(c Candidate) bool { return c.ID == id })
			return i < n/3
		}
		canRead := func(id fleet.InstanceID) bool { return !refused(id) }
		end, chosen, _ := simulate(s, end, 2*time.Second, all, canRead)
		is.True(canRead(chosen[0]) || canRead(chosen[1])) // at least one reader succeeds
		_, chosen, _ = simulate(s, end, 10*time.Second, all, canRead)
		is.True(canRead(chosen[0]) && canRead(chosen[1]))
	}
}

// The store is unavailable for ten seconds. The number of turns, and with it the calls, must not grow with the
// fleet: the turn timeout grows while no reader succeeds.
func TestTurnsDontGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{2, 30, 100, 300, 930} {
		s := &Selector{}
		end, _, _ := simulate(s, 1, time.Second, candidates(n), func(fleet.InstanceID) bool { return true })
		end, _, turns := simulate(s, end, 10*time.Second, candidates(n), func(fleet.InstanceID) bool { return false })
		is.True(turns <= 2*10*1000/int(maxTurnTimeout.Milliseconds())+6) // turns of both readers, including the first short ones
		is.True(s.OutageDuration(end) > 9*time.Second)
		end, _, _ = simulate(s, end, time.Second, candidates(n), func(fleet.InstanceID) bool { return true })
		is.Equal(s.OutageDuration(end), time.Duration(0)) // the outage has ended
	}
}

// One reader is cut off. The dispatcher must not report an outage while the other one reads.
func TestOneWorkingReaderIsNoOutage(t *testing.T) {
	is := is.New(t)
	s := &Selector{}
	all := candidates(2)
	end, _, _ := simulate(s, 1, time.Second, all, func(fleet.InstanceID) bool { return true })
	end, _, _ = simulate(s, end, 3*time.Second, all, func(id fleet.InstanceID) bool { return id == "i1" })
	is.Equal(s.OutageDuration(end), time.Duration(0))
}

// An instance whose turn has ended may still report reads that were in flight. They must not count.
func TestReportsOfOtherInstancesAreIgnored(t *testing.T) {
	is := is.New(t)
	s := &Selector{}
	s.Choose(1, candidates(3))
	s.HandleReport(2, "i2", Report{FailingFor: time.Second})
	is.Equal(s.OutageDuration(3), time.Duration(0))
}
