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

// An instance dies in the middle of a plan. The one that takes its shards over had none with steps until
// then and had put the plan aside; the plan stands still for ever, with some engines changed. It has to
// take the plan up again, at the stage where it is.
func TestTakeoverByAnInstanceThatHadNoSteps(t *testing.T) {
	const instances = 5 // steps on two engines: at least three of them have none
	for survivor := range instances {
		is := is.New(t)
		f := newSizedFleet(instances, 30)
		p := f.propose(t, 1)
		for range 4 { // the first stage's order is given, the second's is not
			f.tick()
		}
		is.Equal(f.calls.orders, 1)
		f.members = f.members[survivor : survivor+1]
		f.view = fleet.NewView(1, f.view.Config, 2, f.view.Instances[survivor:survivor+1], f.view.Upstreams)
		for range 120 {
			f.tick()
		}
		l, err := f.calls.Store.List(context.Background(), execute.ObjectKind)
		is.NoErr(err)
		progress, err := execute.Progress(p, l)
		is.NoErr(err)
		is.Equal(progress.StepsDone, len(p.Steps)) // the survivor takes the plan up at the stage where it is
		is.Equal(f.calls.orders, len(p.Steps))
	}
}

// tick lets every instance look once.
func (f *sizedFleet) tick() (busy bool) {
	for _, x := range f.members {
		busy = x.Tick(context.Background()) || busy
	}
	f.now = f.now.Add(execute.DefaultTickInterval)
	return busy
}

const limit = decide.Instant(time.Hour)
