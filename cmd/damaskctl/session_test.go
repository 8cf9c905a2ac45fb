package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/subcommands"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/decide/lease"
	"github.com/damaskshelf/damaskshelf/internal/execute"
	"github.com/damaskshelf/damaskshelf/internal/local"
	"github.com/damaskshelf/damaskshelf/internal/standin/cluster"
	"github.com/damaskshelf/damaskshelf/internal/standin/engine"
	"github.com/damaskshelf/damaskshelf/internal/upstream"
)

var update = flag.Bool("update", false, "write the golden files anew")

const goldenSession = "testdata/session.golden"

// hangGuard bounds waits that end in seconds when all is well.
const hangGuard = 60 * time.Second

// session types an operator's commands and notes what is seen.
type session struct {
	t     *testing.T
	fleet *local.Fleet
	dir   string
	text  bytes.Buffer
	plans []string // ids in the order in which they were first shown
}

func startSession(t *testing.T) *session {
	t.Helper()
	f, err := local.Start(local.Config{
		Entries: 3,
		Cluster: cluster.Config{
			Domains: []string{"north-ice", "mid-ice", "south-ice"}, Region: "sask-plains", EnginesPerDomain: 2,
			Models: []string{"guidebot"}, Service: "bookdesk", TimeScale: 50, Seed: 1,
			WeightRate: 1000, WeightBurst: 1000, Engine: engine.Config{Fencing: true},
		},
		Intent:  api.Intent{Models: []api.Model{{Name: "guidebot", Version: cluster.ModelVersion, Replicas: 6, Floor: 4, WeightGB: 40}}},
		Execute: execute.Config{TickInterval: 20 * time.Millisecond, Lease: lease.Config{OrderDelay: 50 * time.Millisecond}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return &session{t: t, fleet: f, dir: t.TempDir()}
}

// file writes a file that commands name as DIR/name.
func (s *session) file(name, text string) {
	if err := os.WriteFile(filepath.Join(s.dir, name), []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// run carries out one command line as main does and gives its output and exit status.
func (s *session) run(line string) (string, subcommands.ExitStatus) {
	args := strings.Fields(strings.ReplaceAll(line, "DIR", s.dir))
	return command(s.t, slices.Concat(args[:1], []string{"-addr", s.fleet.Nodes[0].OperatorsAddr()}, args[1:])...)
}

func command(t *testing.T, args ...string) (string, subcommands.ExitStatus) {
	set := flag.NewFlagSet("damaskctl", flag.ContinueOnError)
	commander := subcommands.NewCommander(set, "damaskctl")
	for _, v := range verbs() {
		commander.Register(v, "")
	}
	if err := set.Parse(args); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	status := commander.Execute(context.Background(), environment{out: &out, err: &out})
	return out.String(), status
}

// do runs a command and notes it with its output and exit status.
func (s *session) do(line string) subcommands.ExitStatus {
	for i, id := range s.plans {
		line = strings.ReplaceAll(line, fmt.Sprintf("PLAN%d", i+1), id)
	}
	out, status := s.run(line)
	fmt.Fprintf(&s.text, "$ damaskctl %s\n%s(exit status %d)\n\n", line, out, status)
	for _, m := range planID.FindAllString(out, -1) {
		if !slices.Contains(s.plans, m) {
			s.plans = append(s.plans, m)
		}
	}
	return status
}

// await waits until the status shows what it should; only the last look is noted, by do.
func (s *session) await(what string) {
	s.t.Helper()
	for deadline := time.Now().Add(hangGuard); ; time.Sleep(20 * time.Millisecond) {
		out, _ := s.run("status")
		if strings.Contains(out, what) {
			return
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("never %q:\n%s", what, out)
		}
	}
}

var (
	planID    = regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`)
	version   = regexp.MustCompile(`version \d+`)
	spreading = regexp.MustCompile(`(?m)^in force on [0-2] of 3 instances\n`)
)

// canonical numbers plans and configuration versions in the order in which they appear, and leaves out
// the looks between confirmation and the moment when all instances have it.
func (s *session) canonical() string {
	text := strings.ReplaceAll(s.text.String(), s.dir, "DIR")
	text = spreading.ReplaceAllString(text, "")
	text = number(planID, text, "PLAN")
	return number(version, text, "version V")
}

func number(what *regexp.Regexp, text, name string) string {
	var seen []string
	return what.ReplaceAllStringFunc(text, func(found string) string {
		i := slices.Index(seen, found)
		if i < 0 {
			seen = append(seen, found)
			i = len(seen) - 1
		}
		return fmt.Sprint(name, i+1)
	})
}

const intentV2 = `{"models": [{"name": "guidebot", "version": "v2", "replicas": 6, "floor": 4, "weight_gb": 40}]}`

// A whole operator's day against instances and stand-ins: look, plan a new version, confirm, watch it
// being worked off, race another operator, take a failure domain out and bring it back, stop a plan.
func TestOperatorSession(t *testing.T) {
	is := is.New(t)
	s := startSession(t)
	s.file("intent.json", intentV2)
	s.file("bad.json", `{"models": [{"name": "guidebot", "version": "v2", "replicas": 2, "floor": 3}]}`)

	s.await("on 3 of 3 instances")
	is.Equal(s.do("status"), exitDone)
	is.Equal(s.do("plan -f DIR/bad.json"), exitUsage)
	is.Equal(s.do("plan -f DIR/intent.json"), exitDone)
	is.Equal(s.do("drain mid-ice"), exitDone) // another operator, from the same version
	is.Equal(s.do("confirm -wait 30s PLAN2"), exitDone)
	is.Equal(s.do("confirm PLAN3"), exitConflict)
	s.await("progress       6 of 6 steps")
	is.Equal(s.do("status"), exitDone)
	is.Equal(s.do("drain nowhere"), exitFailed)
	is.Equal(s.do("drain mid-ice"), exitDone)
	is.Equal(s.do("confirm -wait 30s PLAN4"), exitDone)
	is.Equal(s.do("status"), exitDone)
	is.Equal(s.do("drain north-ice"), exitFailed) // would leave fewer engines than the floor
	is.Equal(s.do("drain -force north-ice"), exitDone)
	is.Equal(s.do("restore mid-ice"), exitDone)
	is.Equal(s.do("confirm -wait 30s PLAN6"), exitDone)
	is.Equal(s.do("stop PLAN6"), exitDone)
	is.Equal(s.do("confirm PLAN5"), exitConflict)
	is.Equal(s.do("explain no-such-request"), exitFailed)

	got := s.canonical()
	if *update {
		is.NoErr(os.MkdirAll("testdata", 0o755))
		is.NoErr(os.WriteFile(goldenSession, []byte(got), 0o644))
	}
	want, err := os.ReadFile(goldenSession)
	is.NoErr(err)
	if got != string(want) {
		t.Fatalf("the session differs from %s:\n%s", goldenSession, got)
	}
	client := upstream.New()
	defer client.Close()
	for _, e := range s.fleet.Cluster.Engines {
		state, err := client.State(context.Background(), e.Addr())
		is.NoErr(err)
		is.Equal(state.Loaded[0].Version, "v2")
	}
	is.Equal(s.fleet.Cluster.Weights.Counts().TakenGB, 240.0) // six loads of 40 GB, none twice

	// One of the instances gave the engine its orders, and tells why.
	var explained strings.Builder
	for _, n := range s.fleet.Nodes {
		out, _ := command(t, "explain", "-addr", n.OperatorsAddr(), "engine-mid-ice-0")
		explained.WriteString(out)
	}
	is.True(strings.Contains(explained.String(), "place reason=next_step"))
	is.True(strings.Contains(explained.String(), "place reason=matches_plan"))
}

// An operator waits for a version with -wait: each look opened a connection and left it open, and after 64
// of them the instance refused the operators' calls.
func TestLooksLeaveNoConnectionOpen(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("{}") }, Concurrency: 2}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Shutdown() }()
	for range 10 {
		_, status := command(t, "status", "-addr", l.Addr().String())
		is.Equal(status, exitDone)
		for deadline := time.Now().Add(hangGuard / 10); server.GetOpenConnectionsCount() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal("the connection stays open")
			}
		}
	}
}

// Nobody answers: the outcome is not known, and words and exit status say so.
func TestNobodyAnswers(t *testing.T) {
	is := is.New(t)
	out, status := command(t, "status", "-addr", "127.0.0.1:1")
	is.Equal(status, exitUnreachable)
	is.True(strings.Contains(out, "the outcome is unknown"))
}

// The token goes out as a bearer, and a refusal shows kind, run and when to come back.
func TestTokenAndRefusal(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	bearer := make(chan string, 1)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		bearer <- string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, "5")
		ctx.SetBodyString(`{"error":"store_unavailable","run":"unknown","detail":"no answer"}`)
	}}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Shutdown() }()
	file := filepath.Join(t.TempDir(), "token")
	is.NoErr(os.WriteFile(file, []byte("ice\n"), 0o600))
	out, status := command(t, "confirm", "-addr", l.Addr().String(), "-token-file", file, "p1")
	is.Equal(<-bearer, "Bearer ice")
	is.Equal(status, exitUnreachable) // it may have been accepted
	is.Equal(out, "store_unavailable (run: unknown): no answer; come back after 5 s\n")
}
