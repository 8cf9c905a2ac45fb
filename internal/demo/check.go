package demo

import (
	"fmt"
	"slices"

	"github.com/damaskshelf/damaskshelf/internal/caller"
	"github.com/damaskshelf/damaskshelf/internal/standin/answer"
)

// sample is one request and the result that its caller received.
type sample struct {
	request caller.Request
	result  caller.Result
}

// violation describes how the answer to the request is wrong, or returns "" if it is correct. An explicit refusal or
// failure is correct. Answers of the plain service are checked by commandViolations.
func (s sample) violation() string {
	switch {
	case s.result.Err != nil:
		return fmt.Sprintf("no final answer: %v", s.result.Err)
	case s.result.Kind != "" || s.request.Model == "":
		return ""
	case !s.result.Completed:
		return "answer without its end mark"
	case s.result.Text != answer.Text(s.request.ID, s.request.MaxTokens):
		return "answer does not match its request"
	}
	return ""
}

// commandViolations compares the answers to callers of the plain service with the runs there, which are counted by
// request id. It returns one line, sorted, for each request that ran more than once or whose answer misstates whether it
// ran.
func commandViolations(samples []sample, runs map[string]int) []string {
	var violations []string
	for _, s := range samples {
		if s.request.Model != "" {
			continue
		}
		n := runs[s.request.ID]
		switch {
		case n > 1:
			violations = append(violations, fmt.Sprintf("%s ran %d times", s.request.ID, n))
		case n == 1 && s.result.Run == "no":
			violations = append(violations, fmt.Sprintf("%s ran and was answered run: no", s.request.ID))
		case n == 0 && s.result.OK():
			violations = append(violations, fmt.Sprintf("%s was confirmed and did not run", s.request.ID))
		}
	}
	slices.Sort(violations)
	return violations
}
