package pause_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/pause"
)

// A caller's request runs on an engine that left minutes ago. The instance was frozen in between; on its
// wake a request's goroutine ran before the instance's own ticker. The request must find the pause itself.
func TestARequestFindsThePauseBeforeTheTicker(t *testing.T) {
	is := is.New(t)
	start := decide.Instant(0)
	g := pause.New(start, time.Second)
	_, reason := g.Check(start.Add(time.Second))
	is.Equal(reason, pause.Running) // a late tick within the bound is no pause
	gap, reason := g.Check(start.Add(5 * time.Minute))
	is.Equal(reason, pause.Paused)
	is.Equal(gap, 5*time.Minute)
	_, reason = g.Check(start.Add(5 * time.Minute))
	is.Equal(reason, pause.Paused) // asking does not clear it
	g.Tick(start.Add(5 * time.Minute))
	_, reason = g.Check(start.Add(5*time.Minute + time.Second))
	is.Equal(reason, pause.Running)
}
