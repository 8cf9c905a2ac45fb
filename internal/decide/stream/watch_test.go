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

const gap = 2 * time.Second

func instant(d time.Duration) decide.Instant { return decide.Instant(d) }

// The steps from silence to what follows, with an upstream that answers probes and one that doesn't.
func TestStepsOfSilence(t *testing.T) {
	for _, answers := range []bool{true, false} {
		is := is.New(t)
		w := stream.NewSilenceDetector(stream.NewParams(gap), false, 0, 0, instant(time.Minute))
		for i := 1; i <= 50; i++ {
			w.OnBytes(instant(time.Duration(i) * 50 * time.Millisecond))
		}
		silent := instant(2500 * time.Millisecond)
		probes := 0
		for now := w.NextCheck(); ; now = w.NextCheck() {
			action, reason := w.OnTimer(now)
			for action == stream.Probe {
				probes++
				is.Equal(reason, stream.ReasonProbe)
				now = now.Add(probeWait)
				action, reason = w.OnProbeResult(answers, now)
			}
			if action == stream.Wait {
				continue
			}
			is.Equal(now.Sub(silent) >= gap/2, true) // a short silence is never the end
			is.Equal(now.Sub(silent) <= gap, true)
			want := map[bool]stream.Action{true: stream.Resume, false: stream.Redispatch}[answers]
			is.Equal(action, want)
			is.True(reason == stream.ReasonConnectionDead || reason == stream.ReasonUpstreamDead)
			is.Equal(probes == 1, answers) // an answered probe is enough; one that is not is repeated
			break
		}
	}
}

const probeWait = 100 * time.Millisecond

// An engine stalls for a moment because another prompt came in. The probe is answered and then the next
// part comes: the stream goes on, and the next silence is judged anew.
func TestStallIsNoSilence(t *testing.T) {
	is := is.New(t)
	w := stream.NewSilenceDetector(stream.NewParams(gap), false, 0, 0, instant(time.Minute))
	w.OnBytes(instant(100 * time.Millisecond))
	w.OnBytes(instant(150 * time.Millisecond))
	action, _ := w.OnTimer(w.NextCheck())
	is.Equal(action, stream.Probe)
	w.OnBytes(instant(900 * time.Millisecond)) // before the probe's result
	action, _ = w.OnProbeResult(true, instant(910*time.Millisecond))
	is.Equal(action, stream.Wait)
	action, _ = w.OnTimer(w.NextCheck())
	is.Equal(action, stream.Probe) // the old answer does not condemn
}

func TestDeadlineEndsTheWait(t *testing.T) {
	is := is.New(t)
	w := stream.NewSilenceDetector(stream.NewParams(gap), false, 0, 0, instant(500*time.Millisecond))
	is.Equal(w.NextCheck(), instant(500*time.Millisecond))
	action, reason := w.OnTimer(instant(500 * time.Millisecond))
	is.Equal(action, stream.GiveUp)
	is.Equal(reason, stream.ReasonDeadlinePassed)
}

// silence runs one stream whose connection goes silent for good at a drawn moment, and gives the time from
// then to the first new byte over another one. between is the time between its bytes: 0 for none at all.
func silence(r *rand.Rand, reused bool, between time.Duration, upstreamAnswers bool) time.Duration {
	var loop vtime.Loop
	const (
		probe    = 2 * time.Millisecond
		resumeBy = 150 * time.Millisecond // first bytes of the resumed stream
	)
	params := stream.NewParams(gap)
	w := stream.NewSilenceDetector(params, reused, 0, 0, instant(5*time.Minute))
	silentAt := instant(0)
	if between > 0 {
		silentAt = instant(time.Second + time.Duration(r.Float64()*float64(10*time.Second)))
		for at := instant(time.Millisecond); at < silentAt; at = at.Add(between/2 + time.Duration(r.Int64N(int64(between)))) {
			loop.At(at, func() { w.OnBytes(loop.Now()) })
		}
	}
	var found decide.Instant
	var act func(stream.Action)
	wake := func() {
		at := w.NextCheck()
		loop.At(at, func() {
			if found == 0 && loop.Now() >= w.NextCheck() {
				a, _ := w.OnTimer(loop.Now())
				act(a)
			}
		})
	}
	act = func(a stream.Action) {
		switch a {
		case stream.Probe:
			took := probe
			if !upstreamAnswers {
				took = params.ProbeTimeout
			}
			loop.After(took, func() {
				next, _ := w.OnProbeResult(upstreamAnswers, loop.Now())
				act(next)
			})
		case stream.Resume, stream.Redispatch:
			found = loop.Now()
		default:
			wake()
		}
	}
	loop.At(silentAt, wake)
	loop.RunUntil(instant(5 * time.Minute))
	return found.Sub(silentAt) + resumeBy
}

// A connection goes silent for good while new ones work. The caller sees its answer stop until the entry
// finds out and resumes; the bounds are the measured times, which repeat exactly.
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
		{"computing the prompt", false, working, true, 1890 * time.Millisecond, 2150 * time.Millisecond},
		{"before the head, new connection", false, 0, true, 4150 * time.Millisecond, 4150 * time.Millisecond},
		{"before the head, idle connection", true, 0, true, 1150 * time.Millisecond, 1150 * time.Millisecond},
		{"decoding, upstream dead too", false, token, false, 1400 * time.Millisecond, 1460 * time.Millisecond},
		{"computing, upstream dead too", false, working, false, 2330 * time.Millisecond, 2640 * time.Millisecond},
	}
	for _, row := range rows {
		r := rand.New(rand.NewPCG(21, 21))
		var all []time.Duration
		for range 400 {
			all = append(all, silence(r, row.reused, row.between, row.answers))
		}
		slices.Sort(all)
		p50, p99 := all[len(all)/2], all[len(all)*99/100]
		t.Logf("%-33s silence to first new byte: p50 %v p99 %v", row.name, p50, p99)
		if p50 > row.p50 || p99 > row.p99 {
			t.Errorf("%s: over the bounds of %v and %v", row.name, row.p50, row.p99)
		}
	}
}
