package operate_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/fasthttp/router"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/objects/memory"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
	"github.com/damaskshelf/damaskshelf/internal/operate"
	upstream "github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// testServer is an operators' API under test, with a client of it.
type testServer struct {
	t      *testing.T
	store  objects.Store
	view   atomic.Pointer[fleet.View]
	client *fasthttp.Client
	log    strings.Builder
	prober *fakeProber
}

const token = "s3cret-token"

// newTestServer serves the operators' API over store until the test ends. Its view holds the fleet of newView.
func newTestServer(t *testing.T, store objects.Store) *testServer {
	s := &testServer{t: t, store: store, prober: &fakeProber{loaded: map[string]string{}}}
	s.view.Store(newView(api.Config{}, 0))
	ids := 0
	r := router.New()
	operate.Register(r, operate.Deps{
		Instance: "entry-1", Store: store, View: s.view.Load, Token: token,
		Log: hclog.New(&hclog.LoggerOptions{Output: &s.log, DisableTime: true}),
		NewID: func() string {
			ids++
			return fmt.Sprintf("id-%d", ids)
		},
		Upstreams: s.prober, WeightRate: 3600,
		CountInForce: func(version uint64) (int, int) { return int(version), 9 },
		Explain:      func(id fleet.RequestID) ([]string, bool) { return []string{"pick engine-1"}, id == "r1" },
	})
	ln := fasthttputil.NewInmemoryListener()
	server := &fasthttp.Server{Handler: r.Handler, Logger: hclog.NewNullLogger().StandardLogger(&hclog.StandardLoggerOptions{})}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	s.client = &fasthttp.Client{Dial: func(string) (net.Conn, error) { return ln.Dial() }}
	return s
}

// fakeProber answers for the engines. They have loaded version 1 of m unless the map says otherwise.
type fakeProber struct {
	loaded map[string]string // version by address; "silent": the engine does not answer
	busy   int64             // memory in use, of 100
}

// State implements command.Prober.
func (p *fakeProber) State(_ context.Context, addr string) (upstream.EngineState, error) {
	version := p.loaded[addr]
	switch version {
	case "silent":
		return upstream.EngineState{}, errors.New("no answer")
	case "":
		version = "1"
	}
	return upstream.EngineState{Loaded: []upstream.LoadedModel{{Model: "m", Version: version}}}, nil
}

// Load implements command.Prober.
func (p *fakeProber) Load(context.Context, string) (upstream.LoadReport, error) {
	return upstream.LoadReport{MemoryUsed: p.busy, MemoryTotal: 100}, nil
}

// newView returns a view of two engines with model m in each of three failure domains.
func newView(cfg api.Config, version uint64) *fleet.View {
	var ups []*fleet.Upstream
	for i := range 6 {
		ups = append(ups, &fleet.Upstream{
			ID: fleet.UpstreamID(fmt.Sprintf("engine-%d", i)), Domain: fleet.DomainID([]string{"a", "b", "c"}[i%3]),
			Addr:   fmt.Sprintf("engine-%d", i),
			Models: []string{"m"}, KVCacheTokens: 1000, Fencing: true,
			DomainOut: slices.Contains(cfg.DomainsOut, []string{"a", "b", "c"}[i%3]),
		})
	}
	return fleet.NewView(version, cfg, 1, nil, ups)
}

// call decodes the response into out and returns its status.
func (s *testServer) call(method, path string, body, out any) int {
	return s.callWithAuth("Bearer "+token, method, path, body, out)
}

// callWithAuth is call with the given Authorization header.
func (s *testServer) callWithAuth(auth, method, path string, body, out any) int {
	s.t.Helper()
	is := is.New(s.t)
	var req fasthttp.Request
	var resp fasthttp.Response
	req.SetRequestURI("http://entry" + path)
	req.Header.SetMethod(method)
	req.Header.Set(fasthttp.HeaderAuthorization, auth)
	if body != nil {
		data, err := json.Marshal(body)
		is.NoErr(err)
		req.SetBody(data)
	}
	is.NoErr(s.client.Do(&req, &resp))
	is.NoErr(json.Unmarshal(resp.Body(), out))
	return resp.StatusCode()
}

// propose proposes a change and returns its plan.
func (s *testServer) propose(c api.Change) api.Plan {
	s.t.Helper()
	var p api.Plan
	is.New(s.t).Equal(s.call("POST", operate.PathPlans, c, &p), 200)
	return p
}

