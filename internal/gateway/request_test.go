package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
)

// Guards against refusals of resumed streams as late. After a power loss of all instances, the callers whose streams
// broke off return at the same time with their last event id. If these requests count as new, they queue behind new
// prompts, and half of them never get the rest of their answer. A stream that its caller resumes counts as resumed,
// just like one that an instance resumes by itself.
func TestStreamResumedByCallerCountsAsResumed(t *testing.T) {
	is := is.New(t)
	route := &catalog.Route{Kind: catalog.Stream, TargetLatency: 300 * time.Millisecond, MaxGap: 200 * time.Millisecond}
	now := time.Now()
	r := &request{route: route, arrived: now, deadline: now.Add(10 * time.Second)}
	is.True(!r.placementRequest(now, time.Time{}, 1, nil).Resumed)
	is.True(r.placementRequest(now, now, 2, nil).Resumed)
	r.LastEventID = "12"
	is.True(r.placementRequest(now, time.Time{}, 1, nil).Resumed)
}
