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
	model         = "guide"
	fastTimeScale = 50               // TimeScale of most engines
	waitTimeout   = 20 * time.Second // limit of each wait
)

// startEngine starts an engine that is warm, runs at fastTimeScale and has the model loaded, unless cfg has other values.
// The engine is closed at the end of the test.
func startEngine(t *testing.T, cfg engine.Config) *engine.Engine {
	t.Helper()
	if cfg.TimeScale == 0 {
		cfg.TimeScale = fastTimeScale
	}
	if cfg.Models == nil {
		cfg.Models = []wire.LoadedModel{{Model: model, Version: "v1"}}
	}
	e, err := engine.Start("127.0.0.1:0", cfg)
	is.New(t).NoErr(err)
	t.Cleanup(e.Close)
	return e
}

// prompt returns a text of the given number of tokens.
func prompt(tokens int) string { return strings.Repeat("abc ", tokens) }

// streamCall returns the call for a streamed answer.
func streamCall(id string, promptTokens, answerTokens int) rawhttp.Call {
	return rawhttp.Completion(id, wire.Completion{Model: model, Prompt: prompt(promptTokens), MaxTokens: answerTokens, Stream: true})
}

// startCall makes the call in the background and waits for the first part of its answer. The channel receives the result.
func startCall(t *testing.T, e *engine.Engine, c rawhttp.Call) <-chan *rawhttp.Result {
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
	case <-time.After(waitTimeout):
		t.Fatal("the first part did not arrive in time")
	}
	return done
}

func post(path string, body any) rawhttp.Call {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // wire messages can always be encoded
	}
	return rawhttp.Call{Path: path, Body: data}
}

func get(path string) rawhttp.Call { return rawhttp.Call{Method: fasthttp.MethodGet, Path: path} }

// fetch makes the call and decodes its answer.
func fetch[T any](t *testing.T, e *engine.Engine, c rawhttp.Call) T {
	t.Helper()
	is := is.New(t)
	r := c.Do(e.Addr())
	is.NoErr(r.Err)
	is.True(r.Status < 300)
	var v T
	is.NoErr(json.Unmarshal(r.Body, &v))
	return v
}

// waitFor waits until the condition holds. what names the condition in the message of the failure.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// isIdle returns a condition that holds if the engine has no jobs and no memory in use.
func isIdle(e *engine.Engine) func() bool {
	return func() bool {
		c := e.Counters()
		return c.InFlight == 0 && c.HeldTokens == 0
	}
}
