// Package intake parses the headers common to all requests of callers: id, workspace, deadline, priority and whether the
// request may be repeated. It rejects contradicting or malformed headers with an error that names header and value. It
// also converts calls of plain services to upstream requests, and their answers and errors to responses.
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

// DefaultWorkspace is the workspace of requests that name none.
const DefaultWorkspace = "default"

const (
	maxPriority = 10  // highest priority; the lowest is its negative
	maxIDLength = 128 // characters of a request id, workspace or idempotency key
)

// Idempotence is whether a request may be repeated, as its caller specified.
type Idempotence uint8

// The values of Idempotence.
const (
	Unspecified Idempotence = iota
	Idempotent
	NotIdempotent
)

// Meta is the data in the common headers of a request.
type Meta struct {
	ID             fleet.RequestID
	Workspace      fleet.WorkspaceID
	Deadline       time.Time
	Priority       int
	Idempotence    Idempotence
	IdempotencyKey string
}

// Bounds are the default and the maximum of a request's timeout.
type Bounds struct {
	DefaultTimeout time.Duration
	MaxTimeout     time.Duration
}

// Parse parses the common headers of a request received at now. newID returns an id for a request that has none. With an
// error, Parse also returns the Meta as far as it could be parsed.
func Parse(h *fasthttp.RequestHeader, now time.Time, b Bounds, newID func() string) (Meta, error) {
	p := parser{h: h}
	m := Meta{
		ID:             fleet.RequestID(p.identifier(wire.HeaderRequestID, "")),
		Workspace:      fleet.WorkspaceID(p.identifier(wire.HeaderWorkspace, DefaultWorkspace)),
		Deadline:       p.deadline(now, b),
		Priority:       p.priority(),
		Idempotence:    p.idempotence(),
		IdempotencyKey: p.identifier(wire.HeaderIdempotencyKey, ""),
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

// parser parses headers and keeps the first error.
type parser struct {
	h   *fasthttp.RequestHeader
	err *fault.Error
}

// fail sets the error unless an earlier one is set.
func (p *parser) fail(format string, args ...any) {
	if p.err == nil {
		p.err = fault.New(fault.BadRequest, format, args...)
	}
}

// single returns the value of a header, or "" if it is absent. A header that occurs more than once is an error.
func (p *parser) single(header string) string {
	all := p.h.PeekAll(header)
	if len(all) > 1 {
		p.fail("header %s stands %d times; allowed: once", header, len(all))
	}
	if len(all) == 0 {
		return ""
	}
	return strings.TrimSpace(string(all[0]))
}

// identifier returns the value of a header that is an identifier of printable ASCII characters without spaces, or
// fallback if the header is absent or invalid.
func (p *parser) identifier(header, fallback string) string {
	v := p.single(header)
	if v == "" {
		return fallback
	}
	if len(v) > maxIDLength {
		p.fail("header %s: %d characters; allowed: at most %d", header, len(v), maxIDLength)
		return fallback
	}
	for _, c := range v {
		if c <= ' ' || c >= 0x7f {
			p.fail("header %s: %q; allowed: printable ASCII without spaces", header, v)
			return fallback
		}
	}
	return v
}

// deadline returns the request's deadline from its timeout or deadline header, limited by b.
func (p *parser) deadline(now time.Time, b Bounds) time.Time {
	timeout, deadline := p.single(wire.HeaderTimeout), p.single(wire.HeaderDeadline)
	switch {
	case timeout != "" && deadline != "":
		p.fail("headers %s: %s and %s: %s contradict each other; allowed: one of them", wire.HeaderTimeout, timeout, wire.HeaderDeadline, deadline)
		return now
	case timeout != "":
		d, err := time.ParseDuration(timeout)
		if err != nil || d <= 0 {
			p.fail("header %s: %q; allowed: a duration above zero, as in 1500ms", wire.HeaderTimeout, timeout)
			return now
		}
		return now.Add(min(d, b.MaxTimeout))
	case deadline != "":
		t, err := time.Parse(time.RFC3339Nano, deadline)
		if err != nil {
			p.fail("header %s: %q; allowed: an RFC 3339 instant", wire.HeaderDeadline, deadline)
			return now
		}
		// The deadline is converted to a time relative to now once. From then on the monotonic clock reading of now
		// counts, and changes of the wall clock have no effect.
		return now.Add(min(t.Sub(now), b.MaxTimeout))
	default:
		return now.Add(b.DefaultTimeout)
	}
}

// priority returns the priority in its header, or 0 if the header is absent or invalid.
func (p *parser) priority() int {
	v := p.single(wire.HeaderPriority)
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

// idempotence returns the value of the idempotence header, or Unspecified if it is absent or invalid.
func (p *parser) idempotence() Idempotence {
	switch v := p.single(wire.HeaderIdempotent); strings.ToLower(v) {
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
