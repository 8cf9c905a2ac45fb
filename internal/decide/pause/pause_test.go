package pause_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/pause"
)

// Guards against a request that runs on an engine that left minutes ago. The instance was frozen in between, and when
// it resumes, the request's goroutine runs before the instance's ticker. The request has to detect the pause itself.
func TestRequestDetectsPauseBeforeTicker(t *testing.T) {
	is := is.New(t)
	start := decide.Instant(0)
	g := pause.New(start, time.Second)
	_, reason := g.Check(start.Add(time.Second))
	is.Equal(reason, pause.Running) // a late tick within the threshold is not a pause
	gap, reason := g.Check(start.Add(5 * time.Minute))
	is.Equal(reason, pause.Paused)
	is.Equal(gap, 5*time.Minute)
	_, reason = g.Check(start.Add(5 * time.Minute))
	is.Equal(reason, pause.Paused) // Check does not clear it
	g.Tick(start.Add(5 * time.Minute))
	_, reason = g.Check(start.Add(5*time.Minute + time.Second))
	is.Equal(reason, pause.Running)
}
