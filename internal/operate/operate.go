// Package operate is the operators' HTTP side: its listener's routes, the bearer token and the one place
// where a fault becomes an answer. Package command changes things, package query reads.
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
	PathPlans   = "/v1/plans"              // POST api.Change, answers api.Plan
	PathPlan    = "/v1/plans/{id}"         // GET
	PathConfirm = "/v1/plans/{id}/confirm" // POST, answers api.Confirmed
	PathStop    = "/v1/plans/{id}/stop"    // POST, answers api.Plan
	PathStatus  = "/v1/status"             // GET; ?version=N asks in how many instances N is in force
	PathExplain = "/v1/explain/{id}"       // GET, of a request id
)

// Deps is what the operators' side needs of its instance.
type Deps struct {
	Instance fleet.InstanceID
	Store    objects.Store
	View     func() *fleet.View
	Log      hclog.Logger
	NewID    func() string // fresh ids of plans and writes
	Token    string        // bearer token; empty: none asked, the listener is bound to loopback

	// Explain gives the decisions kept for a request; nil where none are kept.
	Explain func(id fleet.RequestID) ([]string, bool)
	// InForce tells how many of the known instances have a configuration version in force; nil: unknown.
	CountInForce func(version uint64) (have, of int)
	// Upstreams asks engines what they have loaded and how busy they are; nil: taken from the View.
	Upstreams command.Prober
	// WeightRate is the weight store's rate in gigabytes an hour; 0: not known.
	WeightRate int64
}

// ErrorBody is the body of every refusal and failure.
type ErrorBody struct {
	Error  string `json:"error"` // kind, of the closed list
	Run    string `json:"run"`   // no, yes or unknown
	Detail string `json:"detail,omitempty"`
}

// Register adds the operators' routes to r.
func Register(r *router.Router, d Deps) {
	s := &server{log: d.Log, token: sha256.Sum256([]byte(d.Token)), open: d.Token == ""}
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

type server struct {
	log   hclog.Logger
	token [sha256.Size]byte
	open  bool
}

// handle wraps a handler that gives a value to answer as JSON, or an error.
func (s *server) handle(h func(*fasthttp.RequestCtx) (any, error)) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if !s.authorized(ctx) {
			s.fail(ctx, fault.New(fault.Unauthorized, "a bearer token is required"))
			return
		}
		out, err := h(ctx)
		if err != nil {
			s.fail(ctx, fault.From(err))
			return
		}
		s.answer(ctx, fasthttp.StatusOK, out)
	}
}

// authorized compares hashes in constant time, so that the time taken tells neither length nor content
// of the token.
func (s *server) authorized(ctx *fasthttp.RequestCtx) bool {
	if s.open {
		return true
	}
	given, ok := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	sum := sha256.Sum256([]byte(given))
	return ok && subtle.ConstantTimeCompare(sum[:], s.token[:]) == 1
}

func (s *server) fail(ctx *fasthttp.RequestCtx, e *fault.Error) {
	s.log.Warn("operator call failed", "method", string(ctx.Method()), "path", string(ctx.Path()),
		"kind", e.Kind.String(), "run", e.Run.String(), "detail", e.Detail, "cause", e.Cause)
	if wait := e.RetryDelay(); wait > 0 {
		seconds := int(math.Ceil(wait.Seconds()))
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	s.answer(ctx, e.Kind.Rule().Status, ErrorBody{Error: e.Kind.String(), Run: e.Run.String(), Detail: e.Detail})
}

func (s *server) answer(ctx *fasthttp.RequestCtx, status int, out any) {
	body, err := json.Marshal(out)
	if err != nil {
		s.log.Error("encode answer", "path", string(ctx.Path()), "error", err)
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
