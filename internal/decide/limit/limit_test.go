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
	is.Equal(limit.Share(10, 0), 10) // an instance that knows of no instances counts itself
}

// Guards against more requests in flight than the limit when many arrive at the same time. If test and increment are
// two steps, two requests can both read a count below the limit and both be admitted.
func TestConcurrentRequestsStayWithinLimit(t *testing.T) {
	is := is.New(t)
	const share, callers = 7, 64
	var f limit.InFlight
	var wg sync.WaitGroup
	results := make(chan bool, callers)
	for range callers {
		wg.Go(func() { results <- f.Acquire(share) })
	}
	wg.Wait()
	close(results)
	acquired := 0
	for ok := range results {
		if ok {
			acquired++
		}
	}
	is.True(acquired <= share)
	is.Equal(f.Count(), acquired)
	for range acquired {
		f.Release()
	}
	is.Equal(f.Count(), 0)
	is.True(f.Acquire(share))
}
