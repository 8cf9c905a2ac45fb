package reserve

import (
	"slices"
	"strings"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// Reasons for which the sweeper releases a reservation.
const (
	DeadlinePassed decide.Reason = "deadline_passed" // the deadline of its request and ReleaseGrace have passed
	HolderGone     decide.Reason = "holder_gone"     // its holder's incarnation no longer exists
)

const (
	// ReleaseGrace is the time after a request's deadline for which the sweeper leaves the release to a holder that is not
	// gone.
	ReleaseGrace = 5 * time.Second
	// MinAbsence is the time for which the sweeper must find a holder missing without interruption before the holder
	// counts as gone. It exceeds the lag of the instance list, which does not show a holder that has just started.
	MinAbsence = 15 * time.Second
)

// Holder is one incarnation of an instance, as the owner of a reservation.
type Holder struct {
	Instance    fleet.InstanceID
	Incarnation string
}

// Presence is the state of a holder as known to a sweeper.
type Presence uint8

// The values of Presence.
const (
	Present      Presence = iota
	Missing               // not in the instance list, or known to have restarted since
	Undetermined          // the sweeper's own information is too old to decide
)

// Orphan is a reservation that the sweeper releases in place of its holder.
type Orphan struct {
	ID     string
	Holder Holder
	Reason decide.Reason
}

// Sweeper finds the reservations on engines that no holder will release. Any number of instances may run one at the
// same time, and a wrong decision about a holder has limited effect: a release names one reservation's id, a second
// release of it has no effect, and a live holder whose reservation is released sees only that one request fail.
type Sweeper struct {
	missing []absence // sorted by holder
}

// absence is the current period during which a holder is missing.
type absence struct {
	holder      Holder
	since       decide.Instant
	lastMissing decide.Instant
}

// FindOrphans returns the reservations of one engine that are to be released.
//
// Deadlines are measured by the engine's own clock (the reservation's age), so that no two clocks are compared.
//
// MinAbsence guards against an instance list that lags and does not show a live holder yet, which would cause the
// reservations of a new instance to be released. The holder must stay missing for that time. The period starts again if
// the sweeper has not checked the holder for as long, for example because the sweeper was paused.
func (s *Sweeper) FindOrphans(list *wire.Reservations, presence func(Holder) Presence, now decide.Instant) []Orphan {
	var orphans []Orphan
	for i := range list.Reservations {
		r := &list.Reservations[i]
		h := Holder{fleet.InstanceID(r.Holder), r.Incarnation}
		switch {
		case overdue(r):
			orphans = append(orphans, Orphan{r.ID, h, DeadlinePassed})
		case s.isGone(h, presence(h), now):
			orphans = append(orphans, Orphan{r.ID, h, HolderGone})
		}
	}
	return orphans
}

// overdue reports whether the deadline of the reservation's request and ReleaseGrace have passed.
func overdue(r *wire.Reservation) bool {
	age := time.Duration(r.AgeMs) * time.Millisecond
	deadline := time.Duration(r.DeadlineMs) * time.Millisecond
	return r.DeadlineMs > 0 && age > deadline+ReleaseGrace
}

// isGone records the presence of the holder, and reports whether the holder has been missing for MinAbsence.
func (s *Sweeper) isGone(h Holder, p Presence, now decide.Instant) bool {
	at, found := slices.BinarySearchFunc(s.missing, h, func(a absence, h Holder) int { return compareHolders(a.holder, h) })
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
	if now.Sub(a.lastMissing) >= MinAbsence {
		a.since = now
	}
	a.lastMissing = now
	return now.Sub(a.since) >= MinAbsence
}

// compareHolders orders holders by instance, then by incarnation.
func compareHolders(a, b Holder) int {
	if c := strings.Compare(string(a.Instance), string(b.Instance)); c != 0 {
		return c
	}
	return strings.Compare(a.Incarnation, b.Incarnation)
}

// Prune removes the holders that were last found missing a long time ago: they have no reservations left.
func (s *Sweeper) Prune(now decide.Instant) {
	s.missing = slices.DeleteFunc(s.missing, func(a absence) bool { return now.Sub(a.lastMissing) > 4*MinAbsence })
}