func confirmPath(p api.Plan) string { return "/v1/plans/" + p.ID + "/confirm" }

// intentChange returns a change to an intent of that many replicas of model m.
func intentChange(replicas int) api.Change {
	return api.Change{Intent: &api.Intent{Models: []api.Model{{Name: "m", Version: "1", Replicas: replicas, Floor: 1}}}}
}

func TestProposeChangesNothingAndConfirmApplies(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, memory.New())
	p := s.propose(intentChange(4))
	_, err := s.store.Get(context.Background(), objects.Key{Kind: "config", Name: "current"})
	is.True(errors.Is(err, objects.ErrNotFound)) // the proposal changed nothing

	var c api.Confirmation
	is.Equal(s.call("POST", confirmPath(p), nil, &c), 200)
	o, err := s.store.Get(context.Background(), objects.Key{Kind: "config", Name: "current"})
	is.NoErr(err)
	is.Equal(o.Version, c.ConfigVersion)
	var again api.Confirmation
	is.Equal(s.call("POST", confirmPath(p), nil, &again), 200) // a repeated confirmation has no effect
	is.Equal(again, c)
}

// Two operators drain different failure domains, with plans made from the same version. Without the condition on that
// version both drains would take effect and could together leave the fleet without upstreams. The operator who confirms
// second receives a conflict that names the change that came first.
func TestSecondOfTwoRacingOperatorsSeesAConflict(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, memory.New())
	first, second := s.propose(api.Change{Drain: "a"}), s.propose(api.Change{Drain: "b"})
	var c api.Confirmation
	is.Equal(s.call("POST", confirmPath(second), nil, &c), 200)
	var e operate.ErrorBody
	is.Equal(s.call("POST", confirmPath(first), nil, &e), 409)
	is.Equal(e.Error, "plan_conflict")
	is.Equal(e.Run, "no")
	is.True(strings.Contains(e.Detail, "failure domains out [b]"))
}

// Old plans must not fill the store over time: of the plans that were in force, two are kept.
func TestOldPlansAreDeleted(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, memory.New())
	for i := range 6 {
		p := s.propose(intentChange(6 - i%2))
		var c api.Confirmation
		is.Equal(s.call("POST", confirmPath(p), nil, &c), 200)
		s.view.Store(newView(p.After, c.ConfigVersion))
	}
	l, err := s.store.List(context.Background(), "plans")
	is.NoErr(err)
	is.Equal(len(l.Objects), 2)
}

// Between proposal and confirmation, an engine is replaced by one with another version. The plan's steps are no longer
// the right ones, and the conflict names the difference.
func TestConfirmConflictsWhenEnginesChanged(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, memory.New())
	p := s.propose(intentChange(6))
	is.Equal(len(p.Steps), 0)
	s.prober.loaded["engine-3"] = "0"
	var e operate.ErrorBody
	is.Equal(s.call("POST", confirmPath(p), nil, &e), 409)
	is.Equal(e.Error, "plan_conflict")
	is.True(strings.Contains(e.Detail, "now load m@1 on engine-3"))
}

func TestPlanShowsStepsCostAndImpact(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, memory.New())
	change := intentChange(4)
	change.Intent.Models[0].Version = "2"
	change.Intent.Models[0].WeightGB = 40
	s.prober.loaded["engine-5"] = "silent"
	p := s.propose(change)
	is.Equal(p.Cost, api.Cost{Loads: 4, Unloads: 2, WeightStoreGB: 160, MinSeconds: 160})
	is.Equal(p.Summary, []string{
		"model m: new, version 2, 4 replicas",
		"load m@2 on engine-0, engine-1, engine-2, engine-3",
		"unload m@1 on engine-4",
		"unload m@ on engine-5", // the engine did not answer, so its version is unknown
	})
	is.True(strings.Contains(strings.Join(p.Impact, "\n"), "engine engine-5 did not answer"))
}

