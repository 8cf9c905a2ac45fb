// Package operate is the operators' HTTP API: its routes, the check of the bearer token, and the conversion of faults
// to responses. Package command holds the calls that change something, package query those that only read.
package operate

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"math"
	"strconv"
	"strings"

	"github.com/fasthttp/router"
	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/operate/command"
	"github.com/damaskshelf/damaskshelf/internal/operate/query"
)

// Paths of the operators' API.
const (
	PathPlans   = "/v1/plans"              // POST an api.Change; returns an api.Plan
	PathPlan    = "/v1/plans/{id}"         // GET; returns an api.Plan
	PathConfirm = "/v1/plans/{id}/confirm" // POST; returns the plan's id and the version of its configuration
	PathStop    = "/v1/plans/{id}/stop"    // POST; returns an api.Plan
	PathStatus  = "/v1/status"             // GET; returns an api.Status; ?version=N: counts instances with N in force
	PathExplain = "/v1/explain/{id}"       // GET with a request id; returns query.Decisions
)

// Deps are the parts of the instance that the operators' API uses.
type Deps struct {
	Instance fleet.InstanceID
	Store    objects.Store
	View     func() *fleet.View
	Log      hclog.Logger
	NewID    func() string // returns a new unique id for a plan or a write
	Token    string        // bearer token; empty: no token is required, the listener is bound to loopback

	// Explain returns the decision lines kept for a request and whether there are any; nil: none are kept.
	Explain func(id fleet.RequestID) ([]string, bool)
	// CountInForce returns how many of the known instances have a configuration version in force; nil: unknown.
	CountInForce func(version uint64) (have, of int)
	// Upstreams reads which models engines have loaded and how much of their capacity is in use; nil: the models are
	// those of the View, and the use is unknown.
	Upstreams command.Prober
	// WeightRate is the rate of the weight store in gigabytes per hour; 0: unknown.
	WeightRate int64
}

// ErrorBody is the body of every response that is not a success.
type ErrorBody struct {
	Error  string `json:"error"` // name of a fault.Kind
	Run    string `json:"run"`   // no, yes or unknown
	Detail string `json:"detail,omitempty"`
}

// Register adds the operators' routes to r.
func Register(r *router.Router, d Deps) {
	s := &server{log: d.Log, token: sha256.Sum256([]byte(d.Token)), noAuth: d.Token == ""}
	commands := &command.Service{
		Store: d.Store, View: d.View, Log: d.Log, NewID: d.NewID,
		Upstreams: d.Upstreams, WeightRate: d.WeightRate,
	}
	queries := &query.Service{
		Instance: d.Instance, Store: d.Store, View: d.View, Explain: d.Explain, CountInForce: d.CountInForce,
	}
	r.POST(PathPlans, s.handle(commands.Propose))
	r.POST(PathConfirm, s.handle(commands.Confirm))
	r.POST(PathStop, s.handle(commands.Stop))
	r.GET(PathPlan, s.handle(queries.Plan))
	r.GET(PathStatus, s.handle(queries.Status))
	r.GET(PathExplain, s.handle(queries.Decisions))
}

// server checks the token and writes the responses.
type server struct {
	log    hclog.Logger
	token  [sha256.Size]byte // hash of the bearer token
	noAuth bool              // no token is required
}

// handle checks the token, calls h, and writes the value that h returns as JSON, or its error.
func (s *server) handle(h func(*fasthttp.RequestCtx) (any, error)) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if !s.authorized(ctx) {
			s.writeError(ctx, fault.New(fault.Unauthorized, "a bearer token is required"))
			return
		}
		out, err := h(ctx)
		if err != nil {
			s.writeError(ctx, fault.From(err))
			return
		}
		s.writeJSON(ctx, fasthttp.StatusOK, out)
	}
}

// authorized reports whether the request carries the bearer token. It compares hashes in constant time, so that the time
// taken reveals neither length nor content of the token.
func (s *server) authorized(ctx *fasthttp.RequestCtx) bool {
	if s.noAuth {
		return true
	}
	given, ok := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	hash := sha256.Sum256([]byte(given))
	return ok && subtle.ConstantTimeCompare(hash[:], s.token[:]) == 1
}

// writeError logs a failed call and writes its response, with a Retry-After header if the fault has a retry delay.
func (s *server) writeError(ctx *fasthttp.RequestCtx, e *fault.Error) {
	s.log.Warn("operator call failed", "method", string(ctx.Method()), "path", string(ctx.Path()),
		"kind", e.Kind.String(), "run", e.Run.String(), "detail", e.Detail, "cause", e.Cause)
	if delay := e.RetryDelay(); delay > 0 {
		seconds := int(math.Ceil(delay.Seconds()))
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	s.writeJSON(ctx, e.Kind.Rule().Status, ErrorBody{Error: e.Kind.String(), Run: e.Run.String(), Detail: e.Detail})
}

// writeJSON writes out as JSON with the status. If out can't be encoded, the response has status 500 and no body.
func (s *server) writeJSON(ctx *fasthttp.RequestCtx, status int, out any) {
	body, err := json.Marshal(out)
	if err != nil {
		s.log.Error("response could not be encoded", "path", string(ctx.Path()), "error", err)
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
