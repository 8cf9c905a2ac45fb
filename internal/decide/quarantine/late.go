package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// An upstream may also end when it has answered a request for a while: at a certain token, or when its memory is full. Each of the
// requests that it held may be the cause then, and most of them are innocent. A key under which several upstreams ended, while
// no request with it was answered to its end, is put to the test: one request with it at a time is sent, a trial. It is the
// cause if the upstreams of trials end far more often than the others do meanwhile.

const (
	// maxTrialChance is the probability, of as many ends by chance, up to which requests with a key are put to the test.
	maxTrialChance = 0.05
	// minFreeChance is the probability above which they no longer are.
	minFreeChance = 0.3
	// maxChance is the probability, of as many ended trials by chance, up to which one trial shows a cause.
	maxChance = 0.02
	// maxEndsTogether is the number of ends, at different moments, from which a key counts as a cause although another request was
	// tried on the same upstream.
	maxEndsTogether = 2 * MaxEnds
	// rateWindow is the time in which the ends of other upstreams are counted.
	rateWindow = 10 * time.Second
	// evictedShare is the divisor of the suspects that are removed together when there are too many: to rank them takes a while.
	evictedShare = 8
	// sameMoment is the time within which ends count as one, as when a failure domain loses power.
	sameMoment = 300 * time.Millisecond
)

// lateSuspect is a key of requests whose upstreams ended after they had been answered for a while.
type lateSuspect struct {
	wholeContent bool // the key stands for the whole content of a request
	owners       owners

	ends        []chargedEnd
	lastEnd     decide.Instant
	moments     int            // at which upstreams ended; ends at one moment count once
	lastMoment  decide.Instant // the latest one counted
	exposed     time.Duration  // sum over the moments, from the send of a request to the end of its upstream
	answeredFor time.Duration  // the longest answer that an end cut off
	sentFor     time.Duration  // the longest time from the send of a request to the end of its upstream

	tried       bool           // requests with the key are put to the test
	trial       *run           // the latest trial, while it is on its way
	trialFailed decide.Instant // when the latest trial failed
	endedTrials int            // trials whose upstreams ended
	tested      time.Duration  // that these trials would have taken if their upstreams had not ended
}

// chargedEnd is an end that counts against a key.
type chargedEnd struct {
	*end
	after time.Duration // since the send of the request with the key
}

// bears reports whether an end counts against the key.
func (s *lateSuspect) bears(e *end) bool {
	return slices.ContainsFunc(s.ends, func(c chargedEnd) bool { return c.end == e })
}

// EndedLate records that the upstream of a request ended after the request was proven, and before its answer was complete.
func (t *Table) EndedLate(now decide.Instant, id fleet.RequestID, upstream fleet.Process) {
	t.recordEnd(now, id, upstream, t.blameLate)
}

// blameLate records that a request which was answered for a while may be the cause of an upstream's end, unless a verdict
// explains it.
func (t *Table) blameLate(now decide.Instant, r *run, e *end) {
	e.explained = e.explained || t.prolong(now, r)
	if e.explained {
		return
	}
	e.answered = append(e.answered, r)
	if e.settled {
		t.settleLate(now, e)
	}
}

// settleLate decides whether the end of an upstream, which nothing else explains, shows a cause among the requests that it had
// answered for a while.
func (t *Table) settleLate(now decide.Instant, e *end) {
	if e.explained {
		return
	}
	var tried []*run
	for _, r := range slices.Concat(e.answered, e.requests) {
		t.chargeLateRun(now, r, e)
		if len(r.trialOf) > 0 {
			tried = append(tried, r)
		}
	}
	for _, r := range tried {
		if shown := t.shown(now, r); len(shown) > 0 && (len(tried) == 1 || t.late[shown[0]].moments >= maxEndsTogether) {
			t.hold(now, shown)
		}
	}
}

// chargeLateRun counts the end of a request's upstream against its keys, once: reports may come in after the end was settled.
func (t *Table) chargeLateRun(now decide.Instant, r *run, e *end) {
	if r.charged {
		return
	}
	r.charged = true
	justBegun := slices.Contains(e.requests, r) // as a resumed answer that ends its upstream at once
	for _, k := range r.keys {
		if !justBegun || t.late[k] != nil {
			t.chargeLate(now, k, r, e)
		}
	}
}

