package dispatch

import (
	"math"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/forecast"
)

// stepForecast is the forecast of one step: the supply of the resources, which is computed when the first job that needs
// it waits, and what waits ahead of the job that is being decided. A kind's supply applies to jobs like the first of it that
// waits in the step.
type stepForecast struct {
	slotsKnown, prefillKnown bool      // computed in this step
	fullShort, fullLong      int       // runs on engines without a free slot, apart from slow engines
	vacant                   []*engine // the other engines that may receive jobs
	slots                    forecast.Supply
	freeSlots                float64         // not in use now, whether or not a short prompt can take them
	latePrefill              forecast.Supply // ms of prefill that late prompts may add
	backlogs                 forecast.Backlogs
	backlogMs                []float64 // storage of backlogs
	prefillPerMs             float64   // ms of prefill that one engine does per ms
	tokens                   [kvSizes]tokenSupply

	ahead amounts // needed by the jobs that wait ahead
	// Of the last job of each kind that could not be placed; not reset.
	bottleneck [promptKinds]Resource
}

// amounts are what jobs need: slots, ms of prefill, tokens of KV cache.
type amounts struct{ slots, prefillMs, tokens float64 }

// kvSizes is the number of sizes of KV cache between which the forecast distinguishes.
const kvSizes = 16

// tokenSupply is the supply of KV cache in parts of one size that each lie on one engine.
type tokenSupply struct {
	known bool // computed in this step
	forecast.Supply
}

// reset makes the forecast that of a new step.
func (f *stepForecast) reset() {
	f.slotsKnown, f.prefillKnown, f.ahead = false, false, amounts{}
	f.fullShort, f.fullLong, f.vacant = 0, 0, f.vacant[:0]
	for i := range f.tokens {
		f.tokens[i].known = false
	}
}

// addEngine adds an engine that may receive jobs. It is part of the survey, so that a step with waiting jobs reads each
// engine only once.
func (f *stepForecast) addEngine(now decide.Instant, m *Model, e *engine) {
	if len(e.runs) < e.slots(m) || e.slowdown(now) > 1 {
		f.vacant = append(f.vacant, e)
		return
	}
	f.fullShort += len(e.runs) - e.longRuns
	f.fullLong += e.longRuns
}

// add adds a job that waits to those ahead of the next.
func (f *stepForecast) add(need amounts) {
	f.ahead.slots += need.slots
	f.ahead.prefillMs += need.prefillMs
	f.ahead.tokens += need.tokens
}

// amountsFor returns what the job needs. The KV cache of short prompts is left out: their slots are used up before.
func (s *State) amountsFor(j *Job) amounts {
	a := amounts{slots: 1}
	if j.kind != shortPrompt {
		a.prefillMs, a.tokens = s.model.prefillMs(j.PromptTokens), float64(j.PromptTokens+j.MaxOutputTokens)
	}
	return a
}

// startMs returns the time until a job of the kind that needs these amounts can start behind those ahead, as a job in
// time or as a late one.
func (s *State) startMs(now decide.Instant, k promptKind, need amounts, late bool) float64 {
	f := &s.forecast
	slotMs := s.waitMs(&f.slots, f.ahead.slots+need.slots, late)
	if k == shortPrompt {
		f.bottleneck[k] = Slots
		return slotMs
	}
	if f.freeSlots >= f.ahead.slots+need.slots {
		slotMs = 0 // what keeps short prompts from these slots is prefill, which is counted below
	}
	s.forecastPrefill(now)
	prefillMs := s.waitMs(&f.latePrefill, f.ahead.prefillMs, late)
	if !late && k == longPrompt {
		prefillMs = max(0, f.backlogs.LevelMs(f.ahead.prefillMs)-s.params.MaxBacklogMs) / f.prefillPerMs
	}
	tokenMs := 0.0 // of an oversized prompt, whose KV cache many engines hold
	if k != oversizedPrompt {
		tokenMs = s.waitMs(s.forecastTokens(now, need.tokens), 1+f.ahead.tokens/max(1, need.tokens), late)
	}
	f.bottleneck[k] = bottleneckOf(slotMs, prefillMs, tokenMs)
	return max(slotMs, prefillMs, tokenMs)
}

// bottleneckOf returns the resource with the longest wait.
func bottleneckOf(slotMs, prefillMs, tokenMs float64) Resource {
	switch {
	case tokenMs >= max(slotMs, prefillMs) && tokenMs > 0:
		return KVCache
	case slotMs > prefillMs:
		return Slots
	default:
		return PrefillTime
	}
}

// waitMs returns the time until the amount is available. Without anything from which to forecast it is 0, as a wrong
// refusal is worse than a wait.
func (s *State) waitMs(supply *forecast.Supply, amount float64, late bool) float64 {
	switch {
	case supply.Empty():
		return 0
	case late:
		return supply.LateWaitMs(amount)
	default:
		return supply.WaitMs(amount)
	}
}

