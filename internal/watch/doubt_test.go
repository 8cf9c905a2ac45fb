package watch

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// A request goes to an upstream that left seconds ago. The machine was frozen meanwhile; the process woke up
// and went on by what it knew, before anybody could tell it the news.
func TestAPausedProcessDoubtsWhatItKnows(t *testing.T) {
	is := is.New(t)
	f := New(Deps{Kinds: Kinds{Config: "c", Upstreams: "u", Out: "o"}, Log: hclog.NewNullLogger()})
	f.Offer(Change{Kind: "u", Whole: true, To: 5})
	f.Prove(Proof{Kind: "u", Known: true, Revision: 5, Latest: 5})
	is.True(!f.Doubtful())
	f.doubt.guard.Mark(bootTime().Add(-3 * time.Second)) // the last tick was three seconds ago
	is.True(f.Doubtful())                                // asked before any tick has run
	f.doubt.notice()
	is.True(f.Doubtful()) // and after it
	f.Prove(Proof{Kind: "u", Known: true, Revision: 6, Latest: 5, Age: time.Second})
	is.True(f.Doubtful()) // the proof is older than the wake-up
	time.Sleep(2 * time.Millisecond)
	f.Prove(Proof{Kind: "u", Known: true, Revision: 7, Latest: 5})
	is.True(!f.Doubtful())
}

// With the store away no proof comes, and the last known state is the best there is: doubt ends.
func TestDoubtEnds(t *testing.T) {
	is := is.New(t)
	f := New(Deps{Kinds: Kinds{Config: "c", Upstreams: "u", Out: "o"}, Log: hclog.NewNullLogger()})
	f.Offer(Change{Kind: "u", Whole: true, To: 5})
	f.doubt.since.Store(int64(bootTime().Add(-doubtTime - time.Millisecond)))
	is.True(!f.Doubtful())
	f.doubt.since.Store(int64(bootTime() - decide.Instant(time.Millisecond)))
	is.True(f.Doubtful())
}
