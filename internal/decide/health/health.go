// Package health keeps the state of one upstream as one instance sees it, out of passive evidence (how
// dispatches end) and active evidence (load reports and probes). All transitions stand in one table.
package health

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// State is an upstream's state.
type State uint8

// The states. Only Warm and Warming take more than the slots of a cold upstream; see package warm.
const (
	Unknown State = iota // nothing is known yet: treated as cold
	Cold                 // bears only its cold limit
	Warming              // said to be warm; load grows by successes
	Warm
	Suspect // may have turned cold or died: treated as cold until a report or probe tells
	Leaving // takes no new work
	Gone    // not in the instance list
	stateCount
)

var stateNames = [stateCount]string{"unknown", "cold", "warming", "warm", "suspect", "leaving", "gone"}

// String gives the state's name as it stands in logs.
func (s State) String() string { return stateNames[s] }

// Takes tells whether an upstream in that state gets new work.
func (s State) AcceptsWork() bool { return s != Leaving && s != Gone }

// Event is a piece of evidence.
type Event uint8

// The evidence. Reports and probes count only if their answer was made after the state began: one that
// was under way says nothing about what happened since. The shell sees to that with Newer.
const (
	ReportedWarm    Event = iota // load report: not cold
	ReportedCold                 // load report: cold
	BootChanged                  // another boot id than before
	ConnReset                    // a connection was reset or cut, or could not be opened
	SlowFirstByte                // the first byte took far longer than it should
	Errored                      // an answer that says the upstream itself failed
	NoReply                      // a report or probe was not answered
	ProbeAnswered                // a probe was answered by an upstream that makes no reports
	ProbationPassed              // a cold upstream that makes no reports has answered probes for long enough
	RampCompleted                // load has grown to the top
	IsLeaving                    // the list, the configuration or the upstream itself says that it leaves
	IsBack                       // it stays after all
	Unlisted                     // not in the instance list any more
	Listed                       // in the instance list again
	eventCount
)

// Reasons of transitions, one for each event, in the events' order.
var Reasons = []decide.Reason{
	"reported_warm", "reported_cold", "boot_changed", "conn_reset", "slow_first_byte", "errored", "unheard",
	"answered_probe", "proven", "ramped", "is_leaving", "is_back", "unlisted", "listed",
}

// Reason gives the event's reason.
func (e Event) Reason() decide.Reason { return Reasons[e] }

// table[s][e] is the state after e in s; an event that stands in no row changes nothing.
//
// A warm upstream never turns cold by inference alone: a reset may be one connection's own trouble. It
// turns suspect, which bears no more than cold, until its own report or probe tells which it is. If that
// says that all is well, load grows anew: an upstream that fails its work and reports well would otherwise
// fail a full load each time.
var table = [stateCount]map[Event]State{
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
	// A domain that comes back: what was reported before it left, or just before it turned cold, says nothing.
	Leaving: {IsBack: Cold, Unlisted: Gone},
	Gone:    {Listed: Unknown},
}

// Transition is a change of state with its reason.
type Transition struct {
	From, To State
	Reason   decide.Reason
}

// Machine is one upstream's state. The zero value is unknown since instant 0.
type Machine struct {
	state   State
	since   decide.Instant
	boot    string
	strikes int            // failures of its work, each soon after the one before
	struck  decide.Instant // the latest
}

// State gives the state.
func (m *Machine) State() State { return m.state }

// Since is when the state began.
func (m *Machine) Since() decide.Instant { return m.since }

// On takes an event and tells whether the state changed.
func (m *Machine) Apply(e Event, now decide.Instant) (Transition, bool) {
	to, ok := table[m.state][e]
	if !ok || to == m.state {
		return Transition{}, false
	}
	t := Transition{From: m.state, To: to, Reason: e.Reason()}
	m.state, m.since = to, now
	if to == Suspect && e != NoReply {
		m.strike(now)
	}
	return t, true
}

// OnBoot takes a boot id that an answer bore. The first one seen is no change.
func (m *Machine) ApplyBootID(id string, now decide.Instant) (Transition, bool) {
	if id == "" || id == m.boot {
		return Transition{}, false
	}
	first := m.boot == ""
	m.boot = id
	if first {
		return Transition{}, false
	}
	return m.Apply(BootChanged, now)
}

// Newer tells whether evidence that was true at made says anything about the state since it began. Of an
// unknown upstream any does.
func (m *Machine) AcceptsEvidence(made decide.Instant) bool {
	return m.state == Unknown || made > m.since.Add(m.hold())
}

// Bounds of the time for which a report or probe does not clear a suspicion. An upstream that fails its
// work and yet reports that all is well would otherwise get full load again with each report.
const (
	forgive   = 30 * time.Second // a failure this long after the last is the first again
	firstHold = 250 * time.Millisecond
	longHold  = 8 * time.Second
	mostShift = 16
)

func (m *Machine) strike(now decide.Instant) {
	if now.Sub(m.struck) > forgive {
		m.strikes = 0
	}
	m.strikes++
	m.struck = now
}

func (m *Machine) hold() time.Duration {
	if m.state != Suspect || m.strikes == 0 || m.since.Sub(m.struck) > forgive {
		return 0
	}
	return min(firstHold<<min(m.strikes-1, mostShift), longHold)
}

// Held tells whether the upstream is suspect because its work failed; it gets none until it is cleared.
func (m *Machine) InHoldoff() bool { return m.hold() > 0 }

// Slow tells whether a first byte that took took is far longer than expected: such a wait is the first
// sign of an upstream that turned cold without a word.
func IsSlowFirstByte(took, expected time.Duration) bool {
	return took > max(slowFactor*expected, slowFloor)
}

const (
	slowFactor = 4
	slowFloor  = time.Second
)
