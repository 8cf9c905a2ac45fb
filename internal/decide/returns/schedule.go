package returns

import (
	"math"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

const (
	// minWait and maxWait bound the wait of a new promise. Callers do not wait longer than maxWaitShare of the time that
	// they have left.
	minWait      = 200 * time.Millisecond
	maxWait      = 10 * time.Second
	maxWaitShare = 1.0 / 3
	// callerLead is how much earlier than its arrival a caller may have begun to count its time: it connects and sends a
	// prompt of megabytes. It would otherwise wait less than it was told to, and return early.
	callerLead = 250 * time.Millisecond
	// waitPrecision is the precision of Retry-After in an answer. A wait that is no multiple of it would be rounded, and
	// a caller that waits as stated could return too early.
	waitPrecision = 10 * time.Millisecond
	// retention is how long after its due time a promise ends. It covers the caller's connection to another instance and
	// the message to the dispatcher.
	retention = 5 * time.Second

	// sliceLength is the length of the time slices into which promises are divided.
	sliceLength = 50 * time.Millisecond
	// ringSize is the number of time slices in which promises can be due, with those that are past.
	ringSize = int64((maxWait+retention)/sliceLength) + 4

	// promisedShare is the share of the starts that is promised. The rest is for jobs that arrive meanwhile.
	promisedShare = 0.5
	// startsTime is the time constant of the rate of starts, about that of a short answer. After an outage all slots are
	// taken at once, and become free over that time.
	startsTime = 3 * time.Second
	// minStartsPerSecond is the rate of starts that is assumed if fewer were seen lately.
	minStartsPerSecond = 1.0
)

// schedule spreads the promises to callers of one kind over time.
type schedule struct {
	starts   rate
	promised [ringSize]int // promises by the ring index of the time slice in which they are due
}

// wait returns the wait for a new promise, at most longest. It ends in the first time slice after the given time until
// there is room that has room left. If all are full until the longest wait, it ends in the one with the fewest promises.
func (s *schedule) wait(now decide.Instant, room, longest time.Duration) time.Duration {
	if room >= longest {
		return longest
	}
	earliest := max(room, minWait)
	first, last := sliceAt(now.Add(earliest)), sliceAt(now.Add(longest))
	perSlice := promisedShare * max(minStartsPerSecond, s.starts.at(now)) * sliceLength.Seconds()
	n := s.freeSlice(first, last, perSlice)
	within := time.Duration(float64(sliceLength) * min(1, float64(s.promised[ringIndex(n)])/math.Ceil(perSlice)))
	due := decide.Instant(n * int64(sliceLength)).Add(within)
	return min(longest, roundUp(max(earliest, due.Sub(now))))
}

// freeSlice returns the first time slice with room left for a promise, where each has room for perSlice promises, and for
// those before it that exceed their own room. If there is none, it returns the latest of those with the fewest promises.
func (s *schedule) freeSlice(first, last int64, perSlice float64) int64 {
	left, fewest := max(0, 1-perSlice), first
	for n := first; n <= last; n++ {
		left += perSlice - float64(s.promised[ringIndex(n)])
		if left >= 1 {
			return n
		}
		if s.promised[ringIndex(n)] <= s.promised[ringIndex(fewest)] {
			fewest = n
		}
	}
	return fewest
}

// longestWait returns how long a caller waits at most that has time until the deadline.
func longestWait(now, deadline decide.Instant) time.Duration {
	share := time.Duration(maxWaitShare * float64(deadline.Sub(now)-callerLead))
	return min(maxWait, max(minWait, share)).Truncate(waitPrecision)
}

// roundUp rounds a wait up to waitPrecision.
func roundUp(wait time.Duration) time.Duration {
	return (wait + waitPrecision - 1).Truncate(waitPrecision)
}

// sliceAt returns the number of the time slice that an instant belongs to.
func sliceAt(t decide.Instant) int64 { return int64(t) / int64(sliceLength) }

// ringIndex returns the index of a time slice in the ring of those that are kept.
func ringIndex(n int64) int64 { return (n%ringSize + ringSize) % ringSize }

// rate is the recent rate of starts: an exponentially weighted mean.
type rate struct {
	perSecond float64
	updatedAt decide.Instant
}

// add counts a start.
func (r *rate) add(now decide.Instant) {
	r.perSecond, r.updatedAt = r.at(now)+1/startsTime.Seconds(), max(now, r.updatedAt)
}

// at returns the rate at an instant.
func (r *rate) at(now decide.Instant) float64 {
	age := max(0, now.Sub(r.updatedAt))
	return r.perSecond * math.Exp(-age.Seconds()/startsTime.Seconds())
}
