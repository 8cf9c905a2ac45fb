package stream

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// Reasons of what follows silence.
const (
	ReasonProbe          decide.Reason = "silent_probe"     // silence; ask the upstream over a new connection
	ReasonConnectionDead decide.Reason = "silent_condemned" // the upstream answers, its old connection doesn't
	ReasonUpstreamDead   decide.Reason = "silent_dead"      // the upstream doesn't answer either
	ReasonDeadlinePassed decide.Reason = "silent_overdue"   // the request's time ran out
)

// Reasons lists every reason of this package.
var Reasons = []decide.Reason{ReasonProbe, ReasonConnectionDead, ReasonUpstreamDead, ReasonDeadlinePassed}

// Params are the bounds of silence.
type Params struct {
	MaxSilence      time.Duration // longest silence that condemns a connection whose upstream answers
	MinProbeSilence time.Duration // shortest silence that is worth a probe
	ProbeTimeout    time.Duration // for one probe
}

// NewParams gives the defaults around the setting stream_gap. An engine writes something at least every
// half second, so that silence doesn't depend on the prompt's length.
func NewParams(gap time.Duration) Params {
	return Params{MaxSilence: gap, MinProbeSilence: gap / 8, ProbeTimeout: gap / 4}
}

// Factors from what is usual to what is silence.
const (
	// leastHard is the shortest silence that condemns: twice the time in which an engine that works has
	// to write something.
	leastHard  = time.Second
	softFactor = 6  // of the usual time between bytes
	hardFactor = 20 // of the usual time between bytes
	smooth     = 8  // weight of the past in the usual time

	readRate = 4 << 20 // bytes a second that an upstream takes in at the least
)

// Action is what the shell does next.
type Action uint8

// The actions.
const (
	Wait       Action = iota // for bytes, until Watch.Until
	Probe                    // the upstream over a new connection, and go on reading; then OnProbe
	Resume                   // condemn the upstream's connections, dispatch there again over a new one
	Redispatch               // dispatch to another upstream
	GiveUp                   // give up: no time is left
)

// phase is how far a dispatch has come.
type phase uint8

const (
	idle    phase = iota // on a connection that had been idle, and nothing came yet
	opening              // on a new connection, and nothing came yet
	flowing
)

// Watch finds silence on one dispatch's connection. A slow engine is told from a dead connection in two
// steps: a short silence costs a probe and nothing else; only a long one, with an upstream that answers
// over a new connection, condemns the old one. An upstream that doesn't answer at all by then is left.
type SilenceDetector struct {
	params   Params
	deadline decide.Instant
	last     decide.Instant // of the dispatch's start or latest bytes
	usual    time.Duration  // between bytes
	phase    phase
	reading  time.Duration // of the request, by the upstream
	probed   bool          // since the latest bytes
	answered bool          // and the probe was answered
	probing  bool
}

// NewWatch begins a dispatch. reused tells that its connection had been idle: the likeliest to be dead
// without anybody knowing, so that its first bytes are waited for less long. size is the request's bytes,
// which the upstream reads before it answers.
func NewSilenceDetector(p Params, reused bool, size int, now, deadline decide.Instant) *SilenceDetector {
	w := &SilenceDetector{params: p, deadline: deadline, last: now, phase: opening}
	w.reading = time.Duration(size) * time.Second / readRate
	if reused {
		w.phase = idle
	}
	return w
}

// OnBytes notes that something came on the connection. Whatever it was, the connection is alive.
func (w *SilenceDetector) OnBytes(now decide.Instant) {
	if w.phase == flowing {
		w.usual += (now.Sub(w.last) - w.usual) / smooth
	}
	w.phase = flowing
	w.last, w.probed, w.answered = now, false, false
}

// OnWritten notes that a piece of the request went out.
func (w *SilenceDetector) OnWritten(now decide.Instant) { w.last = now }

// Until is when to call OnTime if nothing comes.
func (w *SilenceDetector) NextCheck() decide.Instant {
	soft, hard := w.bounds()
	switch {
	case w.probing: // its result comes within ProbeWait
		return w.deadline
	case w.answered:
		return min(w.last.Add(hard), w.deadline)
	default:
		return min(w.last.Add(soft), w.deadline)
	}
}

// bounds are the silences that are worth a probe and that condemn.
func (w *SilenceDetector) bounds() (soft, hard time.Duration) {
	gap := w.params.MaxSilence
	least := min(max(gap/2, leastHard), gap)
	switch w.phase {
	case idle:
		return least/2 + w.reading, least + w.reading
	case opening:
		return gap/2 + w.reading, 2*gap + w.reading
	default:
		hard = min(max(hardFactor*w.usual, least), gap)
		return min(max(softFactor*w.usual, w.params.MinProbeSilence), hard), hard
	}
}

// OnTime decides at Until.
func (w *SilenceDetector) OnTimer(now decide.Instant) (Action, decide.Reason) {
	if now >= w.deadline {
		return GiveUp, ReasonDeadlinePassed
	}
	soft, hard := w.bounds()
	silence := now.Sub(w.last)
	switch {
	case w.probing || silence < soft:
		return Wait, ReasonProbe
	case silence >= hard && w.answered:
		return Resume, ReasonConnectionDead
	case silence >= hard && w.probed:
		return Redispatch, ReasonUpstreamDead
	case w.answered:
		return Wait, ReasonProbe
	default:
		w.probed, w.probing = true, true
		return Probe, ReasonProbe
	}
}

// OnProbe takes a probe's result. One that was not answered is followed by another until the silence is long
// enough to leave the upstream. A probe that was sent before something came on the connection says nothing.
func (w *SilenceDetector) OnProbeResult(answered bool, now decide.Instant) (Action, decide.Reason) {
	w.probing = false
	w.answered = answered && w.probed
	return w.OnTimer(now)
}
