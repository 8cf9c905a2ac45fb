// Package stream puts one answer together out of the parts of one or more dispatches, and decides when a
// connection counts as silent and what follows.
//
// The caller gets each token of its own answer once, in order, or an explicit error: a part is delivered
// only if it names the request and begins at the first token still needed, and the answer is complete only
// with its end mark. That holds locally on each instance, whatever the engines and connections do.
package stream

import (
	"slices"

	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// Drop says why a part was not delivered.
type DropReason uint8

// The drops. Ahead is no loss yet: the part is held until the hole before it is filled.
const (
	Delivered    DropReason = iota
	Foreign                 // of another request
	StaleAttempt            // of an earlier dispatch, of which a later one took the place
	Duplicate               // all of it was delivered before
	Overlap                 // part of it was delivered before; it can't be cut at a token
	Ahead                   // parts before it are missing
	AfterEnd                // after the end mark
	Malformed               // offset or length out of range, or text without tokens
	Overflow                // ahead, with too many others held
	dropCount
)

var dropNames = [dropCount]string{
	"kept", "foreign", "late", "doubled", "overlap", "ahead", "after_end", "malformed", "overflow",
}

// String gives the drop's name as it stands in metrics and logs.
func (d DropReason) String() string { return dropNames[d] }

// FinishError ends a failed stream; it is the end of its dispatch and not of the answer.
const FinishError = "error"

// maxTokens is above any answer's length; it keeps offsets from overflowing.
const maxTokens = 1 << 40

// maxHeld bounds the parts that are held ahead of a hole.
const maxHeld = 64

// Assembly is one answer as far as it has come.
type Assembly struct {
	id      string
	next    int // first token still needed
	attempt int
	held    []wire.Part // ahead of a hole, sorted by offset, of the current attempt
	ended   bool
}

// NewAssembly begins the answer to the request with that id.
func NewAssembly(id string) *Assembly { return &Assembly{id: id} }

// Next is the first token still needed: a resume begins there.
func (a *Assembly) NextToken() int { return a.next }

// Ended tells whether the answer is complete.
func (a *Assembly) Complete() bool { return a.ended }

// Hole tells whether parts are held that wait for missing ones.
func (a *Assembly) HasHeldParts() bool { return len(a.held) > 0 }

// Dispatched begins a dispatch; parts of earlier ones are late from now on.
func (a *Assembly) BeginAttempt(attempt int) {
	a.attempt = attempt
	a.held = nil
}

// Add takes a part that came on the stream of that attempt. It gives what can be delivered now, in order;
// a part with a FinishReason is the last one.
func (a *Assembly) Add(attempt int, p wire.Part) ([]wire.Part, DropReason) {
	switch {
	case a.ended:
		return nil, AfterEnd
	case p.ID != a.id:
		return nil, Foreign
	case attempt != a.attempt:
		return nil, StaleAttempt
	case p.Offset < 0 || p.Tokens < 0 || p.Offset > maxTokens || p.Tokens > maxTokens || (p.Tokens == 0 && p.Text != ""):
		return nil, Malformed
	case p.Offset > a.next:
		return nil, a.hold(p)
	case p.Offset < a.next && p.Offset+p.Tokens > a.next:
		return nil, Overlap
	case p.Offset < a.next:
		return nil, Duplicate
	}
	return a.deliver(p), Delivered
}

func (a *Assembly) deliver(p wire.Part) []wire.Part {
	out := []wire.Part{p}
	a.take(p)
	for len(a.held) > 0 && !a.ended {
		first := a.held[0]
		if first.Offset > a.next {
			break
		}
		a.held = a.held[1:]
		if first.Offset == a.next {
			out = append(out, first)
			a.take(first)
		}
	}
	return out
}

func (a *Assembly) take(p wire.Part) {
	a.next += p.Tokens
	a.ended = p.FinishReason != ""
}

func (a *Assembly) hold(p wire.Part) DropReason {
	at, found := slices.BinarySearchFunc(a.held, p.Offset, func(h wire.Part, offset int) int { return h.Offset - offset })
	switch {
	case found && a.held[at].Tokens > 0:
		return Duplicate
	case len(a.held) >= maxHeld:
		return Overflow
	}
	if found { // an end mark without tokens, and the part that comes before it
		at++
	}
	a.held = slices.Insert(a.held, at, p)
	return Ahead
}
