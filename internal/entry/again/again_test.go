package again

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide/retry"
)

// Guards against more retries in a fleet than its budget allows, because those that remain take the share of instances that
// have just gone.
func TestRetriesOfInstancesThatAreGoneStillCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		instances := 5
		r := New(retry.DefaultParams(), func() int { return instances })
		retries := func() (n int) {
			failure := retry.Failure{Started: true, Idempotent: true, Attempts: 1, TimeLeft: 100 * time.Millisecond, OtherUpstream: true}
			for ok := true; ok; n++ {
				ok, _ = r.AwaitRetry(t.Context(), failure, "w", "u")
			}
			return n - 1
		}
		is.Equal(retries(), 2) // ten for all five
		time.Sleep(2 * retry.Window)
		instances = 1
		is.Equal(retries(), 2) // the others may have gone just now
		time.Sleep(2 * retry.Window)
		is.Equal(retries(), 10)
	})
}
