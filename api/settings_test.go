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

// validSettings is a valid settings file; EXTRA marks the place for more fields.
const validSettings = `{"instance":"e1","region":"r","failure_domain":"d",
"listen":{"callers":"127.0.0.1:1","operators":"127.0.0.1:2","peers":"127.0.0.1:3"},
"platform":{"objects":"127.0.0.1:4","instances":"127.0.0.1:5","weights":"127.0.0.1:6"}EXTRA}`

// settingsWith returns validSettings with extra inserted.
func settingsWith(extra string) []byte {
	return []byte(strings.Replace(validSettings, "EXTRA", extra, 1))
}

// Each invalid value is rejected with an error that names the field's path and the allowed values.
func TestSettingsErrorsNameFieldAndAllowed(t *testing.T) {
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
			_, err := api.ParseSettings(settingsWith(c.extra))
			var field *api.FieldError
			is.True(errors.As(err, &field))
			is.Equal(field.Path, c.path)
			is.True(strings.Contains(field.Allowed, c.allowed))
		})
	}
}

func TestInvalidDurationsAndTrailingTextAreRejected(t *testing.T) {
	is := is.New(t)
	_, err := api.ParseSettings(settingsWith(`,"intervals":{"heartbeat":5}`))
	is.True(err != nil && strings.Contains(err.Error(), "1500ms"))
	_, err = api.ParseSettings(append(settingsWith(""), "{}"...))
	is.True(err != nil && strings.Contains(err.Error(), "after the JSON value"))
	_, err = api.ParseSettings([]byte(`{"instance": "e1"`))
	is.True(err != nil && strings.Contains(err.Error(), "ends early"))
}

// Without a token, any client that reaches the operators' listener could drain a failure domain. Settings without
// one are rejected unless the listener is on a loopback address.
func TestOperatorListenerWithoutTokenRequiresLoopback(t *testing.T) {
	is := is.New(t)
	nonLoopback := strings.Replace(string(settingsWith("")), `"operators":"127.0.0.1:2"`, `"operators":"10.0.0.1:2"`, 1)
	_, err := api.ParseSettings([]byte(nonLoopback))
	is.True(err != nil && strings.Contains(err.Error(), "operator_token"))
	_, err = api.ParseSettings([]byte(strings.Replace(nonLoopback, `"region"`, `"operator_token":"secret-of-operators","region"`, 1)))
	is.NoErr(err)
}

func TestExampleSettingsAreValid(t *testing.T) {
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
