package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// spread gives a long prompt to the engines that have it read soonest, in even parts. Where it is over one
// engine's memory, others hold the rest.
func (s *State) spread(now decide.Instant, j *Job) (Decision, bool) {
	if !j.Resumed && (s.oversized(j) || s.late(now, j)) && !s.slack(j) {
		return Decision{}, false
	}
	if s.tried >= maxTried && !j.Resumed {
		return Decision{}, false
	}
	read := s.model.read(j.PromptTokens)
	with, first := s.soonest(now, j, read)
	var holders []holding
	if s.oversized(j) {
		first, holders = s.together(now, with, j)
	}
	if first == nil {
		s.tried++
		return Decision{}, false
	}
	var must []*engine
	for _, h := range holders {
		must = append(must, h.on)
	}
	with = slices.DeleteFunc(with, func(e *engine) bool {
		return e == first || slices.Contains(must, e) || !s.reaches(first.Domain, e) || now < e.noHelp
	})
	helpers, soonest := s.helpers(first, must, with, read, j.MaxGap)
	if math.IsInf(soonest, 1) {
		s.tried++
		return Decision{}, false
	}
	if !j.Resumed && !s.worthBeginning(now, j, len(helpers), soonest) {
		s.tried++
		return Decision{}, false
	}
	d := s.placed(s.start(now, j, first, helpers, holders), SingleEngine)
	for _, h := range helpers[len(must):] {
		d.Helpers = append(d.Helpers, h.ID)
	}
	for _, h := range holders {
		d.Reservations = append(d.Reservations, Reservation{Upstream: h.on.ID, Tokens: h.tokens})
	}
	if len(helpers) > 0 {
		d.Reason = Spread
	}
	return d, true
}

// worthBeginning tells whether a prompt should be read by so many helpers now, its first event due after soonest ms, and not
// by others that are busy yet.
func (s *State) worthBeginning(now decide.Instant, j *Job, helpers int, soonest float64) bool {
	first := now.Add(fromMs(soonest))
	switch {
	case first.Add(s.params.Margin) > j.FirstEventDeadline:
		return false // its caller would have left
	case j.FirstEventTarget != 0 && first > j.FirstEventTarget && !s.late(now, j):
		return false // it is in time later, or late anyway and waits its turn
	case s.oversized(j) && s.beyondAim(j):
		// It can't be in time, and reads for seconds: with few engines it keeps them from all others for the longest.
		return helpers >= min(s.params.MaxHelpers, int(s.slackEngines())-1)
	default:
		return true
	}
}

// soonest gives the engines that may read for the job, those that come to it first in front: all where there
// are few, and otherwise as many as can be of use. first is the one that is to answer it; nil: none can.
// An engine with much to read gets nothing more: the job waits instead, and whatever comes meanwhile and is more
// urgent goes before it.
func (s *State) soonest(now decide.Instant, j *Job, read float64) (best []*engine, first *engine) {
	smallest := read / float64(s.params.MaxHelpers+1)
	most := len(s.order)
	if !s.oversized(j) {
		most = min(most, 2*(s.params.MaxHelpers+1))
	}
	for _, e := range s.order {
		if e.gone || e.paused(now) || slices.Contains(j.Avoid, e.ID) || s.room(e, 0) <= 0 || s.backlogged(e, j) {
			continue
		}
		if s.canAnswer(now, e, j, smallest) && (first == nil || s.answerDelay(e) < s.answerDelay(first)) {
			first = e
		}
		if !e.limited() { // one in need reads and holds nothing for others
			best = s.insert(best, e, most)
		}
	}
	return best, first
}

// backlogged tells whether the engine has so much to read that a long prompt waits instead of queueing there.
func (s *State) backlogged(e *engine, j *Job) bool {
	return e.pending > s.params.MaxBacklogMs && !j.Resumed
}

