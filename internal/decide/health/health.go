// Package health determines the state of an upstream from the view of one instance. The state depends on passive
// evidence (the results of dispatches) and active evidence (load reports and probes). One table defines all
// transitions.
package health

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// State is an upstream's state.
type State uint8

// The states. Only warm and warming upstreams get more load than the slots of a cold one; see package warm.
const (
	Unknown State = iota // no evidence yet; treated as cold
	Cold                 // can handle only its cold limit
	Warming              // reported or probed as warm; its load grows with successful dispatches
	Warm
	Suspect // may have turned cold or failed; treated as cold until a report or probe decides
	Leaving // gets no new work
	Gone    // not in the instance list
	stateCount
)

// stateNames holds the name of each state, indexed by state.
var stateNames = [stateCount]string{"unknown", "cold", "warming", "warm", "suspect", "leaving", "gone"}

// String returns the state's name in logs.
func (s State) String() string { return stateNames[s] }

// AcceptsWork reports whether an upstream in state s gets new work.
func (s State) AcceptsWork() bool { return s != Leaving && s != Gone }

// Event is a piece of evidence.
type Event uint8

// The events. A report or probe counts only if it shows the upstream after the state began, because an earlier one
// can't reflect what changed the state. The caller checks that with Machine.AcceptsEvidence.
const (
	ReportedWarm    Event = iota // a load report says that the upstream is not cold
	ReportedCold                 // a load report says that the upstream is cold
	BootChanged                  // the boot ID has changed
	ConnReset                    // a connection was reset or closed, or could not be opened
	SlowFirstByte                // the first byte took far longer than expected
	Errored                      // an answer reports a failure of the upstream itself
	NoReply                      // a load report, a probe or a connection got no reply
	ProbeAnswered                // an upstream without load reports answered a probe
	ProbationPassed              // a cold upstream without load reports has answered probes for long enough
	RampCompleted                // the load of a warming upstream has grown to its maximum
	IsLeaving                    // the list, the configuration or the upstream itself says that it is leaving
	IsBack                       // the upstream no longer leaves
	Unlisted                     // removed from the instance list
	Listed                       // back in the instance list
	eventCount
)

// Reasons holds the reason of each event's transitions, indexed by event.
var Reasons = []decide.Reason{
	"reported_warm", "reported_cold", "boot_changed", "conn_reset", "slow_first_byte", "errored", "unheard",
	"answered_probe", "proven", "ramped", "is_leaving", "is_back", "unlisted", "listed",
}

// Reason returns the reason for transitions caused by the event.
func (e Event) Reason() decide.Reason { return Reasons[e] }

// transitions[s][e] is the state that follows event e in state s. An event without an entry doesn't change the state.
//
// A failed dispatch alone doesn't make a warm upstream cold, because a reset may concern only one connection. The
// upstream becomes suspect, with no more load than a cold one, until its own report or a probe decides. If that says
// that the upstream is healthy, its load grows again from the start. If full load returned at once, an upstream that
// fails its work but reports that it is healthy would fail a full load each time.
var transitions = [stateCount]map[Event]State{
	Unknown: {
		ReportedWarm: Warm, ReportedCold: Cold, BootChanged: Cold, ProbeAnswered: Warming, ProbationPassed: Warming,
		ConnReset: Cold, SlowFirstByte: Cold, Errored: Cold, NoReply: Suspect,
		IsLeaving: Leaving, Unlisted: Gone,
	},
	Cold: {
		ReportedWarm: Warming, ProbationPassed: Warming, NoReply: Suspect,
		IsLeaving: Leaving, Unlisted: Gone,
	},
	Warming: {
		ReportedCold: Cold, BootChanged: Cold, RampCompleted: Warm,
		ConnReset: Suspect, SlowFirstByte: Suspect, Errored: Suspect, NoReply: Suspect,
		IsLeaving: Leaving, Unlisted: Gone,
	},
	Warm: {
		ReportedCold: Cold, BootChanged: Cold,
		ConnReset: Suspect, SlowFirstByte: Suspect, Errored: Suspect, NoReply: Suspect,
		IsLeaving: Leaving, Unlisted: Gone,
	},
	Suspect: {
		ReportedWarm: Warming, ReportedCold: Cold, BootChanged: Cold, ProbeAnswered: Warming, ProbationPassed: Warming,
		IsLeaving: Leaving, Unlisted: Gone,
	},
	// A returning upstream starts cold, because reports from before it left or turned cold are outdated.
	Leaving: {IsBack: Cold, Unlisted: Gone},
	Gone:    {Listed: Unknown},
}

