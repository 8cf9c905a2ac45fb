package stream

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// Reasons of the actions that follow silence.
const (
	ReasonProbe          decide.Reason = "silent_probe"     // the connection is silent: probe the upstream over a new connection
	ReasonConnectionDead decide.Reason = "silent_condemned" // the upstream answers the probe, but its old connection is silent
	ReasonUpstreamDead   decide.Reason = "silent_dead"      // the upstream does not answer probes either
	ReasonDeadlinePassed decide.Reason = "silent_overdue"   // the request's deadline has passed
)

// Reasons lists every reason of this package.
var Reasons = []decide.Reason{ReasonProbe, ReasonConnectionDead, ReasonUpstreamDead, ReasonDeadlinePassed}

// Params are the thresholds of silence.
type Params struct {
	MaxSilence      time.Duration // longest silence before a connection that has received bytes is declared dead
	MinProbeSilence time.Duration // shortest silence on a receiving connection that causes a probe
	ProbeTimeout    time.Duration // timeout of one probe
}

// NewParams returns the default parameters for gap, the setting stream_gap. Engines write something at least every half
// second, so the thresholds need not depend on the length of the prompt.
func NewParams(gap time.Duration) Params {
	return Params{MaxSilence: gap, MinProbeSilence: gap / 8, ProbeTimeout: gap / 4}
}

// Parameters of the thresholds of silence.
const (
	// minDeadSilence is the shortest silence after which a connection is declared dead, unless MaxSilence is shorter. It is
	// twice the interval at which a working engine has to write something.
	minDeadSilence = time.Second
	probeFactor    = 6  // silence that causes a probe, in multiples of the mean interval between bytes
	deadFactor     = 20 // silence of a dead connection, in the same multiples
	smoothing      = 8  // a new interval has the weight 1/smoothing in the mean interval

	minReadRate = 4 << 20 // lowest rate at which an upstream reads a request, bytes per second
)

// Action is the next action of the driver.
type Action uint8

// The actions.
const (
	Wait       Action = iota // wait for bytes until SilenceDetector.NextCheck
	Probe                    // probe the upstream over a new connection, continue to read, and call OnProbeResult
	Resume                   // declare the upstream's connections dead, and dispatch to it again over a new one
	Redispatch               // dispatch to another upstream
	GiveUp                   // give up, because the deadline has passed
)

// phase is the progress of a dispatch.
type phase uint8

const (
	reusedConn phase = iota // no bytes received yet, on a connection that was idle before
	newConn                 // no bytes received yet, on a new connection
	receiving               // bytes were received
)

// SilenceDetector detects silence on the connection of one dispatch. It distinguishes a slow engine from a dead
// connection in two steps. A short silence only causes a probe over a new connection. After a long silence, the old
// connection is declared dead if the upstream answered the probe; otherwise the request is dispatched to another
// upstream.
type SilenceDetector struct {
	params        Params
	deadline      decide.Instant
	lastActivity  decide.Instant // instant of the dispatch's start or of the latest bytes in either direction
	meanInterval  time.Duration  // moving average of the time between received bytes
	phase         phase
	readTime      time.Duration // time that the upstream may need to read the request
	probed        bool          // a probe was sent since the latest received bytes
	probeAnswered bool          // that probe was answered
	probeInFlight bool
}

// NewSilenceDetector returns the detector of a dispatch that starts now. reused reports that its connection was idle
// before. Such a connection is the most likely one to be dead unnoticed, so the wait for its first bytes is shorter.
// size is the size of the request in bytes, which the upstream reads before it answers.
func NewSilenceDetector(p Params, reused bool, size int, now, deadline decide.Instant) *SilenceDetector {
	d := &SilenceDetector{params: p, deadline: deadline, lastActivity: now, phase: newConn}
	d.readTime = time.Duration(size) * time.Second / minReadRate
	if reused {
		d.phase = reusedConn
	}
	return d
}

// OnBytes records that bytes were received. The connection is alive, whatever the bytes are.
func (d *SilenceDetector) OnBytes(now decide.Instant) {
	if d.phase == receiving {
		d.meanInterval += (now.Sub(d.lastActivity) - d.meanInterval) / smoothing
	}
	d.phase = receiving
	d.lastActivity, d.probed, d.probeAnswered = now, false, false
}

// OnWritten records that a piece of the request was written.
func (d *SilenceDetector) OnWritten(now decide.Instant) { d.lastActivity = now }

// NextCheck returns the instant at which to call OnTimer if no bytes are received before.
func (d *SilenceDetector) NextCheck() decide.Instant {
	probeAfter, deadAfter := d.thresholds()
	switch {
	case d.probeInFlight: // its result arrives within ProbeTimeout
		return d.deadline
	case d.probeAnswered:
		return min(d.lastActivity.Add(deadAfter), d.deadline)
	default:
		return min(d.lastActivity.Add(probeAfter), d.deadline)
	}
}

// thresholds returns the silence that causes a probe and the silence after which a connection is dead.
func (d *SilenceDetector) thresholds() (probeAfter, deadAfter time.Duration) {
	gap := d.params.MaxSilence
	least := min(max(gap/2, minDeadSilence), gap)
	switch d.phase {
	case reusedConn:
		return least/2 + d.readTime, least + d.readTime
	case newConn:
		return gap/2 + d.readTime, 2*gap + d.readTime
	default:
		deadAfter = min(max(deadFactor*d.meanInterval, least), gap)
		return min(max(probeFactor*d.meanInterval, d.params.MinProbeSilence), deadAfter), deadAfter
	}
}

// OnTimer decides on the next action at the instant that NextCheck returned.
func (d *SilenceDetector) OnTimer(now decide.Instant) (Action, decide.Reason) {
	if now >= d.deadline {
		return GiveUp, ReasonDeadlinePassed
	}
	probeAfter, deadAfter := d.thresholds()
	silence := now.Sub(d.lastActivity)
	switch {
	case d.probeInFlight || silence < probeAfter:
		return Wait, ReasonProbe
	case silence >= deadAfter && d.probeAnswered:
		return Resume, ReasonConnectionDead
	case silence >= deadAfter && d.probed:
		return Redispatch, ReasonUpstreamDead
	case d.probeAnswered:
		return Wait, ReasonProbe
	default:
		d.probed, d.probeInFlight = true, true
		return Probe, ReasonProbe
	}
}

// OnProbeResult processes the result of a probe and decides on the next action. An unanswered probe is followed by
// another one until the silence is long enough to dispatch elsewhere. The result of a probe that was sent before the
// latest received bytes is ignored.
func (d *SilenceDetector) OnProbeResult(answered bool, now decide.Instant) (Action, decide.Reason) {
	d.probeInFlight = false
	d.probeAnswered = answered && d.probed
	return d.OnTimer(now)
}
