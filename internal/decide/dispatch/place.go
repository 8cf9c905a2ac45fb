package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

const (
	// failPause is how long an upstream that failed gets less work than others: doubled with each failure in
	// a row, up to maxFailPause.
	failPause    = 200 * time.Millisecond
	maxFailPause = 3 * time.Second
	// helpPause is how long an engine that refused to read for another one is not asked to, doubled each time in a
	// row up to maxHelpPause. One that is leaving refuses until it ends, while it answers prompts of its own: with the
	// store down that is the only sign, and a prompt that meets it spends an attempt.
	helpPause    = 2 * time.Second
	maxHelpPause = 16 * time.Second
	// fullPause is how long an upstream that said that it has no room is left alone: other work than what is
	// known here is on it, and a pass or two of it go by.
	fullPause = 150 * time.Millisecond
	// unreachedTime is how long an upstream that could not be connected to is not given to instances of the
	// same failure domain. Then one request tries it again, and loses the time of a connection attempt.
	unreachedTime = 2 * time.Second
	// cutFrom is how many upstreams of a failure domain must be out of another domain's reach for the link
	// between the two to be taken as cut.
	cutFrom = 2
	// passesToFirst is how many passes a request on a busy engine waits for its first event: the one under
	// way, half of it on average, and its own.
	passesToFirst = 1.5
	// maxTried bounds the long reads that are looked at without finding a place in one step: those behind are
	// longer, and find one even less.
	maxTried = 16
	// idleBelow is the reading in ms under which an engine reads nothing: sums of parts leave fractions.
	idleBelow = 1.0
	// leastHolding is the least memory in tokens that is worth a reservation.
	leastHolding = 20_000
	// leastRetryAfter and mostRetryAfter bound when a refused caller is told to come back.
	leastRetryAfter = 200 * time.Millisecond
	mostRetryAfter  = 3 * time.Second
	// second is the window of a cold upstream's limit.
	second = time.Second
)

// Step decides what can be decided now: places for jobs, most urgent first, and refusals of those that
// can't be served in time any more.
func (s *State) Step(now decide.Instant) []Decision {
	if len(s.queue) == 0 {
		s.flowing = now
		return nil
	}
	s.now = now
	s.forgetOverdue(now)
	s.survey(now)
	s.sort(now)
	s.probe(now)
	var out []Decision
	waiting := s.queue[:0]
	for _, j := range s.queue {
		s.ahead = len(waiting)
		d, settled := s.decide(now, j)
		if settled {
			if d.Upstream != "" {
				s.flowing = now
			}
			out = append(out, d)
		} else {
			waiting = append(waiting, j)
		}
	}
	clear(s.queue[len(waiting):])
	s.queue = waiting
	if s.firstWaiting() == nil {
		s.flowing = now
	}
	return out
}

func (s *State) late(now decide.Instant, j *Job) bool {
	return !j.Resumed && j.FirstEventTarget != 0 && now.Add(s.leastRead(j)+fromMs(passesToFirst*s.meanPass)) > j.FirstEventTarget
}

// beyondAim tells whether the whole fleet would not have read the prompt in its aim when it came.
func (s *State) beyondAim(j *Job) bool { return s.late(j.Arrived, j) }

// leastRead is the shortest time in which the prompt can be read.
func (s *State) leastRead(j *Job) time.Duration {
	if s.model == nil {
		return 0
	}
	return fromMs(s.model.read(j.PromptTokens) / float64(min(s.params.MaxHelpers+1, max(1, len(s.order)))))
}

// cost is a job's reading, less with the time that it has waited: a large prompt isn't passed over for good.
func (s *State) cost(now decide.Instant, j *Job) float64 {
	if s.model == nil {
		return float64(j.Arrived)
	}
	waited, patience := toMs(now.Sub(j.Arrived)), toMs(j.FirstEventDeadline.Sub(j.Arrived))
	left := 1.0
	if patience > 0 {
		left = max(0.05, 1-waited/patience)
	}
	return s.model.read(j.PromptTokens) * left
}

