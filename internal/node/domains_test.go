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

// maintenance is the time that the domain stays out after its engine was made cold: less than the interval of
// load reports, so that the last report before the return still calls the engine warm.
const maintenance = 10 * time.Millisecond

// load keeps prompts on a fleet until it is stopped, and counts what callers saw.
type load struct {
	stop    chan struct{}
	wg      sync.WaitGroup
	answers atomic.Int64
	mu      sync.Mutex
	bad     []string // guarded by mu: answers that were not whole, and refusals
}

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
				l.note(r)
			}
		}()
	}
	return l
}

func (l *load) note(r caller.Result) {
	if r.OK() {
		l.answers.Add(1)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bad = append(l.bad, fmt.Sprintf("%s run=%s %v", r.Kind, r.Run, r.Err))
}

func (l *load) end() []string {
	close(l.stop)
	l.wg.Wait()
	return l.bad
}

// runs counts the dispatches that an engine has started.
func runs(e *engine.Engine) int { return len(e.Counters().Runs) }

// Operators take a failure domain out under load and bring it back. Nobody may notice: no request starts
// on its engine once the drain is in force, each answer is whole, and on return the engine is not run over,
// which a cold engine with this load sent at once would be.
func TestDomainOutAndBackUnderLoad(t *testing.T) {
	is := is.New(t)
	f := start(t, 3)
	out := f.Cluster.Engines[0]
	const domain = "north"
	l := startLoad(f, 9)
	eventually(t, "its engine has work", func() bool { return runs(out) > 20 })

	began := time.Now()
	version, err := f.Apply(api.Change{Drain: domain})
	is.NoErr(err)
	is.NoErr(f.WaitInForce(version, hangGuard))
	inForce := time.Since(began)
	settled := runs(out)
	before := l.answers.Load()
	eventually(t, "the others answer", func() bool { return l.answers.Load() > before+100 })
	late := runs(out) - settled
	t.Logf("drain in force on 3 instances after %s, %d requests started there later", inForce.Round(time.Millisecond), late)
	is.True(late <= 3) // at most those that each instance had chosen the engine for at that moment

	is.NoErr(out.Switch("cold", true, 0)) // as after maintenance, some time before it comes back
	time.Sleep(maintenance)
	back := runs(out)
	version, err = f.Apply(api.Change{Restore: domain})
	is.NoErr(err)
	is.NoErr(f.WaitInForce(version, hangGuard))
	eventually(t, "its engine has work again and is warm", func() bool { return runs(out) > back+20 && !out.Counters().Cold })
	is.Equal(len(l.end()), 0) // every answer was whole
	c := out.Counters()
	t.Logf("after the return at most %d requests at once while cold, %d collapses", c.MaxInFlightCold, c.Collapses)
	is.Equal(c.Collapses, 0)
}
