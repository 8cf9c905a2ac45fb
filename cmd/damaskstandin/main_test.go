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

func small() options {
	return options{
		control: "127.0.0.1:0", stdin: true,
		cluster: cluster.Config{Domains: []string{"a", "b"}, EnginesPerDomain: 1, Models: []string{"guide"}, Service: "bookdesk"},
	}
}

// serve runs the command in the background; it gives its addresses and where its end shows.
func serve(t *testing.T, ctx context.Context, o options, stdin io.Reader) (cluster.Addrs, <-chan error) {
	t.Helper()
	stdout, out := io.Pipe()
	ended := make(chan error, 1)
	go func() { ended <- run(ctx, o, stdin, out) }()
	var addrs cluster.Addrs
	is.New(t).NoErr(json.NewDecoder(stdout).Decode(&addrs))
	return addrs, ended
}

// A test dies without ending its stand-ins: their standard input closes, and they end by themselves.
func TestEndsWithItsStandardInput(t *testing.T) {
	is := is.New(t)
	stdin, test := io.Pipe()
	addrs, ended := serve(t, context.Background(), small(), stdin)
	is.Equal(len(addrs.Engines), 2)
	is.Equal(len(addrs.Services), cluster.DefaultServices)
	counters := rawhttp.Call{Method: fasthttp.MethodGet, Path: cluster.PathCounters}
	is.Equal(counters.Do(addrs.Control).Status, fasthttp.StatusOK)
	is.NoErr(test.Close())
	is.NoErr(<-ended)
	for _, addr := range []string{addrs.Control, addrs.Objects, addrs.Instances, addrs.Weights, addrs.Engines["engine-a-0"]} {
		is.True(!counters.Do(addr).Connected)
	}
}

func TestEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	stdin, test := io.Pipe()
	defer test.Close()
	o := small()
	o.stdin = false
	_, ended := serve(t, ctx, o, stdin)
	cancel()
	is.NoErr(<-ended)
}

func TestConfigFile(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "cluster.json")
	is.NoErr(os.WriteFile(path, []byte(`{"engines_per_domain": 3, "engine": {"Memory": 5000}}`), 0o600))
	o := small()
	is.NoErr(readConfig(path, &o.cluster))
	is.Equal(o.cluster.EnginesPerDomain, 3)
	is.Equal(o.cluster.Engine.KVCacheTokens, int64(5000))
	is.Equal(o.cluster.Domains, []string{"a", "b"}) // from the flags
	is.True(errors.Is(readConfig(path+"x", &o.cluster), os.ErrNotExist))
}
