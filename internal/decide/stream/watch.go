package stream

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// Reasons of what follows silence.
const (
	ReasonProbe     decide.Reason = "silent_probe"     // silence; ask the upstream over a new connection
	ReasonCondemned decide.Reason = "silent_condemned" // the upstream answers, its old connection doesn't
	ReasonDead      decide.Reason = "silent_dead"      // the upstream doesn't answer either
	ReasonOverdue   decide.Reason = "silent_overdue"   // the request's time ran out
)

// Reasons lists every reason of this package.
var Reasons = []decide.Reason{ReasonProbe, ReasonCondemned, ReasonDead, ReasonOverdue}

// Params are the bounds of silence.
type Params struct {
	Gap       time.Duration // longest silence between parts that condemns a connection whose upstream answers
	LeastSoft time.Duration // shortest silence between parts that is worth a probe
	ProbeWait time.Duration // for one probe
	Prefill   time.Duration // least silence before the first part that condemns
}

// NewParams gives the defaults around the setting stream_gap.
func NewParams(gap time.Duration) Params {
	return Params{Gap: gap, LeastSoft: gap / 8, ProbeWait: gap / 4, Prefill: 2 * gap}
}

// Factors from what is usual to what is silence.
const (
	softFactor    = 6  // of the usual time between parts
	hardFactor    = 20 // of the usual time between parts
	prefillSoft   = 2  // of the expected time to the first part
	prefillFactor = 4
	smooth        = 8 // weight of the past in the usual time between parts
)

// Action is what the shell does next.
type Action uint8

// The actions.
const (
	Wait      Action = iota // for a part, until Watch.Until
	Probe                   // the upstream over a new connection, and go on reading; then OnProbe
	Resume                  // condemn the upstream's connections, dispatch there again over a new one
	Elsewhere               // dispatch to another upstream
	Overdue                 // give up: no time is left
)

// Watch finds silence on one dispatch's connection. A slow engine is told from a dead connection in two
// steps: a short silence costs a probe and nothing else; only a long one, with an upstream that answers
// over a new connection, condemns the old one. An upstream that doesn't answer at all by then is left.
type Watch struct {
	params   Params
	deadline decide.Instant
	last     decide.Instant // of the dispatch's start or latest part
	usual    time.Duration  // between parts; 0: none came yet
	expected time.Duration  // to the first part
	decoding bool
	probed   bool // since the latest part
	answered bool // and the probe was answered
	probing  bool
}

// NewWatch begins a dispatch whose first part is expected after expected (0: unknown).
func NewWatch(p Params, expected time.Duration, now, deadline decide.Instant) *Watch {
	return &Watch{params: p, deadline: deadline, last: now, expected: expected}
}

// OnBytes notes that something came on the connection. Whatever it was, the connection is alive.
func (w *Watch) OnBytes(now decide.Instant) {
	if w.decoding {
		gap := now.Sub(w.last)
		w.usual += (gap - w.usual) / smooth
	}
	w.decoding = true
	w.last, w.probed, w.answered = now, false, false
}

// Until is when to call OnTime if nothing comes.
func (w *Watch) Until() decide.Instant {
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

// bounds are the silences that are worth a probe and that condemn. Before the first part half of the time
// left is kept for another dispatch.
func (w *Watch) bounds() (soft, hard time.Duration) {
	if w.decoding {
		hard = min(max(hardFactor*w.usual, w.params.Gap/2), w.params.Gap)
		return min(max(softFactor*w.usual, w.params.LeastSoft), hard), hard
	}
	half := w.deadline.Sub(w.last) / 2
	if w.expected == 0 {
		return min(w.params.Prefill, half), half
	}
	hard = min(max(prefillFactor*w.expected, w.params.Prefill), half)
	return min(max(prefillSoft*w.expected, w.params.Prefill/2), hard), hard
}

// OnTime decides at Until.
func (w *Watch) OnTime(now decide.Instant) (Action, decide.Reason) {
	if now >= w.deadline {
		return Overdue, ReasonOverdue
	}
	soft, hard := w.bounds()
	silence := now.Sub(w.last)
	switch {
	case w.probing || silence < soft:
		return Wait, ReasonProbe
	case silence >= hard && w.answered:
		return Resume, ReasonCondemned
	case silence >= hard && w.probed:
		return Elsewhere, ReasonDead
	case w.answered:
		return Wait, ReasonProbe
	default:
		w.probed, w.probing = true, true
		return Probe, ReasonProbe
	}
}

// OnProbe takes a probe's result. One that was not answered is followed by another until the silence is long
// enough to leave the upstream. A probe that was sent before something came on the connection says nothing.
func (w *Watch) OnProbe(answered bool, now decide.Instant) (Action, decide.Reason) {
	w.probing = false
	w.answered = answered && w.probed
	return w.OnTime(now)
}
