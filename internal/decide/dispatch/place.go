package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

const (
	// failPause is how long an upstream that failed gets less work than others: doubled with each failure in
	// a row, up to maxFailPause.
	failPause    = 200 * time.Millisecond
	maxFailPause = 3 * time.Second
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
		return nil
	}
	s.now = now
	s.survey(now)
	s.sort(now)
	var out []Decision
	waiting := s.queue[:0]
	for _, j := range s.queue {
		d, settled := s.decide(now, j)
		if settled {
			out = append(out, d)
		} else {
			waiting = append(waiting, j)
		}
	}
	clear(s.queue[len(waiting):])
	s.queue = waiting
	return out
}

// sort puts the jobs in the order in which they get places: streams that go on first, since what their
// callers have is lost without the rest; by priority; those that can still be in time
// before those that are late anyway; the least reading first, as that serves most callers soonest.
func (s *State) sort(now decide.Instant) {
	slices.SortStableFunc(s.queue, func(a, b *Job) int {
		if a.Resumed != b.Resumed {
			if b.Resumed {
				return 1
			}
			return -1
		}
		if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
			return c
		}
		lateA, lateB := s.late(now, a), s.late(now, b)
		if lateA != lateB {
			if lateA {
				return 1
			}
			return -1
		}
		if c := cmp.Compare(s.cost(now, a), s.cost(now, b)); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
}

// survey looks at the upstreams once for a step: the mean pass of busy engines, and links that are cut.
func (s *State) survey(now decide.Instant) {
	s.cuts = map[link]int{}
	total, busy := 0.0, 0
	for _, e := range s.order {
		for from, at := range e.unreached {
			if now.Sub(at) < unreachedTime {
				s.cuts[link{from, e.Domain}]++
			} else {
				delete(e.unreached, from)
			}
		}
		if s.model != nil && len(e.runs) > 0 {
			total += s.model.pass(len(e.runs), e.context)
			busy++
		}
	}
	s.tried, s.unpacked, s.longs = 0, map[fleet.DomainID]packing{}, 0
	if s.model != nil {
		for _, j := range s.queue {
			if s.isLong(j) && !s.oversized(j) {
				s.longs++
			}
		}
	}
	s.meanPass = 0
	if busy > 0 {
		s.meanPass = total / float64(busy)
	}
}

// link is the way from one failure domain to another.
type link struct{ from, to fleet.DomainID }

// reaches tells whether instances of a domain can connect to the upstream, as far as is known.
func (s *State) reaches(from fleet.DomainID, e *engine) bool {
	if _, unreached := e.unreached[from]; unreached {
		return false
	}
	return s.cuts[link{from, e.Domain}] < cutFrom
}

func (s *State) late(now decide.Instant, j *Job) bool {
	return !j.Resumed && j.Aim != 0 && now.Add(s.leastRead(j)+fromMs(passesToFirst*s.meanPass)) > j.Aim
}

// leastRead is the shortest time in which the prompt can be read.
func (s *State) leastRead(j *Job) time.Duration {
	if s.model == nil {
		return 0
	}
	return fromMs(s.model.read(j.Prompt) / float64(min(s.params.MaxHelpers+1, max(1, len(s.order)))))
}

// cost is a job's reading, less with the time that it has waited: a large prompt isn't passed over for good.
func (s *State) cost(now decide.Instant, j *Job) float64 {
	if s.model == nil {
		return float64(j.Arrived)
	}
	waited, patience := toMs(now.Sub(j.Arrived)), toMs(j.Patience.Sub(j.Arrived))
	left := 1.0
	if patience > 0 {
		left = max(0.05, 1-waited/patience)
	}
	return s.model.read(j.Prompt) * left
}

// decide settles a job if it can be settled now.
func (s *State) decide(now decide.Instant, j *Job) (Decision, bool) {
	if now.Add(s.leastRead(j)+s.params.Margin) > j.Patience {
		return s.refuse(j, TooLate), true
	}
	if !s.any(j) {
		return s.refuse(j, NoUpstream), true
	}
	if s.model != nil && float64(j.Prompt+j.Output) > float64(s.model.Memory)*s.params.MemoryShare*float64(min(s.params.MaxHelpers+1, len(s.order))) {
		return s.refuse(j, TooLarge), true
	}
	if s.model != nil && !j.Resumed && s.oversized(j) && (s.late(now, j) || now.Sub(j.Arrived) > s.params.SlackWait) {
		return s.refuse(j, NoSlack), true
	}
	if s.model == nil {
		return s.placePlain(now, j)
	}
	if !s.isLong(j) {
		if d, ok := s.pack(now, j); ok {
			return d, true
		}
	} else if d, ok := s.spread(now, j); ok {
		return d, true
	}
	if s.heldEnough(now, j) {
		return s.refuse(j, TooLate), true
	}
	if len(s.queue) > s.params.MaxQueue {
		return s.refuse(j, QueueFull), true
	}
	return Decision{}, false
}

// heldEnough tells whether a job that is late anyway has waited so long that it should hear so and come back.
func (s *State) heldEnough(now decide.Instant, j *Job) bool {
	patience := j.Patience.Sub(j.Arrived)
	return s.late(now, j) && toMs(now.Sub(j.Arrived)) > s.params.HoldShare*toMs(patience)
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

func (s *State) refuse(j *Job, why decide.Reason) Decision {
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
		work += s.model.read(j.Prompt)
	}
	return min(mostRetryAfter, max(leastRetryAfter, fromMs(work/float64(len(s.order)))))
}

// takes tells whether the upstream may get the job now, its reading aside.
func (s *State) takes(now decide.Instant, e *engine, j *Job) bool {
	return !e.gone && len(e.runs) < e.slots(s.model) && !slices.Contains(j.Avoid, e.ID) &&
		!e.paused(now) && now >= e.full && s.warmEnough(now, e) && s.reaches(j.From, e)
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
	if !e.cold(now) || s.params.ColdPerS <= 0 {
		return true
	}
	e.starts = slices.DeleteFunc(e.starts, func(t decide.Instant) bool { return now.Sub(t) > second })
	return float64(len(e.starts)) < s.params.ColdPerS
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
	s.start(now, j, best, nil, nil)
	return Decision{Job: j, Upstream: best.ID, Reason: LeastWork}, true
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
	return j.Prompt+j.Output <= s.free(e)
}

// pack gives a short prompt to the fullest engine whose streams, and its own, bear it: engines that are
// left free can read long prompts without making anybody pause.
func (s *State) pack(now decide.Instant, j *Job) (Decision, bool) {
	if s.hopeless(j) {
		return Decision{}, false
	}
	read := s.model.read(j.Prompt)
	var best *engine
	for _, e := range s.order {
		if !s.takes(now, e, j) || !s.fits(e, j) {
			continue
		}
		pass := s.model.pass(len(e.runs)+1, e.context+j.Prompt+j.Output)
		if s.room(e, j.MaxGap) < read || (pass+e.pending+read)*e.pace(now) > toMs(j.MaxGap)*s.params.GapShare {
			continue
		}
		if best == nil || s.fuller(e, best) {
			best = e
		}
	}
	if best == nil {
		if len(j.Avoid) == 0 {
			s.unpacked[j.From] = packing{j.Prompt, j.MaxGap}
		}
		return Decision{}, false
	}
	s.start(now, j, best, nil, nil)
	return Decision{Job: j, Upstream: best.ID, Reason: Packed}, true
}

// hopeless tells whether a prompt that needs no more than this one has found no place in this step: under
// overload hundreds wait, and looking at every engine for each of them would cost the dispatcher its
// processor. Places are only taken in a step, never given back.
func (s *State) hopeless(j *Job) bool {
	u, ok := s.unpacked[j.From]
	return ok && j.Prompt >= u.prompt && j.MaxGap <= u.gap
}

// fuller orders engines for packing.
func (s *State) fuller(a, b *engine) bool {
	if len(a.runs) != len(b.runs) {
		return len(a.runs) > len(b.runs)
	}
	return a.pending < b.pending
}

// spread gives a long prompt to the engines that have it read soonest, in even parts. Where it is over one
// engine's memory, others hold the rest.
func (s *State) spread(now decide.Instant, j *Job) (Decision, bool) {
	if !j.Resumed && (s.oversized(j) || s.late(now, j)) && !s.slack(j) {
		return Decision{}, false
	}
	if s.tried >= maxTried && !j.Resumed {
		return Decision{}, false
	}
	read := s.model.read(j.Prompt)
	with := s.soonest(now, j)
	first, holders := s.first(now, with, j)
	if first == nil {
		s.tried++
		return Decision{}, false
	}
	var must []*engine
	for _, h := range holders {
		must = append(must, h.on)
	}
	with = slices.DeleteFunc(with, func(e *engine) bool {
		return e == first || slices.Contains(must, e) || !s.reaches(first.Domain, e)
	})
	helpers, soonest := s.helpers(first, must, with, read, j.MaxGap)
	if math.IsInf(soonest, 1) {
		s.tried++
		return Decision{}, false
	}
	if !j.Resumed && j.Aim != 0 && now.Add(fromMs(soonest)) > j.Aim && !s.late(now, j) {
		// Engines that are busy now read it in time later, or it is late anyway and waits its turn.
		s.tried++
		return Decision{}, false
	}
	s.start(now, j, first, helpers, holders)
	d := Decision{Job: j, Upstream: first.ID, Reason: Alone}
	for _, h := range helpers[len(must):] {
		d.Helpers = append(d.Helpers, h.ID)
	}
	for _, h := range holders {
		d.Holders = append(d.Holders, Holding{Upstream: h.on.ID, Tokens: h.tokens})
	}
	if len(helpers) > 0 {
		d.Reason = Spread
	}
	return d, true
}

// soonest gives the engines that may read for the job, those that come to it first in front: all where there
// are few, and otherwise as many as can be of use, with the first that could answer it.
func (s *State) soonest(now decide.Instant, j *Job) []*engine {
	most := len(s.order)
	if !s.oversized(j) {
		most = min(most, 2*(s.params.MaxHelpers+1))
	}
	var best []*engine
	var first *engine
	for _, e := range s.order {
		if e.gone || e.paused(now) || slices.Contains(j.Avoid, e.ID) || s.room(e, 0) <= 0 {
			continue
		}
		if (first == nil || s.delay(e) < s.delay(first)) && s.takes(now, e, j) && s.fits(e, j) {
			first = e
		}
		best = s.insert(best, e, most)
	}
	if first != nil && !slices.Contains(best, first) {
		best = append(best, first)
	}
	return best
}

// insert puts an engine into a list of at most so many, ordered by delay and then as they come.
func (s *State) insert(best []*engine, e *engine, most int) []*engine {
	delay := s.delay(e)
	if len(best) == most && delay >= s.delay(best[most-1]) {
		return best
	}
	at := len(best)
	for at > 0 && s.delay(best[at-1]) > delay {
		at--
	}
	best = slices.Insert(best, at, e)
	return best[:min(most, len(best))]
}

// first gives the engine that answers the job, and those that hold the memory that it lacks; nil if there
// is none now. A prompt that fits one engine goes to the first that has the room.
func (s *State) first(now decide.Instant, with []*engine, j *Job) (*engine, []holding) {
	if !s.oversized(j) {
		i := slices.IndexFunc(with, func(e *engine) bool { return s.takes(now, e, j) && s.fits(e, j) })
		if i < 0 {
			return nil, nil
		}
		return with[i], nil
	}
	roomiest := slices.Clone(with)
	slices.SortStableFunc(roomiest, func(a, b *engine) int { return cmp.Compare(a.context, b.context) })
	i := slices.IndexFunc(roomiest, func(e *engine) bool { return s.takes(now, e, j) })
	if i < 0 {
		return nil, nil
	}
	first := roomiest[i]
	var holders []holding
	need := j.Prompt + j.Output - s.free(first)
	for _, e := range roomiest {
		if need <= 0 || len(holders) >= s.params.MaxHelpers {
			break
		}
		if e == first || !s.reaches(j.From, e) || !s.reaches(first.Domain, e) || s.free(e) < leastHolding {
			continue
		}
		h := holding{e, min(need, s.free(e))}
		holders = append(holders, h)
		need -= h.tokens
	}
	if need > 0 {
		return nil, nil
	}
	return first, holders
}

// slack tells whether so much of the fleet reads nothing, and nothing else waits to be read, that a long read
// keeps nobody else from being in time. An oversized prompt is worth a few times a usual one and costs ten
// times as much, and one that is late anyway is worth a quarter: under load others would pay for them.
// Placing late prompts at once instead lost 0.07 of the fleet's worth over days that flip between long and
// short prompts.
func (s *State) slack(j *Job) bool {
	if float64(len(s.order)-s.reading) < s.params.SlackShare*float64(len(s.order)) {
		return false
	}
	others := s.longs
	if !s.oversized(j) {
		others-- // j itself
	}
	return others <= 0
}

// isLong tells whether the prompt is spread, and not packed.
func (s *State) isLong(j *Job) bool { return s.model.read(j.Prompt) > s.params.ShortRead }

// oversized tells whether no engine has the memory for the job.
func (s *State) oversized(j *Job) bool {
	return float64(j.Prompt+j.Output) > float64(s.model.Memory)*s.params.MemoryShare
}

// free is the engine's memory that may be planned for, in tokens.
func (s *State) free(e *engine) int {
	return int(float64(s.model.Memory)*s.params.MemoryShare) - e.context
}

// delay is how long the engine takes to come to another part.
func (s *State) delay(e *engine) float64 {
	return (e.pending + s.model.pass(len(e.runs), e.context)) * e.pace(s.now)
}

// helpers chooses how many engines read parts beside first: those in must, and as many of with that the
// last part is read soonest. It gives that time in ms; infinite if no number will do.
func (s *State) helpers(first *engine, must, with []*engine, read float64, gap time.Duration) ([]*engine, float64) {
	all := slices.Concat(must, with)
	best, soonest := 0, math.Inf(1)
	slowest, room, pace := s.delay(first), s.room(first, gap), first.pace(s.now)
	for k := 0; k <= min(s.params.MaxHelpers, len(all)); k++ {
		if k > 0 {
			slowest = max(slowest, s.delay(all[k-1]))
			room = min(room, s.room(all[k-1], 0))
			pace = max(pace, all[k-1].pace(s.now))
		}
		part := read / float64(k+1)
		if k < len(must) || part > room {
			continue
		}
		if t := slowest + part*pace + s.params.PerHelper*float64(k); t < soonest {
			best, soonest = k, t
		}
	}
	return all[:best], soonest
}
