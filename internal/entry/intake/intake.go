// Package intake reads what every caller's request states about itself: id, workspace, time, priority and
// whether it may be repeated. Contradicting or malformed headers are refused, naming header and value. A call of a plain
// service it also turns into the request that goes there, and the answer into the caller's.
package intake

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// DefaultWorkspace takes requests that name none.
const DefaultWorkspace = "default"

const (
	maxPriority = 10
	maxID       = 128
)

// Idempotence is what the caller said about repeating its request.
type Idempotence uint8

// What a caller may say.
const (
	Unspecified Idempotence = iota
	Idempotent
	NotIdempotent
)

// Meta is what a request states about itself.
type Meta struct {
	ID             fleet.RequestID
	Workspace      fleet.WorkspaceID
	Deadline       time.Time
	Priority       int
	Idempotence    Idempotence
	IdempotencyKey string
}

// Bounds are the times a request may ask for.
type Bounds struct {
	DefaultTimeout time.Duration
	MaxTimeout     time.Duration
}

// Parse reads the headers of h. newID makes an id for a request that has none.
func Parse(h *fasthttp.RequestHeader, now time.Time, b Bounds, newID func() string) (Meta, error) {
	p := parser{h: h}
	m := Meta{
		ID:             fleet.RequestID(p.name(wire.HeaderRequestID, "")),
		Workspace:      fleet.WorkspaceID(p.name(wire.HeaderWorkspace, DefaultWorkspace)),
		Deadline:       p.deadline(now, b),
		Priority:       p.priority(),
		Idempotence:    p.idempotence(),
		IdempotencyKey: p.name(wire.HeaderIdempotencyKey, ""),
	}
	if m.ID == "" {
		m.ID = fleet.RequestID(newID())
	}
	if p.err == nil && m.IdempotencyKey != "" && m.Idempotence == Idempotent {
		p.fail("%s: true contradicts %s: a keyed request runs at most once", wire.HeaderIdempotent, wire.HeaderIdempotencyKey)
	}
	if p.err != nil {
		return m, p.err
	}
	return m, nil
}

// parser keeps the first error.
type parser struct {
	h   *fasthttp.RequestHeader
	err *fault.Error
}

func (p *parser) fail(format string, args ...any) {
	if p.err == nil {
		p.err = fault.New(fault.BadRequest, format, args...)
	}
}

// value gives a header that may stand once at most.
func (p *parser) value(name string) string {
	all := p.h.PeekAll(name)
	if len(all) > 1 {
		p.fail("header %s stands %d times; allowed: once", name, len(all))
	}
	if len(all) == 0 {
		return ""
	}
	return strings.TrimSpace(string(all[0]))
}

// name gives a header that is an identifier of printable characters without spaces.
func (p *parser) name(header, or string) string {
	v := p.value(header)
	if v == "" {
		return or
	}
	if len(v) > maxID {
		p.fail("header %s: %d characters; allowed: at most %d", header, len(v), maxID)
		return or
	}
	for _, c := range v {
		if c <= ' ' || c >= 0x7f {
			p.fail("header %s: %q; allowed: printable ASCII without spaces", header, v)
			return or
		}
	}
	return v
}

func (p *parser) deadline(now time.Time, b Bounds) time.Time {
	timeout, instant := p.value(wire.HeaderTimeout), p.value(wire.HeaderDeadline)
	switch {
	case timeout != "" && instant != "":
		p.fail("headers %s: %s and %s: %s contradict each other; allowed: one of them", wire.HeaderTimeout, timeout, wire.HeaderDeadline, instant)
		return now
	case timeout != "":
		d, err := time.ParseDuration(timeout)
		if err != nil || d <= 0 {
			p.fail("header %s: %q; allowed: a duration above zero, as in 1500ms", wire.HeaderTimeout, timeout)
			return now
		}
		return now.Add(min(d, b.MaxTimeout))
	case instant != "":
		t, err := time.Parse(time.RFC3339Nano, instant)
		if err != nil {
			p.fail("header %s: %q; allowed: an RFC 3339 instant", wire.HeaderDeadline, instant)
			return now
		}
		// The caller's instant is turned into a wait once; the rest goes by the monotonic clock of now.
		return now.Add(min(t.Sub(now), b.MaxTimeout))
	default:
		return now.Add(b.DefaultTimeout)
	}
}

func (p *parser) priority() int {
	v := p.value(wire.HeaderPriority)
	if v == "" {
		return 0
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < -maxPriority || n > maxPriority {
		p.fail("header %s: %q; allowed: -%d to %d", wire.HeaderPriority, v, maxPriority, maxPriority)
		return 0
	}
	return n
}

func (p *parser) idempotence() Idempotence {
	switch v := p.value(wire.HeaderIdempotent); strings.ToLower(v) {
	case "":
		return Unspecified
	case "true":
		return Idempotent
	case "false":
		return NotIdempotent
	default:
		p.fail("header %s: %q; allowed: true or false", wire.HeaderIdempotent, v)
		return Unspecified
	}
}
