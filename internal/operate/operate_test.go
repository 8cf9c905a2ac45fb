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

// side is an operators' side under test, with its client.
type side struct {
	t      *testing.T
	store  objects.Store
	view   atomic.Pointer[fleet.View]
	client *fasthttp.Client
	log    strings.Builder
	fleet  *probes
}

const token = "s3cret-token"

func newSide(t *testing.T, store objects.Store) *side {
	s := &side{t: t, store: store, fleet: &probes{loaded: map[string]string{}}}
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
		Upstreams: s.fleet, WeightRate: 3600,
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

// probes answers for the engines: version 1 of m unless told otherwise.
type probes struct {
	loaded map[string]string // by address
	busy   int64             // of 100
}

func (p *probes) State(_ context.Context, addr string) (upstream.EngineState, error) {
	version := p.loaded[addr]
	switch version {
	case "silent":
		return upstream.EngineState{}, errors.New("no answer")
	case "":
		version = "1"
	}
	return upstream.EngineState{Loaded: []upstream.LoadedModel{{Model: "m", Version: version}}}, nil
}

func (p *probes) Load(context.Context, string) (upstream.LoadReport, error) {
	return upstream.LoadReport{MemoryUsed: p.busy, MemoryTotal: 100}, nil
}

// newView shows two engines with model m in each of three failure domains.
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

// call gives the status and decodes the answer into out.
func (s *side) call(method, path string, body, out any) int {
	return s.callAs("Bearer "+token, method, path, body, out)
}

func (s *side) callAs(auth, method, path string, body, out any) int {
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

func (s *side) propose(c api.Change) api.Plan {
	s.t.Helper()
	var p api.Plan
	is.New(s.t).Equal(s.call("POST", operate.PathPlans, c, &p), 200)
	return p
}

func confirmPath(p api.Plan) string { return "/v1/plans/" + p.ID + "/confirm" }

func intent(replicas int) api.Change {
	return api.Change{Intent: &api.Intent{Models: []api.Model{{Name: "m", Version: "1", Replicas: replicas, Floor: 1}}}}
}

func TestPlanChangesNothingAndConfirmPutsItInForce(t *testing.T) {
	is := is.New(t)
	s := newSide(t, memory.New())
	p := s.propose(intent(4))
	_, err := s.store.Get(context.Background(), objects.Key{Kind: "config", Name: "current"})
	is.True(errors.Is(err, objects.ErrNotFound)) // nothing changed yet

	var c api.Confirmation
	is.Equal(s.call("POST", confirmPath(p), nil, &c), 200)
	o, err := s.store.Get(context.Background(), objects.Key{Kind: "config", Name: "current"})
	is.NoErr(err)
	is.Equal(o.Version, c.ConfigVersion)
	var again api.Confirmation
	is.Equal(s.call("POST", confirmPath(p), nil, &again), 200) // an operator's repeat does no harm
	is.Equal(again, c)
}

// Two operators drain different failure domains at once, each from the same version: without the
// condition both go out and the fleet is dead. The second sees a conflict that names what came first.
func TestSecondOfTwoRacingOperatorsSeesAConflict(t *testing.T) {
	is := is.New(t)
	s := newSide(t, memory.New())
	first, second := s.propose(api.Change{Drain: "a"}), s.propose(api.Change{Drain: "b"})
	var c api.Confirmation
	is.Equal(s.call("POST", confirmPath(second), nil, &c), 200)
	var e operate.ErrorBody
	is.Equal(s.call("POST", confirmPath(first), nil, &e), 409)
	is.Equal(e.Error, "plan_conflict")
	is.Equal(e.Run, "no")
	is.True(strings.Contains(e.Detail, "failure domains out [b]"))
}

// A year of changes must not fill the store: of the plans that were in force, two are kept.
func TestOldPlansAreForgotten(t *testing.T) {
	is := is.New(t)
	s := newSide(t, memory.New())
	for i := range 6 {
		p := s.propose(intent(6 - i%2))
		var c api.Confirmation
		is.Equal(s.call("POST", confirmPath(p), nil, &c), 200)
		s.view.Store(newView(p.After, c.ConfigVersion))
	}
	l, err := s.store.List(context.Background(), "plans")
	is.NoErr(err)
	is.Equal(len(l.Objects), 2)
}

// An operator confirms a plan made an hour ago; meanwhile an engine was replaced by one with another
// version, so the plan's steps are not the ones needed any more. The conflict names the difference.
func TestConfirmSeesThatEnginesHaveChanged(t *testing.T) {
	is := is.New(t)
	s := newSide(t, memory.New())
	p := s.propose(intent(6))
	is.Equal(len(p.Steps), 0)
	s.fleet.loaded["engine-3"] = "0"
	var e operate.ErrorBody
	is.Equal(s.call("POST", confirmPath(p), nil, &e), 409)
	is.Equal(e.Error, "plan_conflict")
	is.True(strings.Contains(e.Detail, "now load m@1 on engine-3"))
}

func TestPlanShowsStepsCostAndWhoIsHurt(t *testing.T) {
	is := is.New(t)
	s := newSide(t, memory.New())
	change := intent(4)
	change.Intent.Models[0].Version = "2"
	change.Intent.Models[0].WeightGB = 40
	s.fleet.loaded["engine-5"] = "silent"
	p := s.propose(change)
	is.Equal(p.Cost, api.Cost{Loads: 4, Unloads: 2, WeightStoreGB: 160, MinSeconds: 160})
	is.Equal(p.Summary, []string{
		"model m: new, version 2, 4 replicas",
		"load m@2 on engine-0, engine-1, engine-2, engine-3",
		"unload m@1 on engine-4",
		"unload m@ on engine-5", // its version is not known: it did not answer
	})
	is.True(strings.Contains(strings.Join(p.Impact, "\n"), "engine engine-5 did not answer"))
}

// Draining what carries the fleet is rejected in words; forced, it goes through and says so.
func TestDrainJudgesTheRest(t *testing.T) {
	is := is.New(t)
	s := newSide(t, memory.New())
	s.fleet.busy = 90
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
	s := newSide(t, memory.New())
	p := s.propose(intent(2))
	is.Equal(s.call("POST", "/v1/plans/"+p.ID+"/stop", nil, &p), 200)
	is.Equal(p.State, api.PlanStopped)
	var e operate.ErrorBody
	is.Equal(s.call("POST", confirmPath(p), nil, &e), 409)
	is.Equal(e.Error, "plan_conflict")
}

// The token is asked on every path, a wrong one of any length is refused, and no log line has it.
func TestTokenIsAskedAndNeverLogged(t *testing.T) {
	s := newSide(t, memory.New())
	for _, auth := range []string{"", "Bearer ", "Bearer wrong", token, "Bearer " + token + "x"} {
		is := is.New(t)
		var e operate.ErrorBody
		is.Equal(s.callAs(auth, "GET", operate.PathStatus, nil, &e), 401)
		is.Equal(e.Error, "unauthorized")
		is.Equal(s.callAs(auth, "POST", operate.PathPlans, intent(1), &e), 401)
	}
	is.New(t).True(!strings.Contains(s.log.String(), token))
}

func TestBadChangesAreRefusedWithTheirPath(t *testing.T) {
	s := newSide(t, memory.New())
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

// While the store is down a plan is refused as "not run", with a time to come back; status still answers.
func TestStoreOutage(t *testing.T) {
	is := is.New(t)
	s := newSide(t, outage{})
	var e operate.ErrorBody
	is.Equal(s.call("POST", operate.PathPlans, intent(1), &e), 503)
	is.Equal(e.Error, "store_unavailable")
	is.Equal(e.Run, "no")
	s.view.Store(newView(api.Config{PlanID: "p9", Intent: *intent(4).Intent}, 7))
	var status api.Status
	is.Equal(s.call("GET", operate.PathStatus, nil, &status), 200)
	is.Equal(status.ConfigVersion, uint64(7))
	is.Equal(status.Models, []api.ServingStatus{{Name: "m", Serving: 6, Wanted: 4, Floor: 1}})
	is.Equal(*status.InForce, api.InForce{Version: 7, Applied: 7, Instances: 9})
	is.True(strings.Contains(status.Notes[0], "p9"))
}

type outage struct{ objects.Store }

func (outage) Get(context.Context, objects.Key) (o wire.Object, err error) {
	return o, objects.ErrUnavailable
}

func TestExplainGivesTheKeptLines(t *testing.T) {
	is := is.New(t)
	s := newSide(t, memory.New())
	var d struct{ Lines []string }
	is.Equal(s.call("GET", "/v1/explain/r1", nil, &d), 200)
	is.Equal(d.Lines, []string{"pick engine-1"})
	var e operate.ErrorBody
	is.Equal(s.call("GET", "/v1/explain/r2", nil, &e), 404)
}
