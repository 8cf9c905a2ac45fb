package weights_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/damaskshelf/damaskshelf/internal/standin/rawhttp"
	"github.com/damaskshelf/damaskshelf/internal/standin/weights"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

func TestBudgetRefillsAtItsRate(t *testing.T) {
	is := is.New(t)
	b := weights.Budget{Rate: 2, Burst: 10}
	now := time.Unix(1_000_000, 0)
	_, ok := b.Take(10, now)
	is.True(ok)
	wait, ok := b.Take(4, now)
	is.True(!ok)
	is.Equal(wait, 2*time.Second)
	_, ok = b.Take(4, now.Add(wait))
	is.True(ok)
	now = now.Add(time.Hour)
	_, ok = b.Take(30, now) // more than the burst, with a full bucket
	is.True(ok)
	wait, ok = b.Take(1, now)
	is.True(!ok)
	is.Equal(wait, 10500*time.Millisecond) // 20 GB of debt and 1 GB
}

func TestHTTP(t *testing.T) {
	is := is.New(t)
	s, err := weights.Start("127.0.0.1:0", 0.001, 10)
	is.NoErr(err)
	defer s.Close()
	take := func(query string) *rawhttp.Result {
		return rawhttp.Call{Path: "/weights/guide/v1" + query}.Do(s.Addr())
	}
	is.Equal(take("?gb=10").Status, 204)
	refused := take("?gb=1")
	is.Equal(refused.Status, 429)
	retryAfter, err := strconv.Atoi(refused.Header["Retry-After"])
	is.NoErr(err)
	is.True(retryAfter > 0)
	for _, query := range []string{"", "?gb=0", "?gb=-1", "?gb=x", "?gb=NaN", "?gb=Inf"} {
		is.Equal(take(query).Status, 400)
	}
	is.Equal(s.Counts(), weights.Counts{TakenGB: 10, Taken: 1, Refused: 1})
}
