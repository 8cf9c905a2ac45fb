// Package stream assembles one answer from the parts of one or more dispatches. It also decides when a connection
// counts as silent and what follows.
//
// The caller receives each token of its own answer once, in order, or an explicit error. A part is delivered only if it
// names the request and begins at the next token that the caller needs. The answer is complete only with its end mark.
// This holds on each instance by itself, whatever the engines and connections do.
package stream

import (
	"slices"

	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// DropReason is the reason for which a part was not delivered, or Delivered.
type DropReason uint8

// The drop reasons. A part that is Ahead is not lost: it is held until the missing parts before it arrive.
const (
	Delivered    DropReason = iota // delivered to the caller, not dropped
	Foreign                        // it belongs to another request
	StaleAttempt                   // it belongs to an earlier dispatch, which a later one replaced
	Duplicate                      // all of it was delivered or held before
	Overlap                        // part of it was delivered before; its text can't be split at a token
	Ahead                          // parts before it are missing
	AfterEnd                       // it arrived after the end mark
	Malformed                      // its offset or length is out of range, or it has text without tokens
	Overflow                       // it is ahead, and too many other parts are held
	dropCount
)

// dropNames are the names in metrics and logs, by DropReason.
var dropNames = [dropCount]string{
	"kept", "foreign", "late", "doubled", "overlap", "ahead", "after_end", "malformed", "overflow",
}

// String returns the name of the reason as written in metrics and logs.
func (d DropReason) String() string { return dropNames[d] }

// FinishError is the finish reason of a stream that failed. It ends the dispatch, not the answer.
const FinishError = "error"

// maxTokens bounds the offset and length of a part, in tokens. It exceeds the length of any answer and prevents integer
// overflow.
const maxTokens = 1 << 40

// maxHeld is the maximum number of parts that are held until missing parts arrive.
const maxHeld = 64

// Assembly is the state of one answer while its parts arrive.
type Assembly struct {
	id        string
	nextToken int // next token to deliver
	attempt   int
	held      []wire.Part // parts of the current attempt that wait for missing ones, sorted by offset
	complete  bool
}

// NewAssembly returns the Assembly of the answer to the request with the given id.
func NewAssembly(id string) *Assembly { return &Assembly{id: id} }

// NextToken returns the index of the next token to deliver, at which a resumed dispatch begins.
func (a *Assembly) NextToken() int { return a.nextToken }

// Complete reports whether the answer is complete.
func (a *Assembly) Complete() bool { return a.complete }

// HasHeldParts reports whether parts are held that wait for missing ones.
func (a *Assembly) HasHeldParts() bool { return len(a.held) > 0 }

// BeginAttempt begins a dispatch with the given attempt number. Parts of earlier attempts are dropped from now on, and
// held ones are discarded.
func (a *Assembly) BeginAttempt(attempt int) {
	a.attempt = attempt
	a.held = nil
}

// Add processes a part that arrived on the stream of the given attempt. It returns the parts that can be delivered now,
// in order; a part with a FinishReason is the last one.
func (a *Assembly) Add(attempt int, p wire.Part) ([]wire.Part, DropReason) {
	switch {
	case a.complete:
		return nil, AfterEnd
	case p.ID != a.id:
		return nil, Foreign
	case attempt != a.attempt:
		return nil, StaleAttempt
	case p.Offset < 0 || p.Tokens < 0 || p.Offset > maxTokens || p.Tokens > maxTokens || (p.Tokens == 0 && p.Text != ""):
		return nil, Malformed
	case p.Offset > a.nextToken:
		return nil, a.hold(p)
	case p.Offset < a.nextToken && p.Offset+p.Tokens > a.nextToken:
		return nil, Overlap
	case p.Offset < a.nextToken:
		return nil, Duplicate
	}
	return a.deliver(p), Delivered
}

// deliver returns p and the held parts that directly follow it.
func (a *Assembly) deliver(p wire.Part) []wire.Part {
	out := []wire.Part{p}
	a.advance(p)
	for len(a.held) > 0 && !a.complete {
		first := a.held[0]
		if first.Offset > a.nextToken {
			break
		}
		a.held = a.held[1:]
		if first.Offset == a.nextToken {
			out = append(out, first)
			a.advance(first)
		}
	}
	return out
}

// advance moves past a delivered part.
func (a *Assembly) advance(p wire.Part) {
	a.nextToken += p.Tokens
	a.complete = p.FinishReason != ""
}

// hold keeps a part until the missing parts before it arrive, if there is room and none with tokens is held at its
// offset.
func (a *Assembly) hold(p wire.Part) DropReason {
	at, found := slices.BinarySearchFunc(a.held, p.Offset, func(h wire.Part, offset int) int { return h.Offset - offset })
	switch {
	case found && a.held[at].Tokens > 0:
		return Duplicate
	case len(a.held) >= maxHeld:
		return Overflow
	}
	if found { // the held part has no tokens; p, for example an end mark, goes after it
		at++
	}
	a.held = slices.Insert(a.held, at, p)
	return Ahead
}
