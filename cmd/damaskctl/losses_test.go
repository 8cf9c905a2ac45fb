package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/losses"
)

const (
	lossesLog    = "testdata/losses.log"
	goldenLosses = "testdata/losses.golden"
)

func runLosses(t *testing.T, in string, args ...string) (subcommands.ExitStatus, string, string) {
	t.Helper()
	verb := &lossesVerb{}
	f := flag.NewFlagSet(verb.Name(), flag.ContinueOnError)
	verb.SetFlags(f)
	if err := f.Parse(args); err != nil {
		t.Fatal(err)
	}
	var out, errs bytes.Buffer
	status := verb.Execute(context.Background(), f, environment{in: strings.NewReader(in), out: &out, err: &errs})
	return status, out.String(), errs.String()
}

// An operator asks from logs alone where service was lost.
func TestLossesAreToldByCauseAndTime(t *testing.T) {
	is := is.New(t)
	code, out, errs := runLosses(t, "", "-log", lossesLog)
	is.Equal(code, exitDone)
	is.True(strings.Contains(errs, "passed over 1 lines"))
	if *update {
		is.NoErr(os.WriteFile(goldenLosses, []byte(out), 0o644))
	}
	want, err := os.ReadFile(goldenLosses)
	is.NoErr(err)
	is.Equal(out, string(want))
}

// The same from standard input as JSON, and drawn.
func TestLossesAsJSONAndDrawn(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile(lossesLog)
	is.NoErr(err)
	drawing := filepath.Join(t.TempDir(), "losses.svg")
	code, out, _ := runLosses(t, string(raw), "-log", "-", "-o", "json", "-plot", drawing)
	is.Equal(code, exitDone)
	var r losses.Report
	is.NoErr(json.Unmarshal([]byte(out), &r))
	is.Equal(r.NotOwed, 1)
	svg, err := os.ReadFile(drawing)
	is.NoErr(err)
	is.True(bytes.Contains(svg, []byte("refused_no_slack")))
}

// The stages of the same requests, as a table and drawn.
func TestStagesAreToldAndDrawn(t *testing.T) {
	is := is.New(t)
	drawing := filepath.Join(t.TempDir(), "stages.svg")
	code, out, errs := runLosses(t, "", "-log", lossesLog, "-stages", "-plot", drawing)
	is.Equal(code, exitDone)
	is.True(strings.Contains(errs, "not counted: line "))
	is.True(strings.Contains(out, "short  place"))
	svg, err := os.ReadFile(drawing)
	is.NoErr(err)
	is.True(bytes.Contains(svg, []byte("short rest")))
}

// A bad flag is named with its value, and nothing is printed as if it were an account.
func TestLossesNameABadFlag(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		args []string
		word string
		code subcommands.ExitStatus
	}{
		{nil, "-log is missing", exitUsage},
		{[]string{"-log", "-", "-o", "xml"}, "-o xml", exitUsage},
		{[]string{"-log", "-", "-every", "0s"}, "-every 0s", exitUsage},
		{[]string{"-log", "-", "more"}, "1 arguments", exitUsage},
		{[]string{"-log", "nowhere.log"}, "nowhere.log", exitFailed},
		{[]string{"-log", "-", "-plot", "x.svg"}, "-plot x.svg: logs hold no answered request", exitFailed},
	} {
		code, out, errs := runLosses(t, "", c.args...)
		is.Equal(code, c.code)
		is.True(strings.Contains(errs, c.word))
		is.Equal(out, "")
	}
}