// Transition describes a change of state.
type Transition struct {
	From, To State
	Reason   decide.Reason
}

// Machine is the state machine of one upstream. The zero value is in state Unknown since instant 0.
type Machine struct {
	state       State
	since       decide.Instant
	bootID      string
	failures    int            // consecutive failures, each within failureResetTime of the one before
	lastFailure decide.Instant // when the latest failure occurred
}

// State returns the current state.
func (m *Machine) State() State { return m.state }

// Since returns the instant at which the current state began.
func (m *Machine) Since() decide.Instant { return m.since }

// Apply applies an event and reports whether the state changed.
func (m *Machine) Apply(e Event, now decide.Instant) (Transition, bool) {
	to, ok := transitions[m.state][e]
	if !ok || to == m.state {
		return Transition{}, false
	}
	t := Transition{From: m.state, To: to, Reason: e.Reason()}
	m.state, m.since = to, now
	if to == Suspect && e != NoReply {
		m.recordFailure(now)
	}
	return t, true
}

// ApplyBootID applies the boot ID of an answer. A change counts as BootChanged; the first ID does not.
func (m *Machine) ApplyBootID(id string, now decide.Instant) (Transition, bool) {
	if id == "" || id == m.bootID {
		return Transition{}, false
	}
	first := m.bootID == ""
	m.bootID = id
	if first {
		return Transition{}, false
	}
	return m.Apply(BootChanged, now)
}

// AcceptsEvidence reports whether a report or probe that shows the upstream at evidenceAt may change the state. In
// state Unknown all evidence may. In other states evidenceAt must be after the start of the state and its holdoff.
func (m *Machine) AcceptsEvidence(evidenceAt decide.Instant) bool {
	return m.state == Unknown || evidenceAt > m.since.Add(m.holdoff())
}

// Limits of the holdoff: the time for which reports and probes don't end the state Suspect. Without it, an upstream
// that fails its work but reports that it is healthy would get full load again after each report. The holdoff doubles
// with each consecutive failure.
const (
	failureResetTime = 30 * time.Second // a failure later than this after the last one counts as the first
	minHoldoff       = 250 * time.Millisecond
	maxHoldoff       = 8 * time.Second
	maxDoublings     = 16 // avoids an overflow; maxHoldoff is reached long before
)

// recordFailure counts a failure of the upstream's work. The count restarts after failureResetTime without a failure.
func (m *Machine) recordFailure(now decide.Instant) {
	if now.Sub(m.lastFailure) > failureResetTime {
		m.failures = 0
	}
	m.failures++
	m.lastFailure = now
}

// holdoff returns how long, from the start of the current state, reports and probes don't count. It is 0 unless the
// upstream is suspect and its work failed when it became so or within failureResetTime before.
func (m *Machine) holdoff() time.Duration {
	if m.state != Suspect || m.failures == 0 || m.since.Sub(m.lastFailure) > failureResetTime {
		return 0
	}
	return min(minHoldoff<<min(m.failures-1, maxDoublings), maxHoldoff)
}

// InHoldoff reports whether the upstream is suspect because its work failed. The caller may withhold all work from it
// until a report or probe ends that state.
func (m *Machine) InHoldoff() bool { return m.holdoff() > 0 }

// IsSlowFirstByte reports whether a first byte that arrived after elapsed is far later than expected. That is the first
// sign of an upstream that has turned cold unannounced.
func IsSlowFirstByte(elapsed, expected time.Duration) bool {
	return elapsed > max(slowFactor*expected, slowFloor)
}

const (
	slowFactor = 4           // multiple of the expected time from which a first byte is slow
	slowFloor  = time.Second // no first byte that arrives earlier is slow
)
