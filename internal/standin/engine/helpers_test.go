package engine_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"github.com/damaskshelf/damaskshelf/internal/standin/engine"
	"github.com/damaskshelf/damaskshelf/internal/standin/rawhttp"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

const (
	model = "guide"
	fast  = 50               // engine seconds in a second
	guard = 20 * time.Second // of waits in tests
)

// start boots a warm engine that runs fast, with the model loaded, unless cfg says otherwise.
func start(t *testing.T, cfg engine.Config) *engine.Engine {
	t.Helper()
	if cfg.TimeScale == 0 {
		cfg.TimeScale = fast
	}
	if cfg.Models == nil {
		cfg.Models = []wire.LoadedModel{{Model: model, Version: "v1"}}
	}
	e, err := engine.Start("127.0.0.1:0", cfg)
	is.New(t).NoErr(err)
	t.Cleanup(e.Close)
	return e
}

// prompt is a text of so many tokens.
func prompt(tokens int) string { return strings.Repeat("abc ", tokens) }

func streamed(id string, promptTokens, answerTokens int) rawhttp.Call {
	return rawhttp.Completion(id, wire.CompletionRequest{Model: model, Prompt: prompt(promptTokens), MaxTokens: answerTokens, Stream: true})
}

// begin makes the call in the background and waits for its first part.
func begin(t *testing.T, e *engine.Engine, c rawhttp.Call) <-chan *rawhttp.Result {
	t.Helper()
	first := make(chan struct{}, 1)
	c.OnPart = func(wire.Part) bool {
		select {
		case first <- struct{}{}:
		default:
		}
		return true
	}
	done := make(chan *rawhttp.Result, 1)
	go func() { done <- c.Do(e.Addr()) }()
	select {
	case <-first:
	case <-time.After(guard):
		t.Fatal("no first part")
	}
	return done
}

func post(path string, body any) rawhttp.Call {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // wire messages encode
	}
	return rawhttp.Call{Path: path, Body: data}
}

func get(path string) rawhttp.Call { return rawhttp.Call{Method: fasthttp.MethodGet, Path: path} }

// ask makes the call and decodes its answer.
func ask[T any](t *testing.T, e *engine.Engine, c rawhttp.Call) T {
	t.Helper()
	is := is.New(t)
	r := c.Do(e.Addr())
	is.NoErr(r.Err)
	is.True(r.Status < 300)
	var v T
	is.NoErr(json.Unmarshal(r.Body, &v))
	return v
}

// eventually waits until the condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(guard); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never happened: %s", what)
		}
	}
}

// nothingHeld tells whether the engine has no work and no memory in use.
func nothingHeld(e *engine.Engine) func() bool {
	return func() bool {
		c := e.Counters()
		return c.InFlight == 0 && c.HeldTokens == 0
	}
}