// canAnswer tells whether the engine can answer a long prompt: it has the place, the memory, and room for the smallest
// part in ms that the prompt can be cut into.
func (s *State) canAnswer(now decide.Instant, e *engine, j *Job, smallest float64) bool {
	return s.takes(now, e, j) && s.fits(e, j) && s.room(e, j.MaxGap) > smallest
}

// answerDelay orders engines for answering a long prompt: by delay, but one that answers others already may come
// later. Streams of one engine share its passes, so that answering together leaves more engines to read.
func (s *State) answerDelay(e *engine) float64 {
	if len(e.runs) == 0 {
		return s.delay(e)
	}
	return s.delay(e) - s.params.CoLocationBonusMs
}

// readDelay orders engines for reading: by delay, but those with streams later. A read beside streams makes them
// pause, and their places and memory are free later.
func (s *State) readDelay(e *engine) float64 {
	if len(e.runs) == 0 {
		return s.delay(e)
	}
	return s.delay(e) + s.params.StreamPenaltyMs
}

// insert puts an engine into a list of at most so many, ordered by readDelay and then as they come.
func (s *State) insert(best []*engine, e *engine, most int) []*engine {
	delay := s.readDelay(e)
	if len(best) == most && delay >= s.readDelay(best[most-1]) {
		return best
	}
	at := len(best)
	for at > 0 && s.readDelay(best[at-1]) > delay {
		at--
	}
	best = slices.Insert(best, at, e)
	return best[:min(most, len(best))]
}

// together gives the engine that answers an oversized job, the one with most memory free, and those that hold
// what it lacks; nil if they have not the memory now.
func (s *State) together(now decide.Instant, with []*engine, j *Job) (*engine, []holding) {
	roomiest := slices.Clone(with)
	slices.SortStableFunc(roomiest, func(a, b *engine) int { return cmp.Compare(a.context, b.context) })
	i := slices.IndexFunc(roomiest, func(e *engine) bool { return s.takes(now, e, j) })
	if i < 0 {
		return nil, nil
	}
	first := roomiest[i]
	var holders []holding
	need := j.PromptTokens + j.MaxOutputTokens - s.free(first)
	for _, e := range roomiest {
		if need <= 0 || len(holders) >= s.params.MaxHelpers {
			break
		}
		if e == first || !s.reaches(j.Domain, e) || !s.reaches(first.Domain, e) || s.free(e) < leastHolding || s.now < e.noHelp {
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
func (s *State) slack(j *Job) bool {
	idle := float64(len(s.order) - s.reading)
	if idle < s.slackEngines() {
		return false
	}
	others := s.longs
	if !s.oversized(j) {
		others-- // j itself
	}
	return others <= 0
}

// slackEngines is how many engines must read nothing before there is slack.
func (s *State) slackEngines() float64 {
	return min(s.params.SlackShare*float64(len(s.order)), float64(s.params.MaxSlackEngines))
}

// isLong tells whether the prompt is spread, and not packed.
func (s *State) isLong(j *Job) bool { return s.model.read(j.PromptTokens) > s.params.ShortPrefillMs }

// oversized tells whether no engine has the memory for the job.
func (s *State) oversized(j *Job) bool {
	return float64(j.PromptTokens+j.MaxOutputTokens) > float64(s.model.KVCacheTokens)*s.params.MemoryShare
}

// free is the engine's memory that may be planned for, in tokens.
func (s *State) free(e *engine) int {
	return int(float64(s.model.KVCacheTokens)*s.params.MemoryShare) - e.context
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
			slowest = max(slowest, s.readDelay(all[k-1]))
			room = min(room, s.room(all[k-1], 0))
			pace = max(pace, all[k-1].pace(s.now))
		}
		part := read / float64(k+1)
		if k < len(must) || part > room {
			continue
		}
		if t := slowest + part*pace + s.params.MinGainPerHelperMs*float64(k); t < soonest {
			best, soonest = k, t
		}
	}
	return all[:best], soonest
}
