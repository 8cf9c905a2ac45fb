package reserve

import (
	"slices"
	"strings"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// Reasons of a sweep.
const (
	DeadlinePassed decide.Reason = "deadline_passed" // its request must have been over, and the grace too
	HolderGone     decide.Reason = "holder_gone"     // its holder's incarnation is not there any more
)

const (
	// Grace is how long after its request's deadline a reservation is left to its holder's release.
	ReleaseGrace = 5 * time.Second
	// GoneFor is how long a holder must have been missing, without a break, in what the sweeper sees. It
	// is above the lag of the instance list, which does not show a holder that has just started.
	MinAbsence = 15 * time.Second
)

// Holder is one life of an instance.
type Holder struct {
	Instance    fleet.InstanceID
	Incarnation string
}

// Presence is what a sweeper sees of a holder.
type Presence uint8

// The presences.
const (
	Present      Presence = iota
	Missing               // not in the list, or the list or its heartbeat shows another incarnation
	Undetermined          // what the sweeper sees is itself too old to tell
)

// Sweep is one reservation to be released.
type Orphan struct {
	ID     string
	Holder Holder
	Reason decide.Reason
}

// Sweeper decides which reservations of engines have nobody left to release them. It may run on any
// number of instances at once and be wrong about a holder: a release names a reservation's id, releasing
// twice does no harm, and a live holder whose reservation was swept sees its one request end in an error.
type Sweeper struct {
	missing []absence // sorted by holder
}

type absence struct {
	holder Holder
	since  decide.Instant
	last   decide.Instant
}

// Judge goes through one engine's reservations.
//
// Deadlines are counted by the engine's own clock (the reservation's age), so that no two clocks are
// compared. Failure guarded against by GoneFor: a list that lags does not show a holder that is there. It
// shows as a young instance's reservations being swept. The absence must last, and is forgotten when the
// sweeper itself has not looked for as long: a sweeper that was paused begins anew.
func (s *Sweeper) FindOrphans(list *wire.Reservations, presence func(Holder) Presence, now decide.Instant) []Orphan {
	var swept []Orphan
	for i := range list.Reservations {
		r := &list.Reservations[i]
		h := Holder{fleet.InstanceID(r.Holder), r.Incarnation}
		switch {
		case overdue(r):
			swept = append(swept, Orphan{r.ID, h, DeadlinePassed})
		case s.gone(h, presence(h), now):
			swept = append(swept, Orphan{r.ID, h, HolderGone})
		}
	}
	return swept
}

func overdue(r *wire.Reservation) bool {
	age := time.Duration(r.AgeMs) * time.Millisecond
	deadline := time.Duration(r.DeadlineMs) * time.Millisecond
	return r.DeadlineMs > 0 && age > deadline+ReleaseGrace
}

func (s *Sweeper) gone(h Holder, p Presence, now decide.Instant) bool {
	at, found := slices.BinarySearchFunc(s.missing, h, func(a absence, h Holder) int { return compare(a.holder, h) })
	switch {
	case p == Present && found:
		s.missing = slices.Delete(s.missing, at, at+1)
		return false
	case p != Missing:
		return false
	case !found:
		s.missing = slices.Insert(s.missing, at, absence{h, now, now})
		return false
	}
	a := &s.missing[at]
	if now.Sub(a.last) >= MinAbsence {
		a.since = now
	}
	a.last = now
	return now.Sub(a.since) >= MinAbsence
}

func compare(a, b Holder) int {
	if c := strings.Compare(string(a.Instance), string(b.Instance)); c != 0 {
		return c
	}
	return strings.Compare(a.Incarnation, b.Incarnation)
}

// Forget drops holders that were not seen missing for long: they have no reservations left.
func (s *Sweeper) Prune(now decide.Instant) {
	s.missing = slices.DeleteFunc(s.missing, func(a absence) bool { return now.Sub(a.last) > 4*MinAbsence })
}
