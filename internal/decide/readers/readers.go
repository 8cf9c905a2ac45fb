// Package readers decides which instances read the metadata store on behalf of all that are attached to one
// dispatcher.
//
// Every call to the store is paid for and counts against a rate limit that all instances share. If each instance
// without recent changes read by itself, the calls would grow with the fleet just when the store can serve the
// fewest, for example while it refuses the calls of a third of the instances. Therefore the dispatcher names two
// readers. A turn is the time during which an instance is a reader. A reader whose reads fail loses its turn to
// another instance after a timeout, and the timeout grows while no reader succeeds, so that the calls don't grow
// with the fleet.
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
	// readerCount is how many instances read: one, and a second one that covers the time until a failure of the
	// first is detected.
	readerCount = 2
	// minTurnTimeout and maxTurnTimeout bound how long a reader may fail before it loses its turn. The timeout
	// doubles with each failed turn, because repeated failures indicate that the store has failed and not the path
	// to it.
	minTurnTimeout = 200 * time.Millisecond
	maxTurnTimeout = 800 * time.Millisecond
	// minBackoff and maxBackoff bound how long an instance whose turn failed is not chosen while others are
	// available.
	minBackoff = time.Second
	maxBackoff = 16 * time.Second
)

// Candidate is an instance that may become a reader.
type Candidate struct {
	ID     fleet.InstanceID
	Domain fleet.DomainID
}

// Report is a reader's report on its reads.
type Report struct {
	FailingFor time.Duration // how long its reads have failed or hung; 0: they succeed
	ProofAge   time.Duration // age of its newest proof that a copy is current, over all kinds that it reads
}

// reader is an instance that has been chosen at least once.
type reader struct {
	chosen       bool // it is a reader now
	turnStart    decide.Instant
	failingFor   time.Duration  // from its last report
	backoffUntil decide.Instant // avoided until then
	backoff      time.Duration  // duration of the last backoff; reset to 0 by a success
}

// Selector is the dispatcher's state for choosing readers. The zero value is ready for use. It is not safe for
// concurrent use.
type Selector struct {
	readers     map[fleet.InstanceID]*reader
	failedTurns int            // turns that failed since a reader last succeeded
	outageSince decide.Instant // since when no reader has succeeded; 0: no outage
	lastSuccess decide.Instant // when a reader last reported success
}

// HandleReport records the report of a reader. Reports of other instances are ignored. A success counts only if
// its proof is newer than the start of the reader's turn. A failure starts an outage if no reader has succeeded
// for longer than minTurnTimeout.
func (sel *Selector) HandleReport(now decide.Instant, id fleet.InstanceID, report Report) {
	r := sel.readers[id]
	if r == nil || !r.chosen {
		return
	}
	r.failingFor = report.FailingFor
	switch {
	case report.FailingFor == 0 && report.ProofAge < now.Sub(r.turnStart):
		r.backoff, sel.failedTurns, sel.outageSince, sel.lastSuccess = 0, 0, 0, now
	case report.FailingFor > 0 && sel.outageSince == 0 && now.Sub(sel.lastSuccess) > minTurnTimeout:
		sel.outageSince = now.Add(-report.FailingFor)
	}
}

// OutageDuration returns how long no reader has been able to read the store; 0 means that there is no outage.
func (sel *Selector) OutageDuration(now decide.Instant) time.Duration {
	if sel.outageSince == 0 {
		return 0
	}
	return max(1, now.Sub(sel.outageSince))
}

// turnTimeout returns how long a reader may currently fail before it loses its turn.
func (sel *Selector) turnTimeout() time.Duration {
	return min(maxTurnTimeout, minTurnTimeout<<min(sel.failedTurns, 8))
}

// Choose returns the readers among the candidates, at most readerCount. The candidates are in order of preference,
// the dispatcher first.
func (sel *Selector) Choose(now decide.Instant, all []Candidate) []fleet.InstanceID {
	sel.dropDeparted(all)
	sel.endFailedTurns(now)
	chosen := sel.separateDomains(all, sel.preferFirst(now, all, sel.current(all)))
	for len(chosen) < min(readerCount, len(all)) {
		c := sel.bestCandidate(now, all, chosen)
		sel.startTurn(now, c)
		chosen = append(chosen, c)
	}
	ids := make([]fleet.InstanceID, len(chosen))
	for i, c := range chosen {
		ids[i] = c.ID
	}
	return ids
}

// current returns the candidates whose turn continues.
func (sel *Selector) current(all []Candidate) []Candidate {
	var kept []Candidate
	for _, c := range all {
		if r := sel.readers[c.ID]; r != nil && r.chosen {
			kept = append(kept, c)
		}
	}
	return kept
}

