package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/quarantine"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Guards against a verdict that means something else at the next dispatcher: for another workspace, or freed by an answer that
// only began.
func TestVerdictSurvivesItsMessage(t *testing.T) {
	is := is.New(t)
	now := decide.Instant(time.Hour)
	v := quarantine.Verdict{
		Keys: []quarantine.Key{3, 5}, Ends: 4, Tries: 1, Since: now.Add(-time.Minute), Until: now.Add(time.Second), ChangedAt: now.Add(-time.Second),
		AnsweredFor: 3 * time.Second, Workspaces: []fleet.WorkspaceID{"space-1"},
	}
	is.Equal(decodeHeldBack(heldBackMessage(v, now), now), v)
}
