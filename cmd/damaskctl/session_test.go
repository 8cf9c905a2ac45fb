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

var update = flag.Bool("update", false, "rewrite the golden files")

const goldenSession = "testdata/session.golden"

// testTimeout limits waits that normally end within seconds.
const testTimeout = 60 * time.Second

// session runs an operator's commands against a fleet and records them with their output.
type session struct {
	t          *testing.T
	fleet      *local.Fleet
	dir        string
	transcript bytes.Buffer
	planIDs    []string // in the order in which they were first printed
}

// startSession starts a fleet of three instances and six engines, and returns a session with it.
func startSession(t *testing.T) *session {
	t.Helper()
	f, err := local.Start(local.Config{
		Instances: 3,
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

// writeFile writes a file that commands refer to as DIR/name.
func (s *session) writeFile(name, text string) {
	if err := os.WriteFile(filepath.Join(s.dir, name), []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// run runs one command line against the first instance. It returns the output and the exit status.
func (s *session) run(line string) (string, subcommands.ExitStatus) {
	args := strings.Fields(strings.ReplaceAll(line, "DIR", s.dir))
	return runCommand(s.t, slices.Concat(args[:1], []string{"-addr", s.fleet.Nodes[0].OperatorsAddr()}, args[1:])...)
}

// runCommand runs damaskctl with the arguments as main does. It returns the output and the exit status.
func runCommand(t *testing.T, args ...string) (string, subcommands.ExitStatus) {
	set := flag.NewFlagSet("damaskctl", flag.ContinueOnError)
	commander := subcommands.NewCommander(set, "damaskctl")
	for _, c := range commands() {
		commander.Register(c, "")
	}
	if err := set.Parse(args); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	status := commander.Execute(context.Background(), environment{out: &out, err: &out})
	return out.String(), status
}

// do runs a command, and records it with its output and exit status. PLAN1 in the line stands for the id of
// the plan that was printed first, and so on.
func (s *session) do(line string) subcommands.ExitStatus {
	for i, id := range s.planIDs {
		line = strings.ReplaceAll(line, fmt.Sprintf("PLAN%d", i+1), id)
	}
	out, status := s.run(line)
	fmt.Fprintf(&s.transcript, "$ damaskctl %s\n%s(exit status %d)\n\n", line, out, status)
	for _, m := range planID.FindAllString(out, -1) {
		if !slices.Contains(s.planIDs, m) {
			s.planIDs = append(s.planIDs, m)
		}
	}
	return status
}

// awaitStatus waits until the output of the status command contains the text. It records nothing.
func (s *session) awaitStatus(text string) {
	s.t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(20 * time.Millisecond) {
		out, _ := s.run("status")
		if strings.Contains(out, text) {
			return
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("the status never contained %q:\n%s", text, out)
		}
	}
}

var (
	planID        = regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`)
	version       = regexp.MustCompile(`version \d+`)
	partlyInForce = regexp.MustCompile(`(?m)^in force on [0-2] of 3 instances\n`)
)

// canonical returns the transcript with plans and configuration versions numbered in the order in which they appear,
// and without the lines printed while a confirmed version is not yet in force on all instances.
func (s *session) canonical() string {
	text := strings.ReplaceAll(s.transcript.String(), s.dir, "DIR")
	text = partlyInForce.ReplaceAllString(text, "")
	text = numberMatches(planID, text, "PLAN")
	return numberMatches(version, text, "version V")
}

// numberMatches replaces each distinct match of the pattern by name and a number, counted from 1 by first appearance.
func numberMatches(pattern *regexp.Regexp, text, name string) string {
	var seen []string
	return pattern.ReplaceAllStringFunc(text, func(found string) string {
		i := slices.Index(seen, found)
		if i < 0 {
			seen = append(seen, found)
			i = len(seen) - 1
		}
		return fmt.Sprint(name, i+1)
	})
}

const intentV2 = `{"models": [{"name": "guidebot", "version": "v2", "replicas": 6, "floor": 4, "weight_gb": 40}]}`

// Runs all of an operator's tasks against instances and stand-ins: read the status, plan a new version, confirm it, wait
// for its execution, conflict with another operator, take a failure domain out and bring it back, stop a plan.
func TestOperatorSession(t *testing.T) {
	is := is.New(t)
	s := startSession(t)
	s.writeFile("intent.json", intentV2)
	s.writeFile("bad.json", `{"models": [{"name": "guidebot", "version": "v2", "replicas": 2, "floor": 3}]}`)

	s.awaitStatus("on 3 of 3 instances")
	is.Equal(s.do("status"), exitDone)
	is.Equal(s.do("plan -f DIR/bad.json"), exitUsage)
	is.Equal(s.do("plan -f DIR/intent.json"), exitDone)
	is.Equal(s.do("drain mid-ice"), exitDone) // another operator, from the same version
	is.Equal(s.do("confirm -wait 30s PLAN2"), exitDone)
	is.Equal(s.do("confirm PLAN3"), exitConflict)
	s.awaitStatus("progress       6 of 6 steps")
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

	// One of the instances sent the engine its orders, and keeps the reasons.
	var explained strings.Builder
	for _, n := range s.fleet.Nodes {
		out, _ := runCommand(t, "explain", "-addr", n.OperatorsAddr(), "engine-mid-ice-0")
		explained.WriteString(out)
	}
	is.True(strings.Contains(explained.String(), "place reason=next_step"))
	is.True(strings.Contains(explained.String(), "place reason=matches_plan"))
}

// Guards against a connection leak in confirm -wait. If each status poll leaves its connection open, the instance
// refuses the operators' calls after 64 polls.
func TestCallsCloseTheirConnections(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("{}") }, Concurrency: 2}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Shutdown() }()
	for range 10 {
		_, status := runCommand(t, "status", "-addr", l.Addr().String())
		is.Equal(status, exitDone)
		for deadline := time.Now().Add(testTimeout / 10); server.GetOpenConnectionsCount() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal("the connection is still open")
			}
		}
	}
}

// If no instance answers, the message and the exit status say that the outcome is unknown.
func TestUnreachableInstanceIsReported(t *testing.T) {
	is := is.New(t)
	out, status := runCommand(t, "status", "-addr", "127.0.0.1:1")
	is.Equal(status, exitUnreachable)
	is.True(strings.Contains(out, "the outcome is unknown"))
}

// Guards against a command that reports success after an answer without a status, which the HTTP library takes for 200.
func TestAnswerWithoutStatusIsNoSuccess(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = c.Read(make([]byte, 4096))
		_, _ = c.Write([]byte("HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}"))
	}()
	out, status := runCommand(t, "status", "-addr", l.Addr().String())
	is.Equal(status, exitUnreachable)
	is.True(strings.Contains(out, "malformed response"))
}

// The token is sent as a bearer token. An error response is printed with its kind, whether the request ran, and the
// delay before a retry.
func TestTokenIsSentAndErrorResponseIsPrinted(t *testing.T) {
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
	out, status := runCommand(t, "confirm", "-addr", l.Addr().String(), "-token-file", file, "p1")
	is.Equal(<-bearer, "Bearer ice")
	is.Equal(status, exitUnreachable) // it may have been accepted
	is.Equal(out, "store_unavailable (run: unknown): no answer; come back after 5 s\n")
}
