package fault_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/fault"
)

// Every kind has a whole row: a name of its own, an error status, and at least one run outcome.
func TestEveryKindHasARow(t *testing.T) {
	is := is.New(t)
	seen := map[string]fault.Kind{}
	for _, k := range fault.Kinds() {
		rule := k.Rule()
		is.True(rule.Name != "")      // kind has a wire name
		is.True(rule.Status >= 400)   // kind answers with an error status
		is.True(rule.Status < 600)    // kind answers with an HTTP status
		is.True(len(rule.Runs) > 0)   // kind allows a run outcome
		is.True(rule.RetryAfter >= 0) // waiting time is not negative
		is.True(k.String() == rule.Name)
		_, twice := seen[rule.Name]
		is.True(!twice) // wire names differ
		seen[rule.Name] = k
	}
}

// A kind never carries a run outcome outside its row: what may have started is never called "not run".
func TestRunOutcomeStaysInsideTheRow(t *testing.T) {
	for _, k := range fault.Kinds() {
		for _, run := range []fault.Run{fault.RunNo, fault.RunYes, fault.RunUnknown} {
			is := is.New(t)
			e := fault.NewWithRun(k, run, "x")
			in := false
			for _, allowed := range k.Rule().Runs {
				in = in || allowed == e.Run
			}
			is.True(in)
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
