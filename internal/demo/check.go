package demo

import (
	"fmt"
	"slices"

	"github.com/damaskshelf/damaskshelf/internal/caller"
	"github.com/damaskshelf/damaskshelf/internal/standin/answer"
)

// sample is one request and what its caller saw.
type sample struct {
	q caller.Request
	r caller.Result
}

// broken tells how the sample breaks a promise; empty where it doesn't. An explicit refusal or failure
// breaks none.
func (s sample) broken() string {
	switch {
	case s.r.Err != nil:
		return fmt.Sprintf("no final answer: %v", s.r.Err)
	case s.r.Kind != "" || s.q.Model == "":
		return ""
	case !s.r.Completed:
		return "answer without its end mark"
	case s.r.Text != answer.Text(s.q.ID, s.q.MaxTokens):
		return "answer is not this request's"
	}
	return ""
}

// brokenCommands compares what callers of the plain service were told with what ran there.
func brokenCommands(samples []sample, runs map[string]int) []string {
	var found []string
	for _, s := range samples {
		if s.q.Model != "" {
			continue
		}
		n := runs[s.q.ID]
		switch {
		case n > 1:
			found = append(found, fmt.Sprintf("%s ran %d times", s.q.ID, n))
		case n == 1 && s.r.Run == "no":
			found = append(found, fmt.Sprintf("%s ran and was answered run: no", s.q.ID))
		case n == 0 && s.r.OK():
			found = append(found, fmt.Sprintf("%s was confirmed and did not run", s.q.ID))
		}
	}
	slices.Sort(found)
	return found
}
