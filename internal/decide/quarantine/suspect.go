package quarantine

import (
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

const (
	// suspectRetention is how long a key stays suspect without a further end.
	suspectRetention = 10 * time.Minute
	// maxSuspects bounds the suspects. The one whose last end is longest ago is evicted first.
	maxSuspects = 4096
	// maxEndsKept bounds the ends that are kept of a suspect.
	maxEndsKept = 64
	// answeredRetention is how long at least, and twice as long at most, a key counts as one of answered requests. No more than
	// maxAnswered keys are kept for that time.
	answeredRetention = time.Minute
	maxAnswered       = 20_000
)

// suspect is a key whose requests may end their upstreams.
type suspect struct {
	ends     []*end // of upstreams that requests with the key were on
	rounds   int    // ends under a request that was sent after the one before, so that ends at one moment count once
	lastEnd  decide.Instant
	lastSent decide.Instant           // of the requests in unproven
	unproven map[fleet.RequestID]bool // requests on their way whose outcome isn't known

	wholeContent bool // the key stands for the whole content of a request
	owners       owners
}

// awaitsOutcome reports whether the next request with the key must wait.
func (s *suspect) awaitsOutcome(now decide.Instant) bool {
	return len(s.unproven) > 0 && now.Sub(s.lastSent) < tryInterval || now.Sub(s.ends[len(s.ends)-1].at) < settleTime
}

// charge counts the end of a request's upstream against one of its keys.
func (t *Table) charge(now decide.Instant, k Key, r *run, e *end) {
	s := t.suspects[k]
	if s == nil || now.Sub(s.lastEnd) > suspectRetention {
		s = t.addSuspect(k, k == r.keys[0])
	}
	if slices.Contains(s.ends, e) || len(s.ends) >= maxEndsKept {
		return
	}
	s.ends = append(s.ends, e)
	if s.rounds == 0 || r.startedAt >= s.lastEnd {
		s.rounds, s.lastEnd = s.rounds+1, now
	}
}

// addSuspect makes a key suspect. The outcome of the requests with the key that are on their way is awaited. Of a whole content there is rarely
// another one, and a search for it among all requests would delay the dispatcher.
func (t *Table) addSuspect(k Key, wholeContent bool) *suspect {
	if len(t.suspects) >= maxSuspects {
		t.evictSuspect()
	}
	s := &suspect{unproven: map[fleet.RequestID]bool{}, wholeContent: wholeContent}
	t.suspects[k] = s
	if wholeContent {
		return s
	}
	for id, r := range t.runs {
		if !r.proven && slices.Contains(r.keys, k) {
			s.unproven[id], s.lastSent = true, max(s.lastSent, r.startedAt)
		}
	}
	return s
}

// evictSuspect removes the suspect whose last end is longest ago.
func (t *Table) evictSuspect() {
	var oldest Key
	for k, s := range t.suspects {
		if o := t.suspects[oldest]; o == nil || s.lastEnd < o.lastEnd {
			oldest = k
		}
	}
	delete(t.suspects, oldest)
}

// answeredKeys are the keys of requests that were answered lately, without those of whole contents. They are kept in two
// generations, of which the older one is dropped when the newer one is full or old.
type answeredKeys struct {
	newer, older map[Key]bool
	since        decide.Instant // of newer
}

// newAnsweredKeys returns no keys.
func newAnsweredKeys() answeredKeys { return answeredKeys{newer: map[Key]bool{}} }

// add adds a key.
func (a *answeredKeys) add(now decide.Instant, k Key) {
	if len(a.newer) >= maxAnswered || now.Sub(a.since) > answeredRetention {
		a.newer, a.older, a.since = map[Key]bool{}, a.newer, now
	}
	a.newer[k] = true
}

// has reports whether requests with the key were answered lately.
func (a *answeredKeys) has(k Key) bool { return a.newer[k] || a.older[k] }

// endsNeeded returns how many ends one after the other, under requests with a key, hold them back.
func (a *answeredKeys) endsNeeded(k Key) int {
	if a.has(k) {
		return maxEndsAnswered
	}
	return MaxEnds
}

// trialEnds returns the number of ends, at different moments, from which on requests with a key are sent one at a time.
func (a *answeredKeys) trialEnds(k Key) int { return a.endsNeeded(k) - 1 }

// tolerance returns the number of ends under requests with a key up to which the next one needn't wait for the outcome of the
// one before.
func (a *answeredKeys) tolerance(k Key) int {
	if a.has(k) {
		return MaxEnds - 1
	}
	return 0
}