// preferFirst replaces the last reader by the first candidate if that one is not a reader yet, because others were
// attached earlier. A dispatcher that doesn't read itself passes on each change one network trip later. A first
// candidate whose last turn failed is chosen like any other.
func (sel *Selector) preferFirst(now decide.Instant, all, kept []Candidate) []Candidate {
	if len(kept) < readerCount || kept[0] == all[0] || sel.lastTurnFailed(all[0]) {
		return kept
	}
	sel.readers[kept[readerCount-1].ID].chosen = false
	sel.startTurn(now, all[0])
	return append([]Candidate{all[0]}, kept[:readerCount-1]...)
}

// separateDomains ends the turn of the second reader if it is in the failure domain of the first and a candidate
// from another domain is available. The first two attached instances may share a domain, and if that were cut off,
// no reader would be left.
func (sel *Selector) separateDomains(all, kept []Candidate) []Candidate {
	if len(kept) < readerCount || kept[0].Domain != kept[1].Domain {
		return kept
	}
	for _, c := range all {
		if c.Domain != kept[0].Domain && !sel.lastTurnFailed(c) {
			sel.readers[kept[1].ID].chosen = false
			return kept[:1]
		}
	}
	return kept
}

// startTurn makes a candidate a reader.
func (sel *Selector) startTurn(now decide.Instant, c Candidate) {
	r := sel.readerFor(c.ID)
	r.chosen, r.turnStart, r.failingFor = true, now, 0
}

// lastTurnFailed reports whether a candidate's last turn failed.
func (sel *Selector) lastTurnFailed(c Candidate) bool {
	r := sel.readers[c.ID]
	return r != nil && r.backoff > 0
}

// readerFor returns the state of an instance and creates it if needed.
func (sel *Selector) readerFor(id fleet.InstanceID) *reader {
	r := sel.readers[id]
	if r == nil {
		r = &reader{}
		sel.readers[id] = r
	}
	return r
}

// dropDeparted removes the state of instances that are no longer candidates.
func (sel *Selector) dropDeparted(all []Candidate) {
	if sel.readers == nil {
		sel.readers = map[fleet.InstanceID]*reader{}
	}
	for id := range sel.readers {
		if !slices.ContainsFunc(all, func(c Candidate) bool { return c.ID == id }) {
			delete(sel.readers, id)
		}
	}
}

// endFailedTurns ends the turns of readers that have failed for the timeout, and starts their backoff.
func (sel *Selector) endFailedTurns(now decide.Instant) {
	for _, r := range sel.readers {
		if !r.chosen || r.failingFor < sel.turnTimeout() || now.Sub(r.turnStart) < sel.turnTimeout() {
			continue
		}
		r.chosen = false
		r.backoff = min(maxBackoff, max(minBackoff, 2*r.backoff))
		r.backoffUntil = now.Add(r.backoff)
		sel.failedTurns++
	}
}

// bestCandidate returns the candidate to choose next. It prefers, in this order: candidates that are not in
// backoff, or whose backoff ends first; candidates of another failure domain than the first reader, as two domains
// are rarely cut off together; the given order. After a failed turn a pseudo-random order replaces the given one,
// because neighbors in the given order may be cut off together.
func (sel *Selector) bestCandidate(now decide.Instant, all, chosen []Candidate) Candidate {
	best, found := Candidate{}, false
	for _, c := range all {
		if slices.Contains(chosen, c) {
			continue
		}
		if !found || sel.preferred(now, c, best, chosen) {
			best, found = c, true
		}
	}
	return best
}

// preferred reports whether bestCandidate prefers a to b; chosen holds the readers that are chosen already.
func (sel *Selector) preferred(now decide.Instant, a, b Candidate, chosen []Candidate) bool {
	backoffA, backoffB := sel.backoffEnd(now, a), sel.backoffEnd(now, b)
	if backoffA != backoffB {
		return backoffA < backoffB
	}
	sameDomain := func(c Candidate) bool { return len(chosen) > 0 && chosen[0].Domain == c.Domain }
	if sameA, sameB := sameDomain(a), sameDomain(b); sameA != sameB {
		return sameB
	}
	return sel.failedTurns > 0 && sel.tieBreak(a) > sel.tieBreak(b)
}

// tieBreak returns a number that orders the candidates differently after each failed turn.
func (sel *Selector) tieBreak(c Candidate) uint64 {
	return rendezvous.Score(strconv.Itoa(sel.failedTurns), string(c.ID))
}

// backoffEnd returns when a candidate's backoff ends; 0 means that it is not in backoff.
func (sel *Selector) backoffEnd(now decide.Instant, c Candidate) decide.Instant {
	if r := sel.readers[c.ID]; r != nil && r.backoffUntil > now {
		return r.backoffUntil
	}
	return 0
}
