package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
)

// Half of the callers whose streams broke off when all instances lost power never get the rest: they come back
// all at once with the last event that they have, wait behind prompts that are new, and are refused as late. A
// stream that its caller resumes is one that goes on, like one that an instance resumes by itself.
func TestAStreamThatItsCallerResumesGoesOn(t *testing.T) {
	is := is.New(t)
	route := &catalog.Route{Kind: catalog.Stream, Aim: 300 * time.Millisecond, MaxGap: 200 * time.Millisecond}
	now := time.Now()
	r := &request{route: route, arrived: now, deadline: now.Add(10 * time.Second)}
	is.True(!r.ask(now, time.Time{}, 1, nil).Resumed)
	is.True(r.ask(now, now, 2, nil).Resumed)
	r.LastEventID = "12"
	is.True(r.ask(now, time.Time{}, 1, nil).Resumed)
}
