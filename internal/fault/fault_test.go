package fault_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/fault"
)

// Every kind has a complete row: a unique name, an error status and at least one run outcome.
func TestEveryKindHasARow(t *testing.T) {
	is := is.New(t)
	seen := map[string]fault.Kind{}
	for _, k := range fault.Kinds() {
		rule := k.Rule()
		is.True(rule.Name != "")      // the kind has a wire name
		is.True(rule.Status >= 400)   // the status is an error status
		is.True(rule.Status < 600)    // the status is an HTTP status
		is.True(len(rule.Runs) > 0)   // the kind allows a run outcome
		is.True(rule.RetryAfter >= 0) // the retry delay is not negative
		is.True(k.String() == rule.Name)
		_, twice := seen[rule.Name]
		is.True(!twice) // wire names are unique
		seen[rule.Name] = k
	}
}

// An error never carries a run outcome outside its kind's row. In particular, a failure after a possible start never
// reports "not run".
func TestRunOutcomeIsAllowedForKind(t *testing.T) {
	for _, k := range fault.Kinds() {
		for _, run := range []fault.Run{fault.RunNo, fault.RunYes, fault.RunUnknown} {
			is := is.New(t)
			e := fault.NewWithRun(k, run, "x")
			found := false
			for _, allowed := range k.Rule().Runs {
				found = found || allowed == e.Run
			}
			is.True(found)
		}
	}
	is := is.New(t)
	is.Equal(fault.NewWithRun(fault.UpstreamFailed, fault.RunNo, "x").Run, fault.RunUnknown)
}

func TestFromKeepsTheKindThroughWrapping(t *testing.T) {
	is := is.New(t)
	e := fault.New(fault.QueueFull, "queue of 10")
	is.Equal(fault.From(fmt.Errorf("admit: %w", e)), e)
	is.True(fault.Is(fmt.Errorf("admit: %w", e), fault.QueueFull))
	is.Equal(fault.From(errors.New("plain")).Kind, fault.Internal)
	is.Equal(fault.From(errors.New("plain")).Run, fault.RunUnknown)
}