// forecastSlots computes the supply of slots for short prompts like j. Free slots that j can't use are due when the prefill pending
// on their engine is done, or its holdoff ends. Engines that are too slow or too full for j at any backlog supply none.
func (s *State) forecastSlots(now decide.Instant, j *Job) {
	f := &s.forecast
	if f.slotsKnown {
		return
	}
	f.slotsKnown, f.freeSlots = true, 0
	f.slots = forecast.Supply{TakenPerMs: s.history.slots.PerMs(now, arrivalWindow)}
	short, long := f.fullShort, f.fullLong
	for _, e := range f.vacant {
		free := float64(e.slots(s.model) - len(e.runs))
		f.freeSlots += max(0, free)
		dueMs, usable := s.slotDueMs(now, e, j)
		if !usable {
			continue
		}
		short, long = short+len(e.runs)-e.longRuns, long+e.longRuns
		if free > 0 {
			f.slots.AddDue(dueMs, free)
		}
	}
	f.slots.PerMs = float64(short)*s.history.hazardPerMs(shortPrompt) + float64(long)*s.history.hazardPerMs(longPrompt)
}

// slotDueMs returns the time until the engine can take a short prompt like j into a free slot. It returns false if that can't be
// foreseen.
func (s *State) slotDueMs(now decide.Instant, e *engine, j *Job) (float64, bool) {
	slowdown, need := e.slowdown(now), 0
	if j.kind == shortPrompt { // a long prompt that waits first stands for short ones behind it
		need = j.PromptTokens + j.MaxOutputTokens
	}
	if e.seemsDead(now) {
		return 0, false
	}
	full := len(e.runs) >= e.slots(s.model)
	if full && slowdown == 1 {
		return 0, true
	}
	roomMs := math.Inf(1)
	if gap := e.tighterGap(j.MaxGap); gap > 0 {
		roomMs = toMs(gap)*s.params.GapShare/slowdown - s.model.passMs(len(e.runs)+1, e.contextTokens+need)
	}
	if roomMs < 0 || (!full && need > s.freeTokens(e)) {
		return 0, false
	}
	dueMs := max(0, e.pendingMs-roomMs) * slowdown
	if e.failures > 0 {
		dueMs = max(dueMs, toMs(e.holdoffLeft(now)))
	}
	return max(dueMs, toMs(e.fullUntil.Sub(now))), true
}

// forecastPrefill computes the backlogs of the engines and the supply of prefill time for late prompts. A long prompt in
// time starts on engines with a backlog of at most MaxBacklogMs; a late one when so many engines are idle that it has slack.
func (s *State) forecastPrefill(now decide.Instant) {
	f := &s.forecast
	if f.prefillKnown {
		return
	}
	f.prefillKnown = true
	f.backlogMs = f.backlogMs[:0]
	speed, pendingMs := 0.0, 0.0
	for _, e := range s.orderedEngines {
		if !e.closed && !e.inHoldoff(now) {
			f.backlogMs = append(f.backlogMs, e.pendingMs*e.slowdown(now))
			pendingMs += e.pendingMs
			speed += 1 / e.slowdown(now)
		}
	}
	f.backlogs.Reset(f.backlogMs)
	engines := float64(len(f.backlogMs))
	f.prefillPerMs = s.history.prefillSpeed()
	f.latePrefill = forecast.Supply{
		Free:  s.slackMs(engines, pendingMs),
		PerMs: speed * f.prefillPerMs, TakenPerMs: s.history.prefills.PerMs(now, prefillWindow),
	}
}

// slackMs returns the prefill time that late prompts may add before their slack is used up. Below 0 it is the prefill that must
// be done first, if fewer engines are idle than slack requires.
func (s *State) slackMs(engines, pendingMs float64) float64 {
	missing := s.minIdleEngines() - (engines - float64(s.prefillingEngines))
	if missing > 0 {
		return -pendingMs * missing / max(1, engines)
	}
	return max(0, (engines-s.minIdleEngines())*s.params.MaxBacklogMs-pendingMs)
}

// forecastTokens returns the supply of parts of KV cache for a long prompt that needs so many tokens. Parts become
// available where long prompts end. The slots of short prompts are taken again by others.
func (s *State) forecastTokens(now decide.Instant, need float64) *forecast.Supply {
	unit := float64(s.model.KVCacheTokens) * s.params.MemoryShare / kvSizes
	i := int(min(kvSizes, max(1, need/max(1, unit)))) - 1
	t := &s.forecast.tokens[i]
	if t.known {
		return &t.Supply
	}
	size := max(1, unit*float64(i+1))
	free, ifEnded := 0.0, 0.0
	for _, e := range s.orderedEngines {
		if e.closed || e.inHoldoff(now) {
			continue
		}
		tokens := float64(s.freeTokens(e))
		free += max(0, math.Floor(tokens/size))
		ifEnded += max(0, math.Floor((tokens+float64(e.longTokens))/size))
	}
	t.known = true
	t.Supply = forecast.Supply{Free: free, PerMs: (ifEnded - free) * s.history.hazardPerMs(longPrompt), TakenPerMs: s.history.tokens.PerMs(now, prefillWindow) / size}
	return &t.Supply
}