// chargeLate counts the end of a request's upstream against one of its keys.
func (t *Table) chargeLate(now decide.Instant, k Key, r *run, e *end) {
	s := t.late[k]
	if s == nil || e.at.Sub(s.lastEnd) > suspectRetention {
		t.removeLate(now, k)
		s = t.addLateSuspect(now, k, k == r.keys[0])
	}
	s.answeredFor = max(s.answeredFor, r.answeredFor())
	s.sentFor = max(s.sentFor, r.endedAt.Sub(r.startedAt))
	if slices.Contains(r.trialOf, k) {
		s.endedTrials++
		s.tested += s.sentFor + ProvenAfter
	}
	if s.bears(e) || len(s.ends) >= maxEndsKept {
		return
	}
	s.ends = append(s.ends, chargedEnd{e, r.endedAt.Sub(r.startedAt)})
	s.owners.narrow(e.workspaces(k))
	if s.moments == 0 || e.at.Sub(s.lastMoment).Abs() >= sameMoment { // recalled ends come in any order
		s.moments++
		s.lastMoment = e.at
		s.exposed += r.endedAt.Sub(r.startedAt)
	}
	s.lastEnd = max(s.lastEnd, e.at)
	t.decideTrial(now, k, s)
}

// endRate returns how often an upstream ended lately under no request with a suspect key, a second.
func (t *Table) endRate(now decide.Instant, s *lateSuspect) float64 {
	window := max(time.Second, min(rateWindow, now.Sub(t.firstStart)))
	n, without := 0, window*time.Duration(max(1, t.busy-1)) // time of upstreams without such requests
	for _, e := range t.ended {
		if now.Sub(e.at) <= window && e.settled && !e.explained && !s.bears(e) {
			n++
		}
	}
	for _, e := range s.ends {
		if now.Sub(e.at) <= window {
			without -= e.after
		}
	}
	return float64(n) / max(without, window).Seconds()
}

// shown returns the keys of a request which was a trial that are shown to be the cause of ends.
func (t *Table) shown(now decide.Instant, r *run) (keys []Key) {
	for _, k := range r.trialOf {
		if t.isShown(now, k, t.late[k]) {
			keys = append(keys, k)
		}
	}
	return keys
}

// isShown reports whether trials show a key to be the cause of ends. A part of prompts takes more than a whole content, as many
// sound requests may bear it; for a whole content one trial suffices if chance hardly explains its end.
func (t *Table) isShown(now decide.Instant, k Key, s *lateSuspect) bool {
	if s == nil || s.endedTrials == 0 || s.moments < t.completed.endsNeeded(k) {
		return false
	}
	if !s.wholeContent {
		return s.endedTrials >= MaxEnds
	}
	return s.endedTrials > 1 || chance(s.endedTrials, t.endRate(now, s)*s.tested.Seconds()) <= maxChance
}

// chance returns the probability that as many upstreams end, or more, if so many are expected.
func chance(ends int, expected float64) float64 {
	fewer, term := 0.0, math.Exp(-expected)
	for n := range ends {
		fewer += term
		term *= expected / float64(n+1)
	}
	return 1 - fewer
}

// decideTrial decides whether requests with a suspect key are sent one at a time from now on: if chance hardly explains its ends,
// until chance may. A key of requests that were answered to their end a while ago takes more ends, as most upstreams that end may
// bear it.
func (t *Table) decideTrial(now decide.Instant, k Key, s *lateSuspect) {
	limit := maxTrialChance
	if s.tried {
		limit = minFreeChance
	}
	tried := s.moments >= t.completed.trialEnds(k) && chance(s.moments, t.endRate(now, s)*s.exposed.Seconds()) <= limit
	if tried != s.tried {
		t.announceTrial(now, k, s, tried)
	}
	s.tried = tried
}

