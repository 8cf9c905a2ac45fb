package node_test

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/caller"
	"github.com/damaskshelf/damaskshelf/internal/local"
	"github.com/damaskshelf/damaskshelf/internal/standin/engine"
)

// maintenanceTime is how long the domain stays drained after its engine was made cold. It is shorter than the interval
// of load reports, so that the last report before the domain is restored still shows the engine as warm.
const maintenanceTime = 10 * time.Millisecond

// load sends prompts to a fleet until it is stopped, and counts the results.
type load struct {
	stop     chan struct{}
	wg       sync.WaitGroup
	answers  atomic.Int64
	mu       sync.Mutex
	failures []string // guarded by mu: incomplete answers and refusals
}

// startLoad starts that many callers, each of which sends one prompt after another.
func startLoad(f *local.Fleet, callers int) *load {
	l := &load{stop: make(chan struct{})}
	client := caller.New()
	for n := range callers {
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			for i := 0; ; i++ {
				select {
				case <-l.stop:
					return
				default:
				}
				r := client.Do(caller.Request{
					Addr: f.Nodes[n%len(f.Nodes)].CallersAddr(), ID: fmt.Sprintf("angler-%d-%d", n, i), Model: model,
					Prompt: strings.Repeat("ice ", 1000), MaxTokens: 20, Timeout: 20 * time.Second, Stream: true,
				})
				l.record(r)
			}
		}()
	}
	return l
}

// record counts a complete answer, or keeps a failure.
func (l *load) record(r caller.Result) {
	if r.OK() {
		l.answers.Add(1)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, fmt.Sprintf("%s run=%s %v", r.Kind, r.Run, r.Err))
}

// stopAndWait stops the callers and returns the failures that they saw.
func (l *load) stopAndWait() []string {
	close(l.stop)
	l.wg.Wait()
	return l.failures
}

// runCount returns the number of dispatches that an engine has started.
func runCount(e *engine.Engine) int { return len(e.Counters().Runs) }

// A failure domain is drained under load and restored while its engine is cold. Callers must not notice: no request
// starts on the engine once the drain is in force, each answer is complete, and the cold engine does not collapse. It
// would collapse if it received all of this load immediately after the restore.
func TestDrainAndRestoreDomainUnderLoad(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 3)
	drained := f.Cluster.Engines[0]
	const domain = "north"
	l := startLoad(f, 9)
	eventually(t, "the domain's engine has work", func() bool { return runCount(drained) > 20 })

	appliedAt := time.Now()
	version, err := f.Apply(api.Change{Drain: domain})
	is.NoErr(err)
	is.NoErr(f.WaitInForce(version, testTimeout))
	drainDelay := time.Since(appliedAt)
	runsAtDrain := runCount(drained)
	answersBefore := l.answers.Load()
	eventually(t, "the other engines answer", func() bool { return l.answers.Load() > answersBefore+100 })
	lateRuns := runCount(drained) - runsAtDrain
	t.Logf("drain in force on 3 instances after %s, %d requests started on the engine later", drainDelay.Round(time.Millisecond), lateRuns)
	is.True(lateRuns <= 3) // only requests for which an instance had chosen the engine already

	is.NoErr(drained.Switch("cold", true, 0)) // as after maintenance, before the domain is restored
	time.Sleep(maintenanceTime)
	runsBeforeRestore := runCount(drained)
	version, err = f.Apply(api.Change{Restore: domain})
	is.NoErr(err)
	is.NoErr(f.WaitInForce(version, testTimeout))
	eventually(t, "the domain's engine has work again and is warm", func() bool { return runCount(drained) > runsBeforeRestore+20 && !drained.Counters().Cold })
	is.Equal(len(l.stopAndWait()), 0) // every answer was complete
	c := drained.Counters()
	t.Logf("after the restore at most %d requests in flight while cold, %d collapses", c.MaxInFlightCold, c.Collapses)
	is.Equal(c.Collapses, 0)
}