// decide settles a job if it can be settled now.
func (s *State) decide(now decide.Instant, j *Job) (Decision, bool) {
	if now.Add(s.leastRead(j)+s.params.Margin) > j.FirstEventDeadline {
		return s.refuse(j, TooLate), true
	}
	if !s.any(j) {
		return s.refuse(j, NoUpstream), true
	}
	if s.model != nil && float64(j.PromptTokens+j.MaxOutputTokens) > float64(s.model.KVCacheTokens)*s.params.MemoryShare*float64(min(s.params.MaxHelpers+1, len(s.order))) {
		return s.refuse(j, TooLarge), true
	}
	if s.model != nil && !j.Resumed && s.oversized(j) && s.late(now, j) && !s.beyondAim(j) {
		return s.refuse(j, NoSlack), true
	}
	if d, settled := s.place(now, j); settled {
		return d, true
	}
	if now.Add(s.limitedWait(s.ahead)) > j.FirstEventDeadline {
		return s.refuse(j, RateLimited), true
	}
	if s.model == nil {
		return Decision{}, false
	}
	if s.heldEnough(now, j) {
		return s.refuse(j, TooLate), true
	}
	if len(s.queue) > s.params.MaxQueue {
		return s.refuse(j, QueueFull), true
	}
	return Decision{}, false
}

// place gives a job the place that it can have now.
func (s *State) place(now decide.Instant, j *Job) (Decision, bool) {
	if s.model == nil {
		return s.placePlain(now, j)
	}
	if !s.isLong(j) {
		return s.pack(now, j)
	}
	return s.spread(now, j)
}

// heldEnough tells whether a job that is late anyway has waited so long that it should hear so and come back.
func (s *State) heldEnough(now decide.Instant, j *Job) bool {
	patience := j.FirstEventDeadline.Sub(j.Arrived)
	return s.late(now, j) && toMs(now.Sub(j.Arrived)) > s.params.LateWaitShare*toMs(patience)
}

// any tells whether some upstream could take the job, now or later.
func (s *State) any(j *Job) bool {
	for _, e := range s.order {
		if !e.gone && !slices.Contains(j.Avoid, e.ID) {
			return true
		}
	}
	return false
}

// placed is the decision that gives a run its place, and counts it where its upstream is under a limit.
func (s *State) placed(r *run, why decide.Reason) Decision {
	r.on.takeLimit()
	return Decision{Job: r.job, Upstream: r.on.ID, Reason: why, OverdueAfter: s.overdue(r)}
}

func (s *State) refuse(j *Job, why decide.Reason) Decision {
	switch why {
	case RateLimited:
		// All that wait go first, whoever comes back meanwhile.
		return Decision{Job: j, Reason: why, RetryAfter: max(leastRetryAfter, s.limitedWait(s.ahead))}
	case NoSlack:
		// Slack comes with another mix, and not within a moment.
		return Decision{Job: j, Reason: why, RetryAfter: mostRetryAfter}
	}
	return Decision{Job: j, Reason: why, RetryAfter: s.retryAfter()}
}

// retryAfter is when the work that waits and is being read now will have been read.
func (s *State) retryAfter() time.Duration {
	if s.model == nil || len(s.order) == 0 {
		return leastRetryAfter
	}
	work := 0.0
	for _, e := range s.order {
		work += e.pending
	}
	for _, j := range s.queue {
		work += s.model.read(j.PromptTokens)
	}
	return min(mostRetryAfter, max(leastRetryAfter, fromMs(work/float64(len(s.order)))))
}

// takes tells whether the upstream may get the job now, its reading aside.
func (s *State) takes(now decide.Instant, e *engine, j *Job) bool {
	return !e.gone && len(e.runs) < e.slotsFor(s.model, j) && !slices.Contains(j.Avoid, e.ID) &&
		!e.paused(now) && now >= e.full && s.warmEnough(now, e) && s.reaches(j.Domain, e) && e.underLimit()
}

// slotsFor gives the places that a job may use. What is over its workspace's share leaves some free: those of others come
// a moment later, and what was placed stays for seconds.
func (e *engine) slotsFor(m *Model, j *Job) int {
	if !j.excess {
		return e.slots(m)
	}
	return max(1, int(excessSlots*float64(e.slots(m))))
}

