package command

import (
	"testing"

	"github.com/matryer/is"

	decideclaim "github.com/damaskshelf/damaskshelf/internal/decide/claim"
	"github.com/damaskshelf/damaskshelf/internal/fault"
)

// Guards against a success for a booking whose recorded outcome has lost its status.
func TestOutcomeWithoutStatusIsNoSuccess(t *testing.T) {
	is := is.New(t)
	for _, run := range []fault.Run{fault.RunYes, fault.RunUnknown} {
		_, replayed, err := earlierOutcome(decideclaim.Result{Verdict: decideclaim.Replay, Outcome: decideclaim.Outcome{Run: run}})
		is.True(replayed)
		is.True(fault.Is(err, fault.UpstreamFailed))
		is.Equal(fault.From(err).Run, run)
	}
}
