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

func TestIntentErrorsNamePathValueAndAllowed(t *testing.T) {
	cases := []struct{ in, path, value, allowed string }{
		{`{"models":[{"name":"m","version":"1","replicas":1},{"name":"m","version":"2","replicas":1}]}`,
			"models[1].name", `"m"`, "entry 0"},
		{`{"models":[{"name":"m","version":"1","replicas":2,"floor":3}]}`, "models[0].floor", "3", "0 to replicas, which is 2"},
		{`{"models":[{"name":"m","version":"1","replicas":-1}]}`, "models[0].replicas", "-1", "0 to"},
		{`{"models":[{"name":"","version":"1","replicas":1}]}`, "models[0].name", `""`, "letters"},
		{`{"models":[{"name":"m","version":"a/b","replicas":1}]}`, "models[0].version", `"a/b"`, "letters"},
		{`{"models":[{"name":"m","version":"1","replicas":1,"weight_gb":-5}]}`, "models[0].weight_gb", "-5", "0 to"},
		{`{"models":[{"name":"m","version":"1","replicas":1,"memory_tokens":-5}]}`, "models[0].memory_tokens", "-5", "0 to"},
		{`{"models":[{"name":"m","version":"1","replicas":1,"adapters":["a","a"]}]}`, "models[0].adapters[1]", `"a"`, "entry 0"},
		{`{"models":[],"workspaces":[{"name":"w"},{"name":"w"}]}`, "workspaces[1].name", `"w"`, "entry 0"},
		{`{"models":[],"workspaces":[{"name":"w","weight":-0.5}]}`, "workspaces[0].weight", "-0.5", "0 to"},
		{`{"models":[],"workspaces":[{"name":"w","priority":11}]}`, "workspaces[0].priority", "11", "-10 to 10"},
		{`{"models":[],"workspaces":[{"name":"w","limit":-1}]}`, "workspaces[0].limit", "-1", "0 to"},
		{`{"models":[{"name":"m","version":"1","replicas":1,"flor":1}]}`, "flor", "unknown field", "documented"},
		{`{"models":[{"name":"m","version":"1","replicas":"3"}]}`, "models.replicas", "string", "type int"},
	}
	for _, c := range cases {
		is := is.New(t)
		_, err := api.ParseIntent([]byte(c.in))
		var field *api.FieldError
		is.True(errors.As(err, &field)) // the error names a field
		is.Equal(field.Path, c.path)
		is.True(strings.Contains(err.Error(), c.value))
		is.True(strings.Contains(field.Allowed, c.allowed))
	}
}

func TestUnknownFailureDomainIsRejected(t *testing.T) {
	is := is.New(t)
	in := api.Intent{Models: []api.Model{{Name: "m", Version: "1", Domains: []string{"a", "x"}}}}
	is.NoErr(in.ValidateDomains([]string{"a", "x"}))
	err := in.ValidateDomains([]string{"a", "b"})
	is.True(strings.HasPrefix(err.Error(), `models[0].failure_domains[1]: "x"`))
}

func TestExampleIntentsAreValid(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../examples/intent-*.json")
	is.NoErr(err)
	is.True(len(files) >= 2)
	for _, f := range files {
		data, err := os.ReadFile(f)
		is.NoErr(err)
		in, err := api.ParseIntent(data)
		is.NoErr(err)
		is.True(len(in.Models) > 0)
	}
}

func TestServedModelKeepsAtLeastOneReplica(t *testing.T) {
	is := is.New(t)
	is.Equal((&api.Model{Replicas: 3}).MinServing(), 1)
	is.Equal((&api.Model{Replicas: 3, Floor: 2}).MinServing(), 2)
	is.Equal((&api.Model{}).MinServing(), 0)
}