// announceTrial makes known that trials of a suspect key begin or end.
func (t *Table) announceTrial(now decide.Instant, k Key, s *lateSuspect, begin bool) {
	t.changed = append(t.changed, Verdict{
		Keys: []Key{k}, Ends: s.moments, Tries: triesOnTrial, Since: now, Until: now, ChangedAt: now, Freed: !begin,
		AnsweredFor: s.answeredFor, Workspaces: s.owners.ids,
	})
}

// removeLate removes a suspect key.
func (t *Table) removeLate(now decide.Instant, k Key) {
	if s := t.late[k]; s != nil && s.tried {
		t.announceTrial(now, k, s, false)
	}
	delete(t.late, k)
}

// awaitsOutcome returns for how much longer the outcome of a trial is awaited, and then the reports on its upstream's end. An
// upstream that is silent must not keep requests with the key from all others.
func (s *lateSuspect) awaitsOutcome(now decide.Instant) time.Duration {
	until := s.trialFailed.Add(settleTime)
	if s.trial != nil {
		until = s.trial.startedAt.Add(s.sentFor + tryInterval)
	}
	return max(0, until.Sub(now))
}

// startTrial records that a request is a trial of those of its keys that are put to the test.
func (t *Table) startTrial(r *run) {
	if len(t.late) == 0 {
		return
	}
	for _, k := range r.keys {
		if s := t.late[k]; s != nil && s.tried && s.owners.concerns(r.workspace) {
			s.trial, r.trialOf = r, append(r.trialOf, k)
		}
	}
}

// checkTrials returns what may be done with a request that bears keys, as far as they are put to the test, and for how long the
// outcome of a trial is awaited.
func (t *Table) checkTrials(now decide.Instant, keys []Key, workspace fleet.WorkspaceID) (status Status, left time.Duration) {
	for _, k := range keys {
		s := t.late[k]
		if s == nil || !s.tried || !s.owners.concerns(workspace) {
			continue
		}
		if s.trial.outlives(now, s.answeredFor) {
			t.removeLate(now, k)
			continue
		}
		status = max(status, Alone)
		if wait := s.awaitsOutcome(now); wait > 0 {
			status, left = Wait, max(left, wait)
		}
	}
	return status, left
}

// outlives reports whether a request is answered for longer than others were before their upstreams ended. One that continues an
// answer may have passed what ends upstreams.
func (r *run) outlives(now decide.Instant, answeredFor time.Duration) bool {
	return r != nil && r.writing && !r.resumed && now.Sub(r.firstAt) > answeredFor+ProvenAfter
}

// answeredFor returns for how long a request that has ended was answered.
func (r *run) answeredFor() time.Duration {
	if !r.writing {
		return 0
	}
	return r.endedAt.Sub(r.firstAt)
}

// dropExplainedLate removes the ends that a verdict explains from what speaks against a key, and what trials have shown: it may
// rest on those ends.
func (t *Table) dropExplainedLate(now decide.Instant, k Key, s *lateSuspect) {
	before := len(s.ends)
	s.ends = slices.DeleteFunc(s.ends, func(c chargedEnd) bool { return c.explained })
	if len(s.ends) == 0 {
		t.removeLate(now, k)
		return
	}
	if len(s.ends) < before {
		s.moments = min(s.moments, len(s.ends))
		s.endedTrials, s.tested = 0, 0
		t.decideTrial(now, k, s)
	}
}

// addLateSuspect puts a key under suspicion.
func (t *Table) addLateSuspect(now decide.Instant, k Key, wholeContent bool) *lateSuspect {
	if len(t.late) >= maxSuspects {
		t.evictLate(now)
	}
	s := &lateSuspect{wholeContent: wholeContent}
	t.late[k] = s
	return s
}

// evictLate removes a part of the suspects: those with the fewest ends, of these the ones whose last end is longest ago.
func (t *Table) evictLate(now decide.Instant) {
	type ranked struct {
		key Key
		s   *lateSuspect
	}
	all := make([]ranked, 0, len(t.late))
	for k, s := range t.late {
		all = append(all, ranked{k, s})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.s.moments, b.s.moments), cmp.Compare(a.s.lastEnd, b.s.lastEnd))
	})
	for _, r := range all[:len(all)/evictedShare] {
		t.removeLate(now, r.key)
	}
}
