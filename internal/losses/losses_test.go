package losses_test

import (
	"bytes"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/explain"
	"github.com/damaskshelf/damaskshelf/internal/losses"
)

const windowLength = 2 * time.Second

// summarize returns the report of the raw logs and the number of lines that are not log lines of an instance.
func summarize(t *testing.T, raw []byte) (*losses.Report, int) {
	t.Helper()
	lines, skipped, err := explain.ReadLines(bytes.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	return losses.Summarize(lines, windowLength), skipped
}

// readTestLog returns the logs in testdata, which contain an example of each outcome.
func readTestLog(t *testing.T) []byte {
	t.Helper()
	raw, err := os.ReadFile("testdata/instances.log")
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// Each request counts once, under one cause, in the window in which it arrived. Requests whose caller is at fault and
// requests still in flight don't count.
func TestEachRequestCountsOnceUnderItsCause(t *testing.T) {
	is := is.New(t)
	r, skipped := summarize(t, readTestLog(t))
	is.Equal(skipped, 1)
	is.Equal(r.CallerFaults, 1)
	is.Equal(r.Unfinished, 1)
	is.Equal(r.UnusableAnswers, 1) // the truncated line
	lost := map[losses.Cause]int{}
	requests, inTime := 0, 0
	for _, c := range r.Classes {
		requests += c.Requests
		inTime += c.InTime
		for cause, n := range c.Lost {
			lost[cause] += n
		}
	}
	is.Equal(inTime, 2)
	is.Equal(lost, map[losses.Cause]int{
		losses.LateQueued: 1, losses.LateFirstEvent: 1, losses.LateNextEvent: 1, losses.LateResume: 1, losses.RefusedNoSlack: 1,
		losses.RefusedTooLate: 1, losses.RefusedNoUpstream: 1, losses.RefusedStopping: 1, losses.DeadlineExceeded: 1,
		losses.UpstreamFailed: 2, losses.StreamCut: 1, losses.CallerGone: 1, losses.InstanceEnded: 1,
	})
	is.Equal(requests, inTime+14)
	windows := 0
	for _, w := range r.Windows {
		windows += w.RequestCount()
	}
	is.Equal(windows, requests)
}

// Logs may be truncated anywhere and contain corrupted bytes. The summary must still complete, and must not count more
// lines than the complete logs have.
func TestTruncatedAndCorruptedLogs(t *testing.T) {
	is := is.New(t)
	raw := readTestLog(t)
	whole, _ := summarize(t, raw)
	r := rand.New(rand.NewPCG(1, 1))
	for range 300 {
		from := r.IntN(len(raw))
		part := bytes.Clone(raw[from : from+r.IntN(len(raw)-from)])
		for range r.IntN(4) {
			if len(part) > 0 {
				part[r.IntN(len(part))] = byte(r.IntN(256))
			}
		}
		got, _ := summarize(t, part)
		is.True(got.Lines <= whole.Lines)
		for _, c := range got.Classes {
			is.True(c.InTime <= c.Requests)
		}
	}
}

// The stage times contain the answered requests of each class, and no refused request and no unusable line.
func TestStagesOfAnsweredRequests(t *testing.T) {
	is := is.New(t)
	raw := []byte(`2026-08-14T09:19:30.010Z [INFO]  damaskshelfd.i1.decision: dispatch: subject=a waited_ms=10 class=short
2026-08-14T09:19:30.300Z [INFO]  damaskshelfd.i1.decision: dispatch: subject=a waited_ms=300 class=short
2026-08-14T09:19:31.000Z [INFO]  damaskshelfd.i1.decision: answer: subject=a reason=served class=short took_ms=1000 first_ms=410
2026-08-14T09:19:31.000Z [INFO]  damaskshelfd.i1.decision: dispatch: subject=b waited_ms=3 class=idempotent
2026-08-14T09:19:31.070Z [INFO]  damaskshelfd.i1.decision: answer: subject=b reason=passed_on class=idempotent took_ms=73 status=200
2026-08-14T09:19:31.100Z [INFO]  damaskshelfd.i1.decision: answer: subject=c reason=refused fault=infeasible class=short took_ms=600
2026-08-14T09:19:31.200Z [INFO]  damaskshelfd.i1.decision: answer: subject=d reason=served class=short took_ms=12x first_ms=1
2026-08-14T09:19:31.200Z [INFO]  damaskshelfd.i1.decision: answer: subject=e reason=served class=short took_ms=12
`)
	r, _ := summarize(t, raw)
	got := map[string]int64{}
	for _, s := range r.Stages {
		is.Equal(s.Count, int64(1))
		got[s.Class+" "+string(s.Stage)] = s.P50
	}
	is.Equal(got, map[string]int64{"short place": 10, "short first": 400, "short rest": 590, "idempotent place": 3, "idempotent first": 70})
	is.Equal(r.Problems, []string{`line 7: took_ms="12x" is no number of ms`, "line 8: answer without first_ms"})
}
