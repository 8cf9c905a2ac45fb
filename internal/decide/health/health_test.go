package health_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/health"
)

// stateBegan is the instant at which the state of a machineIn began.
const stateBegan = decide.Instant(time.Second)

// machineIn returns a machine that has reached state s by the shortest path.
func machineIn(t *testing.T, s health.State) *health.Machine {
	t.Helper()
	paths := map[health.State][]health.Event{
		health.Unknown: nil,
		health.Cold:    {health.ReportedCold},
		health.Warming: {health.ReportedCold, health.ReportedWarm},
		health.Warm:    {health.ReportedWarm},
		health.Suspect: {health.ReportedWarm, health.ConnReset},
		health.Leaving: {health.IsLeaving},
		health.Gone:    {health.Unlisted},
	}
	m := &health.Machine{}
	for _, e := range paths[s] {
		m.Apply(e, stateBegan)
	}
	if m.State() != s {
		t.Fatalf("reached %s instead of %s", m.State(), s)
	}
	return m
}

// Checks the transition table with the state changes that callers can observe.
func TestTransitions(t *testing.T) {
	rows := []struct {
		from  health.State
		event health.Event
		to    health.State
	}{
		{health.Unknown, health.ReportedWarm, health.Warm},
		{health.Unknown, health.ConnReset, health.Cold},
		{health.Unknown, health.ProbeAnswered, health.Warming},
		{health.Cold, health.ReportedWarm, health.Warming},
		{health.Cold, health.ConnReset, health.Cold},
		{health.Cold, health.RampCompleted, health.Cold},
		{health.Cold, health.ProbeAnswered, health.Cold}, // a probe alone doesn't make a cold upstream warming
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
		{health.Leaving, health.ReportedWarm, health.Leaving}, // a leaving upstream gets no work, even if it reports warm
		{health.Leaving, health.IsBack, health.Cold},          // as when an operator returns a domain to service
		{health.Leaving, health.Unlisted, health.Gone},
		{health.Gone, health.ReportedWarm, health.Gone},
		{health.Gone, health.Listed, health.Unknown},
	}
	for _, row := range rows {
		is := is.New(t)
		m := machineIn(t, row.from)
		transition, changed := m.Apply(row.event, stateBegan+1)
		is.Equal(m.State(), row.to)
		is.Equal(changed, row.from != row.to)
		if changed {
			is.Equal(transition, health.Transition{From: row.from, To: row.to, Reason: row.event.Reason()})
			is.Equal(m.Since(), stateBegan+1)
		}
	}
}

// Checks for any event in any state: only Listed or IsBack lets an upstream that is gone or leaving get work again, and
// no event makes a cold or suspect upstream warm in one step.
func TestNoShortcuts(t *testing.T) {
	for s := health.Unknown; s <= health.Gone; s++ {
		for e := health.ReportedWarm; e <= health.Listed; e++ {
			is := is.New(t)
			m := machineIn(t, s)
			m.Apply(e, stateBegan)
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

// Guards against full load on an engine that restarts between two requests: it accepts connections again at once and
// still counts as warm. A changed boot ID shows the restart; the first boot ID doesn't.
func TestBootIDChangeMakesWarmCold(t *testing.T) {
	is := is.New(t)
	m := machineIn(t, health.Warm)
	_, changed := m.ApplyBootID("b1", stateBegan)
	is.True(!changed)
	_, changed = m.ApplyBootID("", stateBegan) // an answer without the header
	is.True(!changed)
	transition, changed := m.ApplyBootID("b2", stateBegan)
	is.True(changed)
	is.Equal(transition.To, health.Cold)
	is.Equal(string(transition.Reason), "boot_changed")
}

// Guards against full load on an engine that has just turned cold: it resets a connection, and a load report from just
// before, which says that it is warm, arrives just after. The report must not end the state Suspect.
func TestReportOlderThanSuspectIsIgnored(t *testing.T) {
	is := is.New(t)
	m := machineIn(t, health.Suspect)
	is.True(!m.AcceptsEvidence(stateBegan - 1))
	is.True(!m.AcceptsEvidence(stateBegan))
	is.True(m.AcceptsEvidence(stateBegan.Add(250*time.Millisecond + 1)))
	is.True(machineIn(t, health.Unknown).AcceptsEvidence(-1)) // a report from before this instance started counts
}

func TestIsSlowFirstByte(t *testing.T) {
	is := is.New(t)
	is.True(!health.IsSlowFirstByte(900*time.Millisecond, 10*time.Millisecond)) // below slowFloor
	is.True(health.IsSlowFirstByte(1100*time.Millisecond, 10*time.Millisecond))
	is.True(!health.IsSlowFirstByte(30*time.Second, 10*time.Second)) // expected for a long prompt
	is.True(health.IsSlowFirstByte(41*time.Second, 10*time.Second))
}

// Guards against full load on an engine that loses all its answers but reports that it is healthy: each report would
// bring the load back, and prompts would fail until the fault ends. Each failure soon after the last one doubles the
// holdoff.
func TestRepeatedFailuresDoubleHoldoff(t *testing.T) {
	is := is.New(t)
	m := machineIn(t, health.Warm)
	now := decide.Instant(time.Minute)
	want := []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 8 * time.Second}
	for _, holdoff := range want {
		m.Apply(health.Errored, now)
		is.Equal(m.State(), health.Suspect)
		is.True(m.InHoldoff())
		is.True(!m.AcceptsEvidence(now.Add(holdoff)))
		is.True(m.AcceptsEvidence(now.Add(holdoff + 1)))
		now = now.Add(holdoff + 1)
		m.Apply(health.ReportedWarm, now)
		is.Equal(m.State(), health.Warming)
	}
	now = now.Add(31 * time.Second)
	m.Apply(health.Errored, now)
	is.True(m.AcceptsEvidence(now.Add(250*time.Millisecond + 1))) // long after the last failure, so it counts as the first
}
