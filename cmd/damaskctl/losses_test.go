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

// runLosses runs the command with the arguments and in as standard input. It returns the exit status and what the
// command wrote to standard output and to standard error.
func runLosses(t *testing.T, in string, args ...string) (subcommands.ExitStatus, string, string) {
	t.Helper()
	cmd := &lossesCommand{}
	f := flag.NewFlagSet(cmd.Name(), flag.ContinueOnError)
	cmd.SetFlags(f)
	if err := f.Parse(args); err != nil {
		t.Fatal(err)
	}
	var out, errs bytes.Buffer
	status := cmd.Execute(context.Background(), f, environment{in: strings.NewReader(in), out: &out, err: &errs})
	return status, out.String(), errs.String()
}

// The command derives the lost requests, their causes and their time windows from logs alone.
func TestLossesByCauseAndTime(t *testing.T) {
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

// The command reads logs from standard input, prints JSON and draws the plot.
func TestLossesAsJSONAndPlot(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile(lossesLog)
	is.NoErr(err)
	plot := filepath.Join(t.TempDir(), "losses.svg")
	code, out, _ := runLosses(t, string(raw), "-log", "-", "-o", "json", "-plot", plot)
	is.Equal(code, exitDone)
	var r losses.Report
	is.NoErr(json.Unmarshal([]byte(out), &r))
	is.Equal(r.CallerFaults, 1)
	svg, err := os.ReadFile(plot)
	is.NoErr(err)
	is.True(bytes.Contains(svg, []byte("refused_no_slack")))
}

// With -stages the command prints a table of the stages and draws their plot.
func TestStagesAsTableAndPlot(t *testing.T) {
	is := is.New(t)
	plot := filepath.Join(t.TempDir(), "stages.svg")
	code, out, errs := runLosses(t, "", "-log", lossesLog, "-stages", "-plot", plot)
	is.Equal(code, exitDone)
	is.True(strings.Contains(errs, "not counted: line "))
	is.True(strings.Contains(out, "short  place"))
	svg, err := os.ReadFile(plot)
	is.NoErr(err)
	is.True(bytes.Contains(svg, []byte("short rest")))
}

// An invalid flag is reported with its value, and nothing is printed to standard output.
func TestLossesErrorNamesInvalidFlag(t *testing.T) {
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
