package execute_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/execute"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// An instance fails while a plan is executed, and an instance that had no shards with steps takes over its shards. If
// that instance had discarded the plan, the plan would stop forever with some engines changed. It has to resume the
// plan at the current stage.
func TestTakeoverByInstanceWithoutSteps(t *testing.T) {
	const instances = 5 // the plan has steps on two engines: at least three instances have none
	for survivor := range instances {
		is := is.New(t)
		f := newSizedFleet(instances, 30)
		p := f.propose(t, 1)
		for range 4 { // the order of the first stage is sent, the one of the second stage is not
			f.tick()
		}
		is.Equal(f.calls.orderCalls, 1)
		f.members = f.members[survivor : survivor+1]
		f.view = fleet.NewView(1, f.view.Config, 2, f.view.Instances[survivor:survivor+1], f.view.Upstreams)
		for range 120 {
			f.tick()
		}
		l, err := f.calls.Store.List(context.Background(), execute.ObjectKind)
		is.NoErr(err)
		progress, err := execute.Progress(p, l)
		is.NoErr(err)
		is.Equal(progress.StepsDone, len(p.Steps)) // the survivor resumes the plan at the current stage
		is.Equal(f.calls.orderCalls, len(p.Steps))
	}
}

// tick calls Tick of every instance once and advances the clock. It reports whether an instance has more to do.
func (f *sizedFleet) tick() (busy bool) {
	for _, x := range f.members {
		busy = x.Tick(context.Background()) || busy
	}
	f.now = f.now.Add(execute.DefaultTickInterval)
	return busy
}

// planTimeout is the virtual time after which a test fails.
const planTimeout = decide.Instant(time.Hour)
