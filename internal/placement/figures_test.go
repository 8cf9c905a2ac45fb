package placement

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/advertised"
	"github.com/damaskshelf/damaskshelf/internal/gateway"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
)

// Guards against a route whose requests are never placed because a figure of the configuration is larger than its field in a
// message, and against the load of a workspace that never decays because a request arrived in the future.
func TestLargeFiguresOfRequestsKeepTheirMeaning(t *testing.T) {
	is := is.New(t)
	asked := gateway.PlacementRequest{
		Priority: 1 << 40, PromptTokens: 1 << 40, MaxOutputTokens: 1 << 40, MaxGap: 3_000_000_000 * time.Millisecond, Attempt: 1 << 40,
		Waited: -time.Hour, FirstEventTimeout: math.MaxInt64, TimeLeft: math.MinInt64,
	}
	now := time.Now()
	m := askMessage(&asked, now, now)
	j := newJob(m, "i1", 7)
	for _, n := range []int{j.Priority, j.PromptTokens, j.MaxOutputTokens, j.Attempt, int(j.MaxGap.Milliseconds())} {
		is.Equal(n, math.MaxInt32)
	}
	is.Equal(j.Arrived, decide.Instant(7))
	m.PatienceMs, m.DeadlineMs = math.MaxInt64, math.MinInt64
	j = newJob(m, "i1", 7)
	is.True(j.FirstEventDeadline > 7)
	is.True(j.Deadline < 7)
}

// Guards against an upstream that gets no work any more because another instance told a limit that is no number.
func TestLimitThatIsNoNumberIsIgnored(t *testing.T) {
	is := is.New(t)
	table := newLimitTable(hclog.NewNullLogger())
	for _, rate := range []float64{math.NaN(), math.Inf(1), -1} {
		is.Equal(table.record(table.decode(&pb.Limit{Upstream: "u", Limited: true, Rate: rate})), advertised.Unchanged)
	}
	is.Equal(table.count.Load(), int32(0))
}

// Guards against a request that is given up the moment it is sent because the dispatcher's time for its answer is negative.
func TestNegativeAnswerTimeIsUnknown(t *testing.T) {
	is := is.New(t)
	c := newPeerClient()
	w := &waitingRequest{ask: gateway.PlacementRequest{ID: "r", Service: "svc"}}
	for sent, want := range map[int64]time.Duration{math.MinInt64: 0, -1: 0, 0: 0, 250: 250 * time.Millisecond} {
		g, err := c.grantFromReply(context.Background(), w, reply{place: &pb.Place{Id: "r", Upstream: "u1", OverdueMs: sent}})
		is.NoErr(err)
		is.Equal(g.AnswerTimeout(), want)
	}
}
