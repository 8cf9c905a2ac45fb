package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/decide/quarantine"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

const (
	// defaultTimeout is how long a request may take if neither the caller nor the route specifies it.
	defaultTimeout = 30 * time.Second
	// Callers give up a stream that is silent for the longest of these: a fixed time, a multiple of the route's
	// latency target, and a multiple of the longest pause that is in time. The platform specifies these figures for
	// its callers.
	minSilenceTolerance = 2 * time.Second
	toleranceTargets    = 4
	toleranceGaps       = 8
)

// request is one attempt of a caller, parsed and matched with a route.
type request struct {
	Meta
	route         *catalog.Route
	service       catalog.ServiceName
	workspace     fleet.WorkspaceID
	priority      int
	configVersion uint64    // version of the configuration that the request was matched with
	arrived       time.Time // when the request was read
	deadline      time.Time // the caller's or the route's, whichever is earlier
	method        string
	head          fasthttp.RequestHeader // as copyHead leaves it
	hasLength     bool                   // the head states the length of the body, or that there is none
	body          []byte
	held          int64            // bytes that are counted for the request
	keys          []quarantine.Key // the first one stands for the whole content
}

// readRequest parses a request and matches it with the snapshot's configuration. A request that it rejects has not
// run.
func (g *Gateway) readRequest(ctx *fasthttp.RequestCtx, snap *catalog.Snapshot, arrived time.Time) (*request, *fault.Error) {
	r := &request{arrived: arrived, method: string(ctx.Method())}
	var err error
	if err = errors.Join(checkVersion(ctx.Request.Header.Protocol()), checkFraming(ctx.Request.Header.RawHeaders())); err != nil {
		ctx.SetConnectionClose() // where the body ends isn't known
		return r, fault.New(fault.BadRequest, "%v", err)
	}
	if r.Meta, err = g.deps.Dialect.ReadRequest(&ctx.Request.Header); err != nil {
		return r, fault.New(fault.BadRequest, "%v", err)
	}
	cfg := snap.Config
	if cfg == nil {
		return r, fault.New(fault.NotReady, "no configuration is known yet")
	}
	r.configVersion = cfg.Version
	r.route = cfg.Route(string(ctx.Host()), string(ctx.Request.Header.RequestURI()))
	if r.route == nil {
		return r, fault.New(fault.NotFound, "no route for host %q and path %q", ctx.Host(), ctx.Path())
	}
	r.priority = r.route.Priority
	if cfg.NeedsKey(r.route) {
		w := cfg.Workspace(r.APIKey)
		if w == nil {
			return r, fault.New(fault.Unauthorized, "no workspace holds the key")
		}
		r.workspace = w.Name
		if w.Priority >= 0 {
			r.priority = w.Priority
		}
	}
	if r.IDError != nil {
		return r, fault.New(fault.BadRequest, "%v", r.IDError)
	}
	r.service = r.route.Pick(rand.Float64())
	r.deadline = r.computeDeadline()
	r.copyHead(&ctx.Request.Header, g.deps.Dialect)
	if f := g.readBody(ctx, r); f != nil {
		return r, f
	}
	r.keys = r.quarantineKeys()
	return r, nil
}

// quarantineKeys returns the keys by which the request is held back if it ends its upstreams: that of its content, and those of
// the parts that its prompt shares with others.
func (r *request) quarantineKeys() []quarantine.Key {
	keys := make([]quarantine.Key, 0, 1+len(r.SharedParts))
	keys = append(keys, r.contentKey())
	for _, part := range r.SharedParts {
		keys = append(keys, hashKey(nil, string(r.service), r.Model, part))
	}
	return keys
}

// contentKey returns the key of the request's content. It is the same for each attempt of the same request, whatever its
// id, its time left and the event after which its stream resumes.
func (r *request) contentKey() quarantine.Key {
	return hashKey(r.body, string(r.service), string(r.workspace), r.method, string(r.head.Host()), string(r.head.RequestURI()), r.Model, r.Prompt)
}

// hashKey returns a hash of fields, which don't contain zero bytes, and of a body.
func hashKey(body []byte, fields ...string) quarantine.Key {
	var h xxhash.Digest
	h.Reset()
	for _, f := range fields {
		_, _ = h.WriteString(f) // never fails
		_, _ = h.WriteString("\x00")
	}
	_, _ = h.Write(body)
	return quarantine.Key(h.Sum64())
}

// computeDeadline returns when the request must have ended.
func (r *request) computeDeadline() time.Time {
	timeout := defaultTimeout
	if r.HasTimeout {
		timeout = r.Timeout
	}
	if r.route.Timeout > 0 {
		timeout = min(timeout, r.route.Timeout)
	}
	return r.arrived.Add(timeout)
}

