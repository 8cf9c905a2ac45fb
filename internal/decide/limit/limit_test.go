package limit_test

import (
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide/limit"
)

func TestSharesSumToTheLimit(t *testing.T) {
	is := is.New(t)
	is.Equal(limit.Share(0, 9), limit.Unlimited)
	for _, instances := range []int{1, 6, 9} {
		for max := 1; max < 200; max++ {
			sum := limit.Share(max, instances) * instances
			is.True(sum >= max)
			is.True(sum < max+instances)
		}
	}
	is.Equal(limit.Share(10, 0), 10) // an instance that knows of none counts itself
}

// A workspace gets more requests at once than its limit when many arrive in the same instant.
// Order: two requests read the counter below the limit, both go in.
// Cause: test and increment are two steps.
func TestRequestsAtTheSameInstantStayWithinTheLimit(t *testing.T) {
	is := is.New(t)
	const share, callers = 7, 64
	var f limit.InFlight
	var group sync.WaitGroup
	got := make(chan bool, callers)
	for range callers {
		group.Go(func() { got <- f.Acquire(share) })
	}
	group.Wait()
	close(got)
	in := 0
	for ok := range got {
		if ok {
			in++
		}
	}
	is.True(in <= share)
	is.Equal(f.Count(), in)
	for range in {
		f.Release()
	}
	is.Equal(f.Count(), 0)
	is.True(f.Acquire(share))
}
