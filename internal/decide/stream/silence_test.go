package stream_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/stream"
	"github.com/damaskshelf/damaskshelf/internal/vtime"
)

// gap is the setting stream_gap in these tests.
const gap = 2 * time.Second

// instant returns the instant d after the start of a test.
func instant(d time.Duration) decide.Instant { return decide.Instant(d) }

// A silent connection is probed first. It is resumed if the upstream answers the probe; if the upstream does not, the
// request is dispatched elsewhere.
func TestSilenceIsProbedThenDeclaredDead(t *testing.T) {
	for _, answers := range []bool{true, false} {
		is := is.New(t)
		d := stream.NewSilenceDetector(stream.NewParams(gap), false, 0, 0, instant(time.Minute))
		for i := 1; i <= 50; i++ {
			d.OnBytes(instant(time.Duration(i) * 50 * time.Millisecond))
		}
		silentSince := instant(2500 * time.Millisecond)
		probes := 0
		for now := d.NextCheck(); ; now = d.NextCheck() {
			action, reason := d.OnTimer(now)
			for action == stream.Probe {
				probes++
				is.Equal(reason, stream.ReasonProbe)
				now = now.Add(probeWait)
				action, reason = d.OnProbeResult(answers, now)
			}
			if action == stream.Wait {
				continue
			}
			is.Equal(now.Sub(silentSince) >= gap/2, true) // a short silence never ends the dispatch
			is.Equal(now.Sub(silentSince) <= gap, true)
			want := map[bool]stream.Action{true: stream.Resume, false: stream.Redispatch}[answers]
			is.Equal(action, want)
			is.True(reason == stream.ReasonConnectionDead || reason == stream.ReasonUpstreamDead)
			is.Equal(probes == 1, answers) // only an unanswered probe is repeated
			break
		}
	}
}

// probeWait is the time from a probe to its result.
const probeWait = 100 * time.Millisecond

// Guards against declaring a connection dead while its engine stalls briefly for another prompt. The next part arrives
// before the probe's result, so the stream continues and that result must not count for the next silence.
func TestStallIsNoSilence(t *testing.T) {
	is := is.New(t)
	d := stream.NewSilenceDetector(stream.NewParams(gap), false, 0, 0, instant(time.Minute))
	d.OnBytes(instant(100 * time.Millisecond))
	d.OnBytes(instant(150 * time.Millisecond))
	action, _ := d.OnTimer(d.NextCheck())
	is.Equal(action, stream.Probe)
	d.OnBytes(instant(900 * time.Millisecond)) // before the probe's result
	action, _ = d.OnProbeResult(true, instant(910*time.Millisecond))
	is.Equal(action, stream.Wait)
	action, _ = d.OnTimer(d.NextCheck())
	is.Equal(action, stream.Probe) // the result of the earlier probe does not count
}

func TestDetectorGivesUpAtTheDeadline(t *testing.T) {
	is := is.New(t)
	d := stream.NewSilenceDetector(stream.NewParams(gap), false, 0, 0, instant(500*time.Millisecond))
	is.Equal(d.NextCheck(), instant(500*time.Millisecond))
	action, reason := d.OnTimer(instant(500 * time.Millisecond))
	is.Equal(action, stream.GiveUp)
	is.Equal(reason, stream.ReasonDeadlinePassed)
}

// timeToResume simulates one stream whose connection becomes silent for good at a random instant. It returns the time from
// that instant to the first new byte over another connection. between is the mean time between bytes; 0: no byte arrives.
func timeToResume(r *rand.Rand, reused bool, between time.Duration, upstreamAnswers bool) time.Duration {
	var loop vtime.Loop
	const (
		probeTime  = 2 * time.Millisecond
		resumeTime = 150 * time.Millisecond // until the first bytes of the resumed stream
	)
	params := stream.NewParams(gap)
	d := stream.NewSilenceDetector(params, reused, 0, 0, instant(5*time.Minute))
	silentAt := instant(0)
	if between > 0 {
		silentAt = instant(time.Second + time.Duration(r.Float64()*float64(10*time.Second)))
		for at := instant(time.Millisecond); at < silentAt; at = at.Add(between/2 + time.Duration(r.Int64N(int64(between)))) {
			loop.At(at, func() { d.OnBytes(loop.Now()) })
		}
	}
	var detectedAt decide.Instant
	var handle func(stream.Action)
	scheduleCheck := func() {
		at := d.NextCheck()
		loop.At(at, func() {
			if detectedAt == 0 && loop.Now() >= d.NextCheck() {
				a, _ := d.OnTimer(loop.Now())
				handle(a)
			}
		})
	}
	handle = func(a stream.Action) {
		switch a {
		case stream.Probe:
			duration := probeTime
			if !upstreamAnswers {
				duration = params.ProbeTimeout
			}
			loop.After(duration, func() {
				next, _ := d.OnProbeResult(upstreamAnswers, loop.Now())
				handle(next)
			})
		case stream.Resume, stream.Redispatch:
			detectedAt = loop.Now()
		default:
			scheduleCheck()
		}
	}
	loop.At(silentAt, scheduleCheck)
	loop.RunUntil(instant(5 * time.Minute))
	return detectedAt.Sub(silentAt) + resumeTime
}

// A connection becomes silent for good while new ones work. The caller's answer stops until the instance detects this and
// resumes. The simulation is deterministic, so its times repeat exactly.
func TestTimeFromSilenceToNewByte(t *testing.T) {
	const token, working = 45 * time.Millisecond, 500 * time.Millisecond
	rows := []struct {
		name     string
		reused   bool
		between  time.Duration
		answers  bool
		p50, p99 time.Duration
	}{
		{"decoding", false, token, true, 1130 * time.Millisecond, 1190 * time.Millisecond},
		{"prefill", false, working, true, 1890 * time.Millisecond, 2150 * time.Millisecond},
		{"no bytes yet, new connection", false, 0, true, 4150 * time.Millisecond, 4150 * time.Millisecond},
		{"no bytes yet, idle connection", true, 0, true, 1150 * time.Millisecond, 1150 * time.Millisecond},
		{"decoding, upstream dead too", false, token, false, 1400 * time.Millisecond, 1460 * time.Millisecond},
		{"prefill, upstream dead too", false, working, false, 2330 * time.Millisecond, 2640 * time.Millisecond},
	}
	for _, row := range rows {
		r := rand.New(rand.NewPCG(21, 21))
		var all []time.Duration
		for range 400 {
			all = append(all, timeToResume(r, row.reused, row.between, row.answers))
		}
		slices.Sort(all)
		p50, p99 := all[len(all)/2], all[len(all)*99/100]
		t.Logf("%-33s silence to first new byte: p50 %v p99 %v", row.name, p50, p99)
		if p50 > row.p50 || p99 > row.p99 {
			t.Errorf("%s: over the bounds of %v and %v", row.name, row.p50, row.p99)
		}
	}
}
