package explain_test

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/explain"
)

// The input holds the mixed logs of several instances. RequestLines returns the lines of one request in order, with the
// state changes that its instance logged around it, and no lines of other requests.
func TestRequestLinesOfFailedRequests(t *testing.T) {
	for name, id := range map[string]string{
		"lost_with_its_upstream": "335dda003c6e423d",
		"refused_under_load":     "e9066ddce3e388ea",
		"turned_away_by_key":     "f2451a8ba19c5012",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			file, err := os.Open("testdata/instances.log")
			is.NoErr(err)
			defer func() { _ = file.Close() }()
			all, _, err := explain.ReadLines(file)
			is.NoErr(err)
			var got strings.Builder
			for _, l := range explain.RequestLines(all, id) {
				got.WriteString(l.String() + "\n")
			}
			want, err := os.ReadFile("testdata/" + name + ".golden")
			is.NoErr(err)
			is.Equal(got.String(), string(want))
		})
	}
}

// RequestLines doesn't return the lines of a longer id that begins with the given one, and ReadLines skips text that is
// not a log line.
func TestOnlyWholeIDsMatch(t *testing.T) {
	is := is.New(t)
	all, _, err := explain.ReadLines(strings.NewReader(
		"junk\n2026-04-11T09:40:38.269Z [INFO]  damaskshelfd.e.decision: answer: subject=abc1 reason=served\n"))
	is.NoErr(err)
	is.Equal(len(all), 1)
	is.Equal(len(explain.RequestLines(all, "abc")), 0)
	is.Equal(len(explain.RequestLines(all, "abc1")), 1)
}

// Guards against fields that are taken for whole although their instance was killed while it wrote the line: the line ends
// early, and the next start writes on behind it.
func TestTornLinesAreSkipped(t *testing.T) {
	is := is.New(t)
	const line = "2026-04-11T09:40:38.269Z [INFO]  damaskshelfd.e.decision: answer: subject=abc1 reason=served took_ms=1200"
	const started = "2026-04-11T09:40:39.000Z [INFO]  damaskshelfd.e: started: instance=e"
	for n := range len(line) {
		all, skipped, err := explain.ReadLines(strings.NewReader(line[:n]))
		is.NoErr(err)
		is.Equal(len(all), 0)
		is.Equal(skipped, min(n, 1))
		all, _, err = explain.ReadLines(strings.NewReader(line[:n] + started + "\n"))
		is.NoErr(err)
		is.Equal(len(all), 1)
		is.Equal(all[0].Text, "started: instance=e")
	}
	all, skipped, err := explain.ReadLines(strings.NewReader(line + "\n"))
	is.NoErr(err)
	is.Equal(len(all), 1)
	is.Equal(skipped, 0)
}
