package dispatch

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// An upstream can lose an answer, or stand behind a connection that went silent: nothing ever comes, and nobody is
// told. The caller waits until it gives up, and the engines of a long prompt are believed to read it meanwhile.

const (
	// overdueFactor and overdueMargin bound how much later than planned a first event may come: an engine that pauses
	// for another read, a trip that is lost and sent again.
	overdueFactor = 3
	overdueMargin = 300 * time.Millisecond
	// leastOverdue is the least time for a plain answer: a packet that is lost is sent again after 0.2 s.
	leastOverdue = 250 * time.Millisecond
	// Weights of the newest answer in the mean and in the mean deviation of plain answers' times, and how many
	// deviations over the mean are not overdue yet: as for retransmissions in RFC 6298.
	meanShare      = 1.0 / 8
	deviationShare = 1.0 / 4
	deviations     = 4
)

// answers is how long plain answers have taken lately.
type answers struct {
	known           bool
	mean, deviation float64 // ms
}

func (a *answers) take(took time.Duration) {
	ms := toMs(took)
	if !a.known {
		*a = answers{known: true, mean: ms, deviation: ms / 2}
		return
	}
	off := ms - a.mean
	if off < 0 {
		off = -off
	}
	a.deviation += deviationShare * (off - a.deviation)
	a.mean += meanShare * (ms - a.mean)
}

// overdue is from when on a plain answer is overdue; 0: nothing is known yet.
func (a *answers) overdue() time.Duration {
	if !a.known {
		return 0
	}
	return max(leastOverdue, fromMs(a.mean+deviations*a.deviation))
}

// overdue is how long after its grant a run's first event is overdue; 0: it can't be told.
func (s *State) overdue(r *run) time.Duration {
	if s.model == nil {
		return s.answers.overdue()
	}
	return overdueFactor*fromMs(r.planned*r.pace) + overdueMargin
}

// forgetOverdue takes reads off the engines' books whose first event should have come long ago.
func (s *State) forgetOverdue(now decide.Instant) {
	if s.model == nil {
		return
	}
	for r := range s.unread {
		if now.Sub(r.granted) >= s.overdue(r) {
			s.readDone(r)
		}
	}
}
