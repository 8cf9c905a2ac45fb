package main

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"github.com/damaskshelf/damaskshelf/internal/standin/cluster"
	"github.com/damaskshelf/damaskshelf/internal/standin/rawhttp"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

// testOptions returns options for a cluster of two engines in two failure domains.
func testOptions() options {
	return options{
		controlAddr: "127.0.0.1:0", endWithStdin: true,
		cluster: cluster.Config{Domains: []string{"a", "b"}, EnginesPerDomain: 1, Models: []string{"guide"}, Service: "bookdesk"},
	}
}

// startCommand runs the command in the background. It returns the addresses of its listeners, and a channel that receives
// the result of run.
func startCommand(t *testing.T, ctx context.Context, o options, stdin io.Reader) (cluster.Addrs, <-chan error) {
	t.Helper()
	stdout, out := io.Pipe()
	result := make(chan error, 1)
	go func() { result <- run(ctx, o, stdin, out) }()
	var addrs cluster.Addrs
	is.New(t).NoErr(json.NewDecoder(stdout).Decode(&addrs))
	return addrs, result
}

// Guards against stand-ins that outlive a crashed test. When the test process ends, their standard input closes, and
// they must exit.
func TestExitsWhenStandardInputCloses(t *testing.T) {
	is := is.New(t)
	stdin, stdinWriter := io.Pipe()
	addrs, result := startCommand(t, context.Background(), testOptions(), stdin)
	is.Equal(len(addrs.Engines), 2)
	is.Equal(len(addrs.Services), cluster.DefaultServiceInstances)
	counters := rawhttp.Call{Method: fasthttp.MethodGet, Path: cluster.PathCounters}
	is.Equal(counters.Do(addrs.Control).Status, fasthttp.StatusOK)
	is.NoErr(stdinWriter.Close())
	is.NoErr(<-result)
	for _, addr := range []string{addrs.Control, addrs.Objects, addrs.Instances, addrs.Weights, addrs.Engines["engine-a-0"]} {
		is.True(!counters.Do(addr).Connected)
	}
}

func TestExitsWhenContextEnds(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	stdin, stdinWriter := io.Pipe()
	defer stdinWriter.Close()
	o := testOptions()
	o.endWithStdin = false
	_, result := startCommand(t, ctx, o, stdin)
	cancel()
	is.NoErr(<-result)
}

func TestConfigFileOverridesFlags(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "cluster.json")
	is.NoErr(os.WriteFile(path, []byte(`{"engines_per_domain": 3, "engine": {"Memory": 5000}}`), 0o600))
	o := testOptions()
	is.NoErr(readConfig(path, &o.cluster))
	is.Equal(o.cluster.EnginesPerDomain, 3)
	is.Equal(o.cluster.Engine.Memory, int64(5000))
	is.Equal(o.cluster.Domains, []string{"a", "b"}) // from the flags
	is.True(errors.Is(readConfig(path+"x", &o.cluster), os.ErrNotExist))
}
