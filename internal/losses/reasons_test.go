package losses

import (
	"testing"

	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
)

// Guards against a refusal reason of the dispatcher that has no cause, so that operators see it as "other".
func TestEveryRefusalHasACause(t *testing.T) {
	for _, reason := range dispatch.Reasons {
		switch reason {
		case dispatch.Packed, dispatch.Spread, dispatch.SingleEngine, dispatch.LeastWork:
			continue
		}
		answer := fields{"reason": "refused", "detail": string(reason)}
		if reason == dispatch.NoUpstream {
			answer["fault"] = "no_upstream"
		}
		if c, counted := refusalCause(answer); !counted || c == Other {
			t.Errorf("%s: cause %q, counted %v", reason, c, counted)
		}
	}
}