// copyHead copies the caller's head in the order of its lines, without the headers that concern its connection only and those
// of which no caller's value is forwarded. Headers aren't deleted from a copy, because that changes the order of others.
func (r *request) copyHead(from *fasthttp.RequestHeader, d Dialect) {
	listed := connectionHeaders(from.PeekAll(fasthttp.HeaderConnection), d)
	r.head.Reset()
	r.head.SetNoDefaultContentType(true)
	r.head.DisableSpecialHeader() // the library would put some headers first and write others anew
	r.head.SetMethodBytes(from.Method())
	r.head.SetRequestURIBytes(from.RequestURI())
	for name, value := range from.AllInOrder() {
		if !concernsConnection(name, listed) && !equalsFold(name, fasthttp.HeaderContentLength) && !d.IsSystemHeader(name) {
			r.head.AddBytesKV(name, value)
		}
	}
	r.hasLength = from.ContentLength() >= 0
}

// checkVersion returns an error unless the request speaks HTTP/1. Another version may frame its body in another way.
func checkVersion(protocol []byte) error {
	if !bytes.HasPrefix(protocol, []byte("HTTP/1.")) {
		return fmt.Errorf("version: %q: allowed: HTTP/1.0 and HTTP/1.1", protocol)
	}
	return nil
}

// checkFraming returns an error if the raw header lines leave open where the body ends. The HTTP library decides that by
// itself for a length beside chunks, and takes a body in another coding for the caller's next request.
func checkFraming(raw []byte) error {
	hasLength, hasCoding := false, false
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case equalsFold(name, fasthttp.HeaderContentLength):
			if len(bytes.TrimSpace(value)) == 0 { // also of one that goes on in the next line
				return fmt.Errorf("%s: %q: allowed: a number, in one line", fasthttp.HeaderContentLength, value)
			}
			hasLength = true
		case equalsFold(name, fasthttp.HeaderTransferEncoding):
			if value = bytes.TrimSpace(value); !equalsFold(value, "chunked") {
				return fmt.Errorf("%s: %q: allowed: chunked", fasthttp.HeaderTransferEncoding, value)
			}
			hasCoding = true
		}
	}
	if hasLength && hasCoding {
		return fmt.Errorf("%s: not allowed beside %s", fasthttp.HeaderContentLength, fasthttp.HeaderTransferEncoding)
	}
	return nil
}

// placementRequest returns the request for a grant now. lastEventAt is when the last event arrived of a stream that
// resumes on another upstream; zero means that the answer has not begun.
func (r *request) placementRequest(now, lastEventAt time.Time, attempt int, avoid []fleet.UpstreamID) PlacementRequest {
	start, target := r.arrived, r.route.TargetLatency
	if !lastEventAt.IsZero() {
		// The caller has waited since the last event, and the longest pause that is in time replaces the latency
		// target.
		start, target = lastEventAt, r.route.MaxGap
	}
	q := PlacementRequest{
		ID: fleet.RequestID(r.ID), Service: r.service, Kind: r.route.Kind, Workspace: r.workspace,
		Priority: r.priority, PromptTokens: r.PromptTokens, MaxOutputTokens: r.MaxOutputTokens, MaxGap: r.route.MaxGap,
		Resumed:  !lastEventAt.IsZero() || r.LastEventID != "", // by this instance, or by the caller on another connection
		TimeLeft: r.deadline.Sub(now), Waited: now.Sub(start), Attempt: attempt, Avoid: avoid, Keys: r.keys,
	}
	if target > 0 {
		q.HasTarget = true
		q.TargetLeft = start.Add(target).Sub(now)
	}
	q.FirstEventTimeout = q.TimeLeft
	if r.isStream() {
		q.FirstEventTimeout = min(q.TimeLeft, start.Add(r.silenceTolerance()).Sub(now))
	}
	return q
}

// silenceTolerance returns how long the caller waits for a silent stream before it gives up.
func (r *request) silenceTolerance() time.Duration {
	return max(minSilenceTolerance, toleranceTargets*r.route.TargetLatency, toleranceGaps*r.route.MaxGap)
}

// dispatchMeta returns what is stated to an upstream along with the request.
func (r *request) dispatchMeta(u *catalog.Upstream, helpers []Helper, timeLeft time.Duration, lastEventID string) DispatchMeta {
	return DispatchMeta{
		Upstream: u.ID, TimeLeft: timeLeft, Workspace: r.workspace, Urgency: min(9, max(0, r.priority)),
		Helpers: helpers, LastEventID: lastEventID,
	}
}
