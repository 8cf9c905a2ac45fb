package api_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/api"
)

const good = `{"instance":"e1","region":"r","failure_domain":"d",
"listen":{"callers":"127.0.0.1:1","operators":"127.0.0.1:2","peers":"127.0.0.1:3"},
"platform":{"objects":"127.0.0.1:4","instances":"127.0.0.1:5","weights":"127.0.0.1:6"}EXTRA}`

func with(extra string) []byte { return []byte(strings.Replace(good, "EXTRA", extra, 1)) }

// Every bad value is refused with the path of its field and what is allowed.
func TestBadSettingsNameFieldAndRule(t *testing.T) {
	cases := []struct{ name, extra, path, allowed string }{
		{"unknown field", `,"colour":"red"`, "colour", "documented"},
		{"wrong type", `,"limits":{"queue_length":"many"}`, "limits.queue_length", "int"},
		{"out of range", `,"limits":{"queue_length":-1}`, "limits.queue_length", "1 to"},
		{"profile", `,"profile":"fast"`, "profile", "short_first or long_first"},
		{"log level", `,"log_level":"loud"`, "log_level", "debug"},
		{"bad default", `,"limits":{"default_timeout":"1h","max_timeout":"1m"}`, "limits.max_timeout", "1h0m0s"},
		{"interval", `,"intervals":{"heartbeat":"1us"}`, "intervals.heartbeat", "5ms"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := api.ParseSettings(with(c.extra))
			var field *api.FieldError
			is.True(errors.As(err, &field))
			is.Equal(field.Path, c.path)
			is.True(strings.Contains(field.Allowed, c.allowed))
		})
	}
}

func TestBadDurationsAndTrailingTextAreRefused(t *testing.T) {
	is := is.New(t)
	_, err := api.ParseSettings(with(`,"intervals":{"heartbeat":5}`))
	is.True(err != nil && strings.Contains(err.Error(), "1500ms"))
	_, err = api.ParseSettings(append(with(""), "{}"...))
	is.True(err != nil && strings.Contains(err.Error(), "after the JSON value"))
	_, err = api.ParseSettings([]byte(`{"instance": "e1"`))
	is.True(err != nil && strings.Contains(err.Error(), "ends early"))
}

// Without a token whoever reaches the operators' listener could drain a failure domain: it must be loopback.
func TestOperatorsWithoutTokenOnlyOnLoopback(t *testing.T) {
	is := is.New(t)
	open := strings.Replace(string(with("")), `"operators":"127.0.0.1:2"`, `"operators":"10.0.0.1:2"`, 1)
	_, err := api.ParseSettings([]byte(open))
	is.True(err != nil && strings.Contains(err.Error(), "operator_token"))
	_, err = api.ParseSettings([]byte(strings.Replace(open, `"region"`, `"operator_token":"secret-of-operators","region"`, 1)))
	is.NoErr(err)
}

func TestExamplesAreGood(t *testing.T) {
	is := is.New(t)
	paths, err := filepath.Glob("../examples/*-entry-*.json")
	is.NoErr(err)
	is.Equal(len(paths), 4)
	for _, p := range paths {
		s, err := api.LoadSettings(p)
		is.NoErr(err)
		is.Equal(s.Instance+".json", filepath.Base(p))
	}
	_, err = api.LoadSettings("missing.json")
	is.True(errors.Is(err, os.ErrNotExist))
}
