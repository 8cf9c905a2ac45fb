// Package ci_test tests the scripts of the whole check.
package ci_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a check that fails for a listed case, or passes for a failure that nobody listed.
func TestKnownFailuresAlonePass(t *testing.T) {
	const (
		caseLine  = ": review/1: review/1/run.sh, no seed\n"
		testLine  = "TestRed: go test ./x, seed 1\n"
		testFails = "--- FAIL: TestRed (0.1s)\n    x_test.go:1: red\nFAIL\n"
	)
	rows := []struct {
		name, list string
		status     int
		log        string
		passes     bool
	}{
		{"nothing listed, green", "", 0, "ok\n", true},
		{"nothing listed, red", "", 1, testFails, false},
		{"case listed, green", caseLine, 0, "ok\n", true},
		{"case listed, red", caseLine, 1, testFails, false},
		{"test listed, red", testLine, 1, testFails, true},
		{"test listed, green", testLine, 0, "ok\n", false},
		{"case and test listed, red", caseLine + testLine, 1, testFails, true},
		{"case and test listed, green", caseLine + testLine, 0, "ok\n", false},
		{"case and test listed, another red", caseLine + testLine, 1, testFails + "--- FAIL: TestOther (0.1s)\n", false},
		{"test listed, red with a panic", testLine, 1, testFails + "panic: x\n", false},
		{"test listed, red with a race", testLine, 1, "WARNING: DATA RACE\n" + testFails, false},
		{"case listed, no build", caseLine, 1, "FAIL x [build failed]\n", false},
		{"case without a script", ": review/9: none\n", 0, "ok\n", false},
		{"four tests", testLine + "TestB: b\nTestC: c\nTestD: d\n", 1, testFails, false},
		{"four cases", strings.Repeat(caseLine, 4), 0, "ok\n", false},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			list, log := filepath.Join(dir, "KNOWN-RED.txt"), filepath.Join(dir, "log")
			script := filepath.Join(dir, "review", "1", "run.sh")
			is.NoErr(os.MkdirAll(filepath.Dir(script), 0o700))
			is.NoErr(os.WriteFile(script, nil, 0o700))
			is.NoErr(os.WriteFile(list, []byte(r.list), 0o600))
			is.NoErr(os.WriteFile(log, []byte(r.log), 0o600))
			out, err := exec.Command("bash", "../../.ci/known-red", list, strconv.Itoa(r.status), log).CombinedOutput()
			if (err == nil) != r.passes {
				t.Fatalf("passes: %v, want %v\n%s", err == nil, r.passes, out)
			}
		})
	}
}
