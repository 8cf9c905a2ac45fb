package warm_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/health"
	"github.com/damaskshelf/damaskshelf/internal/decide/warm"
	"github.com/damaskshelf/damaskshelf/internal/vtime"
)

// Guards against nine instances that send all queued requests at once to an engine that has just reported warm. The
// ramp lets the load grow only with successful requests, and each failure state reduces it to the slots.
func TestRampGrowsBySuccesses(t *testing.T) {
	is := is.New(t)
	var g warm.Growth
	g.OnStateChange(health.Cold, 0)
	is.Equal(g.Caps(health.Cold, 0), warm.Caps{FromSlots: true})
	g.OnStateChange(health.Warming, 0)
	successes := 0
	for atMax := false; !atMax; {
		successes++
		atMax = g.OnSuccess()
		is.True(g.Caps(health.Warming, 0).InFlight <= successes+1) // at most one more in flight than succeeded before
	}
	is.Equal(successes, 63) // 1+2+4+8+16+32
	is.Equal(g.Caps(health.Warm, 0).InFlight, warm.Unlimited)
	is.Equal(g.Caps(health.Suspect, 2), warm.Caps{InFlight: 2, AwaitingFirstByte: 2, FromSlots: true})
	is.Equal(g.Caps(health.Leaving, 2), warm.Caps{})
	is.Equal(g.Caps(health.Gone, 2), warm.Caps{})
}

func TestWindowGrowsAndShrinksWithUse(t *testing.T) {
	is := is.New(t)
	var g warm.Growth
	g.OnStateChange(health.Warm, 0)
	for range 100 {
		g.OnFirstByte(1) // two dispatches at a time don't fill the window
	}
	is.Equal(g.Caps(health.Warm, 0).AwaitingFirstByte, 16)
	for range 100 {
		g.OnFirstByte(g.Caps(health.Warm, 0).AwaitingFirstByte)
	}
	is.Equal(g.Caps(health.Warm, 0).AwaitingFirstByte, 116)
	for range 100 {
		g.ShrinkWindow(0)
	}
	is.Equal(g.Caps(health.Warm, 0).AwaitingFirstByte, 16)
}

// coldTurn is the result for one engine that turns cold unannounced under load from nine instances.
type coldTurn struct {
	sentAfterCold int     // dispatches after it turned cold, until every instance had detected that
	maxAwaiting   int     // most dispatches without a first byte at a time, after it turned cold
	refusedShare  float64 // share of requests that the window refused while it was warm
}

// simulateColdTurn simulates one engine that turns cold after 20 s, under rate requests per second from nine instances.
// Each instance detects the cold engine by reading its next load report. withWindow applies the window of Growth.
func simulateColdTurn(rate float64, withWindow bool) coldTurn {
	const (
		instanceCount  = 9
		firstByte      = 100 * time.Millisecond
		coldFirstByte  = 10 * time.Second
		reportInterval = 500 * time.Millisecond
		readInterval   = 200 * time.Millisecond
		coldAt         = decide.Instant(20 * time.Second)
	)
	type instance struct {
		growth            warm.Growth
		awaitingFirstByte int
		detected          bool
	}
	var loop vtime.Loop
	random := rand.New(rand.NewPCG(3, 3))
	var result coldTurn
	total, refused, awaiting := 0, 0, 0
	var instances []*instance
	for range instanceCount {
		e := &instance{}
		e.growth.OnStateChange(health.Warm, 0)
		instances = append(instances, e)
		offset := time.Duration(random.Int64N(int64(readInterval)))
		detectAt := coldAt.Add(time.Duration(random.Int64N(int64(reportInterval))) + offset)
		loop.At(detectAt, func() { e.detected = true })
	}
	var arrive func()
	arrive = func() {
		e := instances[random.IntN(instanceCount)]
		now := loop.Now()
		cold := now >= coldAt
		loop.After(vtime.Exponential(random, rate), arrive)
		if e.detected {
			return
		}
		total++
		if withWindow && e.awaitingFirstByte >= e.growth.Caps(health.Warm, 0).AwaitingFirstByte {
			if !cold {
				refused++
			}
			return
		}
		e.awaitingFirstByte++
		awaiting++
		delay := firstByte/2 + vtime.Exponential(random, 2/firstByte.Seconds())
		if cold {
			result.sentAfterCold++
			result.maxAwaiting = max(result.maxAwaiting, awaiting)
			delay = coldFirstByte
		}
		loop.After(delay, func() {
			if loop.Now() < coldAt {
				e.growth.OnFirstByte(e.awaitingFirstByte)
			}
			e.awaitingFirstByte--
			awaiting--
		})
	}
	arrive()
	loop.RunUntil(coldAt.Add(2 * time.Second))
	result.refusedShare = float64(refused) / float64(total)
	return result
}

// Guards against unlimited load on an engine that turns cold unannounced under full load: every instance continues to
// send until the engine's next report. Some excess load can't be avoided; the window limits it.
func TestWindowLimitsLoadOnUnannouncedCold(t *testing.T) {
	rows := []struct {
		rate         float64
		maxAwaiting  int     // largest number with the window
		refusedShare float64 // largest share that the window refuses while the engine is warm
	}{
		{30, 14, 0.001}, {120, 46, 0.001}, {1000, 216, 0.002},
	}
	for _, row := range rows {
		without, with := simulateColdTurn(row.rate, false), simulateColdTurn(row.rate, true)
		t.Logf("%4.0f requests/s: without window sent %3d, most %3d; with window sent %3d, most %3d, held back while warm %.2f%%",
			row.rate, without.sentAfterCold, without.maxAwaiting, with.sentAfterCold, with.maxAwaiting, 100*with.refusedShare)
		if with.maxAwaiting > row.maxAwaiting || with.refusedShare > row.refusedShare || with.maxAwaiting > without.maxAwaiting {
			t.Errorf("over the bounds of %d and %.2f%%", row.maxAwaiting, 100*row.refusedShare)
		}
	}
}