func (e *engine) slots(m *Model) int {
	switch {
	case e.Slots > 0:
		return e.Slots
	case m != nil:
		return m.Slots
	default:
		return 1
	}
}

// paused tells whether the upstream's failures are too fresh for new work while others have room.
func (e *engine) paused(now decide.Instant) bool {
	if e.fails == 0 {
		return false
	}
	pause := failPause << min(e.fails-1, 8)
	return now.Sub(e.failed) < min(pause, maxFailPause)
}

// warmEnough tells whether a cold upstream's limit leaves room.
func (s *State) warmEnough(now decide.Instant, e *engine) bool {
	if !e.cold(now) || s.params.ColdRequestsPerSecond <= 0 {
		return true
	}
	e.starts = slices.DeleteFunc(e.starts, func(t decide.Instant) bool { return now.Sub(t) > second })
	return float64(len(e.starts)) < s.params.ColdRequestsPerSecond
}

// placePlain gives a plain service's job to the upstream with the least work for its slots.
func (s *State) placePlain(now decide.Instant, j *Job) (Decision, bool) {
	var best *engine
	for _, e := range s.order {
		if s.takes(now, e, j) && (best == nil || e.load(s.model) < best.load(s.model)) {
			best = e
		}
	}
	if best == nil {
		return Decision{}, false
	}
	return s.placed(s.start(now, j, best, nil, nil), LeastWork), true
}

func (e *engine) load(m *Model) float64 { return float64(len(e.runs)) / float64(e.slots(m)) }

// room is how much reading the engine can take into its next passes, in ms: without streams as much as
// anybody wants, with streams what their pauses leave.
func (s *State) room(e *engine, gap time.Duration) float64 {
	pace := e.pace(s.now)
	if e.gap > 0 && (gap == 0 || e.gap < gap) {
		gap = e.gap
	}
	if len(e.runs) == 0 || gap == 0 {
		return math.Inf(1)
	}
	return toMs(gap)*s.params.GapShare/pace - s.model.pass(len(e.runs), e.context) - e.pending
}

// fits tells whether the engine has the memory for the job.
func (s *State) fits(e *engine, j *Job) bool {
	return j.PromptTokens+j.MaxOutputTokens <= s.free(e)
}

// pack gives a short prompt to the fullest engine whose streams, and its own, bear it: engines that are
// left free can read long prompts without making anybody pause.
func (s *State) pack(now decide.Instant, j *Job) (Decision, bool) {
	if s.hopeless(j) {
		return Decision{}, false
	}
	read := s.model.read(j.PromptTokens)
	var best *engine
	for _, e := range s.order {
		if !s.takes(now, e, j) || !s.fits(e, j) {
			continue
		}
		pass := s.model.pass(len(e.runs)+1, e.context+j.PromptTokens+j.MaxOutputTokens)
		if s.room(e, j.MaxGap) < read || (pass+e.pending+read)*e.pace(now) > toMs(j.MaxGap)*s.params.GapShare {
			continue
		}
		if best == nil || s.fuller(e, best) {
			best = e
		}
	}
	if best == nil {
		if len(j.Avoid) == 0 {
			s.unpacked[j.Domain] = packing{j.PromptTokens, j.MaxGap}
		}
		return Decision{}, false
	}
	return s.placed(s.start(now, j, best, nil, nil), Packed), true
}

// hopeless tells whether a prompt that needs no more than this one has found no place in this step: under
// overload hundreds wait, and looking at every engine for each of them would cost the dispatcher its
// processor. Places are only taken in a step, never given back.
func (s *State) hopeless(j *Job) bool {
	u, ok := s.unpacked[j.Domain]
	return ok && j.PromptTokens >= u.prompt && j.MaxGap <= u.gap
}

// fuller orders engines for packing.
func (s *State) fuller(a, b *engine) bool {
	if len(a.runs) != len(b.runs) {
		return len(a.runs) > len(b.runs)
	}
	return a.pending < b.pending
}
