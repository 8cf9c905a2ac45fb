package explain_test

import (
	"bytes"
	"fmt"
	"sync"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/explain"
)

// Each decision is logged as one line of key=value pairs, and ForSubject returns it afterwards, oldest first.
func TestDecisionsAreLoggedAndKept(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	r := explain.New(hclog.New(&hclog.LoggerOptions{Name: "e1", Output: &out, DisableTime: true}))
	r.Record("route", "p1", "least_loaded", "upstream", "engine-1", "attempt", 1)
	r.Record("route", "p2", "least_loaded", "upstream", "engine-2", "attempt", 1)
	r.Record("retry", "p1", "resume", "offset", 7)
	is.Equal(bytes.Count(out.Bytes(), []byte("\n")), 3)
	is.True(bytes.HasPrefix(out.Bytes(), []byte("[INFO]  e1.decision: route: subject=p1 reason=least_loaded upstream=engine-1 attempt=1\n")))
	decisions := r.ForSubject("p1")
	is.Equal(len(decisions), 2)
	is.Equal(decisions[0].Kind, "route")
	is.Equal(decisions[0].Fields(), "upstream=engine-1 attempt=1")
	is.Equal(decisions[1].Fields(), "offset=7")
	is.Equal(len(r.ForSubject("p3")), 0)
}

// Concurrent requests record more decisions than are kept: the oldest are overwritten, and the latest are intact.
func TestLatestDecisionsSurviveConcurrentRecording(t *testing.T) {
	is := is.New(t)
	r := explain.New(hclog.NewNullLogger())
	var wg sync.WaitGroup
	for w := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range 3000 {
				r.Record("route", fmt.Sprintf("w%d-%d", w, i), "reason", "n", i)
			}
		}()
	}
	wg.Wait()
	r.Record("route", "last", "reason", "n", -1)
	is.Equal(len(r.ForSubject("w0-0")), 0) // 24,001 decisions, the latest 8,192 kept
	is.Equal(r.ForSubject("last")[0].Fields(), "n=-1")
}
