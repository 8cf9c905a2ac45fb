// Package readers decides which instances read the metadata store, for all that are attached to one dispatcher.
//
// The load it answers: every call is paid for and counts against a rate that all instances share. When the store
// turned a third of the machines away, each instance that heard no news read by itself, and the calls grew with
// the instances just when the store could bear least. So the dispatcher names two readers, whoever can't read
// gives the turn to another, and turns get longer the longer nobody can: the calls don't grow with the fleet.
package readers

import (
	"slices"
	"strconv"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/rendezvous"
)

const (
	// count is how many instances read: one, and another while the first is cut off and doesn't know yet.
	count = 2
	// firstTurn and longestTurn bound how long a reader may fail before another one has its turn: doubled with each
	// that fails, since then it is the store, and not the way to it.
	firstTurn   = 200 * time.Millisecond
	longestTurn = 800 * time.Millisecond
	// firstRest and longestRest bound how long a reader that failed isn't chosen while others can be.
	firstRest   = time.Second
	longestRest = 16 * time.Second
)

// Candidate is an instance that may read.
type Candidate struct {
	ID     fleet.InstanceID
	Domain fleet.DomainID
}

// Report is what a reader says of its reads.
type Report struct {
	FailingFor time.Duration // how long its reads have failed or hung; 0: it reads
	ProofAge   time.Duration // of its newest proof of the kind that it reads first
}

// reader is an instance that was chosen once.
type reader struct {
	chosen  bool
	since   decide.Instant // chosen since
	failing time.Duration  // as it reported
	rests   decide.Instant // until then
	rest    time.Duration  // the last
}

// State is what the dispatcher knows of readers. The zero value is ready for use; it is not safe for concurrent use.
type Selector struct {
	known  map[fleet.InstanceID]*reader
	turns  int            // that ended in failure since anybody read
	lost   decide.Instant // since when nobody could read; 0: somebody can
	served decide.Instant // when somebody last said that it reads
}

// Report takes what a reader says.
func (s *Selector) HandleReport(now decide.Instant, id fleet.InstanceID, r Report) {
	k := s.known[id]
	if k == nil || !k.chosen {
		return
	}
	k.failing = r.FailingFor
	switch {
	case r.FailingFor == 0 && r.ProofAge < now.Sub(k.since):
		k.rest, s.turns, s.lost, s.served = 0, 0, 0, now
	case r.FailingFor > 0 && s.lost == 0 && now.Sub(s.served) > firstTurn:
		s.lost = now.Add(-r.FailingFor)
	}
}

// Lost is how long nobody has been able to read the store; 0: somebody is.
func (s *Selector) OutageDuration(now decide.Instant) time.Duration {
	if s.lost == 0 {
		return 0
	}
	return max(1, now.Sub(s.lost))
}

// turn is how long a reader may fail.
func (s *Selector) turn() time.Duration { return min(longestTurn, firstTurn<<min(s.turns, 8)) }

// Choose gives the readers among the candidates, which come in the order of preference: the dispatcher first.
func (s *Selector) Choose(now decide.Instant, all []Candidate) []fleet.InstanceID {
	s.forget(all)
	s.endTurns(now)
	chosen := s.spread(all, s.withFirst(now, all, s.kept(all)))
	for len(chosen) < min(count, len(all)) {
		c := s.next(now, all, chosen)
		s.begin(now, c)
		chosen = append(chosen, c)
	}
	ids := make([]fleet.InstanceID, len(chosen))
	for i, c := range chosen {
		ids[i] = c.ID
	}
	return ids
}

// kept gives the readers whose turn goes on.
func (s *Selector) kept(all []Candidate) []Candidate {
	var kept []Candidate
	for _, c := range all {
		if k := s.known[c.ID]; k != nil && k.chosen {
			kept = append(kept, c)
		}
	}
	return kept
}

