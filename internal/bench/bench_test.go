package bench

import (
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide/cost"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// newTestEngine returns an engine with its own clock, and a function that dispatches a prompt to it.
func newTestEngine() (*engine, func(tokens, priority int) *request) {
	s := &sim{byID: map[fleet.UpstreamID]*engine{}}
	e := newEngine("e", DefaultEngine, &s.clock)
	s.engines = []*engine{e}
	s.instances = []*instance{{sim: s, policy: &direct{}}}
	return e, func(tokens, priority int) *request {
		r := &request{
			arrival: &arrival{at: s.clock.Now(), prompt: cost.Prompt{Tokens: tokens, MaxOutputTokens: 10}, answerTokens: 10},
			sim:     s, instance: s.instances[0], priority: priority,
		}
		r.dispatch(e, false)
		return r
	}
}

func TestEngineRunsHighPriorityFirst(t *testing.T) {
	is := is.New(t)
	e, submit := newTestEngine()
	long := submit(100_000, 0)
	e.clock.RunUntil(e.clock.Now().Add(time.Second))
	short := submit(2_000, 5)
	e.clock.RunUntil(e.clock.Now().Add(time.Minute))
	is.True(short.firstTokenAt.Sub(short.at) < 200*time.Millisecond)
	is.True(long.firstTokenAt.Sub(long.at) > DefaultEngine.prefillTime(100_000))
	is.Equal(long.outcome, inTime)
	is.Equal(e.memoryHeld, int64(0)) // all memory is free
}

func TestEngineMemoryStaysWithinLimit(t *testing.T) {
	is := is.New(t)
	e, submit := newTestEngine()
	first, second := submit(300_000, 0), submit(300_000, 0)
	e.clock.RunUntil(e.clock.Now().Add(5 * time.Second))
	is.Equal(e.load().Queued, 1) // the second one waits for memory
	is.True(!e.reserve(second, 200_000))
	first.outcome = late
	e.cancel(first)
	is.Equal(e.memoryHeld, int64(0)) // a canceled request frees its memory at once
	e.clock.RunUntil(e.clock.Now().Add(100 * time.Millisecond))
	is.Equal(e.load().Running, 1) // and the other one starts with the next step
	e.clock.RunUntil(e.clock.Now().Add(time.Minute))
	is.Equal(second.outcome, inTime)
	is.True(e.maxMemoryHeld <= DefaultEngine.KVCacheTokens)
}

func TestCachedPrefixIsNotComputedAgain(t *testing.T) {
	is := is.New(t)
	e, submit := newTestEngine()
	blocks := []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	firstTokenTime := func() time.Duration {
		r := submit(9_000, 0)
		r.prompt.Blocks = blocks
		e.clock.RunUntil(e.clock.Now().Add(10 * time.Second))
		return r.firstTokenAt.Sub(r.at)
	}
	cold := firstTokenTime()
	is.True(firstTokenTime() < cold/4)
	is.Equal(len(e.cache.events), len(blocks))
	e.cache.evict(4)
	is.Equal(e.cache.cachedPrefix(blocks), 4) // the first blocks are evicted last
}

func TestRunsRepeatExactly(t *testing.T) {
	is := is.New(t)
	c := Config{Deployment: &Coteau, Instances: 6, Load: 0.8, Span: 90 * time.Second, Seed: 7, Policy: PolicyDamaskshelf}
	is.True(reflect.DeepEqual(Run(c), Run(c)))
}

func TestOfferedWorkMatchesLoad(t *testing.T) {
	is := is.New(t)
	const load = 0.5
	w := newWorkload(&ASRQ, DefaultEngine, 6, 3)
	arrivals := w.generate(load, 5*time.Minute)
	var work time.Duration
	replay := newWorkload(&ASRQ, DefaultEngine, 6, 3)
	long := 0
	for i := range arrivals {
		work += replay.engineTime(&arrivals[i])
		if arrivals[i].class.UsesLanes() {
			long++
		}
	}
	span := arrivals[len(arrivals)-1].at.Sub(0)
	offered := work.Seconds() / (span.Seconds() * float64(ASRQ.Engines))
	is.True(offered > 0.999*load && offered < 1.001*load)
	share := float64(long) / float64(len(arrivals))
	is.True(share > 0.015 && share < 0.025) // one in fifty
}

// Guards against sending prompts to a failure domain that operators took out of service, where they go unanswered. Its
// engines look idle, so instances prefer them if a decision's pool still contains them.
func TestDomainTakenOutGetsNothingNew(t *testing.T) {
	is := is.New(t)
	c := Config{Deployment: &ASRQ, Instances: 6, Load: 0.5, Span: 110 * time.Second, Seed: 5, Policy: PolicyDamaskshelf}
	c.Outage = Outage{Domain: ASRQ.Domains[1], From: 70 * time.Second, To: 95 * time.Second}
	r := Run(c)
	is.Equal(r.SentOutOfService, 0)
	is.True(r.Class[cost.Short].InTime > 0)
	is.Equal(r.Class[cost.Short].Late, 0) // work in flight there continues
}
