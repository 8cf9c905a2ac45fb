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

// An engine says that it is warm, and nine entries send it all that they held back. The ramp lets the load
// grow only as fast as requests succeed, and each failure state puts it back to the slots.
func TestRampGrowsBySuccesses(t *testing.T) {
	is := is.New(t)
	var g warm.Growth
	g.OnStateChange(health.Cold, 0)
	is.Equal(g.Caps(health.Cold, 0), warm.Caps{FromSlots: true})
	g.OnStateChange(health.Warming, 0)
	ended := 0
	for top := false; !top; {
		ended++
		top = g.OnSuccess()
		is.True(g.Caps(health.Warming, 0).InFlight <= ended+1) // no more at once than succeeded before, and one
	}
	is.Equal(ended, 63) // 1+2+4+8+16+32
	is.Equal(g.Caps(health.Warm, 0).InFlight, warm.Unlimited)
	is.Equal(g.Caps(health.Suspect, 2), warm.Caps{InFlight: 2, AwaitingFirstByte: 2, FromSlots: true})
	is.Equal(g.Caps(health.Leaving, 2), warm.Caps{})
	is.Equal(g.Caps(health.Gone, 2), warm.Caps{})
}

func TestWindowFollowsUse(t *testing.T) {
	is := is.New(t)
	var g warm.Growth
	g.OnStateChange(health.Warm, 0)
	for range 100 {
		g.OnFirstByte(1) // one at a time never needs more
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

// turn is one engine that turns cold without a word under load from nine entries.
type turn struct {
	sentAfter int     // dispatches after it turned, until every entry had inferred it
	most      int     // without a first byte at once, after it turned
	refused   float64 // share of requests that the window held back while it was warm
}

func turnsCold(rate float64, windowed bool) turn {
	const (
		entries    = 9
		firstByte  = 100 * time.Millisecond
		coldByte   = 10 * time.Second
		reportMade = 500 * time.Millisecond
		reportRead = 200 * time.Millisecond
		turnsAt    = decide.Instant(20 * time.Second)
	)
	type entry struct {
		g          warm.Growth
		unanswered int
		inferred   bool
	}
	var loop vtime.Loop
	random := rand.New(rand.NewPCG(3, 3))
	var r turn
	all, held, out := 0, 0, 0
	var es []*entry
	for range entries {
		e := &entry{}
		e.g.OnStateChange(health.Warm, 0)
		es = append(es, e)
		offset := time.Duration(random.Int64N(int64(reportRead)))
		inferAt := turnsAt.Add(time.Duration(random.Int64N(int64(reportMade))) + offset)
		loop.At(inferAt, func() { e.inferred = true })
	}
	var arrive func()
	arrive = func() {
		e := es[random.IntN(entries)]
		now := loop.Now()
		cold := now >= turnsAt
		loop.After(vtime.Exponential(random, rate), arrive)
		if e.inferred {
			return
		}
		all++
		if windowed && e.unanswered >= e.g.Caps(health.Warm, 0).AwaitingFirstByte {
			if !cold {
				held++
			}
			return
		}
		e.unanswered++
		out++
		took := firstByte/2 + vtime.Exponential(random, 2/firstByte.Seconds())
		if cold {
			r.sentAfter++
			r.most = max(r.most, out)
			took = coldByte
		}
		loop.After(took, func() {
			if loop.Now() < turnsAt {
				e.g.OnFirstByte(e.unanswered)
			}
			e.unanswered--
			out--
		})
	}
	arrive()
	loop.RunUntil(turnsAt.Add(2 * time.Second))
	r.refused = float64(held) / float64(all)
	return r
}

// An engine under full load turns cold without a word, and every entry goes on sending until its next
// report: more than it bears, whatever anybody does. The window bounds how much more.
func TestUnannouncedColdIsBounded(t *testing.T) {
	rows := []struct {
		rate    float64
		most    int     // bound with the window
		refused float64 // bound of what the window holds back while the engine is warm
	}{
		{30, 14, 0.001}, {120, 46, 0.001}, {1000, 216, 0.002},
	}
	for _, row := range rows {
		free, bounded := turnsCold(row.rate, false), turnsCold(row.rate, true)
		t.Logf("%4.0f requests/s: without window sent %3d, most %3d; with window sent %3d, most %3d, held back while warm %.2f%%",
			row.rate, free.sentAfter, free.most, bounded.sentAfter, bounded.most, 100*bounded.refused)
		if bounded.most > row.most || bounded.refused > row.refused || bounded.most > free.most {
			t.Errorf("over the bounds of %d and %.2f%%", row.most, 100*row.refused)
		}
	}
}
