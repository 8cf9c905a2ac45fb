package health_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/health"
)

const at = decide.Instant(time.Second)

// reach brings a machine to a state by the shortest way.
func reach(t *testing.T, s health.State) *health.Machine {
	t.Helper()
	ways := map[health.State][]health.Event{
		health.Unknown: nil,
		health.Cold:    {health.ReportedCold},
		health.Warming: {health.ReportedCold, health.ReportedWarm},
		health.Warm:    {health.ReportedWarm},
		health.Suspect: {health.ReportedWarm, health.ConnReset},
		health.Leaving: {health.IsLeaving},
		health.Gone:    {health.Unlisted},
	}
	m := &health.Machine{}
	for _, e := range ways[s] {
		m.Apply(e, at)
	}
	if m.State() != s {
		t.Fatalf("reached %s instead of %s", m.State(), s)
	}
	return m
}

// The whole table, by what an upstream's user would see.
func TestTransitions(t *testing.T) {
	rows := []struct {
		from health.State
		e    health.Event
		to   health.State
	}{
		{health.Unknown, health.ReportedWarm, health.Warm},
		{health.Unknown, health.ConnReset, health.Cold},
		{health.Unknown, health.ProbeAnswered, health.Warming},
		{health.Cold, health.ReportedWarm, health.Warming},
		{health.Cold, health.ConnReset, health.Cold},
		{health.Cold, health.RampCompleted, health.Cold},
		{health.Cold, health.ProbeAnswered, health.Cold}, // a probe alone doesn't warm anything up
		{health.Cold, health.ProbationPassed, health.Warming},
		{health.Warming, health.RampCompleted, health.Warm},
		{health.Warming, health.BootChanged, health.Cold},
		{health.Warm, health.BootChanged, health.Cold},
		{health.Warm, health.ReportedCold, health.Cold},
		{health.Warm, health.ConnReset, health.Suspect},
		{health.Warm, health.SlowFirstByte, health.Suspect},
		{health.Warm, health.Errored, health.Suspect},
		{health.Warm, health.NoReply, health.Suspect},
		{health.Warm, health.IsLeaving, health.Leaving},
		{health.Suspect, health.ReportedWarm, health.Warming},
		{health.Suspect, health.ReportedCold, health.Cold},
		{health.Suspect, health.ProbeAnswered, health.Warming},
		{health.Suspect, health.BootChanged, health.Cold},
		{health.Leaving, health.ReportedWarm, health.Leaving}, // what leaves takes nothing, however well it is
		{health.Leaving, health.IsBack, health.Cold},          // as operators' domains come back
		{health.Leaving, health.Unlisted, health.Gone},
		{health.Gone, health.ReportedWarm, health.Gone},
		{health.Gone, health.Listed, health.Unknown},
	}
	for _, row := range rows {
		is := is.New(t)
		m := reach(t, row.from)
		tr, changed := m.Apply(row.e, at+1)
		is.Equal(m.State(), row.to)
		is.Equal(changed, row.from != row.to)
		if changed {
			is.Equal(tr, health.Transition{From: row.from, To: row.to, Reason: row.e.Reason()})
			is.Equal(m.Since(), at+1)
		}
	}
}

// Whatever comes, in any state: nothing but Listed or IsBack ends Gone or Leaving, and nothing takes a cold
// or suspect upstream to warm in one step.
func TestNoShortcuts(t *testing.T) {
	for s := health.Unknown; s <= health.Gone; s++ {
		for e := health.ReportedWarm; e <= health.Listed; e++ {
			is := is.New(t)
			m := reach(t, s)
			m.Apply(e, at)
			if !s.AcceptsWork() && m.State().AcceptsWork() {
				is.True(e == health.Listed || e == health.IsBack)
			}
			if s == health.Cold || s == health.Suspect {
				is.True(m.State() != health.Warm)
			}
			is.True(e.Reason() != "")
			is.True(m.State().String() != "")
		}
	}
}

// An engine restarts between two requests. Its port answers again at once, and warm-looking connections
// would get full load. Its boot id tells; the first one seen says nothing.
func TestBootID(t *testing.T) {
	is := is.New(t)
	m := reach(t, health.Warm)
	_, changed := m.ApplyBootID("b1", at)
	is.True(!changed)
	_, changed = m.ApplyBootID("", at) // an answer without the header
	is.True(!changed)
	tr, changed := m.ApplyBootID("b2", at)
	is.True(changed)
	is.Equal(tr.To, health.Cold)
	is.Equal(string(tr.Reason), "boot_changed")
}

// A connection is reset because the engine turned cold. The load report that was made just before says
// "warm" and arrives just after: it must not clear the suspicion.
func TestOldReportClearsNothing(t *testing.T) {
	is := is.New(t)
	m := reach(t, health.Suspect)
	is.True(!m.AcceptsEvidence(at - 1))
	is.True(!m.AcceptsEvidence(at))
	is.True(m.AcceptsEvidence(at.Add(250*time.Millisecond + 1)))
	is.True(reach(t, health.Unknown).AcceptsEvidence(-1)) // what was reported before this instance started is welcome
}

func TestSlowFirstByte(t *testing.T) {
	is := is.New(t)
	is.True(!health.IsSlowFirstByte(900*time.Millisecond, 10*time.Millisecond)) // under the floor
	is.True(health.IsSlowFirstByte(1100*time.Millisecond, 10*time.Millisecond))
	is.True(!health.IsSlowFirstByte(30*time.Second, 10*time.Second)) // long prompts take long
	is.True(health.IsSlowFirstByte(41*time.Second, 10*time.Second))
}

// An engine loses all its answers and reports that it is well. Each report brought full load back, and
// prompts failed for as long as the fault lasted. Each failure soon after the last doubles the time for
// which a report clears nothing.
func TestRepeatedFailuresHoldLonger(t *testing.T) {
	is := is.New(t)
	m := reach(t, health.Warm)
	now := decide.Instant(time.Minute)
	want := []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 8 * time.Second}
	for _, hold := range want {
		m.Apply(health.Errored, now)
		is.Equal(m.State(), health.Suspect)
		is.True(m.InHoldoff())
		is.True(!m.AcceptsEvidence(now.Add(hold)))
		is.True(m.AcceptsEvidence(now.Add(hold + 1)))
		now = now.Add(hold + 1)
		m.Apply(health.ReportedWarm, now)
		is.Equal(m.State(), health.Warming)
	}
	now = now.Add(31 * time.Second)
	m.Apply(health.Errored, now)
	is.True(m.AcceptsEvidence(now.Add(250*time.Millisecond + 1))) // the last one is long past: the first again
}