// withFirst gives the first candidate a turn that it may not have had, since others were attached before it: a
// dispatcher that doesn't read tells each change a trip later. One that failed waits for its turn like the others.
func (s *Selector) withFirst(now decide.Instant, all, kept []Candidate) []Candidate {
	if len(kept) < count || kept[0] == all[0] || s.failed(all[0]) {
		return kept
	}
	s.known[kept[count-1].ID].chosen = false
	s.begin(now, all[0])
	return append([]Candidate{all[0]}, kept[:count-1]...)
}

// spread ends the turn of a second reader of the first one's failure domain once there is a better one: the two may be
// the first that were attached, and a cut of their domain would leave nobody who reads.
func (s *Selector) spread(all, kept []Candidate) []Candidate {
	if len(kept) < count || kept[0].Domain != kept[1].Domain {
		return kept
	}
	for _, c := range all {
		if c.Domain != kept[0].Domain && !s.failed(c) {
			s.known[kept[1].ID].chosen = false
			return kept[:1]
		}
	}
	return kept
}

// begin gives a candidate its turn.
func (s *Selector) begin(now decide.Instant, c Candidate) {
	k := s.of(c.ID)
	k.chosen, k.since, k.failing = true, now, 0
}

// failed tells whether a candidate's last turn ended in failure.
func (s *Selector) failed(c Candidate) bool {
	k := s.known[c.ID]
	return k != nil && k.rest > 0
}

func (s *Selector) of(id fleet.InstanceID) *reader {
	k := s.known[id]
	if k == nil {
		k = &reader{}
		s.known[id] = k
	}
	return k
}

// forget drops what is known of instances that are no candidates any more.
func (s *Selector) forget(all []Candidate) {
	if s.known == nil {
		s.known = map[fleet.InstanceID]*reader{}
	}
	for id := range s.known {
		if !slices.ContainsFunc(all, func(c Candidate) bool { return c.ID == id }) {
			delete(s.known, id)
		}
	}
}

// endTurns takes the turn from readers that have failed for too long.
func (s *Selector) endTurns(now decide.Instant) {
	for _, k := range s.known {
		if !k.chosen || k.failing < s.turn() || now.Sub(k.since) < s.turn() {
			continue
		}
		k.chosen = false
		k.rest = min(longestRest, max(firstRest, 2*k.rest))
		k.rests = now.Add(k.rest)
		s.turns++
	}
}

// next gives the best candidate that isn't chosen: one that doesn't rest, then one of another failure domain than the
// one chosen, which is seldom cut off together with it; where all rest, the one whose rest ends first. After a failure
// it is drawn from all: those that stand together in the order may be cut off together.
func (s *Selector) next(now decide.Instant, all, chosen []Candidate) Candidate {
	best, found := Candidate{}, false
	for _, c := range all {
		if slices.Contains(chosen, c) {
			continue
		}
		if !found || s.better(now, c, best, chosen) {
			best, found = c, true
		}
	}
	return best
}

func (s *Selector) better(now decide.Instant, a, b Candidate, chosen []Candidate) bool {
	restsA, restsB := s.restsUntil(now, a), s.restsUntil(now, b)
	if restsA != restsB {
		return restsA < restsB
	}
	beside := func(c Candidate) bool { return len(chosen) > 0 && chosen[0].Domain == c.Domain }
	if besideA, besideB := beside(a), beside(b); besideA != besideB {
		return besideB
	}
	return s.turns > 0 && s.draw(a) > s.draw(b)
}

// draw gives a number that orders the candidates anew for each turn.
func (s *Selector) draw(c Candidate) uint64 {
	return rendezvous.Score(strconv.Itoa(s.turns), string(c.ID))
}

// restsUntil is when a candidate's rest ends; 0: it doesn't rest.
func (s *Selector) restsUntil(now decide.Instant, c Candidate) decide.Instant {
	if k := s.known[c.ID]; k != nil && k.rests > now {
		return k.rests
	}
	return 0
}
