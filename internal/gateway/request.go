package gateway

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

const (
	// defaultWait is how long a request may take where neither caller nor route says.
	defaultWait = 30 * time.Second
	// Callers give a stream up that stays silent for the longest of these: a fixed time, some times its aim,
	// some times the longest pause that is still in time. The figures are the platform's, of its callers.
	patience     = 2 * time.Second
	patienceAims = 4
	patienceGaps = 8
)

// request is one attempt of a caller, read and matched to a route.
type request struct {
	Meta
	route     *catalog.Route
	service   catalog.ServiceName
	workspace fleet.WorkspaceID
	priority  int
	version   uint64 // of the configuration that it was matched with
	arrived   time.Time
	deadline  time.Time // the caller's or the route's, whichever is first
	method    string
	head      fasthttp.RequestHeader // a copy without what concerns one connection only
	body      []byte
}

// hopByHop lists the headers that concern one connection only.
var hopByHop = []string{
	fasthttp.HeaderConnection, "Keep-Alive", fasthttp.HeaderTE, fasthttp.HeaderTrailer, fasthttp.HeaderTransferEncoding,
	fasthttp.HeaderUpgrade, "Proxy-Connection", fasthttp.HeaderProxyAuthenticate, fasthttp.HeaderProxyAuthorization,
	fasthttp.HeaderExpect,
}

// intake reads a request and matches it with the snapshot. The *fault.Error of a request that goes no
// further says that it did not run.
func (g *Gateway) intake(ctx *fasthttp.RequestCtx, snap *catalog.Snapshot, arrived time.Time) (*request, *fault.Error) {
	r := &request{arrived: arrived, method: string(ctx.Method())}
	var err error
	if r.Meta, err = g.deps.Dialect.ReadRequest(&ctx.Request.Header); err != nil {
		return r, fault.New(fault.BadRequest, "%v", err)
	}
	cfg := snap.Config
	if cfg == nil {
		return r, fault.New(fault.NotReady, "no configuration is known yet")
	}
	r.version = cfg.Version
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
	r.service = r.route.Pick(rand.Float64())
	r.deadline = r.latest()
	r.copyHead(&ctx.Request.Header)
	r.body = append([]byte(nil), ctx.Request.Body()...)
	return r, nil
}

// latest is when the request must have ended.
func (r *request) latest() time.Time {
	wait := defaultWait
	if r.HasTimeout {
		wait = r.Timeout
	}
	if r.route.Timeout > 0 {
		wait = min(wait, r.route.Timeout)
	}
	return r.arrived.Add(wait)
}

// copyHead copies the caller's head without what concerns its connection only.
func (r *request) copyHead(from *fasthttp.RequestHeader) {
	from.CopyTo(&r.head)
	for _, token := range headerTokens(from.Peek(fasthttp.HeaderConnection)) {
		r.head.Del(token)
	}
	for _, name := range hopByHop {
		r.head.Del(name)
	}
	r.head.SetNoDefaultContentType(true)
	r.head.SetProtocol("HTTP/1.1")
}

// headerTokens splits a comma-separated list of header names; what only says whether the connection stays
// open is left out.
func headerTokens(v []byte) []string {
	all := strings.Split(string(v), ",")
	for i := range all {
		all[i] = strings.Trim(all[i], " \t")
	}
	return slices.DeleteFunc(all, func(token string) bool {
		return token == "" || token == "close" || token == "keep-alive"
	})
}

// ask is the request's need for a place now. resumed is when the last event of a stream came that goes on
// elsewhere; zero: the answer has not begun.
func (r *request) ask(now, resumed time.Time, attempt int, avoid []fleet.UpstreamID) PlacementRequest {
	since, aim := r.arrived, r.route.Aim
	if !resumed.IsZero() {
		// The caller has waited since the last event, and the pause that is in time takes the aim's place.
		since, aim = resumed, r.route.MaxGap
	}
	a := PlacementRequest{
		ID: fleet.RequestID(r.ID), Service: r.service, Kind: r.route.Kind, Workspace: r.workspace,
		Priority: r.priority, PromptTokens: r.PromptTokens, MaxOutputTokens: r.MaxOutputTokens, MaxGap: r.route.MaxGap,
		Resumed:  !resumed.IsZero() || r.LastEventID != "", // here, or by its caller on another connection
		TimeLeft: r.deadline.Sub(now), Waited: now.Sub(since), Attempt: attempt, Avoid: avoid,
	}
	if aim > 0 {
		a.HasTarget = true
		a.TargetLeft = since.Add(aim).Sub(now)
	}
	a.FirstEventTimeout = a.TimeLeft
	if r.streams() {
		a.FirstEventTimeout = min(a.TimeLeft, since.Add(r.silence()).Sub(now))
	}
	return a
}

// silence is how long the caller bears a stream that says nothing.
func (r *request) silence() time.Duration {
	return max(patience, patienceAims*r.route.Aim, patienceGaps*r.route.MaxGap)
}

// send is what an upstream is told.
func (r *request) send(u *catalog.Upstream, helpers []Helper, left time.Duration, lastEvent string) DispatchMeta {
	return DispatchMeta{
		Upstream: u.ID, TimeLeft: left, Workspace: r.workspace, Urgency: min(9, max(0, r.priority)),
		Helpers: helpers, LastEventID: lastEvent,
	}
}
