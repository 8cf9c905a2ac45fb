package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const example = "../../examples/coteau-entry-1.json"

// If a setting is invalid, the daemon reports the field, its value and the allowed values, and exits with status 2
// before it binds an address.
func TestInvalidSettingsExitWithUsageStatus(t *testing.T) {
	good, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct{ name, old, new, want string }{
		{"unknown field", `"region"`, `"reggion"`, "reggion"},
		{"wrong type", `"queue_length": 512`, `"queue_length": "512"`, "limits.queue_length"},
		{"out of range", `"queue_length": 512`, `"queue_length": -5`, "limits.queue_length: -5 is not allowed; allowed: 1 to"},
		{"no address", `"127.0.0.1:8080"`, `"everywhere"`, `listen.callers: "everywhere" is not allowed`},
		{"broken JSON", `"region"`, `region`, "line 3"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "settings.json")
			bad := strings.Replace(string(good), c.old, c.new, 1)
			is.True(bad != string(good))
			is.NoErr(os.WriteFile(path, []byte(bad), 0o600))
			var out, errOut bytes.Buffer
			is.Equal(run([]string{"-settings", path}, &out, &errOut), exitUsage)
			is.True(strings.Contains(errOut.String(), c.want))
		})
	}
}

func TestCheckFlagValidatesAndExits(t *testing.T) {
	is := is.New(t)
	var out, errOut bytes.Buffer
	is.Equal(run([]string{"-check", "-settings", example}, &out, &errOut), exitDone)
	is.Equal(out.String(), "settings are good\n")
	is.Equal(run(nil, &out, &errOut), exitUsage)
	is.Equal(run([]string{"-settings", "missing.json"}, &out, &errOut), exitUsage)
	is.True(strings.Contains(errOut.String(), "missing.json"))
}