// The drain of the last failure domain in service is rejected with a reason. With force it is accepted, and the plan
// says that it was forced and what callers lose.
func TestDrainAssessesRemainingUpstreams(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, memory.New())
	s.prober.busy = 90
	p := s.propose(api.Change{Drain: "a"})
	is.True(strings.Contains(strings.Join(p.Impact, "\n"), "about 26% of it would be refused"))

	s.view.Store(newView(api.Config{DomainsOut: []string{"a", "b"}}, 3))
	data, err := json.Marshal(api.Config{DomainsOut: []string{"a", "b"}})
	is.NoErr(err)
	_, err = s.store.Put(context.Background(), objects.Write{Key: objects.Key{Kind: "config", Name: "current"}, WriteID: "w", Value: data})
	is.NoErr(err)
	var e operate.ErrorBody
	is.Equal(s.call("POST", operate.PathPlans, api.Change{Drain: "c"}, &e), 422)
	is.Equal(e.Error, "plan_rejected")
	p = s.propose(api.Change{Drain: "c", Force: true})
	is.True(p.Forced)
	is.True(strings.Contains(strings.Join(p.Impact, "\n"), "no upstream is left"))
}

func TestStoppedPlanCannotBeConfirmed(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, memory.New())
	p := s.propose(intentChange(2))
	is.Equal(s.call("POST", "/v1/plans/"+p.ID+"/stop", nil, &p), 200)
	is.Equal(p.State, api.PlanStopped)
	var e operate.ErrorBody
	is.Equal(s.call("POST", confirmPath(p), nil, &e), 409)
	is.Equal(e.Error, "plan_conflict")
}

// Calls without the token or with a wrong one of any length are refused, and no log line contains the token.
func TestTokenIsRequiredAndNeverLogged(t *testing.T) {
	s := newTestServer(t, memory.New())
	for _, auth := range []string{"", "Bearer ", "Bearer wrong", token, "Bearer " + token + "x"} {
		is := is.New(t)
		var e operate.ErrorBody
		is.Equal(s.callWithAuth(auth, "GET", operate.PathStatus, nil, &e), 401)
		is.Equal(e.Error, "unauthorized")
		is.Equal(s.callWithAuth(auth, "POST", operate.PathPlans, intentChange(1), &e), 401)
	}
	is.New(t).True(!strings.Contains(s.log.String(), token))
}

func TestInvalidChangeErrorNamesTheField(t *testing.T) {
	s := newTestServer(t, memory.New())
	cases := []struct {
		body any
		want string
	}{
		{map[string]any{"drian": "a"}, "drian"},
		{api.Change{}, "exactly one of"},
		{api.Change{Drain: "nowhere"}, "known: [a b c]"},
		{api.Change{Restore: "a"}, "is not out"},
		{api.Change{Intent: &api.Intent{Models: []api.Model{{Name: "m", Version: "1", Replicas: 1, Floor: 2}}}}, "models[0].floor"},
		{api.Change{Intent: &api.Intent{Models: []api.Model{{Name: "m", Version: "1", Domains: []string{"x"}}}}}, "models[0].failure_domains[0]"},
	}
	for _, c := range cases {
		is := is.New(t)
		var e operate.ErrorBody
		is.Equal(s.call("POST", operate.PathPlans, c.body, &e), 400)
		is.Equal(e.Error, "bad_request")
		is.True(strings.Contains(e.Detail, c.want)) // the detail names the field
	}
}

// While the store is unavailable, a proposal is refused with run "no", and the status is still returned, with a note.
func TestProposeAndStatusDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, unavailableStore{})
	var e operate.ErrorBody
	is.Equal(s.call("POST", operate.PathPlans, intentChange(1), &e), 503)
	is.Equal(e.Error, "store_unavailable")
	is.Equal(e.Run, "no")
	s.view.Store(newView(api.Config{PlanID: "p9", Intent: *intentChange(4).Intent}, 7))
	var status api.Status
	is.Equal(s.call("GET", operate.PathStatus, nil, &status), 200)
	is.Equal(status.ConfigVersion, uint64(7))
	is.Equal(status.Models, []api.ServingStatus{{Name: "m", Serving: 6, Wanted: 4, Floor: 1}})
	is.Equal(*status.InForce, api.InForce{Version: 7, Applied: 7, Instances: 9})
	is.True(strings.Contains(status.Notes[0], "p9"))
}

// unavailableStore fails every read as unavailable.
type unavailableStore struct{ objects.Store }

func (unavailableStore) Get(context.Context, objects.Key) (o wire.Object, err error) {
	return o, objects.ErrUnavailable
}

func TestExplainReturnsDecisionLines(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, memory.New())
	var d struct{ Lines []string }
	is.Equal(s.call("GET", "/v1/explain/r1", nil, &d), 200)
	is.Equal(d.Lines, []string{"pick engine-1"})
	var e operate.ErrorBody
	is.Equal(s.call("GET", "/v1/explain/r2", nil, &e), 404)
}
